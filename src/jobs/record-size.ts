/** Sizes of job records within the store's limits. */

import { jsonBytes } from '../state/store-limits.js';
import type { JobRecord } from './records.js';

/** What later writes of the same record may add: a longer write id, a longer phase. */
const REWRITE_BYTES = 64;

/**
 * The record in a form that the store takes now and at each later rewrite; null if there is none.
 * All of its fields are bounded but the list of machine types, of which only those that exist mean
 * anything.
 */
export function fitJobRecord(
  record: JobRecord,
  valueBytes: number,
  machineTypes: ReadonlySet<string> | null,
): JobRecord | null {
  const maxBytes = valueBytes - REWRITE_BYTES;
  if (jsonBytes(record) <= maxBytes) return record;
  if (!record.spec?.types) return null;
  const known = [...new Set(record.spec.types)].filter((type) => machineTypes?.has(type) ?? true);
  const shorter = { ...record, spec: { ...record.spec, types: known } };
  return jsonBytes(shorter) <= maxBytes ? shorter : null;
}

/**
 * A cancelled record without what nobody reads any more: where it may run, since nothing of it
 * starts again, and what it waited for. A mark stays, by which the leader removes the chunks that
 * it names.
 */
export function smallestCancelled({ needs, spec, ...rest }: JobRecord): JobRecord {
  return {
    ...rest,
    ...(spec ? { spec: { ...spec, types: [] } } : {}),
    ...(needs && 'mark' in needs ? { needs } : {}),
  };
}
