/** Measurement of the event loop's lag. */
import type { Clock } from '@leverhatch/core/clock';

/**
 * How late timers of this process fire, measured with a regular timer. They are late if the process is
 * short of processor time or busy with one long piece of work.
 */
export class EventLoopLag {
  private dueAt: number | null = null;
  private lastMs = 0;

  /** `everyMs`: the time between two measurements, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly everyMs: number,
  ) {}

  /** By how many milliseconds timers are late now or were at the last measurement, whichever is more. */
  get ms(): number {
    const overdueMs = this.dueAt === null ? 0 : this.clock.now() - this.dueAt;
    return Math.max(this.lastMs, overdueMs);
  }

  /** Measures until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.dueAt = this.clock.now() + this.everyMs;
      await this.clock.sleep(this.everyMs, signal);
      this.lastMs = Math.max(0, this.clock.now() - this.dueAt);
    }
    this.dueAt = null;
  }
}
