/** Which record formats, frames and features the controllers of this cluster understand. */
import { RequestPriority } from '@leverhatch/core/store';
import { z } from 'zod/mini';
import { FRAME_VERSIONS } from '../peer/frames.js';
import type { Runtime } from '@leverhatch/core/duty';
import { jitter } from '@leverhatch/core/random';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';
import { VERSION } from '../version.js';

/**
 * Formats of stored records. A change of any record or key gets the next number here, and none ever
 * changes its meaning: a program that reads a format also reads all before it. Versions without a
 * member record know the first alone.
 *
 * `leftoverRuns`: run records may be left of a job of which only the final state is stored.
 */
export const RECORD_FORMATS = { indexedRuns: 1, rangedRuns: 2, leftoverRuns: 3 } as const;

/** What a program understands of what others write. */
export interface Formats {
  /** The newest record format. */
  recordFormat: number;
  /** Versions of the frames between controllers. */
  frameVersions: readonly number[];
  /** Parts that are switched on and change what others have to know. */
  features?: readonly string[];
}

/** What this program understands. */
export const OWN_FORMATS: Formats = {
  recordFormat: Math.max(...Object.values(RECORD_FORMATS)),
  frameVersions: FRAME_VERSIONS,
};

const count = z.int().check(z.nonnegative());

const memberRecord = z.object({
  name: z.string(),
  version: z.string(),
  startedAt: z.number(),
  recordFormat: count,
  frameVersions: z.array(count),
  features: z.optional(z.array(z.string())),
});

/** What a controller says of its program, in the store. It stays there when the process ends. */
export interface MemberRecord extends Formats {
  name: string;
  version: string;
  /** Time of day at which the process began, in milliseconds. */
  startedAt: number;
}

/** The controllers that there are. */
export interface MembershipNames {
  self: string;
  peers: string[];
  /** How many controllers there are in all. */
  size: number;
}

/**
 * Which formats every controller understands. Each writes a record of itself when it starts. A
 * version from before these records writes none, and nothing is concluded from a missing one: a
 * controller without a record is taken for one that knows the first format alone. A format may be
 * written once every controller has a record that names it or a later one; from then on it stays so,
 * since records are never deleted. Each format is judged by itself: what all knew before an upgrade
 * began they know throughout, whatever newer format the upgrade brings.
 */
export class Membership {
  private readonly members = new Map<string, MemberRecord>();
  /** The newest record format that all controllers read; 0: not known of all. */
  private commonFormat = 0;

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly names: MembershipNames,
    private readonly refreshMs: number,
    /** What this program understands. */
    private readonly own: Formats = OWN_FORMATS,
  ) {}

  /** True once all controllers read records of this format. */
  allRead(recordFormat: number): boolean {
    return this.commonFormat >= recordFormat;
  }

  /** True if this peer has said that it reads frames of this version. */
  readsFrames(peer: string, version: number): boolean {
    return this.members.get(peer)?.frameVersions.includes(version) ?? false;
  }

  /** True once all others understand whatever this program does: no record can change anything then. */
  private get isComplete(): boolean {
    const { recordFormat, frameVersions } = this.own;
    return (
      this.allRead(recordFormat) &&
      this.names.peers.every((peer) =>
        frameVersions.every((frameVersion) => this.readsFrames(peer, frameVersion)),
      )
    );
  }

  /** Writes our own record, then reads those of the others until all are up to date. */
  async run(signal: AbortSignal): Promise<void> {
    await this.writeOwnRecord(signal);
    while (!signal.aborted && !this.isComplete) {
      // While the store does not serve, no new format is written; the next refresh tries again.
      await this.refresh(signal).catch(() => undefined);
      if (!this.isComplete) await this.runtime.clock.sleep(this.refreshMs, signal);
    }
  }

  /** Writes our own record, however long it takes. */
  private async writeOwnRecord(signal: AbortSignal): Promise<void> {
    const { clock, random, log, startedAt } = this.runtime;
    const record: MemberRecord = {
      name: this.names.self,
      version: VERSION,
      startedAt: Math.round(clock.wall() - (clock.now() - startedAt)),
      recordFormat: this.own.recordFormat,
      frameVersions: [...this.own.frameVersions],
      // One that has none writes what earlier versions write.
      ...(this.own.features ? { features: this.own.features } : {}),
    };
    const key = KEYS.member(record.name);
    // Conditioned on what it replaces: an ambiguous write may be applied after a later program of this
    // controller has written its own record.
    let version = 0;
    let waitMs = this.refreshMs / 4;
    while (!signal.aborted) {
      try {
        const { ok } = await this.store.tryCommit(
          [{ key, version }],
          [{ put: key, value: record }],
          RequestPriority.High,
          signal,
        );
        if (!ok) {
          version = (await this.store.get(key, RequestPriority.High, signal))?.version ?? 0;
          continue;
        }
        log.info({ ...record }, 'member record written');
        return;
      } catch (error) {
        log.debug({ error: String(error) }, 'member record not written');
        await clock.sleep(jitter(waitMs, random), signal);
        waitMs = Math.min(waitMs * 2, this.refreshMs * 4);
      }
    }
  }

  /**
   * Whether every controller says now that it has a part switched on. Unlike formats a part can be
   * switched off again, so this is read each time.
   */
  async haveAllEnabled(feature: string, signal?: AbortSignal): Promise<boolean> {
    const { items } = await this.store.range(KEYS.members, signal);
    const having = new Set<string>();
    for (const { value } of items) {
      const result = z.safeParse(memberRecord, value);
      if (result.success && result.data.features?.includes(feature)) having.add(result.data.name);
    }
    const { self, peers, size } = this.names;
    return having.size >= size && [self, ...peers].every((name) => having.has(name));
  }

  /** Reads the records of all controllers once; throws if the store does not serve. */
  async refresh(signal?: AbortSignal): Promise<void> {
    if (this.isComplete) return;
    const { items } = await this.store.range(KEYS.members, signal);
    for (const entry of items) {
      const result = z.safeParse(memberRecord, entry.value);
      if (result.success) this.members.set(result.data.name, result.data);
    }
    this.updateCommonFormat();
  }

  private updateCommonFormat(): void {
    const before = this.commonFormat;
    while (this.commonFormat < this.own.recordFormat && this.isReadByAll(this.commonFormat + 1))
      this.commonFormat++;
    if (this.commonFormat === before) return;
    const members = [...this.members.keys()];
    this.runtime.log.info(
      { members, recordFormat: this.commonFormat },
      'record format read by all controllers',
    );
    const { rangedRuns } = RECORD_FORMATS;
    // The announced limits can come at any moment from now on.
    if (before < rangedRuns && this.allRead(rangedRuns)) this.store.limits.applyAnnounced();
  }

  /** Whether every controller has a record that names this format or a later one. */
  private isReadByAll(recordFormat: number): boolean {
    const { self, peers, size } = this.names;
    const current = [...this.members.values()].filter(
      (member) => member.recordFormat >= recordFormat,
    );
    const names = new Set(current.map((member) => member.name));
    return names.size >= size && [self, ...peers].every((name) => names.has(name));
  }
}
