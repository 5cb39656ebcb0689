/** Cache of job states, with version checks against the store. */

import { RequestPriority } from '@leverhatch/core/store';
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Settings } from '../settings/deploy.js';
import { jobIdFromKey, KEYS } from '../state/keys.js';
import type { Entry, RequestClass, Store } from '../state/store.js';
import { readDependencies } from './dependencies.js';
import { MAX_SINGLE_READS, readJobEntries } from './job-reader.js';
import { parseJob, type JobRecord } from './records.js';
import type { JobState } from './job-state.js';
import {
  MissingDependencyError,
  UncachedJobError,
  ChangedJobError,
  UnreadableRecordError,
} from './errors.js';
import { VersionChecker, type ReadState, type CacheReader } from './version-checker.js';

/**
 * Number of jobs that a controller caches per MB of its memory, at about 200 bytes each; beyond it
 * the oldest entries are evicted.
 */
const CACHED_JOBS_PER_MB = 50;

/** If at least this many records have to be read, others on the same pages are cached too. */
const PREFETCH_THRESHOLD = 16;

/** This many dependencies take as much memory as one cached job. */
const DEPENDENCIES_PER_JOB = 4;

/**
 * The states of jobs, on every controller. A state that may still change is based on a version
 * check, or on a read, that began after the query arrived. One check serves all queries that wait
 * for it.
 *
 * A job is cancelled if its record says so or if one of its direct or transitive dependencies is
 * stored as cancelled. A cancellation therefore applies to all dependents on every controller as
 * soon as it is stored, without further writes.
 *
 * The result `open` is based on records that are checked in several transactions, at different
 * times after the query arrived. This is sound because an ended job never reopens: a job that is
 * open at a later time was open when the query arrived, so all of them were open at that time. The
 * dependencies of a job are fixed when it is accepted, and all dependencies of a done job are done.
 * The result `cancelled` is final, because a job starts only when all its dependencies are done, so
 * one with a cancelled ancestor can never be done.
 */
export class JobStateCache {
  private readonly cache = new Map<string, JobState>();
  private cachedDependencies = 0;
  private readonly queryChecker: VersionChecker;
  private readonly checker: VersionChecker;

  constructor(
    private readonly store: Store,
    private readonly settings: Settings,
    runtime: Runtime,
    pollMs: number,
  ) {
    const cacheReader: CacheReader = {
      cached: (id) => this.cache.get(id) ?? null,
      read: (ids, from) => this.read(ids, from),
    };
    const { clock } = runtime;
    this.queryChecker = new VersionChecker(store, clock, pollMs, 'question', cacheReader);
    this.checker = new VersionChecker(store, clock, pollMs, RequestPriority.Critical, cacheReader);
  }

  /** Whether the job is known to be accepted. */
  has(id: string): boolean {
    return this.cache.has(id);
  }

  /** Returns the job's state at some time after this call; null if it was never accepted. */
  current(id: string, signal: AbortSignal | null = null): Promise<JobState | null> {
    return this.currentUsing(this.checker, id, signal);
  }

  /**
   * The same for a user's query. Its version checks have normal priority and are also subject to
   * the rate limit of user queries. `overdue`: no query about this job has been answered for a long
   * time, so it may queue for longer before it is rejected.
   */
  query(id: string, signal: AbortSignal, overdue: boolean): Promise<JobState | null> {
    return this.currentUsing(this.queryChecker, id, signal, overdue);
  }

  private async currentUsing(
    checker: VersionChecker,
    id: string,
    signal: AbortSignal | null,
    overdue = false,
  ): Promise<JobState | null> {
    const cached = this.cache.get(id);
    if (cached && cached.phase !== 'open') return cached;
    if (cached && this.hasCancelledAncestor(cached)) return this.markCancelled(id);
    const hasDependencies = cached && cached.dependencies.length > 0;
    if (hasDependencies) return this.checkWithAncestors(checker, id, signal);
    const job = await checker.check(id, signal, overdue);
    if (job?.phase !== 'open' || job.dependencies.length === 0) return job;
    return this.checkWithAncestors(checker, id, signal);
  }

  /** Returns the cached state, which may be stale; null if the job is not cached. */
  cached(id: string): JobState | null {
    const job = this.cache.get(id);
    if (!job) return null;
    return job.phase === 'open' && this.hasCancelledAncestor(job) ? this.markCancelled(id) : job;
  }

  /** Returns the first of these jobs that was never accepted; null if all were. */
  async firstUnknown(ids: readonly string[], signal: AbortSignal): Promise<string | null> {
    const unknown = ids.filter((id) => !this.cache.has(id));
    if (unknown.length === 0) return null;
    const entries = await readJobEntries(this.store, unknown, { signal });
    for (const id of unknown) {
      const entry = entries.get(id);
      if (!entry) return id;
    }
    // Their states will soon be needed for queries about the dependent job. A record that cannot be
    // read is no reason to reject the submission: a query about that job reports the error.
    if (entries.size <= this.checker.maxConditions) {
      await Promise.all(
        [...entries].map(([id, entry]) => this.putEntry(id, entry).catch(() => null)),
      );
    }
    return null;
  }

  /** Caches a state that was read or written; an ended job is never replaced. */
  put(id: string, job: JobState): JobState {
    const existing = this.cache.get(id);
    // Responses may arrive out of order: keep the newer version.
    if (existing && (existing.phase !== 'open' || existing.version > job.version)) return existing;
    this.evict(id);
    this.cache.set(id, job);
    this.cachedDependencies += job.dependencies.length;
    for (const oldest of this.cache.keys()) {
      if (this.weight <= this.maxWeight || oldest === id) break;
      this.evict(oldest);
    }
    return job;
  }

  private get weight(): number {
    return this.cache.size + this.cachedDependencies / DEPENDENCIES_PER_JOB;
  }

  private get maxWeight(): number {
    return this.settings.machine.memoryMb * CACHED_JOBS_PER_MB;
  }

  private evict(id: string): void {
    this.cachedDependencies -= this.cache.get(id)?.dependencies.length ?? 0;
    this.cache.delete(id);
  }

  // ---- jobs with dependencies

  /** Whether a direct or transitive dependency of this job is cached as cancelled. */
  private hasCancelledAncestor(job: JobState): boolean {
    const seen = new Set<string>();
    const pending = [...job.dependencies];
    for (let id = pending.pop(); id !== undefined; id = pending.pop()) {
      if (seen.has(id)) continue;
      seen.add(id);
      const ancestor = this.cache.get(id);
      if (ancestor?.phase === 'cancelled') return true;
      if (ancestor?.phase === 'open') pending.push(...ancestor.dependencies);
    }
    return false;
  }

  private markCancelled(id: string): JobState {
    const job = this.cache.get(id);
    if (!job) throw new UncachedJobError(id);
    return this.put(id, asCancelled(job));
  }

  /** Checks an open job with dependencies: all its open ancestors are version-checked as well. */
  private async checkWithAncestors(
    checker: VersionChecker,
    id: string,
    signal: AbortSignal | null,
  ): Promise<JobState | null> {
    const states = new Map<string, JobState>();
    let pending = this.openWithAncestors(id, states);
    while (pending.length > 0) {
      for (const [ancestor, state] of await this.checkAll(checker, pending, signal)) {
        if (state) states.set(ancestor, state);
        else if (ancestor === id) return null;
        else throw new MissingDependencyError(id, ancestor);
      }
      const job = stateOf(states, id);
      if (job.phase !== 'open') return job;
      for (const state of states.values()) {
        // Cached again with its version, since it may have been evicted in the meantime.
        if (state.phase === 'cancelled') return this.put(id, asCancelled(job));
      }
      pending = [...states.values()].flatMap((state) => state.dependencies);
      pending = [...new Set(pending)].filter((ancestor) => !states.has(ancestor));
    }
    const job = stateOf(states, id);
    const satisfied = job.dependencies.every(
      (dependency) => states.get(dependency)?.phase === 'done',
    );
    return satisfied ? this.put(id, { ...job, dependencies: [] }) : job;
  }

  /**
   * Returns the job itself and those of its ancestors that are cached as open or not cached; adds
   * the ended ones to `ended`.
   */
  private openWithAncestors(id: string, ended: Map<string, JobState>): string[] {
    const open = new Set<string>();
    const pending = [id];
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
      const job = this.cache.get(next);
      if (job && job.phase !== 'open') ended.set(next, job);
      if (open.has(next) || ended.has(next)) continue;
      open.add(next);
      for (const dependency of job?.dependencies ?? []) pending.push(dependency);
    }
    return [...open];
  }

  private async checkAll(
    checker: VersionChecker,
    ids: string[],
    signal: AbortSignal | null,
  ): Promise<Map<string, JobState | null>> {
    // For more jobs than a few version checks can hold, reading pages takes fewer requests.
    if (ids.length > checker.maxJobsAtOnce) return this.readAll(ids, signal);
    // A version check of a job that is not cached would fail and then be followed by a read.
    const known = ids.filter((id) => this.cache.has(id));
    const unknown = ids.filter((id) => !this.cache.has(id));
    const [states, read] = await Promise.all([
      Promise.all(known.map((id) => this.checkUnlessEnded(checker, id, signal))),
      this.readAll(unknown, signal),
    ]);
    known.forEach((id, i) => read.set(id, states[i] ?? null));
    return read;
  }

  private checkUnlessEnded(
    checker: VersionChecker,
    id: string,
    signal: AbortSignal | null,
  ): Promise<JobState | null> {
    const known = this.cache.get(id);
    if (known && known.phase !== 'open') return Promise.resolve(known);
    return checker.check(id, signal);
  }

  private async readOne(id: string, requestClass: RequestClass): Promise<JobState | null> {
    const entry = await this.store.get(KEYS.job(id), requestClass);
    return entry && this.putEntry(id, entry);
  }

  private async readAll(
    ids: string[],
    signal: AbortSignal | null,
  ): Promise<Map<string, JobState | null>> {
    const entries = await readJobEntries(this.store, ids, signal ? { signal } : {});
    const states = new Map<string, JobState | null>();
    for (const id of ids) {
      const entry = entries.get(id);
      states.set(id, entry ? await this.putEntry(id, entry) : null);
    }
    return states;
  }

  // ---- records

  private async read(
    ids: readonly string[],
    requestClass: RequestClass,
  ): Promise<Map<string, ReadState>> {
    if (ids.length <= MAX_SINGLE_READS) {
      const states = ids.map(
        async (id) => [id, await this.readOne(id, requestClass).catch(asError)] as const,
      );
      return new Map(await Promise.all(states));
    }
    // A controller that has to read so many jobs has just started and will need the others too.
    const onOtherEntry = (entry: Entry): void => this.prefetchEntry(entry);
    const prefetch = ids.length >= PREFETCH_THRESHOLD ? { onOtherEntry } : {};
    const entries = await readJobEntries(this.store, ids, { requestClass, ...prefetch });
    const states = await Promise.all(
      ids.map(async (id): Promise<[string, ReadState]> => {
        const entry = entries.get(id);
        return [id, entry ? await this.putEntry(id, entry).catch(asError) : null];
      }),
    );
    return new Map(states);
  }

  /** Caches a record that was just read, with the dependencies if the job is open. */
  private async putEntry(id: string, entry: Entry): Promise<JobState> {
    const known = this.cache.get(id);
    if (known && (known.phase !== 'open' || known.version === entry.version)) return known;
    const record = parseJob(entry.value);
    if (!record) throw new UnreadableRecordError(id, entry.key);
    const dependencies =
      record.phase === 'open' ? await this.dependenciesOf(id, entry.version, record) : [];
    if (dependencies === null) throw new ChangedJobError(id);
    const { phase, tasks } = record;
    return this.put(id, { version: entry.version, phase, tasks, dependencies });
  }

  /** Caches a record that was not requested, if that takes no further request and no eviction. */
  private prefetchEntry(entry: Entry): void {
    const id = jobIdFromKey(entry.key);
    const record = parseJob(entry.value);
    if (!record || this.cache.has(id) || this.weight >= this.maxWeight) return;
    const { phase, tasks, needs } = record;
    if (phase === 'open' && needs) return;
    this.put(id, { version: entry.version, phase, tasks, dependencies: [] });
  }

  private async dependenciesOf(
    id: string,
    version: number,
    record: JobRecord,
  ): Promise<readonly string[] | null> {
    const known = this.cache.get(id);
    // An open record may be rewritten, but its dependencies never change.
    if (known && known.version <= version) return known.dependencies;
    return readDependencies(this.store, id, record.needs);
  }
}

/** Returns the checked state of a job. */
function stateOf(states: ReadonlyMap<string, JobState>, id: string): JobState {
  const state = states.get(id);
  if (!state) throw new UncachedJobError(id);
  return state;
}

const asError = (reason: unknown): Error =>
  reason instanceof Error ? reason : new Error(String(reason), { cause: reason });

const asCancelled = (job: JobState): JobState => ({ ...job, phase: 'cancelled', dependencies: [] });
