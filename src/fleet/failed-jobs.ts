/** Attribution of task failures to one machine. */
import type { FailureAttribution, FailureHistory } from '../jobs/failure-history.js';
import { dropOldest } from '../runtime/drop-oldest.js';

/** Failed jobs remembered for one machine; more of them prove nothing further. */
const MAX_FAILED_JOBS = 16;

/** The jobs that failed on one machine lately. */
export class FailedJobs {
  private readonly jobs = new Set<FailureHistory>();

  constructor(private readonly machineId: string) {}

  /** Number of jobs remembered, which is bounded. */
  get size(): number {
    return this.jobs.size;
  }

  /** A task of the job failed on this machine. */
  record(job: FailureHistory): void {
    this.jobs.delete(job);
    this.jobs.add(job);
    dropOldest(this.jobs, MAX_FAILED_JOBS);
  }

  /** Number of jobs whose failure here has one of these attributions at `now`. */
  count(attributions: readonly FailureAttribution[], now: number): number {
    let count = 0;
    for (const job of this.jobs) {
      if (attributions.includes(job.attribution(this.machineId, now))) count++;
    }
    return count;
  }
}
