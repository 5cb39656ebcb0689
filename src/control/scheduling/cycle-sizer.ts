/** Limits the duration of a scheduling cycle, so that the leader does not lose its lease meanwhile. */
import { inSchedulingOrder, withinGuarantee } from '../../scheduler/job-order.js';
import type { Snapshot } from '../../scheduler/scheduling-model.js';

/** A cycle that takes more than this fraction of the leader lease halves the limit on jobs. */
const LONG_CYCLE_RATIO = 1 / 8;

/** A cycle that takes less than this fraction doubles the limit. */
const SHORT_CYCLE_RATIO = 1 / 20;

/**
 * Minimum of the limit on waiting jobs, however slow the controller is, and the increment after a
 * cycle that was neither long nor short.
 */
const STEP_JOBS = 25;

/** More jobs than any store holds, so effectively unlimited. */
const MAX_JOBS = 2 ** 20;

/** Limit in the first cycle of a new leader, whose speed is not known yet. */
const INITIAL_JOBS = 50;

/**
 * Limits the number of waiting jobs that one scheduling cycle considers. A cycle blocks the event
 * loop: until it ends the leader lease is not renewed and no heartbeat is answered. A controller that
 * is short of CPU time would lose the lease meanwhile, and so would the next leader: none would lead
 * long enough to start anything, and the number of waiting jobs would keep growing.
 *
 * The jobs that are left out are the last ones in scheduling order. They are considered once earlier
 * ones have started, or once cycles prove to be short.
 */
export class CycleSizer {
  private maxJobs = INITIAL_JOBS;

  /** @param leaderLeaseMs duration of the leader lease, in milliseconds */
  constructor(private readonly leaderLeaseMs: () => number) {}

  /**
   * Returns the snapshot limited to the first waiting jobs in scheduling order, or the snapshot itself
   * if it does not exceed the limit. The other jobs stay in it without waiting tasks, since they count
   * towards their team's guarantee. A limited snapshot has no expected tasks.
   */
  limit(snapshot: Snapshot): Snapshot {
    const waiting = snapshot.jobs.filter((job) => job.waitingTasks > 0 && job.isAdmissible);
    if (waiting.length <= this.maxJobs) return snapshot;
    const guaranteed = withinGuarantee(snapshot.jobs, snapshot.teams);
    const leftOut = new Set(inSchedulingOrder(waiting, guaranteed).slice(this.maxJobs));
    const jobs = snapshot.jobs.map((job) => (leftOut.has(job) ? { ...job, waitingTasks: 0 } : job));
    return { ...snapshot, jobs, expectedTasks: [] };
  }

  /**
   * Records the duration of a cycle, in milliseconds, and adjusts the limit. Jobs that find no
   * capacity take little time, so they do not delay the jobs after them for long.
   */
  recordDuration(durationMs: number): void {
    const leaseMs = this.leaderLeaseMs();
    if (durationMs > leaseMs * LONG_CYCLE_RATIO)
      this.maxJobs = Math.max(STEP_JOBS, this.maxJobs >> 1);
    else if (durationMs > leaseMs * SHORT_CYCLE_RATIO) this.maxJobs += STEP_JOBS;
    else this.maxJobs = Math.min(this.maxJobs * 2, MAX_JOBS);
  }
}
