/** Client-side rate limit with a queue for each request priority. */
import type { Clock } from '@leverhatch/core/clock';
import { RequestPriority } from '@leverhatch/core/store';
import { TokenBucket } from '@leverhatch/core/token-bucket';

export { RequestPriority } from '@leverhatch/core/store';

/** Callers of this priority can wait, so they are not counted in `queueLength`. */
const BACKGROUND_PRIORITY: RequestPriority = RequestPriority.Background;

/** Missing fractions of a token that come from rounding; without it a wait of 0 ms would repeat. */
const ROUNDING_TOLERANCE = 1e-6;

interface Waiter {
  cost: number;
  grant(): void;
}

/**
 * A token bucket with a queue for each priority; queues are served strictly by priority. It keeps one
 * controller's requests below the rate above which an external service rejects them.
 */
export class RateLimiter {
  private readonly bucket: TokenBucket;
  /** Indexed by `RequestPriority`. */
  private readonly queues: [Waiter[], Waiter[], Waiter[], Waiter[]] = [[], [], [], []];
  private isDraining = false;

  /** `perSecond`: tokens a second; `burst`: the most tokens that accumulate. */
  constructor(
    private readonly clock: Clock,
    perSecond: number,
    burst: number,
  ) {
    this.bucket = new TokenBucket(clock, perSecond, burst);
  }

  /** Resolves once `cost` tokens are spent; rejects if `signal` is aborted first. */
  acquire(cost: number, priority: RequestPriority, signal?: AbortSignal): Promise<void> {
    signal?.throwIfAborted();
    const tokens = this.bucket.fill();
    const price = this.priceOf(cost);
    if (this.queues.every((queue) => queue.length === 0) && tokens >= price) {
      this.bucket.spend(price);
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const queue = this.queues[priority];
      const leave = (): void => {
        const index = queue.indexOf(waiter);
        if (index >= 0) queue.splice(index, 1);
        reject(signal?.reason as Error);
      };
      const waiter: Waiter = {
        cost: price,
        grant: () => {
          signal?.removeEventListener('abort', leave);
          resolve();
        },
      };
      signal?.addEventListener('abort', leave, { once: true });
      queue.push(waiter);
      if (!this.isDraining) void this.drainQueues();
    });
  }

  /** Changes the rate (tokens a second) and the burst, also for callers that already wait. */
  setRate(perSecond: number, burst: number): void {
    this.bucket.setRate(perSecond, burst);
  }

  /** Callers that wait, without those of background priority; batches are sized by it. */
  get queueLength(): number {
    return this.queues.slice(0, BACKGROUND_PRIORITY).reduce((sum, queue) => sum + queue.length, 0);
  }

  /** How long a caller of this priority would wait for `cost` tokens, in milliseconds. */
  delayMs(cost: number, priority: RequestPriority): number {
    const tokens = this.bucket.fill();
    let costAhead = 0;
    for (const queue of this.queues.slice(0, priority + 1)) {
      for (const waiter of queue) costAhead += waiter.cost;
    }
    const missing = costAhead + this.priceOf(cost) - tokens;
    return Math.max(0, this.bucket.msFor(missing));
  }

  /** A cost above the burst could never be covered; it is admitted once the bucket is full. */
  private priceOf(cost: number): number {
    return Math.min(cost, this.bucket.burst);
  }

  private async drainQueues(): Promise<void> {
    // A flag instead of the promise: if the bucket fills between two readings of the clock, this
    // function ends before its caller has the promise. A promise stored after that would look like
    // a drain that never ends.
    this.isDraining = true;
    for (;;) {
      const tokens = this.bucket.fill();
      const queue = this.queues.find((waiting) => waiting.length > 0);
      const next = queue?.[0];
      if (queue === undefined || next === undefined) break;
      const price = this.priceOf(next.cost);
      if (tokens + ROUNDING_TOLERANCE >= price) {
        this.bucket.spend(price);
        queue.shift();
        next.grant();
      } else {
        await this.clock.sleep(this.bucket.msFor(price - tokens) + 1);
      }
    }
    this.isDraining = false;
  }
}
