/** Selects machines that hold only opportunistic tasks to drain, so that they can be scaled in. */
import { subtract, type Resources } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView, PreemptionCandidate } from './scheduling-model.js';
import { findMoves } from './task-moves.js';

/**
 * Maximum number of machines drained per scheduling cycle; limits the time spent finding targets.
 */
const MAX_DRAINED_PER_CYCLE = 8;

/** Returns the share of a machine that is in use, by its most used resource. */
function usedShare(machine: MachineView): number {
  const { capacity } = machine.type;
  const share = (free: number, of: number): number => (of > 0 ? 1 - free / of : 0);
  return Math.max(
    share(machine.free.cpus, capacity.cpus),
    share(machine.free.gpus, capacity.gpus),
    share(machine.free.memoryGb, capacity.memoryGb),
  );
}

/** Returns the share of a machine that a task needs, by its largest resource share. */
function neededShare({ need }: JobSpec, { capacity }: MachineView['type']): number {
  return Math.max(
    need.cpus / capacity.cpus,
    capacity.gpus > 0 ? need.gpus / capacity.gpus : 0,
    need.memoryGb / capacity.memoryGb,
  );
}

/** True if a machine is empty or holds only tasks of these jobs. */
export const holdsOnlyTasksOf = (machine: MachineView, jobs: ReadonlySet<string>): boolean =>
  [...machine.tasksByJob.keys()].every((job) => jobs.has(job));

/**
 * Returns the machines to drain, emptiest first. All tasks of a machine must fit on machines that
 * are kept, and the work they lose must cost less than keeping the machine until they finish.
 * Machines with tasks that fit nowhere else are kept: stopped tasks would wait, and a machine would
 * be provisioned for them again.
 *
 * @param idle machines that hold only opportunistic tasks
 * @param upMachines all machines that are up, with the capacity that this scheduling cycle leaves
 * @param candidates the tasks on the machines
 * @param jobs open jobs by id
 * @returns machine ids
 */
export function drainableMachines(
  idle: MachineView[],
  upMachines: MachineView[],
  candidates: readonly PreemptionCandidate[],
  jobs: ReadonlyMap<string, JobView>,
): string[] {
  const tasksOn = new Map<string, PreemptionCandidate[]>(idle.map((machine) => [machine.id, []]));
  for (const candidate of candidates) tasksOn.get(candidate.machine)?.push(candidate);
  const capacities = new Map<MachineView, Resources>();
  const freeOn = (machine: MachineView): Resources => {
    let free = capacities.get(machine);
    if (!free) capacities.set(machine, (free = { ...machine.free }));
    return free;
  };
  const inUse = upMachines.filter((machine) => !tasksOn.has(machine.id));
  const order = idle
    .filter((machine) => machine.tasksByJob.size > 0)
    .sort((a, b) => usedShare(a) - usedShare(b) || (a.id < b.id ? -1 : 1));
  const drained: string[] = [];
  const moveTargets = new Set<MachineView>();
  for (const [i, source] of order.entries()) {
    if (drained.length === MAX_DRAINED_PER_CYCLE) break;
    const tasks = tasksOn.get(source.id) ?? [];
    if (moveTargets.has(source) || !isWorthDraining(source, tasks)) continue;
    const targets = [...inUse, ...order.slice(i + 1)];
    const moves = findMoves(tasks, {
      targets,
      jobs,
      freeOn,
      tasksByZone: (job) => job.tasksByZone,
      isTarget: (_task, machine, rules) => rules.remaining(machine.zone) > 0,
    });
    if (!moves) break;
    drained.push(source.id);
    for (const { to, task } of moves) {
      subtract(freeOn(to), task.spec.need);
      moveTargets.add(to);
    }
  }
  return drained;
}

/**
 * True if repeating the lost work costs less than keeping the machine until its last task finishes.
 * Never true if a task already lost work once, or is more than half done without checkpoints: moved
 * repeatedly from one idle machine to the next, it would finish late or never.
 */
function isWorthDraining(machine: MachineView, tasks: PreemptionCandidate[]): boolean {
  let lostMachineMs = 0;
  let occupiedMs = 0;
  for (const candidate of tasks) {
    if (candidate.isStopping || candidate.isGangMember || candidate.wasStoppedWithoutCheckpoint)
      return false;
    if (candidate.spec.checkpointMs === 0 && candidate.lostWorkMs > candidate.remainingMs)
      return false;
    lostMachineMs += candidate.lostWorkMs * neededShare(candidate.spec, machine.type);
    occupiedMs = Math.max(occupiedMs, candidate.remainingMs);
  }
  return lostMachineMs < occupiedMs * (1 - usedShare(machine));
}
