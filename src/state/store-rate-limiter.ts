/** Client-side rate limits for requests, queries and writes to the store. */
import type { Clock } from '@leverhatch/core/clock';
import { RateLimiter, RequestPriority } from './rate-limiter.js';
import type { StoreLimits } from './store-limits.js';

/** Requests for users' queries (`question`) have a rate of their own and the lowest priority. */
export type RequestClass = RequestPriority | 'question';

/** The priority of users' queries among all requests. */
const QUERY_PRIORITY: RequestPriority = RequestPriority.Normal;

/**
 * The fraction of the store's request rate that users' queries at all controllers together may take,
 * so that a storm of them leaves room for submissions, leadership and the leader's writes. One version
 * check answers as many queries as a transaction has conditions.
 */
const QUERY_RATE_RATIO = 0.5;

/** Burst of query requests, in seconds of their rate. */
const QUERY_BURST_SECONDS = 0.5;

/**
 * The fraction of the request rate that one controller may take. The rate holds for all controllers
 * together, but one of them, the leader, sends most requests. Requests that the store rejects all the
 * same are repeated after a wait.
 */
const REQUEST_RATE_RATIO = 1 / 2;

/** Burst of requests, in seconds of the whole request rate. */
const REQUEST_BURST_SECONDS = 1 / 4;

/** The fraction of the write rate that one controller may take: only the leader writes much. */
const WRITE_RATE_RATIO = 0.85;

/** Burst of writes, in seconds of the whole write rate. */
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
 * Keeps one controller's requests below the rates that the store enforces for all controllers
 * together. Callers wait here, by priority.
 */
export class StoreRateLimiter {
  private readonly requests: RateLimiter;
  private readonly queries: RateLimiter;
  private readonly writes: RateLimiter;

  /** `controllers`: how many controllers share the rates. */
  constructor(
    clock: Clock,
    private readonly limits: StoreLimits,
    private readonly controllers: number,
  ) {
    const { requests, queries, writes } = this.rates();
    this.requests = new RateLimiter(clock, requests.perSecond, requests.burst);
    this.queries = new RateLimiter(clock, queries.perSecond, queries.burst);
    this.writes = new RateLimiter(clock, writes.perSecond, writes.burst);
    // Never released: the store's client owns both this limiter and the limits.
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

  /** Callers that wait to write, without those of background priority. */
  get queuedWrites(): number {
    return this.writes.queueLength;
  }

  /** How long a transaction of `changes` puts and deletes would wait here, in milliseconds. */
  writeDelayMs(changes: number, priority: RequestPriority): number {
    return Math.max(this.writes.delayMs(changes, priority), this.requests.delayMs(1, priority));
  }

  /** How long the last of `requests` requests for users' queries would wait here, in milliseconds. */
  queryDelayMs(requests: number): number {
    const queuedMs = Math.max(
      this.queries.delayMs(1, RequestPriority.Critical),
      this.requests.delayMs(1, QUERY_PRIORITY),
    );
    return queuedMs + ((requests - 1) / this.rates().queries.perSecond) * 1000;
  }
}
