import { inSchedulingOrder, withinGuarantee } from '../../scheduler/job-order.js';
import type { Snapshot } from '../../scheduler/scheduling-model.js';

/** A round that takes more than this share of the leader lease looks at fewer jobs the next time. */
const LONG_CYCLE_RATIO = 1 / 8;

/** One that takes less than this share lets the next look at twice as many. */
const SHORT_CYCLE_RATIO = 1 / 20;

/**
 * However slow a controller is, each round looks at so many jobs that wait; and at so many more after
 * one that was neither long nor short.
 */
const STEP_JOBS = 25;

/** More than any store of jobs holds: no bound. */
const MAX_JOBS = 2 ** 20;

/** How many a new leader begins with: it does not know yet how fast it is. */
const INITIAL_JOBS = 50;

/**
 * How many of the waiting jobs one round of decisions takes in. A round is one piece of work, and while
 * it lasts nothing renews the leader lease and no report is answered. A controller that is short of
 * processor time would lose office in the middle of it, and so would the next one: none of them stays
 * long enough to start anything, and more jobs wait all the while.
 *
 * What is left out comes last in the order of the scheduler. It is started and rented for as soon as
 * what comes before it is served, or as rounds turn out to be short.
 */
export class CycleSizer {
  private maxJobs = INITIAL_JOBS;

  /** @param leaderLeaseMs how long the leader lease lasts */
  constructor(private readonly leaderLeaseMs: () => number) {}

  /**
   * The snapshot with the first of its waiting jobs alone, or itself if it has no more than a round
   * takes in. The others stay in it as jobs of which nothing waits: they count for their team's guarantee.
   */
  limit(snapshot: Snapshot): Snapshot {
    const waiting = snapshot.jobs.filter((job) => job.waitingTasks > 0 && job.isAdmissible);
    if (waiting.length <= this.maxJobs) return snapshot;
    const guaranteed = withinGuarantee(snapshot.jobs, snapshot.teams);
    const late = new Set(inSchedulingOrder(waiting, guaranteed).slice(this.maxJobs));
    const jobs = snapshot.jobs.map((job) => (late.has(job) ? { ...job, waitingTasks: 0 } : job));
    return { ...snapshot, jobs, expectedTasks: [] };
  }

  /**
   * Notes how long the decisions of a round took, in milliseconds. Jobs that nothing can be done for
   * cost little, so that they do not keep those behind them from their turn for long.
   */
  recordDuration(ms: number): void {
    const leaseMs = this.leaderLeaseMs();
    if (ms > leaseMs * LONG_CYCLE_RATIO) this.maxJobs = Math.max(STEP_JOBS, this.maxJobs >> 1);
    else if (ms > leaseMs * SHORT_CYCLE_RATIO) this.maxJobs += STEP_JOBS;
    else this.maxJobs = Math.min(this.maxJobs * 2, MAX_JOBS);
  }
}
