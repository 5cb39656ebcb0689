/** Rate limiting. */
import type { Clock } from './clock.js';

/** A token bucket: refilled at a constant rate, up to its burst size. */
export class TokenBucket {
  private lastRefillAt: number;

  /**
   * @param perSecond tokens added per second
   * @param capacity burst size in tokens
   * @param available initial number of tokens; a full bucket if omitted
   */
  constructor(
    private readonly clock: Clock,
    private perSecond: number,
    private capacity: number,
    private available = capacity,
  ) {
    this.lastRefillAt = clock.now();
  }

  /** Burst size in tokens. */
  get burst(): number {
    return this.capacity;
  }

  /** Tokens at the last `refill`, minus those spent since. */
  get tokens(): number {
    return this.available;
  }

  /** Adds the tokens accrued since the last call, and returns the number available. */
  refill(): number {
    const now = this.clock.now();
    this.available = Math.min(
      this.capacity,
      this.available + ((now - this.lastRefillAt) / 1000) * this.perSecond,
    );
    this.lastRefillAt = now;
    return this.available;
  }

  /** Removes tokens; the balance may become negative. */
  spend(tokens: number): void {
    this.available -= tokens;
  }

  /** Changes the rate (tokens per second) and the burst size (tokens). */
  setRate(perSecond: number, burst: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.capacity = burst;
    this.available = Math.min(this.available, burst);
  }

  /** Time in milliseconds that it takes to add this many tokens. */
  refillTimeMs(tokens: number): number {
    return (tokens / this.perSecond) * 1000;
  }
}
