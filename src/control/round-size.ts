import { inOrder, withinGuarantee } from '../scheduler/order.js';
import type { Snapshot } from '../scheduler/model.js';

/** A round that takes more than this share of the leader lease looks at fewer jobs the next time. */
const LONG_SHARE = 1 / 8;

/** One that takes less than this share lets the next look at twice as many. */
const SHORT_SHARE = 1 / 20;

/**
 * However slow a controller is, each round looks at so many jobs that wait; and at so many more after
 * one that was neither long nor short.
 */
const STEP_JOBS = 25;

/** More than any store of jobs holds: no bound. */
const MOST_JOBS = 2 ** 20;

/** How many a new leader begins with: it does not know yet how fast it is. */
const FIRST_JOBS = 50;

/**
 * How many of the waiting jobs one round of decisions takes in. A round is one piece of work, and while
 * it lasts nothing renews the leader lease and no report is answered. A controller that is short of
 * processor time would lose office in the middle of it, and so would the next one: none of them stays
 * long enough to start anything, and more jobs wait all the while.
 *
 * What is left out comes last in the order of the scheduler. It is started and rented for as soon as
 * what comes before it is served, or as rounds turn out to be short.
 */
export class RoundSize {
  private most = FIRST_JOBS;

  /** @param leaderLeaseMs how long the leader lease lasts */
  constructor(private readonly leaderLeaseMs: () => number) {}

  /**
   * The snapshot with the first of its waiting jobs alone, or itself if it has no more than a round
   * takes in. The others stay in it as jobs of which nothing waits: they count for their team's guarantee.
   */
  limit(snapshot: Snapshot): Snapshot {
    const waiting = snapshot.jobs.filter((job) => job.waiting > 0 && job.admissible);
    if (waiting.length <= this.most) return snapshot;
    const guaranteed = withinGuarantee(snapshot.jobs, snapshot.teams);
    const late = new Set(inOrder(waiting, guaranteed).slice(this.most));
    const jobs = snapshot.jobs.map((job) => (late.has(job) ? { ...job, waiting: 0 } : job));
    return { ...snapshot, jobs, expected: [] };
  }

  /**
   * Notes how long the decisions of a round took, in milliseconds. Jobs that nothing can be done for
   * cost little, so that they do not keep those behind them from their turn for long.
   */
  took(ms: number): void {
    const leaseMs = this.leaderLeaseMs();
    if (ms > leaseMs * LONG_SHARE) this.most = Math.max(STEP_JOBS, this.most >> 1);
    else if (ms > leaseMs * SHORT_SHARE) this.most += STEP_JOBS;
    else this.most = Math.min(this.most * 2, MOST_JOBS);
  }
}
