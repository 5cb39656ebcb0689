/** Batched version checks of cached jobs. */

import type { Clock } from '@leverhatch/core/clock';
import { KEYS } from '../state/keys.js';
import { isSizeRejection, type Condition, type RequestClass, type Store } from '../state/store.js';
import type { JobState } from './job-state.js';
import { HEDGE_RATIO, hedged, OverloadedError } from './user-requests.js';

interface Waiter {
  /** Aborted once the query's timeout is over: nobody waits for its answer any more. */
  signal: AbortSignal | null;
  resolve(job: JobState | null): void;
  reject(reason: unknown): void;
}

/** A job and all who wait for its state. */
type PendingCheck = [string, Waiter[]];

/** A job as it was read, that it was never accepted, or why its record could not be taken in. */
export type ReadState = JobState | null | Error;

/** The cache that is checked against the store. */
export interface CacheReader {
  /** What is cached of a job. */
  cached(id: string): JobState | null;
  /** Reads jobs from the store; each state is from some time after the call. */
  read(ids: readonly string[], requestClass: RequestClass): Promise<Map<string, ReadState>>;
}

/**
 * Into how many batch windows the query timeout is divided; queries of one window share a version
 * check.
 */
const BATCH_WINDOWS_PER_QUERY = 16;

/** How many version checks are in flight at once. */
const CONCURRENT_CHECKS = 4;

/** Fraction of the query timeout for which a query may queue; beyond it its user is sent away. */
const MAX_QUEUED_RATIO = 0.5;

/** The same for an overdue job, see `QueryAdmission.isOverdue`. */
const MAX_OVERDUE_QUEUED_RATIO = 0.75;

/**
 * Queries about jobs that wait for a version check. One check serves all queries that wait when it
 * begins. Users' queries and what submissions, cancellations and workers wait
 * for have a queue each, so that a storm of the former holds up none of the latter.
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

  /** More jobs than this cost fewer requests as pages of records. */
  get maxJobsAtOnce(): number {
    return this.maxConditions * CONCURRENT_CHECKS;
  }

  /** The state as stored at some time after this call, whatever becomes of the jobs before it. */
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

  /** How many jobs one version check takes. */
  get maxConditions(): number {
    // Looked up each time: a rejection of the last version check may have lowered it.
    return this.store.limits.comparedKeys.current;
  }

  /** How long one more query would wait for its version check to be sent, in milliseconds. */
  private get delayMs(): number {
    const rounds = Math.floor(this.pending.size / this.maxJobsAtOnce);
    return this.store.queryDelayMs(rounds * CONCURRENT_CHECKS + 1);
  }

  private enqueue(id: string, waiters: Waiter[]): void {
    const before = this.pending.get(id);
    // Copied, a list that thousands wait in would cost more than all their answers.
    if (before) for (const waiter of waiters) before.push(waiter);
    else this.pending.set(id, waiters);
  }

  private async checkAll(): Promise<void> {
    this.isChecking = true;
    while (this.pending.size > 0) {
      // Users can wait this long, and a version check of one job costs as much as one of many.
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

  /** What nobody waits for any more costs the store nothing. */
  private dropAbandoned(): void {
    for (const [id, waiters] of this.pending) {
      const waiting = waiters.filter((waiter) => !waiter.signal?.aborted);
      if (waiting.length === 0) this.pending.delete(id);
      else this.pending.set(id, waiting);
    }
  }

  /** Answers the queries of a batch; those whose jobs have changed are left to be read. */
  private async checkOrReject(batch: PendingCheck[]): Promise<PendingCheck[]> {
    try {
      return await this.checkBatch(batch);
    } catch (error) {
      if (isSizeRejection(error) && batch.length > 1) {
        this.splitBatch(batch);
        return [];
      }
      // The user learns at once that there is no answer now, and when to come back: held until
      // the store serves again, queries would pile up and come late all the same.
      rejectAll(batch, error);
      return [];
    }
  }

  /**
   * The store takes fewer conditions than this version check had. Its limit may have fallen without
   * any announcement; if it were rejected for good, jobs that are queried together would look
   * forgotten.
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
    const failed = new Set(await this.differing(conditions));
    const changed = batch.filter(([id]) => failed.has(KEYS.job(id)));
    for (const [id, waiters] of batch) {
      if (failed.has(KEYS.job(id))) continue;
      const job = checked.get(id) ?? null;
      // Of a failed version check only the keys it names are known to differ; nothing is concluded
      // about the others.
      if (failed.size > 0) this.enqueue(id, waiters);
      // What was checked is the answer also if the job has been dropped from memory since then:
      // an accepted job must never look as if it were unknown.
      else for (const waiter of waiters) waiter.resolve(this.cache.cached(id) ?? job);
    }
    return changed;
  }

  /** Where one answer is lost, all queries that share the version check would wait for it. */
  private differing(conditions: Condition[]): Promise<string[]> {
    // What still queues here is not without an answer yet.
    const queuedMs = this.requestClass === 'question' ? this.store.queryDelayMs(1) : 0;
    const afterMs = this.pollMs * HEDGE_RATIO + queuedMs;
    return hedged(this.clock, afterMs, () =>
      this.store.compareVersions(conditions, this.requestClass),
    );
  }

  /** One job that cannot be read now leaves the other answers of its version check alone. */
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
