/**
 * The state service as parts of the controller use it. The service's own client implements this port;
 * tests bring one in memory.
 */

/** One key and what it holds. */
export interface Entry {
  key: string;
  value: unknown;
  /** The revision of its last change. */
  version: number;
}

/** What a transaction requires of a key. */
export interface Condition {
  key: string;
  /** 0: the key must not exist. */
  version: number;
}

/** What a transaction does to a key. */
export type Change = { put: string; value: object; lease?: number } | { delete: string };

/** One change that a watch tells of. */
export type StoreEvent =
  { key: string; value: unknown; version: number } | { key: string; gone: true };

/** How soon a request is wanted: a lower value is served first, and nobody waits for `Background`. */
export const RequestPriority = { Critical: 0, High: 1, Normal: 2, Background: 3 } as const;
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

/**
 * `doubtful`: an earlier copy of the same transaction got no answer. It may have been applied, or may
 * be applied later if its conditions hold again then.
 */
export type CommitResult = ({ ok: true; revision: number } | { ok: false; failed: string[] }) & {
  ambiguous: boolean;
};

/** A watch cannot go on from where it was: the keys have to be read again. */
export class RevisionCompactedError extends Error {}

/** What parts beside the scheduler need of the state service. */
export interface StorePort {
  /** All entries below `prefix`, and the revision from which to follow them. */
  range(prefix: string, signal?: AbortSignal): Promise<{ items: Entry[]; revision: number }>;
  /** One entry; null if there is none. */
  get(key: string, priority: RequestPriority, signal?: AbortSignal): Promise<Entry | null>;
  /** One try. Rejects if the store did not execute it, or if that cannot be told. */
  tryCommit(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<{ ok: true; revision: number } | { ok: false; failed: string[] }>;
  /** Repeats one transaction until the store gives a definite answer. */
  commit(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
    signal: AbortSignal,
  ): Promise<CommitResult>;
  /** Waits for changes below `prefix`; rejects with `HistoryLost` if some were missed. */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<{ revision: number; events: StoreEvent[] }>;
}
