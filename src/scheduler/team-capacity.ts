/** Team usage relative to guarantees and limits, in CPUs and GPUs. */
import type { JobSpec } from '../jobs/job.js';
import type { TeamCapacity, TeamView } from './scheduling-model.js';

/** Tolerance for floating-point rounding when sums of capacity are compared with a bound. */
export const CAPACITY_TOLERANCE = 1e-6;

/** Returns how many more tasks of `spec` the team's limit allows. */
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

/** Adds the capacity needed by `count` tasks of `spec` to a sum. */
export function addTasks(sum: TeamCapacity, spec: JobSpec, count: number): void {
  sum.cpus += spec.need.cpus * count;
  sum.gpus += spec.need.gpus * count;
}
