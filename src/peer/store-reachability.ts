/** Whether the store is unavailable to this controller alone, from what the others say of it. */
import type { Clock } from '@leverhatch/core/clock';

/** For how many heartbeat intervals a peer's statement on the store is valid. */
const FRESH_INTERVALS = 2.5;

/** What a peer said last; `at` is monotonic, in milliseconds. */
interface Statement {
  available: boolean;
  at: number;
}

/**
 * Tells an outage of the store from one that affects this controller alone. Users whose connections
 * end here would otherwise be refused for as long as it lasts, while others are served: the load
 * balancer moves them only if this controller says that it is not ready. In an outage that affects
 * all it must not, since nobody would be left to tell users when to come back.
 */
export class StoreReachability {
  private readonly statements = new Map<string, Statement>();

  constructor(
    private readonly clock: Clock,
    private readonly heartbeatIntervalMs: number,
  ) {}

  /** A peer has said whether the store serves it. */
  recordStatement(peer: string, available: boolean): void {
    this.statements.set(peer, { available, at: this.clock.now() });
  }

  /** Whether any other controller has said lately that the store serves it: it could lead. */
  get isAvailableToOthers(): boolean {
    return this.freshStatements.some((statement) => statement.available);
  }

  /** Whether this peer has said lately that the store serves it. */
  isAvailableTo(peer: string): boolean {
    const statement = this.statements.get(peer);
    return statement !== undefined && statement.available && this.isFresh(statement);
  }

  private isFresh({ at }: Statement): boolean {
    return this.clock.now() - at < this.heartbeatIntervalMs * FRESH_INTERVALS;
  }

  private get freshStatements(): Statement[] {
    return [...this.statements.values()].filter((statement) => this.isFresh(statement));
  }

  /** `unavailableSince`: since when no request to the store has been served; null while they are. */
  isIsolated(unavailableSince: number | null): boolean {
    const now = this.clock.now();
    if (unavailableSince === null || now - unavailableSince < this.heartbeatIntervalMs)
      return false;
    if (this.statements.size === 0) return false;
    // A controller that no longer hears any of its peers is partitioned from them as well.
    const fresh = this.freshStatements;
    // In an outage a peer may need a while to notice: only what it says later counts.
    const noticedAt = unavailableSince + this.heartbeatIntervalMs;
    return fresh.length === 0 || fresh.some(({ available, at }) => available && at > noticedAt);
  }
}
