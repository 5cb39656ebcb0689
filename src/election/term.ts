/** A leader's term: its fencing token, and until when it may act. All times are monotonic, in milliseconds. */
import { setMaxListeners } from 'node:events';

/**
 * One leader's term. Its fencing token is the version at which the leader key was created, so
 * tokens only rise, and the key is not written again during the term.
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
    // Every request of the term listens to it.
    setMaxListeners(0, this.ended.signal);
  }

  /** True while no other controller can have become leader: by the store's lease or others' votes. */
  isActive(now: number): boolean {
    return (
      !this.ended.signal.aborted && now < Math.max(this.leaseExpiresAt, this.extensionExpiresAt)
    );
  }

  /** True while the store's lease alone is enough; only then may anything new be started. */
  holdsLease(now: number): boolean {
    return !this.ended.signal.aborted && now < this.leaseExpiresAt;
  }

  /** The store has renewed the lease. */
  renewLease(expiresAt: number): void {
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, expiresAt);
  }

  /** Votes only extend a term that has not expired: in a gap another leader may have come and gone. */
  extendByVotes(now: number, expiresAt: number): void {
    if (this.isActive(now)) this.extensionExpiresAt = Math.max(this.extensionExpiresAt, expiresAt);
  }

  /**
   * All other controllers have promised not to campaign, and attest that nobody has led since this
   * term began: it is extended even where it had expired.
   */
  reinstate(expiresAt: number): void {
    this.extensionExpiresAt = Math.max(this.extensionExpiresAt, expiresAt);
  }

  /** Ends the term for good. */
  end(): void {
    this.ended.abort(new Error('the term is over'));
  }

  /** Aborts when the term ends. */
  get signal(): AbortSignal {
    return this.ended.signal;
  }
}
