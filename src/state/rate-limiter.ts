import type { Clock } from '@leverhatch/core/clock';
import { RequestPriority } from '@leverhatch/core/store';
import { TokenBucket } from '@leverhatch/core/token-bucket';

export { RequestPriority } from '@leverhatch/core/store';

/** Callers of this urgency are not counted as waiting. */
const BACKGROUND_PRIORITY: RequestPriority = RequestPriority.Background;

interface Waiter {
  cost: number;
  grant(): void;
}

/**
 * A token bucket with a queue for each urgency: the first queue is always served first. It holds
 * one node's callers below a rate that a partner enforces with refusals.
 */
export class RateLimiter {
  private readonly bucket: TokenBucket;
  private readonly queues: Waiter[][] = [[], [], [], []];
  private isDraining = false;

  constructor(
    private readonly clock: Clock,
    perSecond: number,
    burst: number,
  ) {
    this.bucket = new TokenBucket(clock, perSecond, burst);
  }

  /** Resolves once `cost` may be spent; rejects if `signal` is aborted first. */
  acquire(cost: number, priority: RequestPriority, signal?: AbortSignal): Promise<void> {
    signal?.throwIfAborted();
    const tokens = this.bucket.fill();
    // A cost above the burst would never be covered; it is let through once the bucket is full.
    const price = Math.min(cost, this.bucket.burst);
    if (this.queues.every((queue) => queue.length === 0) && tokens >= price) {
      this.bucket.spend(price);
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const queue = this.queues[priority]!;
      const leave = (): void => {
        const at = queue.indexOf(waiter);
        if (at >= 0) queue.splice(at, 1);
        reject(signal!.reason as Error);
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

  /** Another rate from now on; whoever waits is served at it. */
  setRate(perSecond: number, burst: number): void {
    this.bucket.setRate(perSecond, burst);
  }

  /** How many callers wait that are in a hurry: callers widen their batches by it. */
  get queueLength(): number {
    return this.queues.slice(0, BACKGROUND_PRIORITY).reduce((sum, queue) => sum + queue.length, 0);
  }

  /** How long a caller of this urgency would wait for `cost`, in milliseconds. */
  delayMs(cost: number, priority: RequestPriority): number {
    const tokens = this.bucket.fill();
    let ahead = 0;
    for (const queue of this.queues.slice(0, priority + 1)) {
      for (const waiter of queue) ahead += waiter.cost;
    }
    const missing = ahead + Math.min(cost, this.bucket.burst) - tokens;
    return Math.max(0, this.bucket.msFor(missing));
  }

  private async drainQueues(): Promise<void> {
    // A flag rather than the promise: where the bucket fills between two readings of the clock, this
    // ends before its promise is known to anybody, and a promise kept then would look like a
    // queue that is being served for ever after.
    this.isDraining = true;
    for (;;) {
      const tokens = this.bucket.fill();
      const queue = this.queues.find((queue) => queue.length > 0);
      if (!queue) break;
      const next = queue[0]!;
      // The small allowance keeps rounding from turning into a wait of no length.
      const cost = Math.min(next.cost, this.bucket.burst);
      if (tokens + 1e-6 >= cost) {
        this.bucket.spend(cost);
        queue.shift();
        next.grant();
      } else {
        await this.clock.sleep(this.bucket.msFor(cost - tokens) + 1);
      }
    }
    this.isDraining = false;
  }
}
