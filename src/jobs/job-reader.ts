/** Bulk reads of job records in few requests. */

import { RequestPriority } from '@leverhatch/core/store';
import { KEYS } from '../state/keys.js';
import type { Entry, RequestClass, Store } from '../state/store.js';

/** Up to this many records are read individually, at the cost of one request each. */
export const MAX_SINGLE_READS = 4;

/** Minimum page size: the ids of jobs that were submitted together are close to each other. */
const MIN_PAGE_RECORDS = 200;
const MAX_PAGE_RECORDS = 1000;

/** Options for reading job records. */
export interface ReadOptions {
  signal?: AbortSignal;
  /** Request class for the store; defaults to `RequestPriority.Critical`. */
  requestClass?: RequestClass;
  /** Called with each record on a page that was not requested; pages then have maximum size. */
  onOtherEntry?: (entry: Entry) => void;
}

/**
 * Reads the records of many jobs in few requests: in pages of the key range, each starting at the
 * next requested job. Each record is as stored at some time after the call; a job that was never
 * accepted is absent from the result.
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
    const page = await store.page(KEYS.jobs, keyJustBefore(key), limit, signal, requestClass);
    for (const entry of page.items) {
      if (wanted.has(entry.key)) found.set(entry.key.slice(KEYS.jobs.length), entry);
      else onOtherEntry?.(entry);
    }
    const last = page.items[page.items.length - 1]?.key;
    if (!page.more || last === undefined) break;
    next = firstIndexAfter(keys, last, next);
  }
  return found;
}

/** Returns the index of the first of the sorted `keys`, from `start` on, that is above `last`. */
function firstIndexAfter(keys: readonly string[], last: string, start: number): number {
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
 * Returns a key that sorts before `key` and after all smaller job keys: these end in a digit, and
 * no digit sorts after `~`.
 */
function keyJustBefore(key: string): string {
  const last = key.charCodeAt(key.length - 1);
  return `${key.slice(0, -1)}${String.fromCharCode(last - 1)}~`;
}
