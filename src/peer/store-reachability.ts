import type { Clock } from '@leverhatch/core/clock';

/** For how many report intervals what a peer said of the store is believed. */
const FRESH = 2.5;

/**
 * Tells an outage of the state service from one that this controller alone meets. Users whose
 * connections end here would else be refused for as long as it lasts, while others are served: the
 * load balancer moves them only if this controller calls itself unable. In an outage that all meet
 * it must not, since nobody would be left to tell users when to come back.
 */
export class StoreReachability {
  private readonly said = new Map<string, { serves: boolean; at: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly reportMs: number,
  ) {}

  heard(peer: string, serves: boolean): void {
    this.said.set(peer, { serves, at: this.clock.now() });
  }

  /** Whether any other controller has said lately that the store serves it: it could lead. */
  get servesOthers(): boolean {
    return this.fresh.some((s) => s.serves);
  }

  /** Whether this controller has said lately that the store serves it. */
  serves(peer: string): boolean {
    const said = this.said.get(peer);
    return said !== undefined && said.serves && this.isFresh(said);
  }

  private isFresh({ at }: { at: number }): boolean {
    return this.clock.now() - at < this.reportMs * FRESH;
  }

  private get fresh(): { serves: boolean; at: number }[] {
    return [...this.said.values()].filter((s) => this.isFresh(s));
  }

  /** `failingSince`: since when no request to the store has been served; null while they are. */
  aloneCutOff(failingSince: number | null): boolean {
    const now = this.clock.now();
    if (failingSince === null || now - failingSince < this.reportMs) return false;
    if (this.said.size === 0) return false;
    // Who no longer hears any of those that it heard is cut off from them as well.
    const { fresh } = this;
    // In an outage a peer may need a while to notice: only what it says later counts.
    const later = failingSince + this.reportMs;
    return fresh.length === 0 || fresh.some((s) => s.serves && s.at > later);
  }
}
