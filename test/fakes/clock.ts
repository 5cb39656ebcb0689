import type { Clock } from '@leverhatch/core/clock';

interface Timer {
  at: number;
  order: number;
  fire(): void;
  finished: boolean;
}

const isBefore = (a: Timer, b: Timer): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Timers ordered by due time, in a binary heap: a scenario can have thousands of them. */
class TimerQueue {
  private readonly heap: Timer[] = [];

  push(timer: Timer): void {
    const { heap } = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  /** Returns the earliest unfinished timer without removing it. */
  peek(): Timer | undefined {
    while (this.heap[0]?.finished) this.removeFirst();
    return this.heap[0];
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}

/** A sleep that can be ended early. */
export interface CancellableSleep {
  /** Resolves at the end of the sleep, however it ends. */
  readonly ended: Promise<void>;
  cancel(): void;
}

/** Begins a sleep that can be ended early; on a fake clock it needs no signal of its own. */
export function cancellableSleep(clock: Clock, ms: number): CancellableSleep {
  if (clock instanceof FakeClock) return clock.cancellableSleep(ms);
  const canceller = new AbortController();
  return { ended: clock.sleep(ms, canceller.signal), cancel: () => canceller.abort() };
}

/** A clock that advances only when a scenario tells it to. */
export class FakeClock implements Clock {
  private time = 0;
  private order = 0;
  private readonly timers = new TimerQueue();
  /**
   * Ends of the sleeps under each signal, in the order in which they began. A signal gets one listener for
   * all of them: to add another takes the longer the more it has, and thousands of workers share one.
   */
  private readonly sleepsBySignal = new WeakMap<AbortSignal, Set<() => void>>();

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_800_000_000_000 + this.time;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    const sleeps = signal && this.sleepsUnder(signal);
    const { ended, cancel } = this.startSleep(ms, () => sleeps?.delete(cancel));
    sleeps?.add(cancel);
    return ended;
  }

  /** Begins a sleep that can be ended early. */
  cancellableSleep(ms: number): CancellableSleep {
    return this.startSleep(ms, () => undefined);
  }

  private startSleep(ms: number, onEnd: () => void): CancellableSleep {
    let resolve = (): void => undefined;
    const ended = new Promise<void>((resolvePromise) => (resolve = resolvePromise));
    const cancel = (): void => {
      timer.finished = true;
      onEnd();
      resolve();
    };
    const at = this.time + Math.max(0, ms);
    const timer: Timer = { at, order: this.order++, fire: cancel, finished: false };
    this.timers.push(timer);
    return { ended, cancel };
  }

  private sleepsUnder(signal: AbortSignal): Set<() => void> {
    const known = this.sleepsBySignal.get(signal);
    if (known) return known;
    const sleeps = new Set<() => void>();
    this.sleepsBySignal.set(signal, sleeps);
    signal.addEventListener('abort', () => {
      for (const cancel of sleeps) cancel();
    });
    return sleeps;
  }

  /** Advances the time by `ms` and fires the timers that become due, in order. */
  async advance(ms: number): Promise<void> {
    const until = this.time + ms;
    await flushPromises();
    for (;;) {
      const next = this.timers.peek();
      if (!next || next.at > until) break;
      this.time = Math.max(this.time, next.at);
      next.fire();
      await flushPromises();
    }
    this.time = Math.max(this.time, until);
  }
}

/** Runs pending promise callbacks, which take no simulated time; only timers do. */
async function flushPromises(): Promise<void> {
  for (let i = 0; i < 3; i++) await new Promise((resolve) => setImmediate(resolve));
}
