/** Fitting of job records into the store's value limit. */

import { jsonBytes } from '../state/store-limits.js';
import type { JobRecord } from './records.js';

/** Bytes that later writes of the same record may add: a longer write id or phase. */
const REWRITE_BYTES = 64;

/**
 * Returns the record in a form that the store accepts now and at each later rewrite; null if there
 * is none. The list of machine types is the only unbounded field; if necessary it is reduced to the
 * types that exist, since others have no effect.
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
  const shortened = { ...record, spec: { ...record.spec, types: known } };
  return jsonBytes(shortened) <= maxBytes ? shortened : null;
}

/**
 * Returns a cancelled record without the fields that are no longer read: its machine types, since
 * none of its tasks starts again, and its inline dependencies. A reference to dependency chunks
 * stays, so that the leader can delete them.
 */
export function minimalCancelledRecord({ needs, spec, ...rest }: JobRecord): JobRecord {
  return {
    ...rest,
    ...(spec ? { spec: { ...spec, types: [] } } : {}),
    ...(needs && 'mark' in needs ? { needs } : {}),
  };
}
