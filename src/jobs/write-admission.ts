/** Bounds the memory of job transactions that wait for the store. */
import type { Job } from './tracked-job.js';

/** Bytes of records that may wait in one class of jobs, for each MB of memory. */
const WAITING_BYTES_PER_MB = 8 * 1024;

/**
 * Jobs whose transactions wait together: services and gangs are written before arrays, so they must not
 * wait for memory that the transactions of arrays hold.
 */
type WriteClass = 'array' | 'other';

const classOf = ({ spec }: Job): WriteClass => (spec.kind === 'array' ? 'array' : 'other');

/**
 * Decides which open jobs may build a transaction. The records of a transaction take several times their
 * size in the store, and hundreds of jobs may have one to write while the store's rate allows a few a
 * second. Jobs beyond the bound are written later, with what has changed by then.
 */
export class WriteAdmission {
  private readonly maxBytes: number;
  private readonly bytes: Record<WriteClass, number> = { array: 0, other: 0 };
  private readonly bytesByJob = new Map<Job, number>();
  private readonly waiting: Record<WriteClass, Set<Job>> = { array: new Set(), other: new Set() };

  constructor(memoryMb: number) {
    this.maxBytes = memoryMb * WAITING_BYTES_PER_MB;
  }

  /** Whether a job may build a transaction now; otherwise `next` returns it later. */
  admit(job: Job): boolean {
    // Once a job has ended, its transactions hold no run records.
    if (job.phase !== 'open' || this.bytes[classOf(job)] < this.maxBytes) return true;
    this.waiting[classOf(job)].add(job);
    return false;
  }

  /** Records the transaction of a job that waits for the store. */
  begin(job: Job, bytes: number): void {
    this.bytesByJob.set(job, bytes);
    this.bytes[classOf(job)] += bytes;
  }

  /** Records that the transaction of a job was answered or given up. */
  end(job: Job): void {
    this.bytes[classOf(job)] -= this.bytesByJob.get(job) ?? 0;
    this.bytesByJob.delete(job);
  }

  /**
   * Removes and returns a waiting job of the same class that may be written now: one of the highest
   * priority, and of those the one that has waited longest.
   */
  next(job: Job): Job | null {
    const waiting = this.waiting[classOf(job)];
    if (this.bytes[classOf(job)] >= this.maxBytes) return null;
    let first: Job | null = null;
    for (const candidate of waiting)
      if (!first || candidate.spec.priority < first.spec.priority) first = candidate;
    if (first) waiting.delete(first);
    return first;
  }
}
