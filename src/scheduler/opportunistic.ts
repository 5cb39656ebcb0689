import { fits, subtract, type Resources } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView, PreemptionCandidate } from './scheduling-model.js';
import { isAllowedOn, ZoneRules } from './placement-rules.js';

/** How many machines are cleared at once at most: a search for room takes time. */
const MAX_DRAINED = 8;

/** Which share of a machine is taken. */
function usedShare(machine: MachineView): number {
  const { capacity } = machine.type;
  const share = (free: number, of: number): number => (of > 0 ? 1 - free / of : 0);
  return Math.max(
    share(machine.free.cpus, capacity.cpus),
    share(machine.free.gpus, capacity.gpus),
    share(machine.free.memoryGb, capacity.memoryGb),
  );
}

/** What a task takes of a machine, as the largest of its shares. */
function shareOf({ need }: JobSpec, { capacity }: MachineView['type']): number {
  return Math.max(
    need.cpus / capacity.cpus,
    capacity.gpus > 0 ? need.gpus / capacity.gpus : 0,
    need.memoryGb / capacity.memoryGb,
  );
}

/** True if nothing is on a machine but work of these jobs, or nothing at all. */
export const holdsOnly = (machine: MachineView, jobs: ReadonlySet<string>): boolean =>
  [...machine.tasksOf.keys()].every((job) => jobs.has(job));

/**
 * Of machines that hold nothing but opportunistic work, those that can be cleared: all that is on
 * one finds room on machines that stay, and loses less than the machine would cost until it ends by
 * itself. The emptiest go first. What finds no room stays: it would be stopped and wait, and a
 * machine be rented for it again.
 *
 * @param only machines that hold nothing else
 * @param up all machines that are up, with the room that this round leaves
 */
export function drainableMachines(
  only: MachineView[],
  up: MachineView[],
  victims: readonly PreemptionCandidate[],
  jobs: ReadonlyMap<string, JobView>,
): string[] {
  const held = new Map<string, PreemptionCandidate[]>(only.map((machine) => [machine.id, []]));
  for (const candidate of victims) held.get(candidate.machine)?.push(candidate);
  const free = new Map<MachineView, Resources>();
  const roomOn = (machine: MachineView): Resources => {
    let room = free.get(machine);
    if (!room) free.set(machine, (room = { ...machine.free }));
    return room;
  };
  const inUse = up.filter((machine) => !held.has(machine.id));
  const order = only
    .filter((machine) => machine.tasksOf.size > 0)
    .sort((a, b) => usedShare(a) - usedShare(b) || (a.id < b.id ? -1 : 1));
  const cleared: string[] = [];
  const receivers = new Set<MachineView>();
  for (const [i, from] of order.entries()) {
    if (cleared.length === MAX_DRAINED) break;
    const tasks = held.get(from.id)!;
    if (receivers.has(from) || !isWorthIt(from, tasks)) continue;
    const targets = [...inUse, ...order.slice(i + 1)];
    const moves = allFit(tasks, targets, roomOn, jobs);
    if (!moves) break;
    cleared.push(from.id);
    for (const { to, spec } of moves) {
      subtract(roomOn(to), spec.need);
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
function isWorthIt(machine: MachineView, tasks: PreemptionCandidate[]): boolean {
  let lost = 0;
  let untilMs = 0;
  for (const candidate of tasks) {
    if (candidate.isStopping || candidate.isGangMember || candidate.stopsWithoutCheckpoint > 0)
      return false;
    if (candidate.spec.checkpointMs === 0 && candidate.lostWorkMs > candidate.remainingMs)
      return false;
    lost += candidate.lostWorkMs * shareOf(candidate.spec, machine.type);
    untilMs = Math.max(untilMs, candidate.remainingMs);
  }
  return lost < untilMs * (1 - usedShare(machine));
}

interface Move {
  to: MachineView;
  spec: JobSpec;
}

/** Where each of the tasks would go; null if one finds no room. */
function allFit(
  tasks: PreemptionCandidate[],
  targets: MachineView[],
  roomOn: (machine: MachineView) => Resources,
  jobs: ReadonlyMap<string, JobView>,
): Move[] | null {
  const taken = new Map<MachineView, Resources>();
  const moves: Move[] = [];
  for (const { job, spec } of tasks) {
    const view = jobs.get(job);
    if (!view) return null;
    const rules = new ZoneRules(spec, view.tasksByZone);
    const to = targets.find((machine) => {
      const room = taken.get(machine) ?? roomOn(machine);
      return (
        fits(spec.need, room) &&
        isAllowedOn(spec, machine.type.name, machine.zone, machine.spot) &&
        !view.avoidedMachines.has(machine.id) &&
        rules.remaining(machine.zone) > 0
      );
    });
    if (!to) return null;
    const room = taken.get(to) ?? { ...roomOn(to) };
    subtract(room, spec.need);
    taken.set(to, room);
    moves.push({ to, spec });
  }
  return moves;
}
