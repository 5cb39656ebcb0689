import type { Job } from '../../jobs/tracked-job.js';

/** Recorded occupancy by team: what may be on machines counts in full until it is proven gone. */
export function teamUsage(jobs: Iterable<Job>): Map<string, { cpus: number; gpus: number }> {
  const use = new Map<string, { cpus: number; gpus: number }>();
  for (const job of jobs) {
    const { team, need, tasks } = job.spec;
    const sum = use.get(team) ?? { cpus: 0, gpus: 0 };
    const occupied = job.isUnreadable ? tasks : job.placements.size;
    sum.cpus += need.cpus * occupied;
    sum.gpus += need.gpus * occupied;
    use.set(team, sum);
  }
  return use;
}
