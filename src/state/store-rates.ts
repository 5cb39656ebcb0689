import type { Clock } from '@leverhatch/core/clock';
import { Budget, type Urgency } from './budget.js';
import type { StoreLimits } from './limits.js';

/** Requests for users' questions have a rate of their own and come after all others. */
export type RequestClass = Urgency | 'question';

/** What users' questions come after: all that has a smaller urgency. */
const LEAST_URGENT: Urgency = 2;

/**
 * What users' questions at all controllers together may take of the store's requests, so that a storm
 * of them leaves room for submissions, leadership and the leader's writes. One comparison answers as
 * many questions as a transaction has conditions.
 */
const QUESTIONS_SHARE = 0.5;

/** How many seconds' worth of these requests may come at once, as when a controller has just started. */
const QUESTIONS_BURST_S = 0.5;

interface Rate {
  perSecond: number;
  burst: number;
}

/**
 * Holds one controller's requests to the store below the rates that the store enforces for all
 * controllers together. Callers wait here for their share, the most urgent first.
 */
export class StoreRates {
  private readonly requests: Budget;
  private readonly questions: Budget;
  private readonly writes: Budget;

  /** `controllers`: how many share the rates. */
  constructor(
    clock: Clock,
    private readonly limits: StoreLimits,
    private readonly controllers: number,
  ) {
    const { requests, questions, writes } = this.rates();
    this.requests = new Budget(clock, requests.perSecond, requests.burst);
    this.questions = new Budget(clock, questions.perSecond, questions.burst);
    this.writes = new Budget(clock, writes.perSecond, writes.burst);
    limits.changed.subscribe(() => {
      const lower = this.rates();
      this.requests.setRate(lower.requests.perSecond, lower.requests.burst);
      this.questions.setRate(lower.questions.perSecond, lower.questions.burst);
      this.writes.setRate(lower.writes.perSecond, lower.writes.burst);
    });
  }

  /**
   * The limits hold for all nodes together. One node does nearly all of the writing, so each may
   * take half of the requests; what is refused all the same is tried again after a wait.
   */
  private rates(): { requests: Rate; questions: Rate; writes: Rate } {
    const { rps, writeRps } = this.limits.effective();
    const questions = (rps * QUESTIONS_SHARE) / this.controllers;
    return {
      requests: { perSecond: rps / 2, burst: rps / 4 },
      questions: { perSecond: questions, burst: Math.max(1, questions * QUESTIONS_BURST_S) },
      writes: { perSecond: writeRps * 0.85, burst: writeRps * 0.5 },
    };
  }

  /** Waits until one more request may be sent; rejects if `signal` is aborted first. */
  async admit(from: RequestClass, signal?: AbortSignal): Promise<void> {
    if (from !== 'question') return this.requests.take(1, from, signal);
    await this.questions.take(1, 0, signal);
    await this.requests.take(1, LEAST_URGENT, signal);
  }

  /** Waits until so many puts and deletes may be sent; rejects if `signal` is aborted first. */
  admitWrites(changes: number, urgency: Urgency, signal?: AbortSignal): Promise<void> {
    return this.writes.take(changes, urgency, signal);
  }

  /** How many callers wait for their share of the writes. */
  get writesWaiting(): number {
    return this.writes.waiting;
  }

  /** How long a transaction of so many puts and deletes would queue here, in milliseconds. */
  writeDelayMs(changes: number, urgency: Urgency): number {
    return Math.max(this.writes.delayMs(changes, urgency), this.requests.delayMs(1, urgency));
  }

  /** How long the last of so many requests for users' questions would queue here, in milliseconds. */
  questionDelayMs(requests: number): number {
    const queuedMs = Math.max(this.questions.delayMs(1, 0), this.requests.delayMs(1, LEAST_URGENT));
    return queuedMs + ((requests - 1) / this.rates().questions.perSecond) * 1000;
  }
}
