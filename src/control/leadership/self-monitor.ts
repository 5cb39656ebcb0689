/** Logging of a controller's own stalls and readiness. */
import type { Clock } from '@leverhatch/core/clock';
import type { Logger } from '@leverhatch/core/log';

/** An observation that is late by more than this many intervals is logged as a stall. */
const STALL_INTERVALS = 1;

/**
 * Logs stalls of this controller (it was suspended, or short of CPU time), and changes of the
 * readiness that it reports to the load balancer. It only logs and affects no decision.
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

  /** Must be called once per interval. */
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
    else this.log.warn({}, 'not ready for users, the load balancer routes them elsewhere');
  }
}
