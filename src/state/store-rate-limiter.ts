import type { Clock } from '@leverhatch/core/clock';
import { RateLimiter, RequestPriority } from './rate-limiter.js';
import type { StoreLimits } from './store-limits.js';

/** Requests for users' questions have a rate of their own and come after all others. */
export type RequestClass = RequestPriority | 'question';

/** What users' questions come after: all that has a smaller urgency. */
const QUERY_PRIORITY: RequestPriority = RequestPriority.Normal;

/**
 * What users' questions at all controllers together may take of the store's requests, so that a storm
 * of them leaves room for submissions, leadership and the leader's writes. One comparison answers as
 * many questions as a transaction has conditions.
 */
const QUERY_RATE_RATIO = 0.5;

/** How many seconds' worth of these requests may come at once, as when a controller has just started. */
const QUERY_BURST_SECONDS = 0.5;

interface Rate {
  perSecond: number;
  burst: number;
}

/**
 * Holds one controller's requests to the store below the rates that the store enforces for all
 * controllers together. Callers wait here for their share, the most urgent first.
 */
export class StoreRateLimiter {
  private readonly requests: RateLimiter;
  private readonly queries: RateLimiter;
  private readonly writes: RateLimiter;

  /** `controllers`: how many share the rates. */
  constructor(
    clock: Clock,
    private readonly limits: StoreLimits,
    private readonly controllers: number,
  ) {
    const { requests, queries: queries, writes } = this.rates();
    this.requests = new RateLimiter(clock, requests.perSecond, requests.burst);
    this.queries = new RateLimiter(clock, queries.perSecond, queries.burst);
    this.writes = new RateLimiter(clock, writes.perSecond, writes.burst);
    limits.changed.subscribe(() => {
      const lower = this.rates();
      this.requests.setRate(lower.requests.perSecond, lower.requests.burst);
      this.queries.setRate(lower.queries.perSecond, lower.queries.burst);
      this.writes.setRate(lower.writes.perSecond, lower.writes.burst);
    });
  }

  /**
   * The limits hold for all nodes together. One node does nearly all of the writing, so each may
   * take half of the requests; what is refused all the same is tried again after a wait.
   */
  private rates(): { requests: Rate; queries: Rate; writes: Rate } {
    const { rps, writeRps } = this.limits.effective();
    const questions = (rps * QUERY_RATE_RATIO) / this.controllers;
    return {
      requests: { perSecond: rps / 2, burst: rps / 4 },
      queries: { perSecond: questions, burst: Math.max(1, questions * QUERY_BURST_SECONDS) },
      writes: { perSecond: writeRps * 0.85, burst: writeRps * 0.5 },
    };
  }

  /** Waits until one more request may be sent; rejects if `signal` is aborted first. */
  async admit(requestClass: RequestClass, signal?: AbortSignal): Promise<void> {
    if (requestClass !== 'question') return this.requests.acquire(1, requestClass, signal);
    await this.queries.acquire(1, RequestPriority.Critical, signal);
    await this.requests.acquire(1, QUERY_PRIORITY, signal);
  }

  /** Waits until so many puts and deletes may be sent; rejects if `signal` is aborted first. */
  admitWrites(changes: number, priority: RequestPriority, signal?: AbortSignal): Promise<void> {
    return this.writes.acquire(changes, priority, signal);
  }

  /** How many callers wait for their share of the writes. */
  get queuedWrites(): number {
    return this.writes.queueLength;
  }

  /** How long a transaction of so many puts and deletes would queue here, in milliseconds. */
  writeDelayMs(changes: number, priority: RequestPriority): number {
    return Math.max(this.writes.delayMs(changes, priority), this.requests.delayMs(1, priority));
  }

  /** How long the last of so many requests for users' questions would queue here, in milliseconds. */
  queryDelayMs(requests: number): number {
    const queuedMs = Math.max(
      this.queries.delayMs(1, RequestPriority.Critical),
      this.requests.delayMs(1, QUERY_PRIORITY),
    );
    return queuedMs + ((requests - 1) / this.rates().queries.perSecond) * 1000;
  }
}
