/** Which jobs wait for others, and what becomes of them when those end. */
import type { Runtime } from '@leverhatch/core/duty';
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

/** What a `DependencyTracker` works with. */
export interface DependencyTrackerContext {
  readonly runtime: Runtime;
  readonly store: Store;
  readonly term: Pick<Term, 'fencingToken' | 'signal'>;
  /** The controller's memory; it bounds how many ended jobs are remembered. */
  readonly memoryMb: number;
  /** How soon a request that failed is made again. */
  readonly retryMs: number;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly recordWriter: Pick<JobRecordWriter, 'flush'>;
  /** A job record has been read that no watch has brought. */
  onJobEntry(entry: Entry): void;
  requestSchedule(): void;
}

/** The stored final state of a job. */
interface EndedJob {
  phase: Exclude<JobPhase, 'open'>;
  /** Time of day at which it was stored as done; null where no record says so. */
  doneAt: number | null;
}

interface Wait {
  /** Jobs that are not known to be stored as done. */
  missing: Set<string>;
  /** Time of day at which the last of the others was done; at first that of the submission. */
  since: number;
}

/**
 * How many jobs that are over the leader remembers for each MB of its memory, at some 100 bytes
 * each; it reads the others from the store when a new job names them.
 */
const ENDED_JOBS_PER_MB = 50;

/** A read that failed is repeated after waits that double up to this many times the first. */
const MAX_BACKOFF = 32;

/**
 * Which jobs still wait for others, at the leader. A job that waits has no `readyAt`, and so takes
 * no part in the scheduling cycles. It gets one only when every job that it needs is known to be
 * *stored* as done: from a record read from the store, or from the store's answer to our own write.
 * That state is final, so what is known of it never has to be taken back; a new leader reads it
 * again. Where anything cannot be read, the job waits.
 *
 * A job whose dependency is stored as cancelled is cancelled too, with all that wait for it. Users are
 * told so by every node as soon as the first cancellation is stored; here the records follow.
 */
export class DependencyTracker {
  private readonly waits = new Map<Job, Wait>();
  /** The jobs that wait for a job, by its id. */
  private readonly dependents = new Map<string, Set<Job>>();
  private readonly endedJobs = new Map<string, EndedJob>();
  private readonly chunks = new Map<string, ChunkedDependencies>();
  /** Jobs read during recovery: what they need is looked at when all records have been read. */
  private recovering: [Job, DependenciesRecord][] | null = [];

  constructor(private readonly context: DependencyTrackerContext) {}

  /** Recovery begins anew. */
  clear(): void {
    this.waits.clear();
    this.dependents.clear();
    this.endedJobs.clear();
    this.chunks.clear();
    this.recovering = [];
  }

  /** All job records have been read. */
  recovered(): void {
    const jobs = this.recovering ?? [];
    this.recovering = null;
    for (const [job, needs] of jobs) this.begin(job, needs);
  }

  /** A job whose record names dependencies: it waits until they are known to be done. */
  add(job: Job, needs: DependenciesRecord): void {
    if ('mark' in needs) this.chunks.set(job.id, needs);
    if (job.phase !== 'open') return;
    job.readyAt = null;
    if (this.recovering) this.recovering.push([job, needs]);
    else this.begin(job, needs);
  }

  /** The store holds the final state of this job. */
  onJobEnded(id: string, phase: JobPhase, doneAt: number | null): void {
    if (phase === 'open') return;
    this.endedJobs.delete(id);
    this.endedJobs.set(id, { phase, doneAt });
    // Also while the records are read: what is dropped is read again where a job needs it.
    this.trim();
    if (this.recovering) return;
    const tracked = this.context.jobs.get(id);
    if (tracked) this.forget(tracked);
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

  private begin(job: Job, needs: DependenciesRecord): void {
    if ('ids' in needs) this.resolve(job, needs.ids);
    else void this.load(job, needs);
  }

  /** Reads the chunks of a long list, however long it takes. */
  private async load(job: Job, needs: ChunkedDependencies): Promise<void> {
    const { store } = this.context;
    const { signal } = this.context.term;
    await this.repeat(job, 'dependencies cannot be read, the job waits', async () => {
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
    this.startIfReady(job, wait);
    if (wait.missing.size > 0) this.logWait(job, wait);
    if (unknown.length > 0) void this.lookUp(job, unknown);
  }

  private logWait(job: Job, { missing }: Wait): void {
    const [first] = missing;
    this.context.runtime.log.info(
      { job: job.id, class: job.spec.jobClass, waitsFor: first, dependencies: missing.size },
      'waits for other jobs to be done',
    );
  }

  /** Jobs that are over since long, or that the store's news have not shown yet. */
  private async lookUp(job: Job, ids: readonly string[]): Promise<void> {
    const { store } = this.context;
    const { signal } = this.context.term;
    await this.repeat(job, 'a dependency has no record, the job waits', async () => {
      const open = ids.filter((id) => this.waits.get(job)?.missing.has(id));
      const entries = await readJobEntries(store, open, { signal });
      for (const [id, entry] of entries) {
        if (!this.endedJobs.has(id)) this.context.onJobEntry(entry);
      }
      return entries.size === open.length;
    });
  }

  /** Repeats `attempt` while the job waits and the term lasts, until it says that it is done. */
  private async repeat(
    job: Job,
    complaint: string,
    attempt: () => Promise<boolean>,
  ): Promise<void> {
    const { clock, log, random } = this.context.runtime;
    const { signal } = this.context.term;
    let hasComplained = false;
    let backoff = 1;
    while (!signal.aborted && job.phase === 'open') {
      try {
        if (await attempt()) return;
        if (!hasComplained) log.error({ job: job.id }, complaint);
        hasComplained = true;
      } catch (error) {
        if (signal.aborted) return;
        log.debug({ job: job.id, error: String(error) }, 'dependencies not read, retrying');
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
    this.startIfReady(job, wait);
  }

  private startIfReady(job: Job, wait: Wait): void {
    if (wait.missing.size > 0 || job.phase !== 'open') return;
    this.waits.delete(job);
    job.readyAt = wait.since;
    this.context.runtime.log.debug({ job: job.id }, 'all jobs that it needs are done');
    this.context.requestSchedule();
  }

  /** Cancels a job that waits; those that wait for it follow once that is stored. */
  private cancel(job: Job, because: string): void {
    if (job.phase !== 'open') return;
    this.context.runtime.log.info(
      { job: job.id, class: job.spec.jobClass, cancelled: because },
      'cancelled with a job that it needs',
    );
    job.phase = 'cancelled';
    job.isPhaseStored = false;
    job.cancelledBecauseOf = because;
    this.forget(job);
    this.context.recordWriter.flush(job);
    this.context.requestSchedule();
  }

  private forget(job: Job): void {
    for (const id of this.waits.get(job)?.missing ?? []) {
      const waiting = this.dependents.get(id);
      waiting?.delete(job);
      if (waiting?.size === 0) this.dependents.delete(id);
    }
    this.waits.delete(job);
  }

  /**
   * Of a job that is stored as over nobody reads the dependencies any more. If this leader ends
   * before they are removed they stay, and nothing ever looks at them.
   */
  private removeChunks(id: string): void {
    const needs = this.chunks.get(id);
    if (!needs) return;
    this.chunks.delete(id);
    void this.deleteChunks(id, needs).catch((error: unknown) => {
      if (this.context.term.signal.aborted) return;
      this.context.runtime.log.warn(
        { job: id, error: String(error) },
        'dependency chunks left behind',
      );
    });
  }

  private async deleteChunks(id: string, { mark, pieces }: ChunkedDependencies): Promise<void> {
    const { store, term } = this.context;
    const when = [{ key: KEYS.leader, version: term.fencingToken }];
    const keys = [...Array(pieces).keys()].map((i) => KEYS.dependencyChunk(id, mark, i));
    const { chunkChanges } = store.limits;
    while (keys.length > 0) {
      const then = keys.slice(0, chunkChanges.current).map((key) => ({ delete: key }));
      try {
        const outcome = await store.commit(when, then, RequestPriority.Normal, term.signal);
        if (!outcome.ok) return;
        keys.splice(0, then.length);
      } catch (error) {
        // The store takes fewer changes than any limit that was announced.
        if (!isSizeRejection(error) || then.length === 1) throw error;
        chunkChanges.reduceBelow(then.length);
      }
    }
  }
}
