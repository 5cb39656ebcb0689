/** Finds out whether all tasks of a machine fit on others. */
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

/** What differs between the searches. */
interface MoveSearch {
  targets: MachineView[];
  /** Jobs by id. */
  jobs: ReadonlyMap<string, JobView>;
  /** What is free on a target before the search; not changed. */
  freeOn: (machine: MachineView) => Resources;
  /** Where the job's tasks are without the one that moves, by zone. */
  tasksByZone: (job: JobView) => ReadonlyMap<string, number>;
  /** True if the task may go to this target; `moves` are those found so far. */
  isTarget: (
    task: MovableTask,
    machine: MachineView,
    rules: ZoneRules,
    moves: TaskMove[],
  ) => boolean;
}

/** The first target in order for each of the tasks; null if one does not fit on any. */
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
