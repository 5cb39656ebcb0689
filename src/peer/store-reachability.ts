import type { Clock } from '@leverhatch/core/clock';

/** For how many report intervals what a peer said of the store is believed. */
const FRESH_INTERVALS = 2.5;

/**
 * Tells an outage of the state service from one that this controller alone meets. Users whose
 * connections end here would else be refused for as long as it lasts, while others are served: the
 * load balancer moves them only if this controller calls itself unable. In an outage that all meet
 * it must not, since nobody would be left to tell users when to come back.
 */
export class StoreReachability {
  private readonly statements = new Map<string, { available: boolean; at: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly heartbeatIntervalMs: number,
  ) {}

  recordStatement(peer: string, available: boolean): void {
    this.statements.set(peer, { available, at: this.clock.now() });
  }

  /** Whether any other controller has said lately that the store serves it: it could lead. */
  get isAvailableToOthers(): boolean {
    return this.fresh.some((s) => s.available);
  }

  /** Whether this controller has said lately that the store serves it. */
  isAvailableTo(peer: string): boolean {
    const said = this.statements.get(peer);
    return said !== undefined && said.available && this.isFresh(said);
  }

  private isFresh({ at }: { at: number }): boolean {
    return this.clock.now() - at < this.heartbeatIntervalMs * FRESH_INTERVALS;
  }

  private get fresh(): { available: boolean; at: number }[] {
    return [...this.statements.values()].filter((statement) => this.isFresh(statement));
  }

  /** `failingSince`: since when no request to the store has been served; null while they are. */
  isIsolated(unavailableSince: number | null): boolean {
    const now = this.clock.now();
    if (unavailableSince === null || now - unavailableSince < this.heartbeatIntervalMs)
      return false;
    if (this.statements.size === 0) return false;
    // Who no longer hears any of those that it heard is cut off from them as well.
    const { fresh } = this;
    // In an outage a peer may need a while to notice: only what it says later counts.
    const later = unavailableSince + this.heartbeatIntervalMs;
    return fresh.length === 0 || fresh.some((s) => s.available && s.at > later);
  }
}
