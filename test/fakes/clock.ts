import type { Clock } from '@leverhatch/core/clock';

interface Timer {
  at: number;
  order: number;
  fire(): void;
  over: boolean;
}

const isBefore = (a: Timer, b: Timer): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Timers by when they fire, as a binary heap: a scenario of thousands of machines has as many. */
class TimerQueue {
  private readonly heap: Timer[] = [];

  push(timer: Timer): void {
    const { heap } = this;
    let at = heap.push(timer) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(timer, heap[parent]!)) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = timer;
  }

  /** The first timer that is not over; it stays in the queue. */
  first(): Timer | undefined {
    while (this.heap[0]?.over) this.removeFirst();
    return this.heap[0];
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let at = 0;
    for (;;) {
      let child = at * 2 + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++;
      if (!isBefore(heap[child]!, last)) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = last;
  }
}

/** Time that only moves when a scenario says so. */
export class FakeClock implements Clock {
  private time = 0;
  private order = 0;
  private readonly timers = new TimerQueue();

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_800_000_000_000 + this.time;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const done = (): void => {
        timer.over = true;
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const at = this.time + Math.max(0, ms);
      const timer: Timer = { at, order: this.order++, fire: done, over: false };
      this.timers.push(timer);
      signal?.addEventListener('abort', done);
    });
  }

  /** Lets `ms` pass, with everything that is due on the way, in order. */
  async advance(ms: number): Promise<void> {
    const until = this.time + ms;
    await settle();
    for (;;) {
      const next = this.timers.first();
      if (!next || next.at > until) break;
      this.time = Math.max(this.time, next.at);
      next.fire();
      await settle();
    }
    this.time = Math.max(this.time, until);
  }
}

/** Runs all that is ready to run: promises do not take time, only timers do. */
async function settle(): Promise<void> {
  for (let i = 0; i < 3; i++) await new Promise((resolve) => setImmediate(resolve));
}
