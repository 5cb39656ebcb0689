/** Which record formats, frame versions and features the controllers of this cluster support. */
import { RequestPriority } from '@leverhatch/core/store';
import { z } from 'zod/mini';
import { FRAME_VERSIONS } from '../peer/frames.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { jitter } from '@leverhatch/core/random';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';
import { VERSION } from '../version.js';

/**
 * Formats of stored records. Every change to a record or key adds the next number here, and the
 * meaning of a number never changes: a program that reads a format also reads all earlier ones.
 * Versions without a member record support the first format only.
 *
 * `leftoverRuns`: run records may remain for a job of which only the final state is stored.
 */
export const RECORD_FORMATS = { indexedRuns: 1, rangedRuns: 2, leftoverRuns: 3 } as const;

/** The formats and features that a program supports. */
export interface SupportedFormats {
  /** The newest supported record format. */
  recordFormat: number;
  /** Supported versions of the frames that controllers exchange. */
  frameVersions: readonly number[];
  /** Enabled features that the other controllers have to support or know about. */
  features?: readonly string[];
}

/** The formats that this program supports. */
export const OWN_FORMATS: SupportedFormats = {
  recordFormat: Math.max(...Object.values(RECORD_FORMATS)),
  frameVersions: FRAME_VERSIONS,
};

const nonNegativeInt = z.int().check(z.nonnegative());

const memberRecord = z.object({
  name: z.string(),
  version: z.string(),
  startedAt: z.number(),
  recordFormat: nonNegativeInt,
  frameVersions: z.array(nonNegativeInt),
  features: z.optional(z.array(z.string())),
});

/**
 * A controller's description of its program in the store. It is not deleted when the process ends.
 */
export interface MemberRecord extends SupportedFormats {
  name: string;
  version: string;
  /** Wall-clock time at which the process started, in milliseconds. */
  startedAt: number;
}

/** The names of the controllers in the cluster. */
export interface ControllerNames {
  self: string;
  peers: string[];
  /** Total number of controllers, including this one. */
  size: number;
}

/**
 * Tracks which formats every controller supports. Each controller writes a member record when it
 * starts. Versions from before member records write none, so a controller without a record is
 * assumed to support the first format only. A format may be written once every controller has a
 * record that names this format or a later one. From then on it may always be written, since member
 * records are never deleted. Each format is decided independently: a format that all supported
 * before an upgrade stays usable throughout the upgrade, whatever newer format the upgrade
 * introduces.
 */
export class Membership {
  private readonly members = new Map<string, MemberRecord>();
  /** The newest record format that all controllers read; 0 while member records are missing. */
  private commonFormat = 0;

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly names: ControllerNames,
    private readonly refreshMs: number,
    /** The formats and features that this program supports. */
    private readonly ownFormats: SupportedFormats = OWN_FORMATS,
  ) {}

  /** Whether all controllers are known to read records of this format. */
  allRead(recordFormat: number): boolean {
    return this.commonFormat >= recordFormat;
  }

  /** Whether this peer is known to read frames of this version. */
  readsFrameVersion(peer: string, version: number): boolean {
    return this.members.get(peer)?.frameVersions.includes(version) ?? false;
  }

  /**
   * Whether all peers are known to support every format of this program. Further member records
   * cannot change anything then.
   */
  private get isComplete(): boolean {
    const { recordFormat, frameVersions } = this.ownFormats;
    return (
      this.allRead(recordFormat) &&
      this.names.peers.every((peer) =>
        frameVersions.every((frameVersion) => this.readsFrameVersion(peer, frameVersion)),
      )
    );
  }

  /** Writes this controller's member record, then refreshes until all peers are up to date. */
  async run(signal: AbortSignal): Promise<void> {
    await this.writeOwnRecord(signal);
    while (!signal.aborted && !this.isComplete) {
      // If the store is unavailable, no new format is enabled; the next refresh tries again.
      await this.refresh(signal).catch(() => undefined);
      if (!this.isComplete) await this.runtime.clock.sleep(this.refreshMs, signal);
    }
  }

  /** Writes this controller's member record, and retries until it succeeds. */
  private async writeOwnRecord(signal: AbortSignal): Promise<void> {
    const { clock, random, log, startedAt } = this.runtime;
    const record: MemberRecord = {
      name: this.names.self,
      version: VERSION,
      startedAt: Math.round(clock.wall() - (clock.now() - startedAt)),
      recordFormat: this.ownFormats.recordFormat,
      frameVersions: [...this.ownFormats.frameVersions],
      // Without features the record is the same as that of earlier versions.
      ...(this.ownFormats.features ? { features: this.ownFormats.features } : {}),
    };
    const key = KEYS.member(record.name);
    // Conditional on the version that it replaces: an ambiguous write might otherwise be applied
    // after a later process of this controller has written its own record.
    let version = 0;
    let retryDelayMs = this.refreshMs / 4;
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
        await clock.sleep(jitter(retryDelayMs, random), signal);
        retryDelayMs = Math.min(retryDelayMs * 2, this.refreshMs * 4);
      }
    }
  }

  /**
   * Whether every controller currently has a feature enabled. Unlike a format, a feature can be
   * disabled again, so the member records are read from the store each time.
   */
  async isFeatureEnabledByAll(feature: string, signal?: AbortSignal): Promise<boolean> {
    const { items } = await this.store.range(KEYS.members, signal);
    const enabledMembers = new Set<string>();
    for (const { value } of items) {
      const result = z.safeParse(memberRecord, value);
      if (result.success && result.data.features?.includes(feature))
        enabledMembers.add(result.data.name);
    }
    const { self, peers, size } = this.names;
    return (
      enabledMembers.size >= size && [self, ...peers].every((name) => enabledMembers.has(name))
    );
  }

  /** Reads the member records of all controllers once; throws if the store is unavailable. */
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
    const previousFormat = this.commonFormat;
    while (
      this.commonFormat < this.ownFormats.recordFormat &&
      this.isReadByAll(this.commonFormat + 1)
    )
      this.commonFormat++;
    if (this.commonFormat === previousFormat) return;
    const members = [...this.members.keys()];
    this.runtime.log.info(
      { members, recordFormat: this.commonFormat },
      'record format read by all controllers',
    );
    const { rangedRuns } = RECORD_FORMATS;
    // From now on the store may apply its announced limits at any time, so requests must keep to
    // them.
    if (previousFormat < rangedRuns && this.allRead(rangedRuns)) this.store.limits.applyAnnounced();
  }

  /** Whether every controller has a record that names this format or a later one. */
  private isReadByAll(recordFormat: number): boolean {
    const { self, peers, size } = this.names;
    const supporting = [...this.members.values()].filter(
      (member) => member.recordFormat >= recordFormat,
    );
    const names = new Set(supporting.map((member) => member.name));
    return names.size >= size && [self, ...peers].every((name) => names.has(name));
  }
}
