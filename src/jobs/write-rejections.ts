/** Retry times and reduced limits of jobs whose writes the store rejected. */

import type { StoreLimits } from '../state/store-limits.js';
import type { Job } from './tracked-job.js';

/**
 * A rejected write is retried first after this fraction of the maximum delay, which is the batch
 * delay of task exits; the delay doubles with every further rejection.
 */
const FIRST_DELAY_RATIO = 1 / 50;

/** Maximum number of times that each limit of a job's transactions is halved. */
const MAX_HALVINGS = 3;

/** Fraction of the value limit that is used, since the store may count a few more bytes. */
const VALUE_FILL_RATIO = 0.9;

/** State of a job whose last write the store rejected, for example because it was too large. */
interface Rejection {
  /** Retry delay after the next rejection. */
  nextRetryDelayMs: number;
  /** How often the maximum number of changes per transaction has been halved. */
  halvedOps: number;
  /** How often the value limit has been halved; only ranged records can be made smaller. */
  halvedBytes: number;
  /** Monotonic time (ms) before which no write of the job is tried. */
  until: number;
}

/** Tracks the jobs with rejected writes: when each is retried and how large its writes may be. */
export class WriteRejections {
  private readonly byJob = new WeakMap<Job, Rejection>();

  constructor(
    private readonly limits: StoreLimits,
    private readonly maxRetryDelayMs: number,
  ) {}

  has(job: Job): boolean {
    return this.byJob.has(job);
  }

  /** Monotonic time (ms) before which no write of the job is tried. */
  retryAt(job: Job): number {
    return this.byJob.get(job)?.until ?? 0;
  }

  /** Notes that a write of the job was rejected; returns the delay before its retry (ms). */
  add(job: Job, now: number): number {
    const previous = this.byJob.get(job);
    const retryDelayMs = previous?.nextRetryDelayMs ?? this.firstRetryDelayMs;
    const oneMoreHalving = (times: number): number => Math.min(times + 1, MAX_HALVINGS);
    this.byJob.set(job, {
      nextRetryDelayMs: Math.min(retryDelayMs * 2, this.maxRetryDelayMs),
      // The first rejection may only mean that the announced limits have come into force.
      halvedOps: previous ? oneMoreHalving(previous.halvedOps) : 0,
      halvedBytes:
        previous && job.layout.kind === 'ranged' ? oneMoreHalving(previous.halvedBytes) : 0,
      until: now + retryDelayMs,
    });
    return retryDelayMs;
  }

  /** Resets the retry delay: the job's writes have another layout now and may be accepted. */
  layoutChanged(job: Job): void {
    const rejection = this.byJob.get(job);
    if (rejection) rejection.nextRetryDelayMs = this.firstRetryDelayMs;
  }

  /** Returns the limits for a job's transactions, which are reduced after rejections. */
  limitsFor(job: Job): { valueBytes: number; txnOps: number } {
    const { valueBytes, txnOps } = this.limits.effective();
    const rejection = this.byJob.get(job);
    return {
      valueBytes: Math.floor((valueBytes * VALUE_FILL_RATIO) / 2 ** (rejection?.halvedBytes ?? 0)),
      txnOps: Math.max(2, Math.floor(txnOps / 2 ** (rejection?.halvedOps ?? 0))),
    };
  }

  private get firstRetryDelayMs(): number {
    return this.maxRetryDelayMs * FIRST_DELAY_RATIO;
  }
}
