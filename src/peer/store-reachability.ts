/** Detects, from the reports of peers, whether the store is unavailable to this controller only. */
import type { Clock } from '@leverhatch/core/clock';

/** For how many heartbeat intervals a peer's report on the store is valid. */
const FRESH_INTERVALS = 2.5;

/** The last report of a peer; `at` is monotonic, in milliseconds. */
interface Report {
  available: boolean;
  at: number;
}

/**
 * Distinguishes an outage of the store for all controllers from one for this controller only. In the
 * latter case this controller has to report that it is not ready, so that the load balancer moves its
 * users to other controllers; otherwise it would reject them for as long as the outage lasts. In an
 * outage for all it must stay ready, since no controller would be left to tell users when to retry.
 */
export class StoreReachability {
  private readonly reports = new Map<string, Report>();

  constructor(
    private readonly clock: Clock,
    private readonly heartbeatIntervalMs: number,
  ) {}

  /** Records whether the store is available to a peer, as reported by the peer. */
  recordStatement(peer: string, available: boolean): void {
    this.reports.set(peer, { available, at: this.clock.now() });
  }

  /** Whether any other controller has recently reported the store as available, and so could lead. */
  get isAvailableToOthers(): boolean {
    return this.freshReports.some((report) => report.available);
  }

  /** Whether this peer has recently reported the store as available. */
  isAvailableTo(peer: string): boolean {
    const report = this.reports.get(peer);
    return report !== undefined && report.available && this.isFresh(report);
  }

  private isFresh({ at }: Report): boolean {
    return this.clock.now() - at < this.heartbeatIntervalMs * FRESH_INTERVALS;
  }

  private get freshReports(): Report[] {
    return [...this.reports.values()].filter((report) => this.isFresh(report));
  }

  /**
   * Whether the store is unavailable to this controller only. `unavailableSince`: since when every
   * request to the store has failed; null while the store is available.
   */
  isIsolated(unavailableSince: number | null): boolean {
    const now = this.clock.now();
    if (unavailableSince === null || now - unavailableSince < this.heartbeatIntervalMs)
      return false;
    if (this.reports.size === 0) return false;
    // Without any recent report this controller is partitioned from its peers as well.
    const fresh = this.freshReports;
    // A peer needs a while to notice an outage for all, so only reports made after that time count.
    const noticedAt = unavailableSince + this.heartbeatIntervalMs;
    return fresh.length === 0 || fresh.some(({ available, at }) => available && at > noticedAt);
  }
}
