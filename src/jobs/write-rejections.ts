/** Retry times and reduced limits of jobs whose writes the store rejected. */

import type { StoreLimits } from '../state/store-limits.js';
import type { Job } from './tracked-job.js';

/**
 * A rejected write of a job is tried again after this fraction of the time for which exits wait,
 * doubled with every rejection up to that time.
 */
const FIRST_RETRY_RATIO = 1 / 50;

/** How often a transaction is made half as large before it is left at that. */
const MAX_HALVINGS = 3;

/** How much of the limit for a value is used: the store may count some more bytes than we do. */
const VALUE_FILL_RATIO = 0.9;

/** A write of one job that the store rejected for good: too large, say. */
interface Rejection {
  /** How long the job waits after the next one. */
  nextWaitMs: number;
  /** How many times its transactions have been given half as many changes. */
  halvedOps: number;
  /** How many times its values have been made half as large; only ranged records can be. */
  halvedBytes: number;
  /** No write of the job is tried before this time. */
  until: number;
}

/**
 * Which jobs the store has rejected a write of, when each is tried again, and how large it may be.
 */
export class WriteRejections {
  private readonly byJob = new WeakMap<Job, Rejection>();

  constructor(
    private readonly limits: StoreLimits,
    private readonly longestWaitMs: number,
  ) {}

  has(job: Job): boolean {
    return this.byJob.has(job);
  }

  /** Monotonic time (ms) before which no write of the job is tried. */
  retryAt(job: Job): number {
    return this.byJob.get(job)?.until ?? 0;
  }

  /** Notes that a write of the job was rejected; returns how long it waits, in milliseconds. */
  add(job: Job, now: number): number {
    const before = this.byJob.get(job);
    const waitMs = before?.nextWaitMs ?? this.firstRetryMs;
    const half = (times: number): number => Math.min(times + 1, MAX_HALVINGS);
    this.byJob.set(job, {
      nextWaitMs: Math.min(waitMs * 2, this.longestWaitMs),
      // The first rejection may mean no more than that the announced limits hold by now.
      halvedOps: before ? half(before.halvedOps) : 0,
      halvedBytes: before && job.layout.kind === 'ranged' ? half(before.halvedBytes) : 0,
      until: now + waitMs,
    });
    return waitMs;
  }

  /** What was rejected has another form now, and may be tried again soon. */
  layoutChanged(job: Job): void {
    const rejection = this.byJob.get(job);
    if (rejection) rejection.nextWaitMs = this.firstRetryMs;
  }

  /** Limits for one job's transaction: smaller ones after the store has rejected one. */
  limitsFor(job: Job): { valueBytes: number; txnOps: number } {
    const { valueBytes, txnOps } = this.limits.effective();
    const rejection = this.byJob.get(job);
    return {
      valueBytes: Math.floor((valueBytes * VALUE_FILL_RATIO) / 2 ** (rejection?.halvedBytes ?? 0)),
      txnOps: Math.max(2, Math.floor(txnOps / 2 ** (rejection?.halvedOps ?? 0))),
    };
  }

  private get firstRetryMs(): number {
    return this.longestWaitMs * FIRST_RETRY_RATIO;
  }
}
