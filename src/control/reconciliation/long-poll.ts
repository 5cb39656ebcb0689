/** Long polling: answers to heartbeats are held until there is a command for the worker. */
import type { Runtime } from '@leverhatch/core/supervised-task';

/** Number of checks for expired holds within the longest hold. */
const CHECKS_PER_WAIT = 10;

interface HeldHeartbeat {
  /** When the hold expires; monotonic, in milliseconds. */
  until: number;
  answer(isNewest: boolean): void;
}

/**
 * Holds the answers to heartbeats as long polls. A worker accepts starts only in answers to its
 * heartbeats, and a start recorded between two of them would have to wait for the next. An answer
 * without commands is therefore delayed briefly, until there is a command for its worker.
 */
export class LongPoll {
  private readonly held = new Map<string, HeldHeartbeat>();

  constructor(
    private readonly runtime: Runtime,
    /** Longest hold in milliseconds. */
    private readonly maxWaitMs: number,
  ) {}

  /** Resolves when the heartbeat must be answered; to false if a newer one has superseded it. */
  wait(machine: string, ms: number): Promise<boolean> {
    const until = this.runtime.clock.now() + Math.min(ms, this.maxWaitMs);
    return new Promise((answer) => this.held.set(machine, { until, answer }));
  }

  /** A newer heartbeat has arrived, so the worker no longer waits for the answer to the held one. */
  supersede(machine: string): void {
    this.answer(machine, false);
  }

  /** Answers the held heartbeat of a machine; returns false if none is held. */
  release(machine: string): boolean {
    return this.answer(machine, true);
  }

  /** Answers heartbeats whose hold has expired, and all of them once the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    while (!signal.aborted) {
      await clock.sleep(this.maxWaitMs / CHECKS_PER_WAIT, signal);
      const now = clock.now();
      for (const [machine, { until }] of this.held) if (now >= until) this.release(machine);
    }
    for (const machine of [...this.held.keys()]) this.release(machine);
  }

  private answer(machine: string, isNewest: boolean): boolean {
    const held = this.held.get(machine);
    if (!held) return false;
    this.held.delete(machine);
    held.answer(isNewest);
    return true;
  }
}
