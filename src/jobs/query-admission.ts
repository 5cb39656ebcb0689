import type { Clock } from '@leverhatch/core/clock';
import { dropOldest } from '../runtime/drop-oldest.js';

/** What users' questions may take of a controller's share of a core. */
const PROCESSOR_RATIO = 0.4;

/** The same while processor time is short for what comes before them. */
const BUSY_PROCESSOR_RATIO = 0.1;

/** Processor time of one question with its answer, measured on a developer's machine with a margin. */
const QUERY_COST_MS = 0.1;

/** How many seconds' worth of questions may come at once, as when a connection breaks for all. */
const BURST_SECONDS = 2;

/** While more than this share of the burst is left, every question is taken. */
const PLENTY_RATIO = 0.5;

/**
 * For how many polls' times a job must have been without an answer when next to nothing is left. It is
 * well within the 75 s after which a job without any answer counts as forgotten.
 */
const MAX_PAUSE_TIMEOUTS = 16;

/** A job that has been without an answer for so many polls' times is overdue. */
const OVERDUE_TIMEOUTS = 8;

/** So many jobs are remembered for each MB of memory, at some 100 bytes each. */
const REMEMBERED_PER_MB = 50;

/** When timers are late by this share of a poll's time, processor time is short. */
const LAG_RATIO = 1 / 8;

/** What a controller has for users' questions. */
export interface QueryCapacity {
  /** How long a user waits for the answer to a poll, in milliseconds. */
  queryTimeoutMs: number;
  /** Share of a processor's core that the controller has. */
  coreShare: number;
  memoryMb: number;
}

/**
 * Which users' questions are taken, and which are refused at once, so that questions leave processor
 * time for submissions, cancellations, workers' reports and leadership. They have a rate, which is
 * lower while timers are late, and refusals are spread fairly: the less is left of the rate, the longer
 * a job must have been without an answer for a question about it to be taken. So all jobs that are
 * asked for have an answer now and then, however many ask about some of them, and in whatever order.
 */
export class QueryAdmission {
  /** When a question about each job was last answered here, the longest ago first. */
  private readonly answeredAt = new Map<string, number>();
  /** How many questions may be taken now. */
  private available: number;
  private filledAt: number;
  private readonly maxRemembered: number;

  constructor(
    private readonly clock: Clock,
    private readonly capacity: QueryCapacity,
    /** By how many milliseconds timers are late. */
    private readonly lagMs: () => number,
  ) {
    this.available = this.burst;
    this.filledAt = clock.now();
    this.maxRemembered = Math.max(1, capacity.memoryMb * REMEMBERED_PER_MB);
  }

  /**
   * Whether a question about this job is taken now; else its user is told to come back. `crowded`: there
   * are more connections than the machine has room for, and one with a question under way cannot give
   * way to others.
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

  /** True if nobody was answered about this job here for long, as far as that is remembered. */
  isOverdue(id: string): boolean {
    return this.unansweredMs(id, this.clock.now()) >= this.overdueMs;
  }

  /** A question about this job has been answered. */
  recordAnswer(id: string): void {
    this.answeredAt.delete(id);
    this.answeredAt.set(id, this.clock.now());
    dropOldest(this.answeredAt, this.maxRemembered);
  }

  private get overdueMs(): number {
    return this.capacity.queryTimeoutMs * OVERDUE_TIMEOUTS;
  }

  private unansweredMs(id: string, now: number): number {
    return now - (this.answeredAt.get(id) ?? -Infinity);
  }

  /** How long a job must have been without an answer, by what is left of the rate. */
  private get minUnansweredMs(): number {
    const missing = 1 - this.available / (this.burst * PLENTY_RATIO);
    return Math.max(0, missing) * this.capacity.queryTimeoutMs * MAX_PAUSE_TIMEOUTS;
  }

  private refill(now: number): void {
    const short = this.lagMs() > this.capacity.queryTimeoutMs * LAG_RATIO;
    const perSecond = this.perSecond(short ? BUSY_PROCESSOR_RATIO : PROCESSOR_RATIO);
    const gained = ((now - this.filledAt) / 1000) * perSecond;
    this.available = Math.min(this.burst, this.available + gained);
    this.filledAt = now;
  }

  private get burst(): number {
    return Math.max(1, this.perSecond(PROCESSOR_RATIO) * BURST_SECONDS);
  }

  private perSecond(processorShare: number): number {
    return (this.capacity.coreShare * processorShare * 1000) / QUERY_COST_MS;
  }
}
