/** The share records of the state service, as they were last read or written. */
import type { RecordRepository } from '@leverhatch/core/fenced-records';
import type { Entry } from '@leverhatch/core/store';
import { QUOTA_TRANSFER_KEYS } from './keys.js';
import {
  isFinal,
  parseManifest,
  parseTransfer,
  parseArchivedTotal,
  type TransferRecord,
  type ArchivedTotalRecord,
} from './transfer-record.js';
import type { QuotaRecords } from './quota-table.js';

/** A record and the version of its key. */
export interface Versioned<T> {
  record: T;
  version: number;
}

/** All share records; the one place that knows which key holds what. */
export class QuotaTransferRepository implements RecordRepository {
  /** Version and revision of the head; both 0 before the first change of the table. */
  manifestVersion = 0;
  revision = 0;
  readonly transfers = new Map<string, Versioned<TransferRecord>>();
  readonly archivedTotals = new Map<string, Versioned<ArchivedTotalRecord>>();
  /** Keys whose records cannot be read, with their versions. */
  readonly unreadable = new Map<string, number>();

  static fromEntries(entries: readonly Entry[]): QuotaTransferRepository {
    const repository = new QuotaTransferRepository();
    for (const entry of entries) repository.apply(entry);
    return repository;
  }

  /** Takes in one entry, unless a newer one of the same key is known. */
  apply({ key, value, version }: Entry): void {
    if (version <= this.versionOf(key)) return;
    this.unreadable.delete(key);
    if (key === QUOTA_TRANSFER_KEYS.manifest) this.applyManifest(value, version);
    else if (key.startsWith(QUOTA_TRANSFER_KEYS.transfers)) this.applyTransfer(key, value, version);
    else if (key.startsWith(QUOTA_TRANSFER_KEYS.archivedTotals))
      this.applyArchivedTotal(key, value, version);
  }

  remove(key: string): void {
    this.unreadable.delete(key);
    this.archivedTotals.delete(key);
    if (key.startsWith(QUOTA_TRANSFER_KEYS.transfers))
      this.transfers.delete(key.slice(QUOTA_TRANSFER_KEYS.transfers.length));
  }

  unreadableKeys(): Iterable<string> {
    return this.unreadable.keys();
  }

  private versionOf(key: string): number {
    if (key === QUOTA_TRANSFER_KEYS.manifest) return this.manifestVersion;
    const unreadable = this.unreadable.get(key) ?? 0;
    if (key.startsWith(QUOTA_TRANSFER_KEYS.transfers)) {
      const move = this.transfers.get(key.slice(QUOTA_TRANSFER_KEYS.transfers.length));
      return Math.max(unreadable, move?.version ?? 0);
    }
    return Math.max(unreadable, this.archivedTotals.get(key)?.version ?? 0);
  }

  /** Of a head that cannot be read only the version counts: it still fences what starts work. */
  private applyManifest(value: unknown, version: number): void {
    this.manifestVersion = version;
    const manifest = parseManifest(value);
    if (manifest) this.revision = manifest.revision;
    else this.unreadable.set(QUOTA_TRANSFER_KEYS.manifest, version);
  }

  private applyTransfer(key: string, value: unknown, version: number): void {
    const id = key.slice(QUOTA_TRANSFER_KEYS.transfers.length);
    const record = parseTransfer(value);
    if (record?.id === id) this.transfers.set(id, { record, version });
    else {
      this.transfers.delete(id);
      this.unreadable.set(key, version);
    }
  }

  private applyArchivedTotal(key: string, value: unknown, version: number): void {
    const record = parseArchivedTotal(value);
    if (record) this.archivedTotals.set(key, { record, version });
    else {
      this.archivedTotals.delete(key);
      this.unreadable.set(key, version);
    }
  }

  /** What the table follows from. */
  get records(): QuotaRecords {
    return {
      archivedTotals: [...this.archivedTotals.values()].map(({ record }) => record),
      transfers: [...this.transfers.values()].map(({ record }) => record),
    };
  }

  /** Moves that have not begun, in the order in which the store took them. */
  get requests(): TransferRecord[] {
    return [...this.transfers.values()]
      .filter(({ record }) => record.phase === 'requested')
      .sort((a, b) => a.record.requestedAt - b.record.requestedAt || a.version - b.version)
      .map(({ record }) => record);
  }

  /** How many moves are not over. */
  get openTransfers(): number {
    let open = 0;
    for (const { record } of this.transfers.values()) if (!isFinal(record.phase)) open++;
    return open;
  }

  /** Moves that are over, the oldest first. */
  get history(): TransferRecord[] {
    return [...this.transfers.values()]
      .map(({ record }) => record)
      .filter((record) => isFinal(record.phase))
      .sort((a, b) => a.changedAt - b.changedAt || (a.id < b.id ? -1 : 1));
  }
}
