import { fits, subtract, type Resources } from '../fleet/resources.js';
import type { JobView, MachineView, ReplicaView } from './scheduling-model.js';
import { fetchSeconds } from './placement-cost.js';
import { isAllowedOn, ZoneRules } from './placement-rules.js';

/** An empty machine that is kept for longer than this many boot times is not worth emptying. */
const QUICK_RELEASE_BOOTS = 2;

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
  for (const replica of movable) {
    const list = byMachine.get(replica.machine);
    if (list) list.push(replica);
    else byMachine.set(replica.machine, [replica]);
  }
  const clearable = up
    .filter((machine) => {
      const here = byMachine.get(machine.id)?.length ?? 0;
      const tasks = [...machine.tasksOf.values()].reduce((a, b) => a + b, 0);
      return (
        here > 0 &&
        tasks === here &&
        machine.idleTimeoutMs <= machine.type.bootMs * QUICK_RELEASE_BOOTS
      );
    })
    .sort((a, b) => b.free.gpus / b.type.capacity.gpus - a.free.gpus / a.type.capacity.gpus);
  const byId = new Map(jobs.map((j) => [j.id, j]));
  const hosts = withRoomForAny(movable, up);
  for (const from of clearable) {
    const moves = byMachine.get(from.id)!;
    const fuller = hosts.filter((machine) => isFuller(machine, from));
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
  const needs = new Map<string, Resources>();
  for (const { job, spec } of movable) needs.set(job, spec.need);
  const sizes = [...needs.values()];
  return up.filter(
    (machine) => machine.replicas > 0 && sizes.some((need) => fits(need, machine.free)),
  );
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
  const left = new Map<MachineView, Resources>();
  const holding = new Set<string>();
  return moves.every(({ job, spec }) => {
    const view = jobs.get(job);
    if (!view) return false;
    const zones = new Map(view.tasksByZone);
    zones.set(from.zone, (zones.get(from.zone) ?? 0) - 1);
    const rules = new ZoneRules(spec, zones);
    const target = targets.find(
      (machine) =>
        fits(spec.need, left.get(machine) ?? machine.free) &&
        isAllowedOn(spec, machine.type.name, machine.zone, machine.spot) &&
        !view.avoidedMachines.has(machine.id) &&
        // Its fellows are elsewhere, so that one loss takes little.
        !machine.tasksOf.has(job) &&
        !holding.has(`${job} ${machine.id}`) &&
        machine.images.has(spec.image) &&
        fetchSeconds(spec, machine) === 0 &&
        // Several of one job may leave together: a zone that takes one has room for what left it.
        (machine.zone === from.zone || rules.remaining(machine.zone) > 0),
    );
    if (!target) return false;
    const room = left.get(target) ?? { ...target.free };
    subtract(room, spec.need);
    left.set(target, room);
    holding.add(`${job} ${target.id}`);
    return true;
  });
}
