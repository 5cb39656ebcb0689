import type { Change, Condition, Entry, StoreEvent } from '@leverhatch/core/store';
import { z } from 'zod/mini';

export type { Change, Condition, Entry, StoreEvent } from '@leverhatch/core/store';

const count = z.int().check(z.nonnegative());
const entry = z.object({ k: z.string(), value: z.unknown(), stamp: count });
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

const toEntry = (e: z.infer<typeof entry>): Entry => ({
  key: e.k,
  value: e.value,
  version: e.stamp,
});

export const parseEntry = (body: unknown): Entry => toEntry(z.parse(entry, body));

/** A part of a range, in key order; `more`: it goes on after the last item. */
export interface RangePage {
  items: Entry[];
  more: boolean;
  revision: number;
}

export function parseRange(body: unknown): RangePage {
  const page = z.parse(rangePage, body);
  return { items: page.entries.map(toEntry), more: page.more, revision: page.ledgerRev };
}

export const parseCommitted = (body: unknown): number => z.parse(committed, body).ledgerRev;
export const parseConflict = (body: unknown): string[] => z.parse(conflict, body).failed;
export const parseGranted = (body: unknown): number => z.parse(granted, body).hold;

export function parseWatch(body: unknown): { revision: number; events: StoreEvent[] } {
  const page = z.parse(follow, body);
  return {
    revision: page.ledgerRev,
    events: page.news.map((n) =>
      'write' in n
        ? { key: n.write, value: n.value, version: n.stamp }
        : { key: n.delete, gone: true },
    ),
  };
}

export function transactionBody(conditions: Condition[], changes: Change[]): object {
  return {
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

/** Whether a rejected transaction named a lease that has ended. */
export const isLeaseNotFound = (body: unknown): boolean =>
  typeof body === 'object' &&
  body !== null &&
  (body as { error?: unknown }).error === 'no such lease';

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
  /** A wait that is no integer would count as none, and the answer would come at once. */
  watch: (prefix: string, after: number, waitMs: number): string =>
    `/follow?starts=${encodeURIComponent(prefix)}&since=${after}&holdMs=${Math.round(waitMs)}`,
};
export const RANGE_PAGE = 1000;
export const leaseBody = (ttlMs: number): object => ({ lifeMs: ttlMs });
