/** How current the leader's knowledge of cancellations is. Times are monotonic, in milliseconds. */
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Settings } from '../../settings/deploy.js';

/** Timers fire in steps of one or a few milliseconds. */
const TIMER_RESOLUTION_MS = 10;

/**
 * How old knowledge of users' cancellations may be when a worker's lease is renewed. A task whose
 * cancellation is missing from it ends with its worker's lease at the latest, one lease after the
 * renewal, and has to be gone `cancel_s` after its user was told. Where `cancel_s` is not longer than
 * the lease no bound on renewals can ensure that for a machine that hangs; `floorMs` applies there.
 */
export function cancellationViewLimitMs(workers: Settings['workers'], floorMs: number): number {
  const limit =
    workers.cancelMs * (1 - MAX_CLOCK_DRIFT) -
    workers.leaseMs * (1 + MAX_CLOCK_DRIFT) -
    TIMER_RESOLUTION_MS;
  return Math.max(limit, floorMs);
}

/**
 * Up to when the leader knows of every cancellation that a user can have been told: all job records
 * up to that moment have been read and acted on, or every controller has handed over what it told.
 */
export class CancellationView {
  private asOf = -Infinity;

  constructor(private readonly limitMs: number) {}

  /** Up to when it is complete. */
  get completeAsOf(): number {
    return this.asOf;
  }

  /** `sentAt`: when the request was sent whose answer proved it, and has been acted on. */
  completeAt(sentAt: number): void {
    this.asOf = Math.max(this.asOf, sentAt);
  }

  /** How long ago it was complete. */
  ageMs(now: number): number {
    return now - this.asOf;
  }

  /** Whether a worker's lease may be renewed now. */
  mayRenewLeases(now: number): boolean {
    return this.ageMs(now) < this.limitMs;
  }
}
