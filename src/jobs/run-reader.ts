/** Reading of stored run records into the jobs that they belong to. */

import { jobIdFromRunKey, parseRunKey } from '../state/keys.js';
import type { Entry } from '../state/store.js';
import { JobRestoration } from './job-restoration.js';
import { parseRangedRun, parseRun } from './records.js';
import type { Job } from './tracked-job.js';

/** A run record that is unreadable or belongs to no known job. */
export interface UnreadableRunRecord {
  id: string;
  key: string;
  version: number;
  job: Job | null;
}

/**
 * Reads run records of both layouts. The records of a page are applied to their jobs as the page is read,
 * so that memory grows with the placements of all jobs but not with their records.
 */
export class RunRecordReader {
  /** The restorations of the jobs that have records, to be finished once all records were read. */
  readonly restorations = new Map<Job, JobRestoration>();
  readonly unreadable: UnreadableRunRecord[] = [];
  /** Number of records that were read. */
  count = 0;

  /** @param jobOf returns the job with an id; null if it is unknown */
  constructor(private readonly jobOf: (id: string) => Job | null) {}

  /** Reads the records of one page. */
  read(page: readonly Entry[]): void {
    for (const entry of page) this.readEntry(entry);
  }

  private readEntry(entry: Entry): void {
    this.count++;
    const id = jobIdFromRunKey(entry.key);
    const job = this.jobOf(id);
    if (!job || !this.apply(entry, job)) {
      this.unreadable.push({ id, key: entry.key, version: entry.version, job });
    }
  }

  private apply({ key, version, value }: Entry, job: Job): boolean {
    const parsedKey = parseRunKey(key);
    if (parsedKey?.kind === 'indexed') {
      const record = parseRun(value);
      if (!record || !job.layout.hasIndexedRecord(parsedKey.number)) return false;
      this.restorationOf(job).addIndexed(parsedKey.number, version, record);
      return true;
    }
    if (parsedKey?.kind === 'ranged') {
      const record = parseRangedRun(value);
      if (record?.from !== parsedKey.number || record.from >= record.to) return false;
      if (record.from >= job.spec.tasks) return false;
      this.restorationOf(job).addRanged(key, version, record);
      return true;
    }
    return false;
  }

  private restorationOf(job: Job): JobRestoration {
    let restoration = this.restorations.get(job);
    if (!restoration) this.restorations.set(job, (restoration = new JobRestoration(job)));
    return restoration;
  }
}
