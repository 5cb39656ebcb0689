/** Client-side rate limits for requests, user queries and writes to the store. */
import type { Clock } from '@leverhatch/core/clock';
import { RateLimiter, RequestPriority } from './rate-limiter.js';
import type { StoreLimits } from './store-limits.js';

/**
 * The class of a request for rate limiting. User queries (`question`) have their own rate limit as
 * well.
 */
export type RequestClass = RequestPriority | 'question';

/** The priority of user queries among all requests. */
const QUERY_PRIORITY: RequestPriority = RequestPriority.Normal;

/**
 * The fraction of the store's request rate that user queries of all controllers together may use, so
 * that a query storm leaves capacity for submissions, leader election and the leader's writes. One
 * version check can answer queries about as many jobs as a transaction may have conditions.
 */
const QUERY_RATE_RATIO = 0.5;

/** The burst of query requests, in seconds of their rate. */
const QUERY_BURST_SECONDS = 0.5;

/**
 * The fraction of the request rate that one controller may use. The store enforces the rate for all
 * controllers together, but the leader sends most requests. Requests that the store rejects
 * nevertheless are retried after a delay.
 */
const REQUEST_RATE_RATIO = 1 / 2;

/** The burst of requests, in seconds of the full request rate. */
const REQUEST_BURST_SECONDS = 1 / 4;

/** The fraction of the write rate that one controller may use; the leader sends nearly all writes. */
const WRITE_RATE_RATIO = 0.85;

/** The burst of writes, in seconds of the full write rate. */
const WRITE_BURST_SECONDS = 0.5;

interface Rate {
  perSecond: number;
  burst: number;
}

interface Rates {
  requests: Rate;
  queries: Rate;
  writes: Rate;
}

/**
 * Keeps one controller's requests below the rates that the store enforces for all controllers together.
 * Callers wait in queues by priority.
 */
export class StoreRateLimiter {
  private readonly requests: RateLimiter;
  private readonly queries: RateLimiter;
  private readonly writes: RateLimiter;

  /** `controllers`: the number of controllers that share the rates. */
  constructor(
    clock: Clock,
    private readonly limits: StoreLimits,
    private readonly controllers: number,
  ) {
    const { requests, queries, writes } = this.rates();
    this.requests = new RateLimiter(clock, requests.perSecond, requests.burst);
    this.queries = new RateLimiter(clock, queries.perSecond, queries.burst);
    this.writes = new RateLimiter(clock, writes.perSecond, writes.burst);
    // Never unsubscribed: the store client owns both this limiter and the limits.
    limits.changed.subscribe(() => {
      const lower = this.rates();
      this.requests.setRate(lower.requests.perSecond, lower.requests.burst);
      this.queries.setRate(lower.queries.perSecond, lower.queries.burst);
      this.writes.setRate(lower.writes.perSecond, lower.writes.burst);
    });
  }

  private rates(): Rates {
    const { rps, writeRps } = this.limits.effective();
    const queryRps = (rps * QUERY_RATE_RATIO) / this.controllers;
    return {
      requests: { perSecond: rps * REQUEST_RATE_RATIO, burst: rps * REQUEST_BURST_SECONDS },
      queries: { perSecond: queryRps, burst: Math.max(1, queryRps * QUERY_BURST_SECONDS) },
      writes: { perSecond: writeRps * WRITE_RATE_RATIO, burst: writeRps * WRITE_BURST_SECONDS },
    };
  }

  /** Waits until one more request may be sent; rejects if `signal` is aborted first. */
  async admit(requestClass: RequestClass, signal?: AbortSignal): Promise<void> {
    if (requestClass !== 'question') return this.requests.acquire(1, requestClass, signal);
    await this.queries.acquire(1, RequestPriority.Critical, signal);
    await this.requests.acquire(1, QUERY_PRIORITY, signal);
  }

  /** Waits until `changes` puts and deletes may be sent; rejects if `signal` is aborted first. */
  admitWrites(changes: number, priority: RequestPriority, signal?: AbortSignal): Promise<void> {
    return this.writes.acquire(changes, priority, signal);
  }

  /** The number of callers that wait to write, except those of background priority. */
  get queuedWrites(): number {
    return this.writes.queueLength;
  }

  /**
   * How long the rate limits would delay a transaction of `changes` puts and deletes, in milliseconds.
   */
  writeDelayMs(changes: number, priority: RequestPriority): number {
    return Math.max(this.writes.delayMs(changes, priority), this.requests.delayMs(1, priority));
  }

  /** How long the rate limits would delay the last of `requests` query requests, in milliseconds. */
  queryDelayMs(requests: number): number {
    const queuedMs = Math.max(
      this.queries.delayMs(1, RequestPriority.Critical),
      this.requests.delayMs(1, QUERY_PRIORITY),
    );
    return queuedMs + ((requests - 1) / this.rates().queries.perSecond) * 1000;
  }
}
