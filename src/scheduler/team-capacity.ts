/** What teams use of their guarantees and limits, in processors and GPUs. */
import type { JobSpec } from '../jobs/job.js';
import type { TeamCapacity, TeamView } from './scheduling-model.js';

/** Sums of decimal amounts may be off in the last digits; this much is not over a bound. */
export const CAPACITY_TOLERANCE = 1e-6;

/** How many more tasks of `spec` the team's limit allows. */
export function quotaHeadroom({ limit, used }: TeamView, spec: JobSpec): number {
  const { cpus, gpus } = spec.need;
  return Math.max(
    0,
    Math.min(tasksWithin(cpus, limit.cpus, used.cpus), tasksWithin(gpus, limit.gpus, used.gpus)),
  );
}

function tasksWithin(need: number, limit: number, used: number): number {
  if (need <= 0 || limit === Infinity) return Infinity;
  return Math.floor((limit - used + CAPACITY_TOLERANCE) / need);
}

/** Adds what `count` tasks of `spec` take to a sum. */
export function addTasks(sum: TeamCapacity, spec: JobSpec, count: number): void {
  sum.cpus += spec.need.cpus * count;
  sum.gpus += spec.need.gpus * count;
}
