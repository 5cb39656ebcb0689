/** Age of the leader's view of cancellations. Times are monotonic, in milliseconds. */
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Settings } from '../../settings/deploy.js';

/** Allowance for timers, which fire in steps of one or a few milliseconds. */
const TIMER_RESOLUTION_MS = 10;

/**
 * Maximum age of the view of cancellations at which a worker's lease may be renewed. A task whose
 * cancellation is missing from the view ends at the latest with its worker's lease, one lease after
 * the renewal, and must be gone `cancel_s` after its user was told. If `cancel_s` is not longer than
 * the lease, no limit on renewals can ensure that for a machine that hangs; `floorMs` applies then.
 */
export function cancellationViewLimitMs(workers: Settings['workers'], floorMs: number): number {
  const limit =
    workers.cancelMs * (1 - MAX_CLOCK_DRIFT) -
    workers.leaseMs * (1 + MAX_CLOCK_DRIFT) -
    TIMER_RESOLUTION_MS;
  return Math.max(limit, floorMs);
}

/**
 * Tracks the time up to which the leader knows every cancellation that a user can have been told of:
 * all job records up to then have been read and processed, or every controller has reported the
 * cancellations that it announced.
 */
export class CancellationView {
  private asOf = -Infinity;

  constructor(private readonly limitMs: number) {}

  /** The time up to which the view is complete. */
  get completeAsOf(): number {
    return this.asOf;
  }

  /**
   * Marks the view as complete as of `sentAt`, when the request was sent whose response has been
   * processed.
   */
  completeAt(sentAt: number): void {
    this.asOf = Math.max(this.asOf, sentAt);
  }

  /** Age of the view. */
  ageMs(now: number): number {
    return now - this.asOf;
  }

  /** Whether a worker's lease may be renewed now. */
  mayRenewLeases(now: number): boolean {
    return this.ageMs(now) < this.limitMs;
  }
}
