import { fits, take, type Need } from '../fleet/types.js';
import type { JobView, MachineView, ReplicaView } from './model.js';
import { allows, fetchSeconds, ZoneRules } from './placement.js';

/** An empty machine that is kept for longer than this many boot times is not worth emptying. */
const SOON_BOOTS = 2;

/**
 * Replicas that run for long stay behind on many half-empty machines once the work around them has
 * ended. The emptiest of such machines is cleared if all of its replicas find room, with their image
 * there, on machines that hold others: each is away for the few seconds of a stop and a start, and
 * the machine can be given back. One machine at a time, so that little is away at once.
 */
export function consolidate(
  movable: ReplicaView[],
  up: MachineView[],
  jobs: JobView[],
): { job: string; task: number }[] {
  const byMachine = new Map<string, ReplicaView[]>();
  for (const r of movable) {
    const list = byMachine.get(r.machine);
    if (list) list.push(r);
    else byMachine.set(r.machine, [r]);
  }
  const clearable = up
    .filter((m) => {
      const here = byMachine.get(m.id)?.length ?? 0;
      const tasks = [...m.tasksOf.values()].reduce((a, b) => a + b, 0);
      return here > 0 && tasks === here && m.keepMs <= m.type.bootMs * SOON_BOOTS;
    })
    .sort((a, b) => b.free.gpus / b.type.room.gpus - a.free.gpus / a.type.room.gpus);
  const byId = new Map(jobs.map((j) => [j.id, j]));
  const hosts = withRoomForAny(movable, up);
  for (const from of clearable) {
    const moves = byMachine.get(from.id)!;
    const fuller = hosts.filter((m) => isFuller(m, from));
    if (fuller.length > 0 && allFit(moves, from, fuller, byId)) {
      return moves.map(({ job, task }) => ({ job, task }));
    }
  }
  return [];
}

/**
 * The machines that hold replicas and have room for one more of any size that could move. In a large
 * fleet they are few, and for each machine that could be cleared all of them are looked at.
 */
function withRoomForAny(movable: ReplicaView[], up: MachineView[]): MachineView[] {
  const needs = new Map<string, Need>();
  for (const { job, spec } of movable) needs.set(job, spec.need);
  const sizes = [...needs.values()];
  return up.filter((m) => m.replicas > 0 && sizes.some((need) => fits(need, m.free)));
}

/** A strict order, or two machines would swap their replicas for ever. */
const isFuller = (a: MachineView, b: MachineView): boolean =>
  a.free.gpus < b.free.gpus || (a.free.gpus === b.free.gpus && a.id < b.id);

function allFit(
  moves: ReplicaView[],
  from: MachineView,
  targets: MachineView[],
  jobs: ReadonlyMap<string, JobView>,
): boolean {
  const left = new Map<MachineView, Need>();
  const holding = new Set<string>();
  return moves.every(({ job, spec }) => {
    const view = jobs.get(job);
    if (!view) return false;
    const zones = new Map(view.zones);
    zones.set(from.zone, (zones.get(from.zone) ?? 0) - 1);
    const rules = new ZoneRules(spec, zones);
    const target = targets.find(
      (m) =>
        fits(spec.need, left.get(m) ?? m.free) &&
        allows(spec, m.type.name, m.zone, m.spot) &&
        !view.avoid.has(m.id) &&
        // Its fellows are elsewhere, so that one loss takes little.
        !m.tasksOf.has(job) &&
        !holding.has(`${job} ${m.id}`) &&
        m.images.has(spec.image) &&
        fetchSeconds(spec, m) === 0 &&
        // Several of one job may leave together: a zone that takes one has room for what left it.
        (m.zone === from.zone || rules.room(m.zone) > 0),
    );
    if (!target) return false;
    const room = left.get(target) ?? { ...target.free };
    take(room, spec.need);
    left.set(target, room);
    holding.add(`${job} ${target.id}`);
    return true;
  });
}
