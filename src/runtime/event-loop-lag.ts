import type { Clock } from '@leverhatch/core/clock';

/**
 * How late this process gets to what is due: short of processor time, or busy with something long, it
 * takes up everything late. Measured with a timer at regular times.
 */
export class EventLoopLag {
  private dueAt: number | null = null;
  private lastMs = 0;

  /** @param everyMs the time between two measurements */
  constructor(
    private readonly clock: Clock,
    private readonly everyMs: number,
  ) {}

  /** Milliseconds by which timers are late now, or were at the last measurement. */
  get ms(): number {
    const overdueMs = this.dueAt === null ? 0 : this.clock.now() - this.dueAt;
    return Math.max(this.lastMs, overdueMs);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.dueAt = this.clock.now() + this.everyMs;
      await this.clock.sleep(this.everyMs, signal);
      this.lastMs = Math.max(0, this.clock.now() - this.dueAt);
    }
    this.dueAt = null;
  }
}
