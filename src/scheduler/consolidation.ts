/** Consolidation: moves replicas onto fewer machines so that the others can be scaled in. */
import { fits, type Resources } from '../fleet/resources.js';
import type { JobView, MachineView, ReplicaView, TaskId } from './scheduling-model.js';
import { fetchSeconds } from './placement-cost.js';
import { findMoves, type TaskMove } from './task-moves.js';

/** Machines whose idle timeout exceeds this many boot times are not worth draining. */
const MAX_IDLE_TIMEOUT_BOOTS = 2;

/**
 * Selects the replicas to stop so that one machine can be scaled in. Long-running replicas remain
 * on many half-empty machines after the tasks around them have finished. The emptiest of these
 * machines is drained if all of its replicas fit on fuller machines that hold replicas and have the
 * image cached: each replica is then down only for the few seconds of a stop and a start. Only one
 * machine is drained at a time, which limits the number of replicas that are down at once.
 */
export function consolidate(
  movable: ReplicaView[],
  upMachines: MachineView[],
  jobs: JobView[],
): TaskId[] {
  const byMachine = new Map<string, ReplicaView[]>();
  for (const replica of movable) {
    const replicas = byMachine.get(replica.machine);
    if (replicas) replicas.push(replica);
    else byMachine.set(replica.machine, [replica]);
  }
  const drainable = upMachines
    .filter((machine) => {
      const replicas = byMachine.get(machine.id)?.length ?? 0;
      const tasks = [...machine.tasksByJob.values()].reduce((a, b) => a + b, 0);
      return (
        replicas > 0 &&
        tasks === replicas &&
        machine.idleTimeoutMs <= machine.type.bootMs * MAX_IDLE_TIMEOUT_BOOTS
      );
    })
    .sort((a, b) => b.free.gpus / b.type.capacity.gpus - a.free.gpus / a.type.capacity.gpus);
  const byId = new Map(jobs.map((job) => [job.id, job]));
  const replicaMachines = machinesThatFitAny(movable, upMachines);
  for (const source of drainable) {
    const replicas = byMachine.get(source.id) ?? [];
    const targets = replicaMachines.filter((machine) => isFuller(machine, source));
    if (targets.length > 0 && findReplicaMoves(replicas, source, targets, byId)) {
      return replicas.map(({ job, task }) => ({ job, task }));
    }
  }
  return [];
}

/**
 * Returns the machines that hold replicas and have room for at least one of the movable replicas.
 * Filtering first keeps the search cheap: even in a large fleet they are few, and all of them are
 * checked for each drainable machine.
 */
function machinesThatFitAny(movable: ReplicaView[], upMachines: MachineView[]): MachineView[] {
  const needs = new Map<string, Resources>();
  for (const { job, spec } of movable) needs.set(job, spec.need);
  const distinctNeeds = [...needs.values()];
  return upMachines.filter(
    (machine) => machine.replicas > 0 && distinctNeeds.some((need) => fits(need, machine.free)),
  );
}

/** Compares in a strict order; otherwise two machines could swap their replicas forever. */
const isFuller = (a: MachineView, b: MachineView): boolean =>
  a.free.gpus < b.free.gpus || (a.free.gpus === b.free.gpus && a.id < b.id);

function findReplicaMoves(
  replicas: ReplicaView[],
  source: MachineView,
  targets: MachineView[],
  jobs: ReadonlyMap<string, JobView>,
): TaskMove[] | null {
  return findMoves(replicas, {
    targets,
    jobs,
    freeOn: (machine) => machine.free,
    tasksByZone: (job) => {
      const zones = new Map(job.tasksByZone);
      return zones.set(source.zone, (zones.get(source.zone) ?? 0) - 1);
    },
    isTarget: ({ job, spec }, machine, rules, moves) =>
      // Replicas of one service go to different machines, so that losing one machine stops few.
      !machine.tasksByJob.has(job) &&
      !moves.some(({ task, to }) => task.job === job && to.id === machine.id) &&
      machine.images.has(spec.image) &&
      fetchSeconds(spec, machine) === 0 &&
      // Moves within a zone keep its task count, also when several replicas of a job move.
      (machine.zone === source.zone || rules.remaining(machine.zone) > 0),
  });
}
