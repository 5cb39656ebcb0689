/** Zone delegates: followers that answer workers of their zone, and the leader's view of them. */
import { RequestPriority } from '@leverhatch/core/store';
import { z } from 'zod/mini';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';

const zoneDelegateValue = z.object({ member: z.string(), token: z.number() });

/** Name of the stored field that holds the id of the write. */
const WRITE_ID_FIELD = 'w';

/** Duration of a delegation, as a share of the leader lease. */
const DELEGATION_RATIO = 0.5;

/** How long a delegation lasts after a write of the zone delegate key, in milliseconds. */
export const zoneDelegationMs = (leaderLeaseMs: number): number => leaderLeaseMs * DELEGATION_RATIO;

/**
 * A follower's delegation to keep alive the workers of its own zone that cannot reach the leader.
 * It is granted by writing the zone delegate key, which has to be rewritten for each further
 * period. The write succeeds only while the leader key still has the fencing token that the workers
 * know. The leader reads these keys before it declares an unresponsive machine lost.
 */
export class ZoneDelegate {
  /** Expiry of the delegation; monotonic, in milliseconds. */
  private expiresAt = -Infinity;
  private fencingToken = 0;
  private version: number | null = null;
  private writing: Promise<void> | null = null;

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly member: string,
    private readonly zone: string,
    private readonly delegationMs: number,
  ) {}

  /**
   * Resolves to true if workers that know this fencing token may be answered now. Acquires or
   * extends the delegation as needed.
   */
  async holds(fencingToken: number): Promise<boolean> {
    const now = this.runtime.clock.now();
    const remainingMs = this.fencingToken === fencingToken ? this.expiresAt - now : 0;
    if (remainingMs < this.delegationMs / 2) {
      this.writing ??= this.write(fencingToken).finally(() => (this.writing = null));
      // A delegation that is still valid is extended in the background.
      if (remainingMs <= 0) await this.writing;
    }
    return this.fencingToken === fencingToken && this.runtime.clock.now() < this.expiresAt;
  }

  private async write(fencingToken: number): Promise<void> {
    const { clock, log, random } = this.runtime;
    const key = KEYS.zoneDelegate(this.zone);
    try {
      this.version ??= (await this.store.get(key, RequestPriority.Critical))?.version ?? 0;
      const sentAt = clock.now();
      const value = { [WRITE_ID_FIELD]: random.unique(), member: this.member, token: fencingToken };
      const outcome = await this.store.tryCommit(
        [
          { key: KEYS.leader, version: fencingToken },
          { key, version: this.version },
        ],
        [{ put: key, value }],
        RequestPriority.Critical,
      );
      if (!outcome.ok) {
        this.version = null;
        return;
      }
      this.version = outcome.revision;
      this.fencingToken = fencingToken;
      this.expiresAt = sentAt + this.delegationMs * (1 - MAX_CLOCK_DRIFT);
    } catch (error) {
      // The write may or may not have been applied. The version is read again before the next
      // attempt, and no worker is answered on the strength of this write.
      this.version = null;
      log.debug({ fencingToken, error: String(error) }, 'zone delegate key not written');
    }
  }
}

/** The leader's view of the zone delegates: until when they may have answered workers. */
export class ZoneDelegateWatch {
  private readonly versions = new Map<string, number>();
  /** Latest possible end of the delegation of each zone; monotonic, in milliseconds. */
  private readonly expiries = new Map<string, number>();
  /** Start time of the last completed refresh; monotonic, in milliseconds. */
  confirmedAsOf = -Infinity;
  private refreshing = false;

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly delegationMs: number,
  ) {}

  /**
   * Until when a zone delegate may have answered workers of the zone. For an unknown zone (empty
   * name) the latest time of all zones.
   */
  expiryOf(zone: string): number {
    if (zone !== '') return this.expiries.get(zone) ?? -Infinity;
    return Math.max(-Infinity, ...this.expiries.values());
  }

  /** Reads all zone delegate keys; does nothing while another refresh is in progress. */
  async refresh(signal: AbortSignal): Promise<void> {
    if (this.refreshing) return;
    this.refreshing = true;
    try {
      const sentAt = this.runtime.clock.now();
      const { items } = await this.store.range(KEYS.zoneDelegates, signal);
      const now = this.runtime.clock.now();
      for (const item of items) {
        const zone = decodeURIComponent(item.key.slice(KEYS.zoneDelegates.length));
        if (
          !z.safeParse(zoneDelegateValue, item.value).success ||
          this.versions.get(zone) !== item.version
        ) {
          this.expiries.set(zone, now + this.delegationMs * (1 + MAX_CLOCK_DRIFT));
        }
        this.versions.set(zone, item.version);
      }
      this.confirmedAsOf = sentAt;
    } finally {
      this.refreshing = false;
    }
  }
}
