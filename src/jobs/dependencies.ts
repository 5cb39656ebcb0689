/** Layout of the dependencies of a job in the store: inline, or as chunks. */

import { createHash } from 'node:crypto';
import { KEYS } from '../state/keys.js';
import type { Change, Store } from '../state/store.js';
import { parseDependencyChunk, type DependenciesRecord } from './records.js';

/**
 * How the jobs that a job waits for are stored. A few of them go into the job's own record: no
 * further write or read is needed then. A body may name thousands, which no value can hold; those
 * are written in chunks before the job's record, which then names how many there are.
 *
 * The key of a chunk carries a hash (`mark`) of the whole list. So an acceptance that was cut off
 * half-way leaves only chunks that a repeat, at any controller, would write with the same content:
 * it uses what is there. Another list for the same job has another mark, and the two cannot mix.
 * Chunks are removed only once the job is stored as over. So whoever adds the job's record on
 * condition that there is none yet knows that the chunks seen or written before are all there.
 */
export interface StoredDependencies {
  /** What the job's record says; undefined: it waits for nothing. */
  needs: DependenciesRecord | undefined;
  /** What has to be in the store before the job's record is. */
  chunks: DependencyChunk[];
}

/** The change that writes one chunk; `bytes` is the size of its value. */
export type DependencyChunk = Extract<Change, { put: string }> & { bytes: number };

/** The store's limits, as far as they bound what is written here. */
export interface WriteLimits {
  valueBytes: number;
  txnOps: number;
}

/** Fraction of the value limit that dependencies may take in the job's own record. */
const INLINE_RATIO = 1 / 8;

/** Fraction of the value limit that a chunk fills; the store may count more bytes than we do. */
const CHUNK_FILL_RATIO = 0.8;

/**
 * What all changes of one transaction may hold together: the limit is 64 KiB with its conditions.
 */
const MAX_TRANSACTION_BYTES = 48 * 1024;

/** Quotes and a comma. */
const BYTES_BESIDE_ID = 3;

const bytesOf = (ids: readonly string[]): number =>
  ids.reduce((sum, id) => sum + id.length + BYTES_BESIDE_ID, 0);

/** Lays out the dependencies of job `id`: inline while they are few, else as chunks. */
export function layOutDependencies(
  id: string,
  dependencies: readonly string[],
  limits: WriteLimits,
): StoredDependencies {
  if (dependencies.length === 0) return { needs: undefined, chunks: [] };
  if (bytesOf(dependencies) <= limits.valueBytes * INLINE_RATIO) {
    return { needs: { ids: [...dependencies] }, chunks: [] };
  }
  const lists = split(dependencies, limits.valueBytes * CHUNK_FILL_RATIO);
  const mark = createHash('sha256').update(JSON.stringify(lists)).digest('hex').slice(0, 32);
  const chunks = lists.map((ids, i) => ({
    put: KEYS.dependencyChunk(id, mark, i),
    value: { ids },
    bytes: bytesOf(ids),
  }));
  return { needs: { mark, pieces: chunks.length }, chunks };
}

function split(ids: readonly string[], maxBytes: number): string[][] {
  const lists: string[][] = [];
  let current: string[] | null = null;
  let bytes = 0;
  for (const id of ids) {
    const size = id.length + BYTES_BESIDE_ID;
    if (!current || bytes + size > maxBytes) {
      current = [];
      lists.push(current);
      bytes = 0;
    }
    current.push(id);
    bytes += size;
  }
  return lists;
}

/** Groups of chunks that fit into one transaction each. */
export function groupChunks(
  chunks: readonly DependencyChunk[],
  limits: WriteLimits,
): DependencyChunk[][] {
  const groups: DependencyChunk[][] = [];
  let bytes = 0;
  for (const chunk of chunks) {
    const group = groups[groups.length - 1];
    if (!group || group.length >= limits.txnOps || bytes + chunk.bytes > MAX_TRANSACTION_BYTES) {
      groups.push([chunk]);
      bytes = chunk.bytes;
    } else {
      group.push(chunk);
      bytes += chunk.bytes;
    }
  }
  return groups;
}

/**
 * The jobs that a record names as its dependencies; null if a chunk is missing or unreadable. The
 * chunks of an open job are never missing; where they are, the job has just ended and its record
 * says so.
 */
export async function readDependencies(
  store: Store,
  id: string,
  needs: DependenciesRecord | undefined,
  signal?: AbortSignal,
): Promise<string[] | null> {
  if (!needs) return [];
  if ('ids' in needs) return needs.ids;
  const { items } = await store.range(KEYS.dependencyChunks(id, needs.mark), signal);
  const values = new Map(items.map((entry) => [entry.key, entry.value]));
  const all: string[] = [];
  for (let i = 0; i < needs.pieces; i++) {
    const ids = parseDependencyChunk(values.get(KEYS.dependencyChunk(id, needs.mark, i)));
    if (!ids) return null;
    // One by one: spreading thousands of arguments has a limit.
    for (const dependency of ids) all.push(dependency);
  }
  return all;
}
