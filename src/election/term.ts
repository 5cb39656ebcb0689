/**
 * A leader's term: its fencing token, and until when the leader may act. All times are monotonic,
 * in milliseconds.
 */
import { setMaxListeners } from 'node:events';

/**
 * One leader's term. Its fencing token is the version at which the leader key was created. The key
 * is not written again during the term, so tokens increase from term to term.
 */
export class Term {
  private readonly ended = new AbortController();
  private leaseExpiresAt: number;
  private extensionExpiresAt = -Infinity;

  constructor(
    readonly id: string,
    readonly fencingToken: number,
    readonly startedAt: number,
    leaseExpiresAt: number,
  ) {
    this.leaseExpiresAt = leaseExpiresAt;
    // Every request of the term adds a listener.
    setMaxListeners(0, this.ended.signal);
  }

  /** True while the store's lease or the peers' votes rule out that another controller leads. */
  isActive(now: number): boolean {
    return (
      !this.ended.signal.aborted && now < Math.max(this.leaseExpiresAt, this.extensionExpiresAt)
    );
  }

  /** True while the store's lease is valid, without votes; only then may new work be started. */
  holdsLease(now: number): boolean {
    return !this.ended.signal.aborted && now < this.leaseExpiresAt;
  }

  /** Records that the store has renewed the lease. */
  renewLease(expiresAt: number): void {
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, expiresAt);
  }

  /**
   * Extends the term after the peers' votes. An expired term is not extended, since another
   * controller may have led in the meantime.
   */
  extendByVotes(now: number, expiresAt: number): void {
    if (this.isActive(now)) this.extensionExpiresAt = Math.max(this.extensionExpiresAt, expiresAt);
  }

  /**
   * Extends the term even if it has expired. Requires that all other controllers have promised not
   * to campaign and attest that none of them has led since this term began.
   */
  reinstate(expiresAt: number): void {
    this.extensionExpiresAt = Math.max(this.extensionExpiresAt, expiresAt);
  }

  /** Ends the term permanently. */
  end(): void {
    this.ended.abort(new Error('the term is over'));
  }

  /** Aborts when the term ends. */
  get signal(): AbortSignal {
    return this.ended.signal;
  }
}
