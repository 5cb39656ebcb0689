/** Admission control for users' queries. */

import type { Clock } from '@leverhatch/core/clock';
import { dropOldest } from '../runtime/drop-oldest.js';

/** Fraction of the controller's core share that users' queries may take. */
const PROCESSOR_RATIO = 0.4;

/** The same while processor time is short for what comes before them. */
const BUSY_PROCESSOR_RATIO = 0.1;

/** Processor time of one query with its answer, measured on a developer's machine with a margin. */
const QUERY_COST_MS = 0.1;

/** How many seconds' worth of queries may come at once, as when a connection breaks for all. */
const BURST_SECONDS = 2;

/** While more than this fraction of the burst is left, every query is admitted. */
const PLENTY_RATIO = 0.5;

/**
 * For how many query timeouts a job must have been without an answer when next to nothing is
 * left. It is well within the 75 s after which a job without any answer counts as forgotten.
 */
const MAX_PAUSE_TIMEOUTS = 16;

/** A job that has been without an answer for this many query timeouts is overdue. */
const OVERDUE_TIMEOUTS = 8;

/** Number of jobs cached for each MB of memory, at some 100 bytes each. */
const CACHED_JOBS_PER_MB = 50;

/** When timers are late by this fraction of the query timeout, processor time is short. */
const LAG_RATIO = 1 / 8;

/** What a controller has for users' queries. */
export interface QueryCapacity {
  /** How long a user waits for the answer to a poll, in milliseconds. */
  queryTimeoutMs: number;
  /** Fraction of a processor's core that the controller has. */
  coreShare: number;
  memoryMb: number;
}

/**
 * Which users' queries are admitted, and which are answered as busy at once, so that queries
 * leave processor time for submissions, cancellations, heartbeats and leadership. They have a rate,
 * which is lower while timers are late, and busy answers are spread fairly: the less is left of the
 * rate, the longer a job must have been without an answer for a query about it to be admitted. So
 * all jobs that are queried have an answer now and then, however many queries some of them get, and
 * in whatever order.
 */
export class QueryAdmission {
  /** When a query about each job was last answered here, the longest ago first. */
  private readonly answeredAt = new Map<string, number>();
  /** How many queries may be admitted now. */
  private available: number;
  private filledAt: number;
  private readonly maxCached: number;

  constructor(
    private readonly clock: Clock,
    private readonly capacity: QueryCapacity,
    /** By how many milliseconds timers are late. */
    private readonly lagMs: () => number,
  ) {
    this.available = this.burst;
    this.filledAt = clock.now();
    this.maxCached = Math.max(1, capacity.memoryMb * CACHED_JOBS_PER_MB);
  }

  /**
   * Whether a query about this job is admitted now; else its user is asked to come back.
   * `isOverCapacity`: there are more connections than the machine has room for, and one with a
   * query under way cannot give way to others.
   */
  admits(id: string, isOverCapacity: boolean): boolean {
    const now = this.clock.now();
    this.refill(now);
    const pauseMs = isOverCapacity
      ? Math.max(this.minUnansweredMs, this.overdueMs)
      : this.minUnansweredMs;
    if (this.available < 1 || this.unansweredMs(id, now) < pauseMs) return false;
    this.available--;
    return true;
  }

  /** True if nobody was answered about this job here for long, as far as that is cached. */
  isOverdue(id: string): boolean {
    return this.unansweredMs(id, this.clock.now()) >= this.overdueMs;
  }

  /** A query about this job has been answered. */
  recordAnswer(id: string): void {
    this.answeredAt.delete(id);
    this.answeredAt.set(id, this.clock.now());
    dropOldest(this.answeredAt, this.maxCached);
  }

  private get overdueMs(): number {
    return this.capacity.queryTimeoutMs * OVERDUE_TIMEOUTS;
  }

  private unansweredMs(id: string, now: number): number {
    return now - (this.answeredAt.get(id) ?? -Infinity);
  }

  /** How long a job must have been without an answer, by what is left of the rate. */
  private get minUnansweredMs(): number {
    const usedRatio = 1 - this.available / (this.burst * PLENTY_RATIO);
    return Math.max(0, usedRatio) * this.capacity.queryTimeoutMs * MAX_PAUSE_TIMEOUTS;
  }

  private refill(now: number): void {
    const isProcessorShort = this.lagMs() > this.capacity.queryTimeoutMs * LAG_RATIO;
    const perSecond = this.perSecond(isProcessorShort ? BUSY_PROCESSOR_RATIO : PROCESSOR_RATIO);
    const refill = ((now - this.filledAt) / 1000) * perSecond;
    this.available = Math.min(this.burst, this.available + refill);
    this.filledAt = now;
  }

  private get burst(): number {
    return Math.max(1, this.perSecond(PROCESSOR_RATIO) * BURST_SECONDS);
  }

  private perSecond(processorRatio: number): number {
    return (this.capacity.coreShare * processorRatio * 1000) / QUERY_COST_MS;
  }
}
