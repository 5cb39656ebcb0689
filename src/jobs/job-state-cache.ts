/** Cached states of jobs, version-checked against the store. */

import { RequestPriority } from '@leverhatch/core/store';
import type { Runtime } from '@leverhatch/core/duty';
import type { Settings } from '../settings/deploy.js';
import { jobOfKey, KEYS } from '../state/keys.js';
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
 * How many jobs a controller caches for each MB of its memory, at some 200 bytes each; beyond it
 * the ones cached longest ago are evicted.
 */
const CACHED_JOBS_PER_MB = 50;

/** Where this many records are missing, those beside them are taken in as well. */
const PREFETCH_THRESHOLD = 16;

/** This many dependencies take as much memory as a cached job. */
const DEPENDENCIES_PER_JOB = 4;

/**
 * The states of jobs, on every controller. A state that may still change rests on a version
 * check, or on a read, that began after the query came. One check serves all queries that wait for
 * it.
 *
 * A job is cancelled if its record says so or if a job that it needs, directly or through others,
 * is stored as cancelled. So a cancellation holds for all that need the job as soon as it is
 * stored, at every controller, with nothing else to be written. The answer `open` rests on records
 * checked in several transactions, at different moments after the query came. That is sound since a
 * job that is over never opens again: what is open at a later moment was open when the query came,
 * so at that moment all of them were. What a job needs is fixed when it is accepted, and below a
 * job that is done all are done. The answer `cancelled` is final, since a job with a cancelled one
 * before it can never be done: it starts only when all of those are.
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
    const memory: CacheReader = {
      cached: (id) => this.cache.get(id) ?? null,
      read: (ids, from) => this.read(ids, from),
    };
    const { clock } = runtime;
    this.queryChecker = new VersionChecker(store, clock, pollMs, 'question', memory);
    this.checker = new VersionChecker(store, clock, pollMs, RequestPriority.Critical, memory);
  }

  /** Whether the job is known to be accepted. */
  has(id: string): boolean {
    return this.cache.has(id);
  }

  /** The job's state at some time after this call; null: it was never accepted. */
  current(id: string, signal: AbortSignal | null = null): Promise<JobState | null> {
    return this.currentBy(this.checker, id, signal);
  }

  /**
   * The same for a user's query, which comes after all other work. `overdue`: nothing was answered
   * about this job for long, and it may queue for longer than others before it is sent away.
   */
  query(id: string, signal: AbortSignal, overdue: boolean): Promise<JobState | null> {
    return this.currentBy(this.queryChecker, id, signal, overdue);
  }

  private async currentBy(
    checker: VersionChecker,
    id: string,
    signal: AbortSignal | null,
    overdue = false,
  ): Promise<JobState | null> {
    const cached = this.cache.get(id);
    if (cached && cached.phase !== 'open') return cached;
    if (cached && this.hasCancelledAncestor(cached)) return this.markCancelled(id);
    const hasDependencies = cached && cached.dependencies.length > 0;
    if (hasDependencies) return this.withAncestors(checker, id, signal);
    const job = await checker.check(id, signal, overdue);
    if (job?.phase !== 'open' || job.dependencies.length === 0) return job;
    return this.withAncestors(checker, id, signal);
  }

  /** The state as far as it is cached, which may be older than this call. */
  cached(id: string): JobState | null {
    const job = this.cache.get(id);
    if (!job) return null;
    return job.phase === 'open' && this.hasCancelledAncestor(job) ? this.markCancelled(id) : job;
  }

  /** The first of these jobs that was never accepted; null: all were. */
  async firstUnknown(ids: readonly string[], signal: AbortSignal): Promise<string | null> {
    const unknown = ids.filter((id) => !this.cache.has(id));
    if (unknown.length === 0) return null;
    const entries = await readJobEntries(this.store, unknown, { signal });
    for (const id of unknown) {
      const entry = entries.get(id);
      if (!entry) return id;
    }
    // Their states will be queried soon, with the job that names them. One that cannot be read now
    // is no reason to reject the submission: its own query shows it.
    if (entries.size <= this.checker.maxConditions) {
      await Promise.all(
        [...entries].map(([id, entry]) => this.putEntry(id, entry).catch(() => null)),
      );
    }
    return null;
  }

  /** Caches a record that was read or written; what is over stays over. */
  put(id: string, job: JobState): JobState {
    const before = this.cache.get(id);
    // Answers may overtake one another: the newer version stands.
    if (before && (before.phase !== 'open' || before.version > job.version)) return before;
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

  // ---- jobs that others are needed for

  /** Whether a job before this one is cached as cancelled. */
  private hasCancelledAncestor(job: JobState): boolean {
    const seen = new Set<string>();
    const left = [...job.dependencies];
    for (let id = left.pop(); id !== undefined; id = left.pop()) {
      if (seen.has(id)) continue;
      seen.add(id);
      const before = this.cache.get(id);
      if (before?.phase === 'cancelled') return true;
      if (before?.phase === 'open') left.push(...before.dependencies);
    }
    return false;
  }

  private markCancelled(id: string): JobState {
    const job = this.cache.get(id);
    if (!job) throw new UncachedJobError(id);
    return this.put(id, withdrawn(job));
  }

  /**
   * The state of an open job that needs others: all open ones before it are version-checked too.
   */
  private async withAncestors(
    checker: VersionChecker,
    id: string,
    signal: AbortSignal | null,
  ): Promise<JobState | null> {
    const states = new Map<string, JobState>();
    let left = this.openBefore(id, states);
    while (left.length > 0) {
      for (const [ancestor, state] of await this.checkAll(checker, left, signal)) {
        if (state) states.set(ancestor, state);
        else if (ancestor === id) return null;
        else throw new MissingDependencyError(id, ancestor);
      }
      const job = stateOf(states, id);
      if (job.phase !== 'open') return job;
      for (const state of states.values()) {
        // Cached with its version again, in case it has been dropped from memory meanwhile.
        if (state.phase === 'cancelled') return this.put(id, withdrawn(job));
      }
      left = [...states.values()].flatMap((state) => state.dependencies);
      left = [...new Set(left)].filter((a) => !states.has(a));
    }
    const job = stateOf(states, id);
    const satisfied = job.dependencies.every(
      (dependency) => states.get(dependency)?.phase === 'done',
    );
    return satisfied ? this.put(id, { ...job, dependencies: [] }) : job;
  }

  /** The job itself and all before it that are cached as open or not at all. */
  private openBefore(id: string, over: Map<string, JobState>): string[] {
    const open = new Set<string>();
    const left = [id];
    for (let next = left.pop(); next !== undefined; next = left.pop()) {
      const job = this.cache.get(next);
      if (job && job.phase !== 'open') over.set(next, job);
      if (open.has(next) || over.has(next)) continue;
      open.add(next);
      for (const dependency of job?.dependencies ?? []) left.push(dependency);
    }
    return [...open];
  }

  private async checkAll(
    checker: VersionChecker,
    ids: string[],
    signal: AbortSignal | null,
  ): Promise<Map<string, JobState | null>> {
    // More than fit a few version checks cost fewer requests as pages of records.
    if (ids.length > checker.maxJobsAtOnce) return this.readAll(ids, signal);
    // A version check of what is not cached could only fail, and then be followed by a read.
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
    // Whoever lacks so many has just started, and will be asked for the others too.
    const onOtherEntry = (entry: Entry): void => this.prefetchEntry(entry);
    const ahead = ids.length >= PREFETCH_THRESHOLD ? { onOtherEntry } : {};
    const entries = await readJobEntries(this.store, ids, { requestClass, ...ahead });
    const states = await Promise.all(
      ids.map(async (id): Promise<[string, ReadState]> => {
        const entry = entries.get(id);
        return [id, entry ? await this.putEntry(id, entry).catch(asError) : null];
      }),
    );
    return new Map(states);
  }

  /** Takes in a record that was read just now, with the dependencies of an open job. */
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

  /** Takes in a record that nobody has asked for yet, if that costs no further request. */
  private prefetchEntry(entry: Entry): void {
    const id = jobOfKey(entry.key);
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
    // An open record may be written anew, but what it needs stays.
    if (known && known.version <= version) return known.dependencies;
    return readDependencies(this.store, id, record.needs);
  }
}

/** The state that the check of a job has yielded. */
function stateOf(states: ReadonlyMap<string, JobState>, id: string): JobState {
  const state = states.get(id);
  if (!state) throw new UncachedJobError(id);
  return state;
}

const asError = (reason: unknown): Error =>
  reason instanceof Error ? reason : new Error(String(reason), { cause: reason });

const withdrawn = (job: JobState): JobState => ({ ...job, phase: 'cancelled', dependencies: [] });
