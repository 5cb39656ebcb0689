/** Grouping of stored run records by job. */

import { jobIdFromRunKey, parseRunKey } from '../state/keys.js';
import type { Entry } from '../state/store.js';
import type { Job, StoredRuns } from './tracked-job.js';
import { parseRangedRun, parseRun } from './records.js';

/** The run records of all jobs, and those that are unreadable or belong to no known job. */
export interface GroupedRunRecords {
  runs: Map<Job, StoredRuns>;
  unreadable: { id: string; key: string; version: number; job: Job | null }[];
}

/** Groups run records of both layouts by job. */
export function groupRunRecords(
  entries: Entry[],
  jobOf: (id: string) => Job | null,
): GroupedRunRecords {
  const runs = new Map<Job, StoredRuns>();
  const unreadable: GroupedRunRecords['unreadable'] = [];
  for (const entry of entries) {
    const id = jobIdFromRunKey(entry.key);
    const job = jobOf(id);
    const stored = job && (runs.get(job) ?? { indexed: [], ranged: [] });
    if (!job || !stored || !addEntry(entry, job, stored)) {
      unreadable.push({ id, key: entry.key, version: entry.version, job });
    } else runs.set(job, stored);
  }
  return { runs, unreadable };
}

function addEntry(entry: Entry, job: Job, stored: StoredRuns): boolean {
  const { key, version, value } = entry;
  const parsedKey = parseRunKey(key);
  if (parsedKey?.kind === 'indexed') {
    const record = parseRun(value);
    if (!record || !job.layout.hasIndexedRecord(parsedKey.number)) return false;
    stored.indexed.push({ index: parsedKey.number, version, record });
    return true;
  }
  if (parsedKey?.kind === 'ranged') {
    const record = parseRangedRun(value);
    if (record?.from !== parsedKey.number || record.from >= record.to) return false;
    if (record.from >= job.spec.tasks) return false;
    stored.ranged.push({ key, version, record });
    return true;
  }
  return false;
}
