/** The share records of the state service, as they were last read or written. */
import type { RecordBook } from '@leverhatch/core/fenced-records';
import type { Entry } from '@leverhatch/core/store';
import { SHARE_KEYS } from './keys.js';
import {
  isFinal,
  parseHead,
  parseMove,
  parseSettled,
  type MoveRecord,
  type SettledRecord,
} from './move.js';
import type { ShareRecords } from './table.js';

/** A record and the version of its key. */
export interface Versioned<T> {
  record: T;
  version: number;
}

/** All share records; the one place that knows which key holds what. */
export class ShareBook implements RecordBook {
  /** Version and revision of the head; both 0 before the first change of the table. */
  headVersion = 0;
  revision = 0;
  readonly moves = new Map<string, Versioned<MoveRecord>>();
  readonly settled = new Map<string, Versioned<SettledRecord>>();
  /** Keys whose records cannot be read, with their versions. */
  readonly unreadable = new Map<string, number>();

  static of(entries: readonly Entry[]): ShareBook {
    const book = new ShareBook();
    for (const entry of entries) book.take(entry);
    return book;
  }

  /** Takes in one entry, unless a newer one of the same key is known. */
  take({ key, value, version }: Entry): void {
    if (version <= this.versionOf(key)) return;
    this.unreadable.delete(key);
    if (key === SHARE_KEYS.head) this.takeHead(value, version);
    else if (key.startsWith(SHARE_KEYS.moves)) this.takeMove(key, value, version);
    else if (key.startsWith(SHARE_KEYS.settledAll)) this.takeSettled(key, value, version);
  }

  remove(key: string): void {
    this.unreadable.delete(key);
    this.settled.delete(key);
    if (key.startsWith(SHARE_KEYS.moves)) this.moves.delete(key.slice(SHARE_KEYS.moves.length));
  }

  unreadableKeys(): Iterable<string> {
    return this.unreadable.keys();
  }

  private versionOf(key: string): number {
    if (key === SHARE_KEYS.head) return this.headVersion;
    const unreadable = this.unreadable.get(key) ?? 0;
    if (key.startsWith(SHARE_KEYS.moves)) {
      const move = this.moves.get(key.slice(SHARE_KEYS.moves.length));
      return Math.max(unreadable, move?.version ?? 0);
    }
    return Math.max(unreadable, this.settled.get(key)?.version ?? 0);
  }

  /** Of a head that cannot be read only the version counts: it still fences what starts work. */
  private takeHead(value: unknown, version: number): void {
    this.headVersion = version;
    const head = parseHead(value);
    if (head) this.revision = head.revision;
    else this.unreadable.set(SHARE_KEYS.head, version);
  }

  private takeMove(key: string, value: unknown, version: number): void {
    const id = key.slice(SHARE_KEYS.moves.length);
    const record = parseMove(value);
    if (record?.id === id) this.moves.set(id, { record, version });
    else {
      this.moves.delete(id);
      this.unreadable.set(key, version);
    }
  }

  private takeSettled(key: string, value: unknown, version: number): void {
    const record = parseSettled(value);
    if (record) this.settled.set(key, { record, version });
    else {
      this.settled.delete(key);
      this.unreadable.set(key, version);
    }
  }

  /** What the table follows from. */
  get records(): ShareRecords {
    return {
      settled: [...this.settled.values()].map(({ record }) => record),
      moves: [...this.moves.values()].map(({ record }) => record),
    };
  }

  /** Moves that have not begun, in the order in which the store took them. */
  get requests(): MoveRecord[] {
    return [...this.moves.values()]
      .filter(({ record }) => record.phase === 'requested')
      .sort((a, b) => a.record.requestedAt - b.record.requestedAt || a.version - b.version)
      .map(({ record }) => record);
  }

  /** How many moves are not over. */
  get openMoves(): number {
    let open = 0;
    for (const { record } of this.moves.values()) if (!isFinal(record.phase)) open++;
    return open;
  }

  /** Moves that are over, the oldest first. */
  get history(): MoveRecord[] {
    return [...this.moves.values()]
      .map(({ record }) => record)
      .filter((record) => isFinal(record.phase))
      .sort((a, b) => a.changedAt - b.changedAt || (a.id < b.id ? -1 : 1));
  }
}
