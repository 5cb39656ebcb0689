import { fits, take, type Need } from '../fleet/types.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView, VictimView } from './model.js';
import { allows, ZoneRules } from './placement.js';

/** How many machines are cleared at once at most: a search for room takes time. */
const MOST_CLEARED = 8;

/** Which share of a machine is taken. */
function usedShare(m: MachineView): number {
  const { room } = m.type;
  const share = (free: number, of: number): number => (of > 0 ? 1 - free / of : 0);
  return Math.max(
    share(m.free.cpus, room.cpus),
    share(m.free.gpus, room.gpus),
    share(m.free.memoryGb, room.memoryGb),
  );
}

/** What a task takes of a machine, as the largest of its shares. */
function shareOf({ need }: JobSpec, { room }: MachineView['type']): number {
  return Math.max(
    need.cpus / room.cpus,
    room.gpus > 0 ? need.gpus / room.gpus : 0,
    need.memoryGb / room.memoryGb,
  );
}

/** True if nothing is on a machine but work of these jobs, or nothing at all. */
export const holdsOnly = (m: MachineView, jobs: ReadonlySet<string>): boolean =>
  [...m.tasksOf.keys()].every((job) => jobs.has(job));

/**
 * Of machines that hold nothing but opportunistic work, those that can be cleared: all that is on
 * one finds room on machines that stay, and loses less than the machine would cost until it ends by
 * itself. The emptiest go first. What finds no room stays: it would be stopped and wait, and a
 * machine be rented for it again.
 *
 * @param only machines that hold nothing else
 * @param up all machines that are up, with the room that this round leaves
 */
export function clearable(
  only: MachineView[],
  up: MachineView[],
  victims: readonly VictimView[],
  jobs: ReadonlyMap<string, JobView>,
): string[] {
  const held = new Map<string, VictimView[]>(only.map((m) => [m.id, []]));
  for (const v of victims) held.get(v.machine)?.push(v);
  const free = new Map<MachineView, Need>();
  const roomOn = (m: MachineView): Need => {
    let room = free.get(m);
    if (!room) free.set(m, (room = { ...m.free }));
    return room;
  };
  const inUse = up.filter((m) => !held.has(m.id));
  const order = only
    .filter((m) => m.tasksOf.size > 0)
    .sort((a, b) => usedShare(a) - usedShare(b) || (a.id < b.id ? -1 : 1));
  const cleared: string[] = [];
  const receivers = new Set<MachineView>();
  for (const [i, from] of order.entries()) {
    if (cleared.length === MOST_CLEARED) break;
    const tasks = held.get(from.id)!;
    if (receivers.has(from) || !isWorthIt(from, tasks)) continue;
    const targets = [...inUse, ...order.slice(i + 1)];
    const moves = allFit(tasks, targets, roomOn, jobs);
    if (!moves) break;
    cleared.push(from.id);
    for (const { to, spec } of moves) {
      take(roomOn(to), spec.need);
      receivers.add(to);
    }
  }
  return cleared;
}

/**
 * What would have to be done again costs less than the machine until the last of it has ended. What
 * was lost once, or is half done and never saved, stays: moved from one spare machine to the next it
 * would be done late or never.
 */
function isWorthIt(m: MachineView, tasks: VictimView[]): boolean {
  let lost = 0;
  let untilMs = 0;
  for (const t of tasks) {
    if (t.stopping || t.wholeGang || t.unsavedStops > 0) return false;
    if (t.spec.checkpointMs === 0 && t.lossMs > t.remainingMs) return false;
    lost += t.lossMs * shareOf(t.spec, m.type);
    untilMs = Math.max(untilMs, t.remainingMs);
  }
  return lost < untilMs * (1 - usedShare(m));
}

interface Move {
  to: MachineView;
  spec: JobSpec;
}

/** Where each of the tasks would go; null if one finds no room. */
function allFit(
  tasks: VictimView[],
  targets: MachineView[],
  roomOn: (m: MachineView) => Need,
  jobs: ReadonlyMap<string, JobView>,
): Move[] | null {
  const taken = new Map<MachineView, Need>();
  const moves: Move[] = [];
  for (const { job, spec } of tasks) {
    const view = jobs.get(job);
    if (!view) return null;
    const rules = new ZoneRules(spec, view.zones);
    const to = targets.find((m) => {
      const room = taken.get(m) ?? roomOn(m);
      return (
        fits(spec.need, room) &&
        allows(spec, m.type.name, m.zone, m.spot) &&
        !view.avoid.has(m.id) &&
        rules.room(m.zone) > 0
      );
    });
    if (!to) return null;
    const room = taken.get(to) ?? { ...roomOn(to) };
    take(room, spec.need);
    taken.set(to, room);
    moves.push({ to, spec });
  }
  return moves;
}
