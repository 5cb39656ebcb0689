import { setMaxListeners } from 'node:events';

/**
 * One leader's time in office. Its token is the version at which the leader key was created, so
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
    until: number,
  ) {
    this.leaseExpiresAt = until;
    // Every request of the term listens to it.
    setMaxListeners(0, this.ended.signal);
  }

  /** True while no other controller can have taken office: by the store's lease or others' votes. */
  isActive(now: number): boolean {
    return (
      !this.ended.signal.aborted && now < Math.max(this.leaseExpiresAt, this.extensionExpiresAt)
    );
  }

  /** True while the store's lease alone is enough; only then may anything new be started. */
  holdsLease(now: number): boolean {
    return !this.ended.signal.aborted && now < this.leaseExpiresAt;
  }

  renewLease(expiresAt: number): void {
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, expiresAt);
  }

  /** Votes only prolong a right that has not lapsed: in a gap another may have come and gone. */
  extendByVotes(now: number, expiresAt: number): void {
    if (this.isActive(now)) this.extensionExpiresAt = Math.max(this.extensionExpiresAt, expiresAt);
  }

  /**
   * All other controllers have promised not to contest and vouch that nobody has led since this term
   * began: the right is taken up, also where it had lapsed.
   */
  reinstate(expiresAt: number): void {
    this.extensionExpiresAt = Math.max(this.extensionExpiresAt, expiresAt);
  }

  end(): void {
    this.ended.abort(new Error('the term is over'));
  }

  get signal(): AbortSignal {
    return this.ended.signal;
  }
}
