/** In-memory copy of the quota transfer records, as last read or written. */
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

/** A record and the store version of its key. */
export interface Versioned<T> {
  record: T;
  version: number;
}

/** A step refers to a transfer that has no record. This is a bug: steps are derived from the records. */
export class UnknownTransferError extends Error {
  constructor(readonly transfer: string) {
    super(`quota transfer ${transfer} has no record`);
    this.name = 'UnknownTransferError';
  }
}

/** Extracts the id of a transfer from the key of its record. */
const transferIdOf = (key: string): string => key.slice(QUOTA_TRANSFER_KEYS.transfers.length);

/** All quota transfer records. Only this class maps keys to kinds of records. */
export class QuotaTransferRepository implements RecordRepository {
  /** Version and revision of the manifest; both are 0 before the first change of the quota table. */
  manifestVersion = 0;
  revision = 0;
  /** Transfers by id. */
  readonly transfers = new Map<string, Versioned<TransferRecord>>();
  /** Archived totals by key. */
  readonly archivedTotals = new Map<string, Versioned<ArchivedTotalRecord>>();
  /** Keys whose records cannot be parsed, with their versions. */
  readonly unreadable = new Map<string, number>();

  /** Creates a repository from the result of reading all keys. */
  static fromEntries(entries: readonly Entry[]): QuotaTransferRepository {
    const repository = new QuotaTransferRepository();
    for (const entry of entries) repository.apply(entry);
    return repository;
  }

  /** Applies one entry, unless a newer version of the same key is already known. */
  apply({ key, value, version }: Entry): void {
    if (version <= this.versionOf(key)) return;
    this.unreadable.delete(key);
    if (key === QUOTA_TRANSFER_KEYS.manifest) this.applyManifest(value, version);
    else if (key.startsWith(QUOTA_TRANSFER_KEYS.transfers)) this.applyTransfer(key, value, version);
    else if (key.startsWith(QUOTA_TRANSFER_KEYS.archivedTotals))
      this.applyArchivedTotal(key, value, version);
  }

  /** Removes the record of a deleted key. */
  remove(key: string): void {
    this.unreadable.delete(key);
    this.archivedTotals.delete(key);
    if (key.startsWith(QUOTA_TRANSFER_KEYS.transfers)) this.transfers.delete(transferIdOf(key));
  }

  /** Keys whose records cannot be parsed. */
  unreadableKeys(): Iterable<string> {
    return this.unreadable.keys();
  }

  /** The store version of a transfer that must be in the repository. */
  transferVersion(id: string): number {
    const entry = this.transfers.get(id);
    if (!entry) throw new UnknownTransferError(id);
    return entry.version;
  }

  private versionOf(key: string): number {
    if (key === QUOTA_TRANSFER_KEYS.manifest) return this.manifestVersion;
    const unreadable = this.unreadable.get(key) ?? 0;
    if (key.startsWith(QUOTA_TRANSFER_KEYS.transfers)) {
      const transfer = this.transfers.get(transferIdOf(key));
      return Math.max(unreadable, transfer?.version ?? 0);
    }
    return Math.max(unreadable, this.archivedTotals.get(key)?.version ?? 0);
  }

  /** The version of an unreadable manifest is still used: it fences transactions that start tasks. */
  private applyManifest(value: unknown, version: number): void {
    this.manifestVersion = version;
    const manifest = parseManifest(value);
    if (manifest) this.revision = manifest.revision;
    else this.unreadable.set(QUOTA_TRANSFER_KEYS.manifest, version);
  }

  private applyTransfer(key: string, value: unknown, version: number): void {
    const id = transferIdOf(key);
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

  /** The records from which the quota table is derived. */
  get records(): QuotaRecords {
    return {
      archivedTotals: [...this.archivedTotals.values()].map(({ record }) => record),
      transfers: [...this.transfers.values()].map(({ record }) => record),
    };
  }

  /** Transfers that have not begun, by time of request; for equal times in the order of their versions. */
  get requests(): TransferRecord[] {
    return [...this.transfers.values()]
      .filter(({ record }) => record.phase === 'requested')
      .sort((a, b) => a.record.requestedAt - b.record.requestedAt || a.version - b.version)
      .map(({ record }) => record);
  }

  /** Number of transfers that have not ended. */
  get openTransfers(): number {
    let open = 0;
    for (const { record } of this.transfers.values()) if (!isFinal(record.phase)) open++;
    return open;
  }

  /** Transfers that have ended, oldest first. */
  get history(): TransferRecord[] {
    return [...this.transfers.values()]
      .map(({ record }) => record)
      .filter((record) => isFinal(record.phase))
      .sort((a, b) => a.changedAt - b.changedAt || (a.id < b.id ? -1 : 1));
  }
}
