import type { Clock } from '@leverhatch/core/clock';

interface Timer {
  at: number;
  order: number;
  fire(): void;
}

/** Time that only moves when a story says so. */
export class FakeClock implements Clock {
  private time = 0;
  private order = 0;
  private timers: Timer[] = [];

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
        this.timers = this.timers.filter((t) => t !== timer);
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const timer = { at: this.time + Math.max(0, ms), order: this.order++, fire: done };
      this.timers.push(timer);
      signal?.addEventListener('abort', done);
    });
  }

  private first(): Timer | undefined {
    let first: Timer | undefined;
    for (const t of this.timers) {
      if (!first || t.at < first.at || (t.at === first.at && t.order < first.order)) first = t;
    }
    return first;
  }

  /** Lets `ms` pass, with everything that is due on the way, in order. */
  async advance(ms: number): Promise<void> {
    const until = this.time + ms;
    await settle();
    for (;;) {
      const next = this.first();
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
