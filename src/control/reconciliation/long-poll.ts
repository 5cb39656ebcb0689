import type { Runtime } from '@leverhatch/core/duty';

/** How often it is checked which reports have waited long enough, within the time they may wait. */
const CHECKS_PER_WAIT = 10;

interface Held {
  until: number;
  answer(newest: boolean): void;
}

/**
 * Reports that wait for their answer. A worker takes orders only from answers to its reports, and
 * between two of them a start would have to wait; so the answer to a worker that has nothing new to
 * tell is kept back a little, until there is an order for it.
 */
export class LongPoll {
  private readonly held = new Map<string, Held>();

  constructor(
    private readonly runtime: Runtime,
    private readonly maxWaitMs: number,
  ) {}

  /** Resolves when the report should be answered; false if a newer one has taken its place. */
  wait(machine: string, ms: number): Promise<boolean> {
    const until = this.runtime.clock.now() + Math.min(ms, this.maxWaitMs);
    return new Promise((answer) => this.held.set(machine, { until, answer }));
  }

  /** A newer report has come: whoever sent the one before has given up waiting. */
  supersede(machine: string): void {
    this.end(machine, false);
  }

  /** There is an order for this machine; false if no report of it waits. */
  release(machine: string): boolean {
    return this.end(machine, true);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    while (!signal.aborted) {
      await clock.sleep(this.maxWaitMs / CHECKS_PER_WAIT, signal);
      const now = clock.now();
      for (const [machine, { until }] of this.held) if (now >= until) this.release(machine);
    }
    for (const machine of [...this.held.keys()]) this.release(machine);
  }

  private end(machine: string, newest: boolean): boolean {
    const held = this.held.get(machine);
    if (!held) return false;
    this.held.delete(machine);
    held.answer(newest);
    return true;
  }
}
