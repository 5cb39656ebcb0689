import type { Clock } from '@leverhatch/core/clock';
import type { Logger } from '@leverhatch/core/log';

/** A look that is late by more than this many intervals is reported. */
const STALL_INTERVALS = 1;

/**
 * Logs what a controller notices of itself: that it stood still (it was frozen, or short of
 * processor time), and whether it tells the load balancer that it can serve users. It decides
 * nothing.
 */
export class SelfMonitor {
  private dueAt: number | null = null;
  private wasReady = false;

  /** @param intervalMs the time between two looks */
  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly intervalMs: number,
  ) {}

  observe(ready: boolean): void {
    const now = this.clock.now();
    const lateMs = this.dueAt === null ? 0 : now - this.dueAt;
    if (lateMs > this.intervalMs * STALL_INTERVALS) {
      this.log.warn({ ms: Math.round(lateMs) }, 'stood still');
    }
    this.dueAt = now + this.intervalMs;
    if (ready === this.wasReady) return;
    this.wasReady = ready;
    if (ready) this.log.info({}, 'ready for users');
    else this.log.warn({}, 'not ready for users, the balancer moves them');
  }
}
