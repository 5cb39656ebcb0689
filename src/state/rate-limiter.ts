/** A client-side rate limiter with a queue for each request priority. */
import type { Clock } from '@leverhatch/core/clock';
import { RequestPriority } from '@leverhatch/core/store';
import { TokenBucket } from '@leverhatch/core/token-bucket';

export { RequestPriority } from '@leverhatch/core/store';

/** Callers of this priority tolerate long waits, so they are not counted in `queueLength`. */
const BACKGROUND_PRIORITY: RequestPriority = RequestPriority.Background;

/**
 * The fraction of a token that may be missing due to rounding; otherwise a caller would wait again for
 * a negligible remainder.
 */
const ROUNDING_TOLERANCE = 1e-6;

interface Waiter {
  cost: number;
  grant(): void;
}

/**
 * A token bucket with a queue for each priority; the queues are served in strict priority order. It
 * keeps the requests of one controller below the rate above which an external service rejects them.
 */
export class RateLimiter {
  private readonly bucket: TokenBucket;
  /** Indexed by `RequestPriority`. */
  private readonly queues: [Waiter[], Waiter[], Waiter[], Waiter[]] = [[], [], [], []];
  private isDraining = false;

  /** `perSecond`: tokens added a second; `burst`: the capacity of the bucket. */
  constructor(
    private readonly clock: Clock,
    perSecond: number,
    burst: number,
  ) {
    this.bucket = new TokenBucket(clock, perSecond, burst);
  }

  /** Takes `cost` tokens as soon as they are available; rejects if `signal` is aborted first. */
  acquire(cost: number, priority: RequestPriority, signal?: AbortSignal): Promise<void> {
    signal?.throwIfAborted();
    const tokens = this.bucket.refill();
    const clampedCost = this.clampCost(cost);
    if (this.queues.every((queue) => queue.length === 0) && tokens >= clampedCost) {
      this.bucket.spend(clampedCost);
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const queue = this.queues[priority];
      const onAbort = (): void => {
        const index = queue.indexOf(waiter);
        if (index >= 0) queue.splice(index, 1);
        reject(signal?.reason as Error);
      };
      const waiter: Waiter = {
        cost: clampedCost,
        grant: () => {
          signal?.removeEventListener('abort', onAbort);
          resolve();
        },
      };
      signal?.addEventListener('abort', onAbort, { once: true });
      queue.push(waiter);
      if (!this.isDraining) void this.drainQueues();
    });
  }

  /** Changes the rate (tokens a second) and the burst; applies also to callers that already wait. */
  setRate(perSecond: number, burst: number): void {
    this.bucket.setRate(perSecond, burst);
  }

  /** The number of waiting callers, except those of background priority; batch sizes depend on it. */
  get queueLength(): number {
    return this.queues.slice(0, BACKGROUND_PRIORITY).reduce((sum, queue) => sum + queue.length, 0);
  }

  /** How long a caller of this priority would wait for `cost` tokens, in milliseconds. */
  delayMs(cost: number, priority: RequestPriority): number {
    const tokens = this.bucket.refill();
    let costAhead = 0;
    for (const queue of this.queues.slice(0, priority + 1)) {
      for (const waiter of queue) costAhead += waiter.cost;
    }
    const missing = costAhead + this.clampCost(cost) - tokens;
    return Math.max(0, this.bucket.refillTimeMs(missing));
  }

  /**
   * Limits a cost to the burst: a higher one could never be met, so it is admitted at a full bucket.
   */
  private clampCost(cost: number): number {
    return Math.min(cost, this.bucket.burst);
  }

  private async drainQueues(): Promise<void> {
    // A flag shows that the queues are being drained, not the stored promise: if the bucket fills
    // between two reads of the clock, this function completes before its caller receives the promise.
    // A promise stored after that would look like a run that never ends.
    this.isDraining = true;
    for (;;) {
      const tokens = this.bucket.refill();
      const queue = this.queues.find((waiting) => waiting.length > 0);
      const next = queue?.[0];
      if (queue === undefined || next === undefined) break;
      const clampedCost = this.clampCost(next.cost);
      if (tokens + ROUNDING_TOLERANCE >= clampedCost) {
        this.bucket.spend(clampedCost);
        queue.shift();
        next.grant();
      } else {
        await this.clock.sleep(this.bucket.refillTimeMs(clampedCost - tokens) + 1);
      }
    }
    this.isDraining = false;
  }
}
