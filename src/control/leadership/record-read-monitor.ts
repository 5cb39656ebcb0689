/** Resignation of a leader that cannot read its records. Times are monotonic, in milliseconds. */
import { RequestRejectedError } from '../../state/store.js';

/**
 * Leader leases without reading the records after which a leader resigns: one if it has never read
 * them, since it turns all workers away until then; two afterwards, since if only the watch fails the
 * records are read as a whole after one lease.
 */
const NEVER_READ_LEASES = 1;
const READ_BEFORE_LEASES = 2;

/** HTTP status of a rate-limited request. */
const TOO_MANY_REQUESTS = 429;

/** Maximum number of times the timeout is doubled. */
const MAX_DOUBLINGS = 6;

/**
 * Counts consecutive resignations of this controller because it could not read the records. It
 * outlives terms: if no controller can read them, leadership would otherwise change forever.
 */
export class UnreadableTerms {
  private count = 0;

  /** Counts a resignation for this reason. */
  recordResignation(): void {
    this.count++;
  }

  /** Resets the count, after this controller has read the records as a leader. */
  reset(): void {
    this.count = 0;
  }

  /** Factor on the timeout, doubled with each resignation. */
  get backoffFactor(): number {
    return 2 ** Math.min(this.count, MAX_DOUBLINGS);
  }
}

/** Detects that the leader cannot read its records although the store still renews its lease. */
export class RecordReadMonitor {
  private isFailing = false;
  private hasEverRead = false;

  /**
   * @param readAt when records were last read, initially when the term began
   * @param leaderLeaseMs duration of the leader lease, in milliseconds
   */
  constructor(
    private readAt: number,
    private readonly leaderLeaseMs: number,
    private readonly unreadableTerms: UnreadableTerms,
  ) {}

  /** Records that some of the records were read: reads succeed, even if the rest takes long. */
  recordProgress(): void {
    this.isFailing = false;
  }

  /** Records that the records are known as of about this time. */
  recordSuccess(now: number): void {
    this.readAt = now;
    this.isFailing = false;
  }

  /** Records that recovery at the start of the term has read all records. */
  recordRecovery(now: number): void {
    this.recordSuccess(now);
    this.hasEverRead = true;
    this.unreadableTerms.reset();
  }

  /** Records a failed read. Rate limiting (429) is ignored: temporary, and affects all controllers. */
  recordFailure(error: unknown): void {
    if (!(error instanceof RequestRejectedError && error.status === TOO_MANY_REQUESTS))
      this.isFailing = true;
  }

  /** Time since the last read; cancellations that other controllers report do not count as a read. */
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
