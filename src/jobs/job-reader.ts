import { KEYS } from '../state/keys.js';
import type { Entry, RequestClass, Store } from '../state/store.js';

/** Up to so many records are read one by one, at the cost of a request each. */
export const MOST_SINGLE_READS = 4;

/** Pages hold at least so many records: jobs that were submitted together have close names. */
const LEAST_PAGE = 200;
const MOST_PAGE = 1000;

export interface ReadOptions {
  signal?: AbortSignal;
  /** On whose behalf the store is asked; the most urgent work unless given. */
  from?: RequestClass;
  /** Is told of all other records on the pages, which are as large as can be then. */
  alsoRead?(entry: Entry): void;
}

/**
 * Reads the records of many jobs with few requests: pages of the key range that begin at the next
 * job still looked for. Each record is as the store had it at some time after the call; a job that
 * was never accepted is missing from the result.
 */
export async function readJobEntries(
  store: Store,
  ids: readonly string[],
  { signal, from = 0, alsoRead }: ReadOptions = {},
): Promise<Map<string, Entry>> {
  if (ids.length <= MOST_SINGLE_READS) return readOneByOne(store, ids, from, signal);
  const leastPage = alsoRead ? MOST_PAGE : LEAST_PAGE;
  const found = new Map<string, Entry>();
  const wanted = new Set(ids.map(KEYS.job));
  const keys = [...wanted].sort();
  for (let next = 0; next < keys.length;) {
    const limit = Math.min(MOST_PAGE, Math.max(leastPage, keys.length - next));
    const page = await store.page(KEYS.jobs, justBefore(keys[next]!), limit, signal, from);
    for (const e of page.items) {
      if (wanted.has(e.key)) found.set(e.key.slice(KEYS.jobs.length), e);
      else alsoRead?.(e);
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
  entries.forEach((e, i) => {
    if (e) found.set(ids[i]!, e);
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
