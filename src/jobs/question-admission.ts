import type { Clock } from '@leverhatch/core/clock';
import { dropOldest } from '../runtime/drop-oldest.js';

/** What users' questions may take of a controller's share of a core. */
const PROCESSOR_SHARE = 0.4;

/** The same while processor time is short for what comes before them. */
const SHORT_PROCESSOR_SHARE = 0.1;

/** Processor time of one question with its answer, measured on a developer's machine with a margin. */
const QUESTION_MS = 0.1;

/** How many seconds' worth of questions may come at once, as when a connection breaks for all. */
const BURST_S = 2;

/** While more than this share of the burst is left, every question is taken. */
const PLENTY_SHARE = 0.5;

/**
 * For how many polls' times a job must have been without an answer when next to nothing is left. It is
 * well within the 75 s after which a job without any answer counts as forgotten.
 */
const LONGEST_PAUSE_POLLS = 16;

/** A job that has been without an answer for so many polls' times is overdue. */
const OVERDUE_POLLS = 8;

/** So many jobs are remembered for each MB of memory, at some 100 bytes each. */
const REMEMBERED_PER_MB = 50;

/** When timers are late by this share of a poll's time, processor time is short. */
const LAG_SHARE = 1 / 8;

/** What a controller has for users' questions. */
export interface QuestionCapacity {
  /** How long a user waits for the answer to a poll, in milliseconds. */
  pollMs: number;
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
export class QuestionAdmission {
  /** When a question about each job was last answered here, the longest ago first. */
  private readonly answeredAt = new Map<string, number>();
  /** How many questions may be taken now. */
  private left: number;
  private filledAt: number;
  private readonly mostRemembered: number;

  constructor(
    private readonly clock: Clock,
    private readonly capacity: QuestionCapacity,
    /** By how many milliseconds timers are late. */
    private readonly lagMs: () => number,
  ) {
    this.left = this.burst;
    this.filledAt = clock.now();
    this.mostRemembered = Math.max(1, capacity.memoryMb * REMEMBERED_PER_MB);
  }

  /**
   * Whether a question about this job is taken now; else its user is told to come back. `crowded`: there
   * are more connections than the machine has room for, and one with a question under way cannot give
   * way to others.
   */
  admits(id: string, crowded: boolean): boolean {
    const now = this.clock.now();
    this.fill(now);
    const pauseMs = crowded ? Math.max(this.pauseMs, this.overdueMs) : this.pauseMs;
    if (this.left < 1 || this.unansweredMs(id, now) < pauseMs) return false;
    this.left--;
    return true;
  }

  /** True if nobody was answered about this job here for long, as far as that is remembered. */
  isOverdue(id: string): boolean {
    return this.unansweredMs(id, this.clock.now()) >= this.overdueMs;
  }

  /** A question about this job has been answered. */
  answered(id: string): void {
    this.answeredAt.delete(id);
    this.answeredAt.set(id, this.clock.now());
    dropOldest(this.answeredAt, this.mostRemembered);
  }

  private get overdueMs(): number {
    return this.capacity.pollMs * OVERDUE_POLLS;
  }

  private unansweredMs(id: string, now: number): number {
    return now - (this.answeredAt.get(id) ?? -Infinity);
  }

  /** How long a job must have been without an answer, by what is left of the rate. */
  private get pauseMs(): number {
    const missing = 1 - this.left / (this.burst * PLENTY_SHARE);
    return Math.max(0, missing) * this.capacity.pollMs * LONGEST_PAUSE_POLLS;
  }

  private fill(now: number): void {
    const short = this.lagMs() > this.capacity.pollMs * LAG_SHARE;
    const perSecond = this.perSecond(short ? SHORT_PROCESSOR_SHARE : PROCESSOR_SHARE);
    const gained = ((now - this.filledAt) / 1000) * perSecond;
    this.left = Math.min(this.burst, this.left + gained);
    this.filledAt = now;
  }

  private get burst(): number {
    return Math.max(1, this.perSecond(PROCESSOR_SHARE) * BURST_S);
  }

  private perSecond(processorShare: number): number {
    return (this.capacity.coreShare * processorShare * 1000) / QUESTION_MS;
  }
}
