import type { Machine } from '../fleet/machine.js';
import type { Order, Report } from '../wire/report.js';
import type { Leader } from './leader.js';

/**
 * How long the answer to a report may be kept back, as a share of the time between two, so that the
 * next one is not late; and well within the 4 s after which workers give an answer up.
 */
const HOLD_SHARE = 0.75;
export const MOST_HOLD_MS = 2200;

/** How long the answer to a report is kept back at most, for a fleet that reports this often. */
export const longestHoldMs = (reportMs: number): number =>
  Math.min(reportMs * HOLD_SHARE, MOST_HOLD_MS);

/** Takes workers' reports, and says what to answer and when. */
export class ReportHandler {
  constructor(private readonly leader: Leader) {}

  /** What to answer; null if the worker's lease must not be renewed now. */
  report(r: Report): Order[] | null | Promise<Order[] | null> {
    // A copy that comes late tells of no worker that reaches us now.
    if (this.isNewest(r)) this.leader.silence.heard(this.leader.now);
    if (!this.leader.records.ready) return this.afterRecovery(r);
    return this.leader.mayAnswer(this.leader.now) ? this.take(r, true) : null;
  }

  private isNewest(r: Report): boolean {
    return this.leader.fleet.machines.get(r.machine)?.newer(r.session, r.seq) ?? true;
  }

  /**
   * Before the records are read nobody knows what on that machine is cancelled. They mostly are
   * within the time that a worker waits for its answer.
   */
  private async afterRecovery(r: Report): Promise<Order[] | null> {
    const { records, parts } = this.leader;
    await parts.runtime.clock.sleep(MOST_HOLD_MS, records.readSignal);
    return records.ready && this.leader.mayAnswer(this.leader.now) ? this.take(r, false) : null;
  }

  /** `mayHold`: the worker still has time to wait for orders that come up. */
  private take(r: Report, mayHold: boolean): Order[] | Promise<Order[]> {
    const type = this.leader.types.get(r.type) ?? null;
    const m = this.leader.fleet.machines.get(r.machine);
    const before = m ? Number(m.confirmed) + (m.noticeAt === null ? 0 : 2) : -1;
    const fresh = this.leader.records.ready && this.isNewest(r);
    if (fresh) this.leader.longPoll.supersede(r.machine);
    const orders = this.leader.fleet.report(r, type, this.leader.now, this.leader.records.ready);
    const after = this.leader.fleet.machines.get(r.machine)!;
    if (Number(after.confirmed) + (after.noticeAt === null ? 0 : 2) !== before) this.leader.touch();
    // On others' votes alone running work is kept, but nothing is begun.
    if (!this.leader.term.leased(this.leader.now)) return orders.filter((o) => o.op !== 'start');
    const holdMs = mayHold && fresh && orders.length === 0 ? this.holdMs(after) : 0;
    return holdMs === 0 ? orders : this.laterOrders(after, holdMs);
  }

  /** How long an answer without orders is kept back for what may come up. */
  private holdMs(m: Machine): number {
    if (m.quiet) return this.longestHoldMs;
    // Ends on it are news that must not wait long behind the answer.
    return m.expectsStart ? this.longestHoldMs / 5 : 0;
  }

  private async laterOrders(m: Machine, holdMs: number): Promise<Order[]> {
    const newest = await this.leader.longPoll.wait(m.id, holdMs);
    if (this.leader.fleet.machines.get(m.id) !== m) return [];
    const mayStart = newest && this.leader.term.leased(this.leader.now);
    return mayStart ? this.leader.fleet.pending(m) : this.leader.fleet.pendingStops(m);
  }

  private get longestHoldMs(): number {
    return longestHoldMs(this.leader.parts.settings.workers.reportMs);
  }
}
