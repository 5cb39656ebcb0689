/** Rate limiting. */
import type { Clock } from './clock.js';

/** A token bucket: filled at a steady rate, up to the burst that may be spent at once. */
export class TokenBucket {
  private lastRefillAt: number;

  /**
   * @param perSecond tokens added a second
   * @param capacity the burst, in tokens
   * @param available tokens at first; a full bucket if omitted
   */
  constructor(
    private readonly clock: Clock,
    private perSecond: number,
    private capacity: number,
    private available = capacity,
  ) {
    this.lastRefillAt = clock.now();
  }

  /** How many tokens may be spent at once. */
  get burst(): number {
    return this.capacity;
  }

  /** The tokens at the last `fill`, less those spent since. */
  get tokens(): number {
    return this.available;
  }

  /** Adds the tokens due since the last call, and returns how many there are. */
  fill(): number {
    const now = this.clock.now();
    this.available = Math.min(
      this.capacity,
      this.available + ((now - this.lastRefillAt) / 1000) * this.perSecond,
    );
    this.lastRefillAt = now;
    return this.available;
  }

  /** Takes tokens out; the number left may become negative. */
  spend(tokens: number): void {
    this.available -= tokens;
  }

  /** Changes the rate (tokens a second) and the burst (tokens) from now on. */
  setRate(perSecond: number, burst: number): void {
    this.fill();
    this.perSecond = perSecond;
    this.capacity = burst;
    this.available = Math.min(this.available, burst);
  }

  /** How many milliseconds it takes to add so many tokens. */
  msFor(tokens: number): number {
    return (tokens / this.perSecond) * 1000;
  }
}
