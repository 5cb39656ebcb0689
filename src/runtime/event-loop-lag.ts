/** Measures the lag of the event loop. */
import type { Clock } from '@leverhatch/core/clock';

/**
 * Measures how late the timers of this process fire, by means of a periodic timer. They fire late if
 * the process lacks processor time or runs a long synchronous operation.
 */
export class EventLoopLag {
  private timerDueAt: number | null = null;
  private lastMs = 0;

  /** `everyMs`: the interval between measurements, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly everyMs: number,
  ) {}

  /** The current lag or that of the last measurement, whichever is larger, in milliseconds. */
  get ms(): number {
    const overdueMs = this.timerDueAt === null ? 0 : this.clock.now() - this.timerDueAt;
    return Math.max(this.lastMs, overdueMs);
  }

  /** Runs measurements until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.timerDueAt = this.clock.now() + this.everyMs;
      await this.clock.sleep(this.everyMs, signal);
      this.lastMs = Math.max(0, this.clock.now() - this.timerDueAt);
    }
    this.timerDueAt = null;
  }
}
