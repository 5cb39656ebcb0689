import type { Clock } from '@leverhatch/core/clock';
import type { Urgency } from '@leverhatch/core/store';
import { TokenBucket } from '@leverhatch/core/token-bucket';

export type { Urgency } from '@leverhatch/core/store';

/** Callers of this urgency are not counted as waiting. */
const NO_HURRY: Urgency = 3;

interface Waiter {
  cost: number;
  grant(): void;
}

/**
 * A token bucket with a queue for each urgency: the first queue is always served first. It holds
 * one node's callers below a rate that a partner enforces with refusals.
 */
export class Budget {
  private readonly bucket: TokenBucket;
  private readonly queues: Waiter[][] = [[], [], [], []];
  private serving = false;

  constructor(
    private readonly clock: Clock,
    perSecond: number,
    burst: number,
  ) {
    this.bucket = new TokenBucket(clock, perSecond, burst);
  }

  /** Resolves once `cost` may be spent; rejects if `signal` is aborted first. */
  take(cost: number, urgency: Urgency, signal?: AbortSignal): Promise<void> {
    signal?.throwIfAborted();
    const tokens = this.bucket.fill();
    // A cost above the burst would never be covered; it is let through once the bucket is full.
    const price = Math.min(cost, this.bucket.burst);
    if (this.queues.every((q) => q.length === 0) && tokens >= price) {
      this.bucket.spend(price);
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const queue = this.queues[urgency]!;
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
      if (!this.serving) void this.serve();
    });
  }

  /** Another rate from now on; whoever waits is served at it. */
  setRate(perSecond: number, burst: number): void {
    this.bucket.setRate(perSecond, burst);
  }

  /** How many callers wait that are in a hurry: callers widen their batches by it. */
  get waiting(): number {
    return this.queues.slice(0, NO_HURRY).reduce((sum, q) => sum + q.length, 0);
  }

  /** How long a caller of this urgency would wait for `cost`, in milliseconds. */
  delayMs(cost: number, urgency: Urgency): number {
    const tokens = this.bucket.fill();
    let ahead = 0;
    for (const queue of this.queues.slice(0, urgency + 1)) {
      for (const waiter of queue) ahead += waiter.cost;
    }
    const missing = ahead + Math.min(cost, this.bucket.burst) - tokens;
    return Math.max(0, this.bucket.msFor(missing));
  }

  private async serve(): Promise<void> {
    // A flag rather than the promise: where the bucket fills between two readings of the clock, this
    // ends before its promise is known to anybody, and a promise kept then would look like a
    // queue that is being served for ever after.
    this.serving = true;
    for (;;) {
      const tokens = this.bucket.fill();
      const queue = this.queues.find((q) => q.length > 0);
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
    this.serving = false;
  }
}
