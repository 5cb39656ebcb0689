/** When a leader should resign since it cannot read its records. Times are monotonic, in milliseconds. */
import { RequestRejectedError } from '../../state/store.js';

/**
 * For how many leader leases a leader may be without reading its records before it resigns: one
 * while it has never read them, since all its workers are turned away; two later, since where only
 * watching fails the records are read another way after one.
 */
const NEVER_READ_LEASES = 1;
const READ_BEFORE_LEASES = 2;

/** The status of a request that is refused for its rate. */
const TOO_MANY_REQUESTS = 429;

/** After so many doublings the timeout grows no more. */
const MAX_DOUBLINGS = 6;

/**
 * How often in a row this controller has resigned because it could not read the records. It outlives
 * terms: where nobody can read them, leadership would otherwise change for ever.
 */
export class UnreadableTerms {
  private count = 0;

  /** This controller resigns for that reason. */
  recordResignation(): void {
    this.count++;
  }

  /** This controller has read the records as a leader. */
  reset(): void {
    this.count = 0;
  }

  /** By how much the timeout is longer than the first time. */
  get backoffFactor(): number {
    return 2 ** Math.min(this.count, MAX_DOUBLINGS);
  }
}

/** Tells when a leader should resign since it cannot read its records, though the store renews its lease. */
export class RecordReadMonitor {
  private isFailing = false;
  private hasEverRead = false;

  /**
   * @param readAt when the term began, and then when records were last read
   * @param leaderLeaseMs how long the leader lease lasts
   */
  constructor(
    private readAt: number,
    private readonly leaderLeaseMs: number,
    private readonly unreadableTerms: UnreadableTerms,
  ) {}

  /** Some of the records have been read: however long the rest takes, it is not refused. */
  recordProgress(): void {
    this.isFailing = false;
  }

  /** The records are known as they were at about this time. */
  recordSuccess(now: number): void {
    this.readAt = now;
    this.isFailing = false;
  }

  /** All records have been read at the start of the term. */
  recordRecovery(now: number): void {
    this.recordSuccess(now);
    this.hasEverRead = true;
    this.unreadableTerms.reset();
  }

  /** They could not be read. Rate limiting (429) affects all controllers, and passes. */
  recordFailure(error: unknown): void {
    if (!(error instanceof RequestRejectedError && error.status === TOO_MANY_REQUESTS))
      this.isFailing = true;
  }

  /** How long nothing has been read; answers of other controllers on cancellations do not count as reading. */
  ageMs(now: number): number {
    return now - this.readAt;
  }

  /** Whether the leader should resign now. */
  hasTimedOut(now: number): boolean {
    const leases = this.hasEverRead ? READ_BEFORE_LEASES : NEVER_READ_LEASES;
    const timeoutMs = this.leaderLeaseMs * leases * this.unreadableTerms.backoffFactor;
    return this.isFailing && this.ageMs(now) > timeoutMs;
  }
}
