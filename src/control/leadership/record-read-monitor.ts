import { RequestRejectedError } from '../../state/store.js';

/**
 * For how many leader leases a leader may be without reading its records before it gives office up:
 * once, while it has never read them and all its workers are turned away; twice later, since where
 * only watching fails the records are read another way after one.
 */
const NEVER_READ_LEASES = 1;
const READ_BEFORE_LEASES = 2;

/** After so many doublings the patience grows no more. */
const MAX_DOUBLINGS = 6;

/**
 * How often in a row this controller has given office up because it could not read the records. It
 * outlives terms: where nobody can read them, office would otherwise change for ever.
 */
export class UnreadableTerms {
  private count = 0;

  recordResignation(): void {
    this.count++;
  }

  /** This controller has read the records as a leader. */
  reset(): void {
    this.count = 0;
  }

  get backoffFactor(): number {
    return 2 ** Math.min(this.count, MAX_DOUBLINGS);
  }
}

/** Tells when a leader should resign since it cannot read its records, though the store renews its lease. */
export class RecordReadMonitor {
  private failing = false;
  private everRead = false;

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
    this.failing = false;
  }

  /** All is known that the records said at about this time. */
  recordSuccess(now: number): void {
    this.readAt = now;
    this.failing = false;
  }

  /** All records have been read at the start of the term. */
  recordRecovery(now: number): void {
    this.recordSuccess(now);
    this.everRead = true;
    this.unreadableTerms.reset();
  }

  /** They could not be read. A refusal for the rate alone meets all controllers, and passes. */
  recordFailure(error: unknown): void {
    if (!(error instanceof RequestRejectedError && error.status === 429)) this.failing = true;
  }

  /** How long nothing has been read; what other controllers tell of cancellations is no reading. */
  ageMs(now: number): number {
    return now - this.readAt;
  }

  hasTimedOut(now: number): boolean {
    const leases = this.everRead ? READ_BEFORE_LEASES : NEVER_READ_LEASES;
    const patienceMs = this.leaderLeaseMs * leases * this.unreadableTerms.backoffFactor;
    return this.failing && this.ageMs(now) > patienceMs;
  }
}
