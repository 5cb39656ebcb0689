import { RequestPriority } from '@leverhatch/core/store';
import { KEYS } from '../state/keys.js';
import type { Entry, RequestClass, Store } from '../state/store.js';

/** Up to so many records are read one by one, at the cost of a request each. */
export const MAX_SINGLE_READS = 4;

/** Pages hold at least so many records: jobs that were submitted together have close names. */
const MIN_PAGE = 200;
const MAX_PAGE = 1000;

export interface ReadOptions {
  signal?: AbortSignal;
  /** On whose behalf the store is asked; the most urgent work unless given. */
  requestClass?: RequestClass;
  /** Is told of all other records on the pages, which are as large as can be then. */
  onOtherEntry?(entry: Entry): void;
}

/**
 * Reads the records of many jobs with few requests: pages of the key range that begin at the next
 * job still looked for. Each record is as the store had it at some time after the call; a job that
 * was never accepted is missing from the result.
 */
export async function readJobEntries(
  store: Store,
  ids: readonly string[],
  {
    signal,
    requestClass: requestClass = RequestPriority.Critical,
    onOtherEntry: onOtherEntry,
  }: ReadOptions = {},
): Promise<Map<string, Entry>> {
  if (ids.length <= MAX_SINGLE_READS) return readOneByOne(store, ids, requestClass, signal);
  const leastPage = onOtherEntry ? MAX_PAGE : MIN_PAGE;
  const found = new Map<string, Entry>();
  const wanted = new Set(ids.map(KEYS.job));
  const keys = [...wanted].sort();
  for (let next = 0; next < keys.length;) {
    const limit = Math.min(MAX_PAGE, Math.max(leastPage, keys.length - next));
    const page = await store.page(KEYS.jobs, justBefore(keys[next]!), limit, signal, requestClass);
    for (const entry of page.items) {
      if (wanted.has(entry.key)) found.set(entry.key.slice(KEYS.jobs.length), entry);
      else onOtherEntry?.(entry);
    }
    const last = page.items[page.items.length - 1]?.key;
    if (!page.more || last === undefined) break;
    while (next < keys.length && keys[next]! <= last) next++;
  }
  return found;
}

async function readOneByOne(
  store: Store,
  ids: readonly string[],
  from: RequestClass,
  signal?: AbortSignal,
): Promise<Map<string, Entry>> {
  const entries = await Promise.all(ids.map((id) => store.get(KEYS.job(id), from, signal)));
  const found = new Map<string, Entry>();
  entries.forEach((entry, i) => {
    if (entry) found.set(ids[i]!, entry);
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
