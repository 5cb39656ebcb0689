/** Jobs with task failures on one machine, which show whether the machine is faulty. */
import type { FailureAttribution, FailureHistory } from '../jobs/failure-history.js';
import { dropOldest } from '../runtime/drop-oldest.js';

/** Maximum number of failed jobs kept per machine; more would add no evidence. */
const MAX_FAILED_JOBS = 16;

/** The jobs that most recently failed on one machine. */
export class FailedJobs {
  private readonly jobs = new Set<FailureHistory>();

  constructor(private readonly machineId: string) {}

  /** Number of jobs kept, at most `MAX_FAILED_JOBS`. */
  get size(): number {
    return this.jobs.size;
  }

  /** Records that a task of the job failed on this machine. */
  record(job: FailureHistory): void {
    this.jobs.delete(job);
    this.jobs.add(job);
    dropOldest(this.jobs, MAX_FAILED_JOBS);
  }

  /** Number of jobs whose failure on this machine has one of these attributions at `now`. */
  count(attributions: readonly FailureAttribution[], now: number): number {
    let count = 0;
    for (const job of this.jobs) {
      if (attributions.includes(job.attribution(this.machineId, now))) count++;
    }
    return count;
  }
}
