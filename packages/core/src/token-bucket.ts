import type { Clock } from './clock.js';

/** Tokens that come at a steady rate, up to a number that may be spent at once. */
export class TokenBucket {
  private filledAt: number;

  /** @param tokens how many there are at first; a full bucket without it */
  constructor(
    private readonly clock: Clock,
    private perSecond: number,
    private most: number,
    private held = most,
  ) {
    this.filledAt = clock.now();
  }

  /** How many may be spent at once. */
  get burst(): number {
    return this.most;
  }

  /** How many there were at the last look, less what was spent since. */
  get tokens(): number {
    return this.held;
  }

  /** Takes in what has come since the last look, and answers how many tokens there are. */
  fill(): number {
    const now = this.clock.now();
    this.held = Math.min(this.most, this.held + ((now - this.filledAt) / 1000) * this.perSecond);
    this.filledAt = now;
    return this.held;
  }

  spend(tokens: number): void {
    this.held -= tokens;
  }

  /** Another rate from now on. */
  setRate(perSecond: number, burst: number): void {
    this.fill();
    this.perSecond = perSecond;
    this.most = burst;
    this.held = Math.min(this.held, burst);
  }

  /** How long so many tokens take to come, in milliseconds. */
  msFor(tokens: number): number {
    return (tokens / this.perSecond) * 1000;
  }
}
