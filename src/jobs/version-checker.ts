/** Batched version checks of cached jobs. */

import type { Clock } from '@leverhatch/core/clock';
import { KEYS } from '../state/keys.js';
import { isSizeRejection, type Condition, type RequestClass, type Store } from '../state/store.js';
import type { JobState } from './job-state.js';
import { HEDGE_RATIO, hedged, OverloadedError } from './user-requests.js';

interface Waiter {
  /** Aborted when the query times out: its result is no longer needed. */
  signal: AbortSignal | null;
  resolve(job: JobState | null): void;
  reject(reason: unknown): void;
}

/** A job and all queries that wait for its state. */
type PendingCheck = [string, Waiter[]];

/** The state read for a job; null if it was never accepted; an error if it could not be read. */
export type ReadState = JobState | null | Error;

/** Access to the cache that is checked against the store. */
export interface CacheReader {
  /** Returns the cached state of a job. */
  cached(id: string): JobState | null;
  /** Reads jobs from the store and caches them; each state is from some time after the call. */
  read(ids: readonly string[], requestClass: RequestClass): Promise<Map<string, ReadState>>;
}

/** Number of batch windows per query timeout; queries in one window share a version check. */
const BATCH_WINDOWS_PER_QUERY = 16;

/** Maximum number of version checks in flight. */
const CONCURRENT_CHECKS = 4;

/** Fraction of the query timeout for which a query may queue before it is rejected. */
const MAX_QUEUED_RATIO = 0.5;

/** The same for a query about an overdue job, see `QueryAdmission.isOverdue`. */
const MAX_OVERDUE_QUEUED_RATIO = 0.75;

/**
 * Batches version checks of jobs. One check serves all queries that are waiting when it begins.
 * User queries have an instance of their own, separate from the one for submissions, cancellations
 * and workers, so that a storm of user queries does not delay those.
 */
export class VersionChecker {
  private pending = new Map<string, Waiter[]>();
  private isChecking = false;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly pollMs: number,
    private readonly requestClass: RequestClass,
    private readonly cache: CacheReader,
  ) {}

  /** Reading pages of records takes fewer requests than checking more jobs than this. */
  get maxJobsAtOnce(): number {
    return this.maxConditions * CONCURRENT_CHECKS;
  }

  /** Returns the state as stored at some time after this call, without regard to dependencies. */
  async check(id: string, signal: AbortSignal | null, overdue = false): Promise<JobState | null> {
    this.store.assertResponsive();
    const delayMs = this.requestClass === 'question' && !this.pending.has(id) ? this.delayMs : 0;
    const maxQueuedRatio = overdue ? MAX_OVERDUE_QUEUED_RATIO : MAX_QUEUED_RATIO;
    if (delayMs > this.pollMs * maxQueuedRatio) throw new OverloadedError(delayMs);
    return new Promise((resolve, reject) => {
      this.enqueue(id, [{ signal, resolve, reject }]);
      if (!this.isChecking) void this.checkAll();
    });
  }

  /** Maximum number of jobs in one version check. */
  get maxConditions(): number {
    // Not cached: a rejection of the previous version check may have lowered the limit.
    return this.store.limits.comparedKeys.current;
  }

  /** How long one more query would wait for its version check to be sent, in milliseconds. */
  private get delayMs(): number {
    const rounds = Math.floor(this.pending.size / this.maxJobsAtOnce);
    return this.store.queryDelayMs(rounds * CONCURRENT_CHECKS + 1);
  }

  private enqueue(id: string, waiters: Waiter[]): void {
    const existing = this.pending.get(id);
    // Appended in place: copying a list of thousands of waiters for each new one is too expensive.
    if (existing) for (const waiter of waiters) existing.push(waiter);
    else this.pending.set(id, waiters);
  }

  private async checkAll(): Promise<void> {
    this.isChecking = true;
    while (this.pending.size > 0) {
      // This delay is acceptable to users, and checking one job costs as much as checking many.
      await this.clock.sleep(this.pollMs / BATCH_WINDOWS_PER_QUERY);
      this.dropAbandoned();
      const due = [...this.pending].slice(0, this.maxJobsAtOnce);
      for (const [id] of due) this.pending.delete(id);
      const batches: PendingCheck[][] = [];
      while (due.length > 0) batches.push(due.splice(0, this.maxConditions));
      const changed = await Promise.all(batches.map((batch) => this.checkOrReject(batch)));
      await this.readChanged(new Map(changed.flat()));
    }
    this.isChecking = false;
  }

  /** Drops queries that have timed out, so that they cause no store requests. */
  private dropAbandoned(): void {
    for (const [id, waiters] of this.pending) {
      const waiting = waiters.filter((waiter) => !waiter.signal?.aborted);
      if (waiting.length === 0) this.pending.delete(id);
      else this.pending.set(id, waiting);
    }
  }

  /** Answers the queries of a batch; returns those whose jobs have changed and must be read. */
  private async checkOrReject(batch: PendingCheck[]): Promise<PendingCheck[]> {
    try {
      return await this.checkBatch(batch);
    } catch (error) {
      if (isSizeRejection(error) && batch.length > 1) {
        this.splitBatch(batch);
        return [];
      }
      // Fail immediately, so that users learn when to retry. If queries were held until the store
      // is available again, they would pile up and still be answered late.
      rejectAll(batch, error);
      return [];
    }
  }

  /**
   * Queues a batch again in smaller parts after the store rejected it as too large. The store's
   * limit may have been reduced without an announcement; if the queries failed for good, jobs that
   * are queried together would never be answered and would count as forgotten.
   */
  private splitBatch(batch: PendingCheck[]): void {
    this.store.limits.comparedKeys.reduceBelow(batch.length);
    for (const [id, waiters] of batch) this.enqueue(id, waiters);
  }

  private async checkBatch(batch: PendingCheck[]): Promise<PendingCheck[]> {
    const checked = new Map(batch.map(([id]) => [id, this.cache.cached(id)]));
    const conditions = [...checked].map(([id, job]) => ({
      key: KEYS.job(id),
      version: job?.version ?? 0,
    }));
    const failed = new Set(await this.differingKeys(conditions));
    const changed = batch.filter(([id]) => failed.has(KEYS.job(id)));
    for (const [id, waiters] of batch) {
      if (failed.has(KEYS.job(id))) continue;
      const job = checked.get(id) ?? null;
      // A failed version check only shows that the keys it names differ; the others are unknown.
      if (failed.size > 0) this.enqueue(id, waiters);
      // The checked state is the answer even if the job has been evicted since: an accepted job
      // must never be reported as unknown.
      else for (const waiter of waiters) waiter.resolve(this.cache.cached(id) ?? job);
    }
    return changed;
  }

  /**
   * Returns the keys whose versions differ. The request is hedged, because all queries that share
   * the version check would wait for a lost response.
   */
  private differingKeys(conditions: Condition[]): Promise<string[]> {
    // Time in the local queue does not count as time without a response.
    const queuedMs = this.requestClass === 'question' ? this.store.queryDelayMs(1) : 0;
    const hedgeAfterMs = this.pollMs * HEDGE_RATIO + queuedMs;
    return hedged(this.clock, hedgeAfterMs, () =>
      this.store.compareVersions(conditions, this.requestClass),
    );
  }

  /** Answers queries about changed jobs; a job that cannot be read does not affect the others. */
  private async readChanged(changed: Map<string, Waiter[]>): Promise<void> {
    if (changed.size === 0) return;
    let read: Map<string, ReadState>;
    try {
      read = await this.cache.read([...changed.keys()], this.requestClass);
    } catch (error) {
      return rejectAll(changed, error);
    }
    for (const [id, waiters] of changed) {
      const job = read.get(id) ?? null;
      for (const waiter of waiters) {
        if (job instanceof Error) waiter.reject(job);
        else waiter.resolve(job);
      }
    }
  }
}

function rejectAll(checks: Iterable<PendingCheck>, reason: unknown): void {
  for (const [, waiters] of checks) for (const waiter of waiters) waiter.reject(reason);
}
