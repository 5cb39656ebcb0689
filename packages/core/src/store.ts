/**
 * The interface through which extensions use the store, a consensus-backed key-value store. The controller's
 * client implements it; tests inject an in-memory one.
 */

/** A key, its value and its version. */
export interface Entry {
  key: string;
  value: unknown;
  /** Revision of the store at the last change of this key. */
  version: number;
}

/** Precondition of a compare-and-swap transaction on one key. */
export interface Condition {
  key: string;
  /** Required version of the key; 0: the key must not exist. */
  version: number;
}

/** Effect of a transaction on one key. */
export type Change = { put: string; value: object; lease?: number } | { delete: string };

/** One change reported by a watch: a new value, or the deletion of a key. */
export type StoreEvent =
  { key: string; value: unknown; version: number } | { key: string; gone: true };

/** Order in which requests are served, lower values first; `Background` is for those that nobody waits for. */
export const RequestPriority = { Critical: 0, High: 1, Normal: 2, Background: 3 } as const;
/** One of these priorities. */
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

/**
 * The result of a transaction that was retried until the store responded; `failed` lists the keys whose
 * conditions did not hold. `ambiguous`: an earlier attempt of the same transaction got no response. It may
 * have been applied, or may still be applied if its conditions hold again.
 */
export type CommitResult = ({ ok: true; revision: number } | { ok: false; failed: string[] }) & {
  ambiguous: boolean;
};

/** Thrown when the start revision of a watch was compacted: the keys have to be read again. */
export class RevisionCompactedError extends Error {}

/** Operations of the store that extensions use. */
export interface StorePort {
  /** Returns all entries below `prefix`, and the revision from which to watch them. */
  range(prefix: string, signal?: AbortSignal): Promise<{ items: Entry[]; revision: number }>;
  /** Returns one entry; null if the key does not exist. */
  get(key: string, priority: RequestPriority, signal?: AbortSignal): Promise<Entry | null>;
  /** Attempts a transaction once. Rejects if the store did not execute it or the result is ambiguous. */
  tryCommit(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<{ ok: true; revision: number } | { ok: false; failed: string[] }>;
  /** Retries one transaction until the store returns a definite result. */
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
