/** Resource usage of teams, computed from their jobs. */
import type { Job } from '../../jobs/tracked-job.js';

/** CPUs and GPUs in use by team; a task that may be on a machine counts until it is proven gone. */
export function teamUsage(jobs: Iterable<Job>): Map<string, { cpus: number; gpus: number }> {
  const usage = new Map<string, { cpus: number; gpus: number }>();
  for (const job of jobs) {
    const { team, need, tasks } = job.spec;
    const sum = usage.get(team) ?? { cpus: 0, gpus: 0 };
    const occupied = job.isUnreadable ? tasks : job.placements.size;
    sum.cpus += need.cpus * occupied;
    sum.gpus += need.gpus * occupied;
    usage.set(team, sum);
  }
  return usage;
}
