/** Storage of a job's dependencies: inline in the job record, or as separate chunks. */

import { createHash } from 'node:crypto';
import { KEYS } from '../state/keys.js';
import type { Change, Store } from '../state/store.js';
import { parseDependencyChunk, type DependenciesRecord } from './records.js';

/**
 * The dependencies of a job in their stored form. A short list is stored inline in the job record,
 * which needs no further write or read. A submission may name thousands of jobs, more than one
 * value can hold; such a list is written as chunks before the job record, which stores the number
 * of chunks.
 *
 * The key of a chunk contains a hash (`mark`) of the whole list as split into chunks. A retry of an
 * interrupted submission, on any controller, would write the same chunks with the same content, so
 * it reuses those that exist. Another list for the same job, or the same list split under other
 * limits, has another hash, so their chunks cannot mix.
 * Chunks are removed only after the job is stored as ended. A writer that adds the job record on
 * condition that none exists therefore knows that the chunks it has seen or written still exist.
 */
export interface StoredDependencies {
  /** The dependency field of the job record; undefined if the job has no dependencies. */
  needs: DependenciesRecord | undefined;
  /** Chunks that have to be in the store before the job record is written. */
  chunks: DependencyChunk[];
}

/** The change that writes one chunk; `bytes` is the estimated size of its value. */
export type DependencyChunk = Extract<Change, { put: string }> & { bytes: number };

/** The store limits that apply to writing chunks. */
export interface WriteLimits {
  valueBytes: number;
  txnOps: number;
}

/** Fraction of the value limit that inline dependencies may take in the job record. */
const INLINE_RATIO = 1 / 8;

/** Fraction of the value limit that a chunk fills; the store may count bytes differently. */
const CHUNK_FILL_RATIO = 0.8;

/**
 * Maximum size of all changes of one transaction. The store's limit is 64 KiB, which includes the
 * conditions.
 */
const MAX_TRANSACTION_BYTES = 48 * 1024;

/** Two quotes and a comma for each id in the JSON list. */
const BYTES_BESIDE_ID = 3;

const bytesOf = (ids: readonly string[]): number =>
  ids.reduce((sum, id) => sum + id.length + BYTES_BESIDE_ID, 0);

/** Lays out the dependencies of job `id`: inline if the list is short, else as chunks. */
export function layOutDependencies(
  id: string,
  dependencies: readonly string[],
  limits: WriteLimits,
): StoredDependencies {
  if (dependencies.length === 0) return { needs: undefined, chunks: [] };
  if (bytesOf(dependencies) <= limits.valueBytes * INLINE_RATIO) {
    return { needs: { ids: [...dependencies] }, chunks: [] };
  }
  const lists = splitByBytes(dependencies, limits.valueBytes * CHUNK_FILL_RATIO);
  const mark = createHash('sha256').update(JSON.stringify(lists)).digest('hex').slice(0, 32);
  const chunks = lists.map((ids, i) => ({
    put: KEYS.dependencyChunk(id, mark, i),
    value: { ids },
    bytes: bytesOf(ids),
  }));
  return { needs: { mark, pieces: chunks.length }, chunks };
}

function splitByBytes(ids: readonly string[], maxBytes: number): string[][] {
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

/** Groups chunks so that each group fits into one transaction. */
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
 * Reads the dependencies that a job record refers to; null if a chunk is missing or unreadable. The
 * chunks of an open job always exist; if one is missing, the job has just ended and its record in
 * the store says so.
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
  const dependencies: string[] = [];
  for (let i = 0; i < needs.pieces; i++) {
    const ids = parseDependencyChunk(values.get(KEYS.dependencyChunk(id, needs.mark, i)));
    if (!ids) return null;
    // Not push(...ids): the number of arguments of a call is limited.
    for (const dependency of ids) dependencies.push(dependency);
  }
  return dependencies;
}
