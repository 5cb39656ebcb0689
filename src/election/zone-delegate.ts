/** Zone delegates: a follower's right to answer workers of its zone, and the leader's view of it. */
import { RequestPriority } from '@leverhatch/core/store';
import { z } from 'zod/mini';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/duty';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';

const zoneDelegateValue = z.object({ member: z.string(), token: z.number() });

/** The field of a stored record that holds its write id. */
const WRITE_ID_FIELD = 'w';

/** How long one write of the zone delegate key is valid, as a share of the leader lease. */
const DELEGATION_RATIO = 0.5;

/** How long one write of the zone delegate key is valid, in milliseconds. */
export const zoneDelegationMs = (leaderLeaseMs: number): number => leaderLeaseMs * DELEGATION_RATIO;

/**
 * A follower's right to keep alive the workers of its own zone that cannot reach the leader. It
 * rests on a key of that zone, written anew for every stretch of time and only while the leader
 * key is the one whose fencing token the workers know. The leader reads these keys before it takes
 * an unresponsive machine for gone.
 */
export class ZoneDelegate {
  /** Monotonic, in milliseconds. */
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

  /** Resolves to true if workers that know this fencing token may be answered now. */
  async holds(fencingToken: number): Promise<boolean> {
    const now = this.runtime.clock.now();
    const leftMs = this.fencingToken === fencingToken ? this.expiresAt - now : 0;
    if (leftMs < this.delegationMs / 2) {
      this.writing ??= this.write(fencingToken).finally(() => (this.writing = null));
      // A delegation that is still valid is extended in the background.
      if (leftMs <= 0) await this.writing;
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
      // Ambiguous: the version is read again before the next try, and no worker is answered on a guess.
      this.version = null;
      log.debug({ fencingToken, error: String(error) }, 'zone delegate key not written');
    }
  }
}

/** The leader's view of the zone delegates: until when one may have answered a zone's workers. */
export class ZoneDelegateWatch {
  private readonly versions = new Map<string, number>();
  /** By zone; monotonic, in milliseconds. */
  private readonly expiries = new Map<string, number>();
  /** When the last complete refresh began; monotonic, in milliseconds. */
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

  /** Reads all zone delegate keys; does nothing while another refresh is under way. */
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
