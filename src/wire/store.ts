/**
 * Maps the interface of the key-value store (section "state" of PROTOCOL) to the names of the source.
 * The field names in the schemas and bodies are part of that interface and must not change.
 */
import type { Change, Condition, Entry, StoreEvent } from '@leverhatch/core/store';
import { z } from 'zod/mini';

export type { Change, Condition, Entry, StoreEvent } from '@leverhatch/core/store';

const count = z.int().check(z.nonnegative());
const entry = z.object({
  // eslint-disable-next-line id-length -- the store's field name
  k: z.string(),
  value: z.unknown(),
  stamp: count,
});
const rangePage = z.object({
  entries: z.array(entry),
  more: z._default(z.boolean(), false),
  ledgerRev: count,
});
const committed = z.object({ ledgerRev: count });
const conflict = z.object({ failed: z.array(z.string()), ledgerRev: count });
const granted = z.object({ hold: count });
const follow = z.object({
  ledgerRev: count,
  news: z.array(
    z.union([
      z.object({ write: z.string(), value: z.unknown(), stamp: count }),
      z.object({ delete: z.string(), stamp: z.optional(count) }),
    ]),
  ),
});

const toEntry = (item: z.infer<typeof entry>): Entry => ({
  key: item.k,
  value: item.value,
  version: item.stamp,
});

/** Parses one entry. Like all parsers of this module, it throws if the body is malformed. */
export const parseEntry = (body: unknown): Entry => toEntry(z.parse(entry, body));

/** One page of a range, in key order; `more`: further pages follow. */
export interface RangePage {
  items: Entry[];
  more: boolean;
  revision: number;
}

/** Parses one page of a range. */
export function parseRange(body: unknown): RangePage {
  const page = z.parse(rangePage, body);
  return { items: page.entries.map(toEntry), more: page.more, revision: page.ledgerRev };
}

/** Parses the revision of a transaction that was applied. */
export const parseCommitted = (body: unknown): number => z.parse(committed, body).ledgerRev;
/** Parses the keys whose conditions failed. */
export const parseConflict = (body: unknown): string[] => z.parse(conflict, body).failed;
/** Parses the number of a lease that was granted. */
export const parseGranted = (body: unknown): number => z.parse(granted, body).hold;

/** Parses the changes that a watch reports, and the revision from which to continue. */
export function parseWatch(body: unknown): { revision: number; events: StoreEvent[] } {
  const page = z.parse(follow, body);
  return {
    revision: page.ledgerRev,
    events: page.news.map((change) =>
      'write' in change
        ? { key: change.write, value: change.value, version: change.stamp }
        : { key: change.delete, gone: true },
    ),
  };
}

/** Builds the body of a compare-and-swap transaction. */
export function transactionBody(conditions: Condition[], changes: Change[]): object {
  return {
    // eslint-disable-next-line id-length -- the store's field name
    when: conditions.map((condition) => ({ k: condition.key, stamp: condition.version })),
    then: changes.map((change) =>
      'put' in change
        ? {
            write: change.put,
            value: change.value,
            ...(change.lease === undefined ? {} : { hold: change.lease }),
          }
        : { delete: change.delete },
    ),
  };
}

/** Whether a transaction was rejected because its lease has ended. */
export const isLeaseNotFound = (body: unknown): boolean =>
  typeof body === 'object' &&
  body !== null &&
  (body as { error?: unknown }).error === 'no such lease';

/** Paths of the store's requests. */
export const STORE_PATHS = {
  key: (key: string): string => `/store/${key}`,
  range: (prefix: string, after: string | null, limit: number): string =>
    `/store?starts=${encodeURIComponent(prefix)}` +
    (after === null ? '' : `&since=${encodeURIComponent(after)}`) +
    `&page=${limit}`,
  transaction: '/txn',
  leases: '/grants',
  renew: (lease: number): string => `/grants/${lease}/extend`,
  lease: (lease: number): string => `/grants/${lease}`,
  /** The wait is rounded because the store ignores a non-integer one and responds at once. */
  watch: (prefix: string, after: number, waitMs: number): string =>
    `/follow?starts=${encodeURIComponent(prefix)}&since=${after}&holdMs=${Math.round(waitMs)}`,
};

/** The number of entries on one page of a range. */
export const RANGE_PAGE = 1000;

/** Builds the body of a request for a lease of `ttlMs` milliseconds. */
export const leaseBody = (ttlMs: number): object => ({ lifeMs: ttlMs });
