/** Admission control for user queries. */

import type { Clock } from '@leverhatch/core/clock';
import { dropOldest } from '../runtime/drop-oldest.js';

/** Fraction of the controller's core share that user queries may use. */
const PROCESSOR_RATIO = 0.4;

/** The same while processor time is short for work of higher priority. */
const BUSY_PROCESSOR_RATIO = 0.1;

/** Processor time of one query and its response, including a safety margin. */
const QUERY_COST_MS = 0.1;

/** Burst size in seconds of the query rate, for instance when all users reconnect at once. */
const BURST_SECONDS = 2;

/** While more than this fraction of the burst is available, every query is admitted. */
const UNRESTRICTED_RATIO = 0.5;

/**
 * Query timeouts since the last answer about a job that are required for admission when the rate is
 * almost used up. This is well within the 75 s after which a job without an answer counts as
 * forgotten.
 */
const MAX_UNANSWERED_TIMEOUTS = 16;

/** A job is overdue if no query about it was answered for this many query timeouts. */
const OVERDUE_TIMEOUTS = 8;

/** Number of jobs cached per MB of memory, at about 100 bytes each. */
const CACHED_JOBS_PER_MB = 50;

/** Processor time counts as short if timers are late by more than this fraction of the timeout. */
const BUSY_LAG_RATIO = 1 / 8;

/** The resources of a controller that bound its user queries. */
export interface QueryCapacity {
  /** How long a user waits for the response to a poll, in milliseconds. */
  queryTimeoutMs: number;
  /** Fraction of a processor core that the controller has. */
  coreShare: number;
  memoryMb: number;
}

/**
 * Decides which user queries are admitted and which are immediately answered as busy, so that
 * queries leave processor time for submissions, cancellations, heartbeats and leadership.
 *
 * Queries are rate-limited by a token bucket, whose rate is lower while timers are late. Busy
 * responses are spread fairly: the fewer tokens are left, the longer the last answer about a job
 * must be ago for a query about it to be admitted. So every job that is queried is answered from
 * time to time, however many queries other jobs get and in whatever order they arrive.
 */
export class QueryAdmission {
  /** When a query about each job was last answered by this controller, oldest first. */
  private readonly answeredAt = new Map<string, number>();
  /** Tokens: how many queries may be admitted now. */
  private tokens: number;
  private refilledAt: number;
  private readonly maxCached: number;

  constructor(
    private readonly clock: Clock,
    private readonly capacity: QueryCapacity,
    /** Event loop lag: by how many milliseconds timers fire late. */
    private readonly lagMs: () => number,
  ) {
    this.tokens = this.burst;
    this.refilledAt = clock.now();
    this.maxCached = Math.max(1, capacity.memoryMb * CACHED_JOBS_PER_MB);
  }

  /**
   * Whether a query about this job is admitted now; if not, its user is asked to retry.
   *
   * @param isOverCapacity there are more connections than the machine can handle; only overdue jobs
   *   are admitted then, since a connection with a pending query cannot be closed to make room
   */
  admits(id: string, isOverCapacity: boolean): boolean {
    const now = this.clock.now();
    this.refill(now);
    const requiredMs = isOverCapacity
      ? Math.max(this.minUnansweredMs, this.overdueMs)
      : this.minUnansweredMs;
    if (this.tokens < 1 || this.unansweredMs(id, now) < requiredMs) return false;
    this.tokens--;
    return true;
  }

  /**
   * True if this controller has not answered a query about this job for a long time, as far as that
   * is cached.
   */
  isOverdue(id: string): boolean {
    return this.unansweredMs(id, this.clock.now()) >= this.overdueMs;
  }

  /** Notes that a query about this job has been answered. */
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

  /** How long ago (ms) the last answer about a job must be, given the tokens that are left. */
  private get minUnansweredMs(): number {
    const usedRatio = 1 - this.tokens / (this.burst * UNRESTRICTED_RATIO);
    return Math.max(0, usedRatio) * this.capacity.queryTimeoutMs * MAX_UNANSWERED_TIMEOUTS;
  }

  private refill(now: number): void {
    const isProcessorShort = this.lagMs() > this.capacity.queryTimeoutMs * BUSY_LAG_RATIO;
    const rate = this.queriesPerSecond(isProcessorShort ? BUSY_PROCESSOR_RATIO : PROCESSOR_RATIO);
    const added = ((now - this.refilledAt) / 1000) * rate;
    this.tokens = Math.min(this.burst, this.tokens + added);
    this.refilledAt = now;
  }

  private get burst(): number {
    return Math.max(1, this.queriesPerSecond(PROCESSOR_RATIO) * BURST_SECONDS);
  }

  private queriesPerSecond(processorRatio: number): number {
    return (this.capacity.coreShare * processorRatio * 1000) / QUERY_COST_MS;
  }
}
