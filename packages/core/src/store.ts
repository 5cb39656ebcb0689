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

/** How soon a request is wanted: 0 goes first; what has 3 is in no hurry, and nobody waits for it. */
export type Urgency = 0 | 1 | 2 | 3;

/**
 * `doubtful`: an earlier copy of the same transaction got no answer. It may have been applied, or may
 * be applied later if its conditions hold again then.
 */
export type Outcome = ({ ok: true; revision: number } | { ok: false; failed: string[] }) & {
  doubtful: boolean;
};

/** A watch cannot go on from where it was: the keys have to be read again. */
export class HistoryLost extends Error {}

/** What parts beside the scheduler need of the state service. */
export interface StorePort {
  /** All entries below `prefix`, and the revision from which to follow them. */
  range(prefix: string, signal?: AbortSignal): Promise<{ items: Entry[]; revision: number }>;
  /** One entry; null if there is none. */
  get(key: string, urgency: Urgency, signal?: AbortSignal): Promise<Entry | null>;
  /** One try. Rejects if the store did not execute it, or if that cannot be told. */
  txn(
    when: Condition[],
    then: Change[],
    urgency: Urgency,
    signal?: AbortSignal,
  ): Promise<{ ok: true; revision: number } | { ok: false; failed: string[] }>;
  /** Repeats one transaction until the store gives a definite answer. */
  commit(
    when: Condition[],
    then: Change[],
    urgency: Urgency,
    signal: AbortSignal,
  ): Promise<Outcome>;
  /** Waits for changes below `prefix`; rejects with `HistoryLost` if some were missed. */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<{ revision: number; events: StoreEvent[] }>;
}
