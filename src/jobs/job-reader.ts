/** Bulk reads of job records with few requests. */

import { RequestPriority } from '@leverhatch/core/store';
import { KEYS } from '../state/keys.js';
import type { Entry, RequestClass, Store } from '../state/store.js';

/** Up to so many records are read one by one, at the cost of a request each. */
export const MAX_SINGLE_READS = 4;

/** Pages hold at least so many records: jobs that were submitted together have close names. */
const MIN_PAGE_RECORDS = 200;
const MAX_PAGE_RECORDS = 1000;

/** How records are read. */
export interface ReadOptions {
  signal?: AbortSignal;
  /** Request class towards the store; `RequestPriority.Critical` unless given. */
  requestClass?: RequestClass;
  /** Called with every other record on the pages, which are as large as possible then. */
  onOtherEntry?: (entry: Entry) => void;
}

/**
 * Reads the records of many jobs with few requests: pages of the key range that begin at the next
 * job still looked for. Each record is as the store had it at some time after the call; a job that
 * was never accepted is missing from the result.
 */
export async function readJobEntries(
  store: Store,
  ids: readonly string[],
  { signal, requestClass = RequestPriority.Critical, onOtherEntry }: ReadOptions = {},
): Promise<Map<string, Entry>> {
  if (ids.length <= MAX_SINGLE_READS) return readOneByOne(store, ids, requestClass, signal);
  const minPageRecords = onOtherEntry ? MAX_PAGE_RECORDS : MIN_PAGE_RECORDS;
  const found = new Map<string, Entry>();
  const wanted = new Set(ids.map(KEYS.job));
  const keys = [...wanted].sort();
  let next = 0;
  for (let key = keys[next]; key !== undefined; key = keys[next]) {
    const limit = Math.min(MAX_PAGE_RECORDS, Math.max(minPageRecords, keys.length - next));
    const page = await store.page(KEYS.jobs, justBefore(key), limit, signal, requestClass);
    for (const entry of page.items) {
      if (wanted.has(entry.key)) found.set(entry.key.slice(KEYS.jobs.length), entry);
      else onOtherEntry?.(entry);
    }
    const last = page.items[page.items.length - 1]?.key;
    if (!page.more || last === undefined) break;
    next = firstAfter(keys, last, next);
  }
  return found;
}

/** Index of the first of the sorted `keys`, from `start` on, that is greater than `last`. */
function firstAfter(keys: readonly string[], last: string, start: number): number {
  const offset = keys.slice(start).findIndex((key) => key > last);
  return offset < 0 ? keys.length : start + offset;
}

async function readOneByOne(
  store: Store,
  ids: readonly string[],
  requestClass: RequestClass,
  signal?: AbortSignal,
): Promise<Map<string, Entry>> {
  const entries = await Promise.all(ids.map((id) => store.get(KEYS.job(id), requestClass, signal)));
  const found = new Map<string, Entry>();
  ids.forEach((id, i) => {
    const entry = entries[i];
    if (entry) found.set(id, entry);
  });
  return found;
}

/**
 * A key that sorts before `key` and after every other key of a job: those end in a digit, and no
 * digit sorts after `~`.
 */
function justBefore(key: string): string {
  const last = key.charCodeAt(key.length - 1);
  return `${key.slice(0, -1)}${String.fromCharCode(last - 1)}~`;
}
