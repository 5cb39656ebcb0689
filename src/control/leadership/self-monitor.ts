/** What a controller notices of itself. */
import type { Clock } from '@leverhatch/core/clock';
import type { Logger } from '@leverhatch/core/log';

/** An observation that is late by more than this many intervals is logged. */
const STALL_INTERVALS = 1;

/**
 * Logs that this controller stalled (it was suspended, or short of processor time), and whether it
 * tells the load balancer that it can serve users. It decides nothing.
 */
export class SelfMonitor {
  private dueAt: number | null = null;
  private wasReady = false;

  /** @param intervalMs the time between two observations */
  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly intervalMs: number,
  ) {}

  /** To be called once an interval. */
  observe(isReady: boolean): void {
    const now = this.clock.now();
    const lateMs = this.dueAt === null ? 0 : now - this.dueAt;
    if (lateMs > this.intervalMs * STALL_INTERVALS) {
      this.log.warn({ ms: Math.round(lateMs) }, 'stood still');
    }
    this.dueAt = now + this.intervalMs;
    if (isReady === this.wasReady) return;
    this.wasReady = isReady;
    if (isReady) this.log.info({}, 'ready for users');
    else this.log.warn({}, 'not ready for users, the balancer moves them');
  }
}
