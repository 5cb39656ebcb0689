/** Finds target machines for all tasks of a machine that is to be drained. */
import { fits, subtract, type Resources } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import { isAllowedOn, ZoneRules } from './placement-rules.js';
import type { JobView, MachineView } from './scheduling-model.js';

/** A task that could move. */
interface MovableTask {
  job: string;
  spec: JobSpec;
}

/** A task and the machine that it would move to. */
export interface TaskMove {
  task: MovableTask;
  to: MachineView;
}

/** Parameters of a search for target machines. */
interface MoveSearch {
  targets: MachineView[];
  /** Jobs by id. */
  jobs: ReadonlyMap<string, JobView>;
  /** Returns a target's free capacity before the search; the result is not modified. */
  freeOn: (machine: MachineView) => Resources;
  /** Returns the job's tasks by zone that count for the zone rules when one of its tasks moves. */
  tasksByZone: (job: JobView) => ReadonlyMap<string, number>;
  /** True if the task may move to this target; `moves` are the moves found so far. */
  isTarget: (
    task: MovableTask,
    machine: MachineView,
    rules: ZoneRules,
    moves: TaskMove[],
  ) => boolean;
}

/** Assigns each task to the first suitable target; returns null if any task fits on none. */
export function findMoves(tasks: readonly MovableTask[], search: MoveSearch): TaskMove[] | null {
  const remainingOn = new Map<MachineView, Resources>();
  const moves: TaskMove[] = [];
  for (const task of tasks) {
    const job = search.jobs.get(task.job);
    if (!job) return null;
    const rules = new ZoneRules(task.spec, search.tasksByZone(job));
    const { need } = task.spec;
    const to = search.targets.find(
      (machine) =>
        fits(need, remainingOn.get(machine) ?? search.freeOn(machine)) &&
        isAllowedOn(task.spec, machine.type.name, machine.zone, machine.spot) &&
        !job.avoidedMachines.has(machine.id) &&
        search.isTarget(task, machine, rules, moves),
    );
    if (!to) return null;
    const remaining = remainingOn.get(to) ?? { ...search.freeOn(to) };
    subtract(remaining, need);
    remainingOn.set(to, remaining);
    moves.push({ task, to });
  }
  return moves;
}
