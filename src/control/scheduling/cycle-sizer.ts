/** Bounds how long one scheduling cycle takes, so that it does not cost the leader its lease. */
import { inSchedulingOrder, withinGuarantee } from '../../scheduler/job-order.js';
import type { Snapshot } from '../../scheduler/scheduling-model.js';

/** After a cycle that takes more than this share of the leader lease the next takes in half as many jobs. */
const LONG_CYCLE_RATIO = 1 / 8;

/** After a cycle that takes less than this share the next takes in twice as many. */
const SHORT_CYCLE_RATIO = 1 / 20;

/**
 * However slow a controller is, each cycle takes in this many waiting jobs; and this many more than
 * the one before it if that was neither long nor short.
 */
const STEP_JOBS = 25;

/** More than any store of jobs holds: no bound. */
const MAX_JOBS = 2 ** 20;

/** Jobs in a new leader's first cycle: it does not know yet how fast it is. */
const INITIAL_JOBS = 50;

/**
 * How many of the waiting jobs one scheduling cycle takes in. A cycle runs without interruption, and
 * until it ends nothing renews the leader lease and no heartbeat is answered. A controller that is
 * short of processor time would lose the lease meanwhile, and so would the next leader: none of them
 * would lead long enough to start anything, and ever more jobs would wait.
 *
 * The jobs that are left out come last in the scheduling order. They are taken in as soon as those
 * before them have started, or as cycles turn out to be short.
 */
export class CycleSizer {
  private maxJobs = INITIAL_JOBS;

  /** @param leaderLeaseMs how long the leader lease lasts, in milliseconds */
  constructor(private readonly leaderLeaseMs: () => number) {}

  /**
   * The snapshot with only the first of its waiting jobs, or itself if it has no more than a cycle
   * takes in. The others stay in it without waiting tasks: they count for their team's guarantee.
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
   * Records how long a cycle took, in milliseconds. Jobs that find no capacity cost little, so that
   * they do not keep those behind them from their turn for long.
   */
  recordDuration(durationMs: number): void {
    const leaseMs = this.leaderLeaseMs();
    if (durationMs > leaseMs * LONG_CYCLE_RATIO)
      this.maxJobs = Math.max(STEP_JOBS, this.maxJobs >> 1);
    else if (durationMs > leaseMs * SHORT_CYCLE_RATIO) this.maxJobs += STEP_JOBS;
    else this.maxJobs = Math.min(this.maxJobs * 2, MAX_JOBS);
  }
}
