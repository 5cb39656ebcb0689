import { z } from 'zod/mini';
import { FRAME_VERSIONS } from '../peer/frames.js';
import type { Runtime } from '../runtime/duty.js';
import { jitter } from '../runtime/random.js';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';
import { VERSION } from '../version.js';

/** Run records: 1 is indexed alone, 2 is also ranged. Versions without a member record write 1. */
export const RECORD_FORMAT = 2;

const count = z.int().check(z.nonnegative());

const memberRecord = z.object({
  name: z.string(),
  version: z.string(),
  startedAt: z.number(),
  recordFormat: count,
  frameVersions: z.array(count),
});

/** What a controller says of its program, in the store. It stays there when the process ends. */
export interface MemberRecord {
  name: string;
  version: string;
  /** Time of day at which the process began, in milliseconds. */
  startedAt: number;
  recordFormat: number;
  /** Versions of the frames between controllers that it understands. */
  frameVersions: number[];
}

export interface MembershipNames {
  self: string;
  peers: string[];
  /** How many controllers there are in all. */
  size: number;
}

/**
 * Which controllers run a version that understands the newest formats. Each writes a record of
 * itself when it starts. A version from before these records writes none, and nothing is guessed
 * from silence: a controller without a record is taken for an old one. An upgrade is complete once
 * every controller has a record; from then on it stays complete, since records are never deleted.
 */
export class Membership {
  private readonly members = new Map<string, MemberRecord>();
  private complete = false;

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly names: MembershipNames,
    private readonly refreshMs: number,
  ) {}

  /** True once all controllers understand the newest record format. */
  get allCurrent(): boolean {
    return this.complete;
  }

  /** True if this peer has said that it understands the newest frames. */
  speaksCurrent(peer: string): boolean {
    const newest = Math.max(...FRAME_VERSIONS);
    return this.members.get(peer)?.frameVersions.includes(newest) ?? false;
  }

  async run(signal: AbortSignal): Promise<void> {
    await this.announce(signal);
    while (!signal.aborted && !this.complete) {
      await this.refresh(signal).catch(() => undefined);
      if (!this.complete) await this.runtime.clock.sleep(this.refreshMs, signal);
    }
  }

  /** Writes our own record, however long it takes. */
  private async announce(signal: AbortSignal): Promise<void> {
    const { clock, random, log, startedAt } = this.runtime;
    const record: MemberRecord = {
      name: this.names.self,
      version: VERSION,
      startedAt: Math.round(clock.wall() - (clock.now() - startedAt)),
      recordFormat: RECORD_FORMAT,
      frameVersions: [...FRAME_VERSIONS],
    };
    let waitMs = this.refreshMs / 4;
    while (!signal.aborted) {
      try {
        await this.store.txn([], [{ put: KEYS.member(record.name), value: record }], 1, signal);
        log.info({ ...record }, 'member record written');
        return;
      } catch (error) {
        log.debug({ error: String(error) }, 'member record not written');
        await clock.sleep(jitter(waitMs, random), signal);
        waitMs = Math.min(waitMs * 2, this.refreshMs * 4);
      }
    }
  }

  /** Reads the records of all controllers once; throws if the store does not serve. */
  async refresh(signal?: AbortSignal): Promise<void> {
    if (this.complete) return;
    const { items } = await this.store.range(KEYS.members, signal);
    for (const entry of items) {
      const result = z.safeParse(memberRecord, entry.value);
      if (result.success) this.members.set(result.data.name, result.data);
    }
    this.judge();
  }

  private judge(): void {
    const { self, peers, size } = this.names;
    const current = [...this.members.values()].filter((m) => m.recordFormat >= RECORD_FORMAT);
    const names = new Set(current.map((m) => m.name));
    if (names.size < size || ![self, ...peers].every((name) => names.has(name))) return;
    this.complete = true;
    this.runtime.log.info({ members: [...names] }, 'upgrade complete, all controllers are current');
    // The announced limits can come at any moment from now on.
    this.store.limits.lower();
  }
}
