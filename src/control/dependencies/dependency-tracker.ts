/** Tracks jobs that wait for dependencies; makes them ready or cancels them when these end. */
import type { Runtime } from '@leverhatch/core/supervised-task';
import { RequestPriority } from '@leverhatch/core/store';
import type { Term } from '../../election/term.js';
import { readDependencies } from '../../jobs/dependencies.js';
import type { JobPhase } from '../../jobs/job.js';
import { readJobEntries } from '../../jobs/job-reader.js';
import type { JobRecordWriter } from '../../jobs/job-record-writer.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { DependenciesRecord } from '../../jobs/records.js';
import { jitter } from '@leverhatch/core/random';
import { KEYS } from '../../state/keys.js';
import { isSizeRejection, type Entry, type Store } from '../../state/store.js';
import { dropOldest } from '../../runtime/drop-oldest.js';

type ChunkedDependencies = Extract<DependenciesRecord, { mark: string }>;

/** Dependencies of `DependencyTracker`. */
export interface DependencyTrackerContext {
  readonly runtime: Runtime;
  readonly store: Store;
  readonly term: Pick<Term, 'fencingToken' | 'signal'>;
  /** The controller's memory; it bounds the number of ended jobs that are cached. */
  readonly memoryMb: number;
  /** Delay before a failed request is retried, in milliseconds. */
  readonly retryMs: number;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly recordWriter: Pick<JobRecordWriter, 'flush'>;
  /** Called with a job record that was read directly, without a watch event for it. */
  onJobEntry(entry: Entry): void;
  requestSchedule(): void;
}

/** The stored final state of a job. */
interface EndedJob {
  phase: Exclude<JobPhase, 'open'>;
  /** Time of day at which it was stored as done; null if its record has no such time. */
  doneAt: number | null;
}

/** The pending dependencies of one job. */
interface Wait {
  /** Dependencies that are not known to be stored as done. */
  missing: Set<string>;
  /** Time of day at which the latest completed dependency was done, initially the submission. */
  since: number;
}

/**
 * Ended jobs that the leader caches for each MB of its memory, at about 100 bytes each. It reads
 * evicted ones from the store when a new job depends on them.
 */
const ENDED_JOBS_PER_MB = 50;

/** Maximum retry delay of a failed read, as a multiple of the first delay. */
const MAX_BACKOFF = 32;

/**
 * Tracks, on the leader, the jobs that wait for dependencies. A waiting job has no `readyAt` and is
 * left out of scheduling cycles. It becomes ready only when all its dependencies are known to be
 * *stored* as done, either from a record read from the store or from the store's response to the
 * leader's own write. That state is final, so it never has to be revoked; a new leader reads it
 * again. While any of it cannot be read, the job keeps waiting.
 *
 * A job whose dependency is stored as cancelled is cancelled as well, and so are its own dependents.
 * All controllers report this to users as soon as the first cancellation is stored; this class only
 * updates the job records accordingly.
 */
export class DependencyTracker {
  private readonly waits = new Map<Job, Wait>();
  /** The jobs that wait for a dependency, by the id of that dependency. */
  private readonly dependents = new Map<string, Set<Job>>();
  private readonly endedJobs = new Map<string, EndedJob>();
  private readonly chunks = new Map<string, ChunkedDependencies>();
  /** Jobs read during recovery; their dependencies are resolved once all records have been read. */
  private recovering: [Job, DependenciesRecord][] | null = [];

  constructor(private readonly context: DependencyTrackerContext) {}

  /** Resets all state because recovery starts over. */
  clear(): void {
    this.waits.clear();
    this.dependents.clear();
    this.endedJobs.clear();
    this.chunks.clear();
    this.recovering = [];
  }

  /** Resolves the dependencies of all recovered jobs, once all job records have been read. */
  recovered(): void {
    const jobs = this.recovering ?? [];
    this.recovering = null;
    for (const [job, needs] of jobs) this.startResolving(job, needs);
  }

  /** Adds a job with dependencies; it waits until they are known to be done. */
  add(job: Job, needs: DependenciesRecord): void {
    if ('mark' in needs) this.chunks.set(job.id, needs);
    if (job.phase !== 'open') return;
    job.readyAt = null;
    if (this.recovering) this.recovering.push([job, needs]);
    else this.startResolving(job, needs);
  }

  /** Handles a job whose final state is in the store. */
  onJobEnded(id: string, phase: JobPhase, doneAt: number | null): void {
    if (phase === 'open') return;
    this.endedJobs.delete(id);
    this.endedJobs.set(id, { phase, doneAt });
    // Also during recovery: evicted entries are read again when a job depends on them.
    this.trim();
    if (this.recovering) return;
    const tracked = this.context.jobs.get(id);
    if (tracked) this.removeWait(tracked);
    this.removeChunks(id);
    const waiting = this.dependents.get(id);
    this.dependents.delete(id);
    for (const job of waiting ?? []) {
      if (phase === 'done') this.onDependencyDone(job, id, doneAt);
      else this.cancel(job, id);
    }
  }

  private trim(): void {
    dropOldest(this.endedJobs, this.context.memoryMb * ENDED_JOBS_PER_MB);
  }

  private startResolving(job: Job, needs: DependenciesRecord): void {
    if ('ids' in needs) this.resolve(job, needs.ids);
    else void this.loadChunks(job, needs);
  }

  /** Reads a dependency list that is stored in chunks, with unlimited retries. */
  private async loadChunks(job: Job, needs: ChunkedDependencies): Promise<void> {
    const { store } = this.context;
    const { signal } = this.context.term;
    await this.retryWhileWaiting(job, 'dependencies unreadable, job keeps waiting', async () => {
      const ids = await readDependencies(store, job.id, needs, signal);
      if (ids && job.phase === 'open') this.resolve(job, ids);
      return ids !== null;
    });
  }

  private resolve(job: Job, ids: readonly string[]): void {
    job.dependencies = ids.map((id) => this.context.jobs.get(id)?.id ?? id);
    const wait: Wait = { missing: new Set(), since: job.submittedAt };
    const unknown: string[] = [];
    for (const id of job.dependencies) {
      const ended = this.endedJobs.get(id);
      if (ended?.phase === 'cancelled') return this.cancel(job, id);
      if (ended?.phase === 'done') {
        wait.since = Math.max(wait.since, ended.doneAt ?? 0);
        continue;
      }
      wait.missing.add(id);
      const known = this.context.jobs.get(id);
      if (known) known.hasDependents = true;
      else unknown.push(id);
    }
    this.waits.set(job, wait);
    for (const id of wait.missing) {
      const waiting = this.dependents.get(id);
      if (waiting) waiting.add(job);
      else this.dependents.set(id, new Set([job]));
    }
    this.markReadyIfDone(job, wait);
    if (wait.missing.size > 0) this.logWait(job, wait);
    if (unknown.length > 0) void this.loadMissingRecords(job, unknown);
  }

  private logWait(job: Job, { missing }: Wait): void {
    const [first] = missing;
    this.context.runtime.log.info(
      { job: job.id, class: job.spec.jobClass, waitsFor: first, dependencies: missing.size },
      'job waits for its dependencies',
    );
  }

  /**
   * Reads the records of dependencies that are not cached: they ended long ago, or the watch has not
   * reported them yet.
   */
  private async loadMissingRecords(job: Job, ids: readonly string[]): Promise<void> {
    const { store } = this.context;
    const { signal } = this.context.term;
    await this.retryWhileWaiting(job, 'dependency has no record, job keeps waiting', async () => {
      const open = ids.filter((id) => this.waits.get(job)?.missing.has(id));
      const entries = await readJobEntries(store, open, { signal });
      for (const [id, entry] of entries) {
        if (!this.endedJobs.has(id)) this.context.onJobEntry(entry);
      }
      return entries.size === open.length;
    });
  }

  /** Repeats `attempt` until it resolves to true, while the job is open and the term lasts. */
  private async retryWhileWaiting(
    job: Job,
    errorMessage: string,
    attempt: () => Promise<boolean>,
  ): Promise<void> {
    const { clock, log, random } = this.context.runtime;
    const { signal } = this.context.term;
    let isErrorLogged = false;
    let backoff = 1;
    while (!signal.aborted && job.phase === 'open') {
      try {
        if (await attempt()) return;
        if (!isErrorLogged) log.error({ job: job.id }, errorMessage);
        isErrorLogged = true;
      } catch (error) {
        if (signal.aborted) return;
        log.debug({ job: job.id, error: String(error) }, 'reading dependencies failed, retrying');
      }
      await clock.sleep(jitter(this.context.retryMs * backoff, random), signal);
      backoff = Math.min(backoff * 2, MAX_BACKOFF);
    }
  }

  private onDependencyDone(job: Job, id: string, doneAt: number | null): void {
    const wait = this.waits.get(job);
    if (!wait) return;
    wait.missing.delete(id);
    wait.since = Math.max(wait.since, doneAt ?? 0);
    this.markReadyIfDone(job, wait);
  }

  private markReadyIfDone(job: Job, wait: Wait): void {
    if (wait.missing.size > 0 || job.phase !== 'open') return;
    this.waits.delete(job);
    job.readyAt = wait.since;
    this.context.runtime.log.debug({ job: job.id }, 'all dependencies done');
    this.context.requestSchedule();
  }

  /** Cancels a waiting job; its dependents are cancelled once that is stored. */
  private cancel(job: Job, dependency: string): void {
    if (job.phase !== 'open') return;
    this.context.runtime.log.info(
      { job: job.id, class: job.spec.jobClass, cancelled: dependency },
      'job cancelled because of a cancelled dependency',
    );
    job.phase = 'cancelled';
    job.isPhaseStored = false;
    job.cancelledBecauseOf = dependency;
    this.removeWait(job);
    this.context.recordWriter.flush(job);
    this.context.requestSchedule();
  }

  private removeWait(job: Job): void {
    for (const id of this.waits.get(job)?.missing ?? []) {
      const waiting = this.dependents.get(id);
      waiting?.delete(job);
      if (waiting?.size === 0) this.dependents.delete(id);
    }
    this.waits.delete(job);
  }

  /**
   * Deletes the dependency chunks of a job whose final state is stored; they are not read again. If
   * the term ends before that they stay in the store, unused.
   */
  private removeChunks(id: string): void {
    const needs = this.chunks.get(id);
    if (!needs) return;
    this.chunks.delete(id);
    void this.deleteChunks(id, needs).catch((error: unknown) => {
      if (this.context.term.signal.aborted) return;
      this.context.runtime.log.warn(
        { job: id, error: String(error) },
        'deleting dependency chunks failed, leaving them in the store',
      );
    });
  }

  private async deleteChunks(id: string, { mark, pieces }: ChunkedDependencies): Promise<void> {
    const { store, term } = this.context;
    const conditions = [{ key: KEYS.leader, version: term.fencingToken }];
    const keys = [...Array(pieces).keys()].map((i) => KEYS.dependencyChunk(id, mark, i));
    const { chunkChanges } = store.limits;
    while (keys.length > 0) {
      const changes = keys.slice(0, chunkChanges.current).map((key) => ({ delete: key }));
      try {
        const outcome = await store.commit(
          conditions,
          changes,
          RequestPriority.Normal,
          term.signal,
        );
        if (!outcome.ok) return;
        keys.splice(0, changes.length);
      } catch (error) {
        // The store accepts fewer changes than its announced limit.
        if (!isSizeRejection(error) || changes.length === 1) throw error;
        chunkChanges.reduceBelow(changes.length);
      }
    }
  }
}
