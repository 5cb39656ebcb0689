/**
 * The port to the store, a consensus-backed key-value store, as extensions use it. The controller's client
 * implements it; tests pass in one in memory.
 */

/** One key and its value. */
export interface Entry {
  key: string;
  value: unknown;
  /** The store's revision at its last change. */
  version: number;
}

/** What a compare-and-swap transaction requires of a key. */
export interface Condition {
  key: string;
  /** The version that the key must have; 0: the key must not exist. */
  version: number;
}

/** What a transaction does to a key. */
export type Change = { put: string; value: object; lease?: number } | { delete: string };

/** One change that a watch reports. */
export type StoreEvent =
  { key: string; value: unknown; version: number } | { key: string; gone: true };

/** The order in which requests are served, lower values first; nobody waits for `Background`. */
export const RequestPriority = { Critical: 0, High: 1, Normal: 2, Background: 3 } as const;
/** One of the priorities above. */
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

/**
 * The outcome of a transaction that was repeated until the store answered; `failed` lists the keys whose
 * conditions did not hold. `ambiguous`: an earlier attempt of the same transaction got no answer. It may have
 * been applied, or may still be applied if its conditions hold again.
 */
export type CommitResult = ({ ok: true; revision: number } | { ok: false; failed: string[] }) & {
  ambiguous: boolean;
};

/** The revision that a watch continues from was compacted: the keys have to be read again. */
export class RevisionCompactedError extends Error {}

/** What extensions need of the store. */
export interface StorePort {
  /** All entries below `prefix`, and the revision from which to watch them. */
  range(prefix: string, signal?: AbortSignal): Promise<{ items: Entry[]; revision: number }>;
  /** One entry; null if there is none. */
  get(key: string, priority: RequestPriority, signal?: AbortSignal): Promise<Entry | null>;
  /** One attempt. Rejects if the store did not execute it, and if the result is ambiguous. */
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
  /**
   * Waits up to `waitMs` milliseconds for changes below `prefix` after revision `after`. Rejects with
   * `RevisionCompactedError` if some of them can no longer be read.
   */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<{ revision: number; events: StoreEvent[] }>;
}
