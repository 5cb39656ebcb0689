import { RequestPriority } from '@leverhatch/core/store';
import { z } from 'zod/mini';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/duty';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';

const zoneDelegateValue = z.object({ member: z.string(), token: z.number() });

/** How long one write of the zone delegate key is good for, as a share of the leader lease. */
const DELEGATION_RATIO = 0.5;

export const zoneDelegationMs = (leaderLeaseMs: number): number => leaderLeaseMs * DELEGATION_RATIO;

/**
 * A follower's right to keep alive the workers of its own zone that cannot reach the leader. It
 * rests on a key of that zone, written anew for every stretch of time and only while the leader
 * key is the one whose token the workers know. The leader reads these keys before it takes a
 * silent machine for gone.
 */
export class ZoneDelegate {
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

  /** Resolves to true if workers that know `token` may be answered now. */
  async holds(fencingToken: number): Promise<boolean> {
    const now = this.runtime.clock.now();
    const left = this.fencingToken === fencingToken ? this.expiresAt - now : 0;
    if (left < this.delegationMs / 2) {
      this.writing ??= this.write(fencingToken).finally(() => (this.writing = null));
      // A right that still holds is prolonged in the background.
      if (left <= 0) await this.writing;
    }
    return this.fencingToken === fencingToken && this.runtime.clock.now() < this.expiresAt;
  }

  private async write(fencingToken: number): Promise<void> {
    const { clock, log, random } = this.runtime;
    const key = KEYS.zoneDelegate(this.zone);
    try {
      this.version ??= (await this.store.get(key, RequestPriority.Critical))?.version ?? 0;
      const sentAt = clock.now();
      const value = { w: random.unique(), member: this.member, token: fencingToken };
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
      // Whether it was written is read again before the next try; nothing is answered on a guess.
      this.version = null;
      log.debug({ error: String(error) }, 'zone delegate key not written');
    }
  }
}

/** The leader's view of the zone delegates: until when one may have answered a zone's workers. */
export class ZoneDelegateWatch {
  private readonly versions = new Map<string, number>();
  private readonly expiries = new Map<string, number>();
  /** When the last complete refresh began. */
  confirmedAsOf = -Infinity;
  private refreshing = false;

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly delegationMs: number,
  ) {}

  /** Until when a zone delegate may have answered; for an unknown zone the latest of all. */
  expiryOf(zone: string): number {
    if (zone !== '') return this.expiries.get(zone) ?? -Infinity;
    return Math.max(-Infinity, ...this.expiries.values());
  }

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
