import { setMaxListeners } from 'node:events';

/**
 * One leader's time in office. Its token is the version at which the leader key was created, so
 * tokens only rise, and the key is not written again during the term.
 */
export class Term {
  private readonly over = new AbortController();
  private until: number;

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

  /** True while no other node can have taken office. */
  active(now: number): boolean {
    return !this.over.signal.aborted && now < this.until;
  }

  extend(until: number): void {
    this.until = Math.max(this.until, until);
  }

  get validUntil(): number {
    return this.until;
  }

  end(): void {
    this.over.abort(new Error('the term is over'));
  }

  get signal(): AbortSignal {
    return this.over.signal;
  }
}
