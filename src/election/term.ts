import { setMaxListeners } from 'node:events';

/**
 * One leader's time in office. Its token is the version at which the leader key was created, so
 * tokens only rise, and the key is not written again during the term.
 */
export class Term {
  private readonly over = new AbortController();
  private until: number;
  private pledgedUntil = -Infinity;

  constructor(
    readonly id: string,
    readonly token: number,
    readonly startedAt: number,
    until: number,
  ) {
    this.until = until;
    // Every request of the term listens to it.
    setMaxListeners(0, this.over.signal);
  }

  /** True while no other controller can have taken office: by the store's lease or others' votes. */
  active(now: number): boolean {
    return !this.over.signal.aborted && now < Math.max(this.until, this.pledgedUntil);
  }

  /** True while the store's lease alone is enough; only then may anything new be started. */
  leased(now: number): boolean {
    return !this.over.signal.aborted && now < this.until;
  }

  extend(until: number): void {
    this.until = Math.max(this.until, until);
  }

  /** Votes only prolong a right that has not lapsed: in a gap another may have come and gone. */
  pledged(now: number, until: number): void {
    if (this.active(now)) this.pledgedUntil = Math.max(this.pledgedUntil, until);
  }

  /**
   * All other controllers have promised not to contest and vouch that nobody has led since this term
   * began: the right is taken up, also where it had lapsed.
   */
  vouched(until: number): void {
    this.pledgedUntil = Math.max(this.pledgedUntil, until);
  }

  end(): void {
    this.over.abort(new Error('the term is over'));
  }

  get signal(): AbortSignal {
    return this.over.signal;
  }
}
