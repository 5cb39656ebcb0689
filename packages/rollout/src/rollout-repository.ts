/** In-memory copy of the rollout records, as last read from or written to the store. */
import type { RecordRepository } from '@leverhatch/core/fenced-records';
import type { Entry } from '@leverhatch/core/store';
import { ROLLOUT_KEYS } from './keys.js';
import { parseSpec, type SpecRecord } from './spec.js';
import { isFinal, parseManifest, parseStatus, type StatusRecord } from './status.js';

/** A record and the version of its key; `record` is null if the stored value is invalid. */
export interface Versioned<T> {
  record: T | null;
  version: number;
}

/** All stored records of one rollout. */
export interface Rollout {
  id: string;
  spec: Versioned<SpecRecord>;
  /** Null if the leader has not written a status yet. */
  status: Versioned<StatusRecord> | null;
}

/** A rollout whose records are all readable. */
export interface ReadableRollout {
  id: string;
  spec: { record: SpecRecord; version: number };
  status: { record: StatusRecord; version: number } | null;
}

/** Whether all records of a rollout are readable. */
export function isReadable(rollout: Rollout): rollout is ReadableRollout {
  return rollout.spec.record !== null && rollout.status?.record !== null;
}

/** Whether a rollout is in progress; one with an unreadable status counts as open. */
export const isOpen = ({ status }: Rollout): boolean =>
  !status?.record || !isFinal(status.record.phase);

/** The jobs that a rollout names; empty if neither record is readable. */
export function jobsOf({ spec, status }: Rollout): string[] {
  const names = spec.record ?? status?.record;
  return names ? [names.from, names.to] : [];
}

/** All rollout records; the only module that maps store keys to records. */
export class RolloutRepository implements RecordRepository {
  /** Version of the manifest's key and the revision stored in it; both are 0 before the first write. */
  manifestVersion = 0;
  revision = 0;
  private isManifestReadable = true;
  private readonly specs = new Map<string, Versioned<SpecRecord>>();
  private readonly statuses = new Map<string, Versioned<StatusRecord>>();

  /** Creates a repository from all entries under the prefix `ROLLOUT_KEYS.all`. */
  static fromEntries(entries: readonly Entry[]): RolloutRepository {
    const repository = new RolloutRepository();
    for (const entry of entries) repository.apply(entry);
    return repository;
  }

  /** Applies one entry unless a newer version of its key is known. */
  apply({ key, value, version }: Entry): void {
    if (key === ROLLOUT_KEYS.manifest) this.applyManifest(value, version);
    else if (key.startsWith(ROLLOUT_KEYS.specs)) {
      applyNewer(this.specs, key.slice(ROLLOUT_KEYS.specs.length), parseSpec(value), version);
    } else if (key.startsWith(ROLLOUT_KEYS.statuses)) {
      applyNewer(
        this.statuses,
        key.slice(ROLLOUT_KEYS.statuses.length),
        parseStatus(value),
        version,
      );
    }
  }

  /** Removes the record of a deleted key. */
  remove(key: string): void {
    if (key.startsWith(ROLLOUT_KEYS.specs)) this.specs.delete(key.slice(ROLLOUT_KEYS.specs.length));
    if (key.startsWith(ROLLOUT_KEYS.statuses)) {
      this.statuses.delete(key.slice(ROLLOUT_KEYS.statuses.length));
    }
  }

  /** Of an unreadable manifest only the version is used, which still fences starts. */
  private applyManifest(value: unknown, version: number): void {
    if (version <= this.manifestVersion) return;
    this.manifestVersion = version;
    const manifest = parseManifest(value);
    this.isManifestReadable = manifest !== null;
    if (manifest) this.revision = manifest.revision;
  }

  /** All rollouts, in the order in which they were requested. */
  get rollouts(): Rollout[] {
    const ids = new Set([...this.specs.keys(), ...this.statuses.keys()]);
    return [...ids]
      .map((id) => this.rollout(id))
      .filter((rollout) => rollout !== null)
      .sort((a, b) => requestTime(a) - requestTime(b) || (a.id < b.id ? -1 : 1));
  }

  /** One rollout; null if it has no records. */
  rollout(id: string): Rollout | null {
    const spec = this.specs.get(id);
    const status = this.statuses.get(id) ?? null;
    if (!spec && !status) return null;
    // A status without a spec, which was deleted externally: such a rollout counts as unreadable.
    return { id, spec: spec ?? { record: null, version: 0 }, status };
  }

  /** Keys whose records are unreadable. */
  unreadableKeys(): string[] {
    const keys: string[] = this.isManifestReadable ? [] : [ROLLOUT_KEYS.manifest];
    for (const { id, spec, status } of this.rollouts) {
      if (spec.record === null) keys.push(ROLLOUT_KEYS.spec(id));
      if (status?.record === null) keys.push(ROLLOUT_KEYS.status(id));
    }
    return keys;
  }
}

/** Sort key of rollouts. The version of the spec is not usable, since a pause rewrites the spec. */
const requestTime = ({ spec }: Rollout): number => spec.record?.requestedAt ?? 0;

function applyNewer<T extends { id: string }>(
  records: Map<string, Versioned<T>>,
  id: string,
  record: T | null,
  version: number,
): void {
  if (version <= (records.get(id)?.version ?? 0)) return;
  records.set(id, { record: record?.id === id ? record : null, version });
}
