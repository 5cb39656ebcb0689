/** Idempotent acceptance of submitted jobs into the store. */

import type { Runtime } from '@leverhatch/core/duty';
import { KEYS } from '../state/keys.js';
import { isSizeRejection, type Change, type Condition, type Store } from '../state/store.js';
import type { Submission } from '../wire/submission.js';
import {
  groupChunks,
  layOutDependencies,
  type DependencyChunk,
  type WriteLimits,
} from './dependencies.js';
import { UnnamedConflictError } from './errors.js';
import type { JobStateCache } from './job-state-cache.js';
import { fitJobRecord } from './record-size.js';
import { WRITE_ID, type JobRecord } from './records.js';
import { commitForUser, hedged, type RequestTimeouts } from './user-requests.js';

/** What became of a submission that was not in the store when it came. */
export type AcceptanceResult =
  | { kind: 'added' }
  /** It is in the store already: another controller or an earlier try was first. */
  | { kind: 'known' }
  /** Its record does not fit the limits of the store. */
  | { kind: 'too large' }
  /** It names a job that was never accepted. */
  | { kind: 'unknown dependency'; id: string };

/**
 * Puts new jobs into the store. The job's own record comes last and on condition that there is
 * none: until it is there the job is not accepted, whatever else has been written, and two
 * controllers that accept the same job at once end in one.
 */
export class JobAcceptance {
  constructor(
    private readonly store: Store,
    private readonly states: JobStateCache,
    private readonly runtime: Runtime,
    private readonly timeouts: RequestTimeouts,
    /** The types of machines that exist; null while they are not known. */
    private readonly machineTypes: () => ReadonlySet<string> | null,
  ) {}

  async add(
    { id, spec, dependencies }: Submission,
    signal: AbortSignal,
  ): Promise<AcceptanceResult> {
    this.store.assertResponsive();
    const unknown = await this.unknownDependency(id, dependencies, signal);
    if (unknown !== null) return { kind: 'unknown dependency', id: unknown };
    for (;;) {
      const limits = this.writeLimits;
      try {
        return await this.write({ id, spec, dependencies }, limits, signal);
      } catch (error) {
        // Sent away with a 503, the user would come back with the same for ever.
        if (!isSizeRejection(error)) throw error;
        const { valueBytes, txnOps } = limits;
        if (!this.store.limits.onSubmissionRejected(valueBytes, txnOps))
          return { kind: 'too large' };
        this.runtime.log.warn({ job: id, valueBytes }, 'submission rejected by the store');
      }
    }
  }

  private async write(
    { id, spec, dependencies }: Submission,
    limits: WriteLimits,
    signal: AbortSignal,
  ): Promise<AcceptanceResult> {
    const { clock, random } = this.runtime;
    const { needs, chunks } = layOutDependencies(id, dependencies, limits);
    const record: JobRecord = {
      [WRITE_ID]: random.unique(),
      phase: 'open',
      tasks: spec.tasks,
      at: clock.wall(),
      spec,
      ...(needs ? { needs } : {}),
    };
    // It has to fit also when it is rewritten under the limits to come.
    const types = this.machineTypes();
    const { valueBytes } = this.store.limits.smallest();
    // Halved limits are a guess: they make a record smaller, but no job too large.
    const value =
      fitJobRecord(record, limits.valueBytes, types) ?? fitJobRecord(record, valueBytes, types);
    if (!value) return { kind: 'too large' };
    for (const group of groupChunks(chunks, limits)) {
      if (!(await this.addChunks(id, group, signal))) return { kind: 'known' };
    }
    const key = KEYS.job(id);
    const outcome = await this.commit([{ key, version: 0 }], [{ put: key, value }], signal);
    if (!outcome.ok) return { kind: 'known' };
    const { tasks } = spec;
    this.states.put(id, { version: outcome.revision, phase: 'open', tasks, dependencies });
    return { kind: 'added' };
  }

  /**
   * That a job is in the store never changes: it needs no condition later on. A job that names
   * itself was not accepted before.
   */
  private async unknownDependency(
    id: string,
    dependencies: readonly string[],
    signal: AbortSignal,
  ): Promise<string | null> {
    if (dependencies.includes(id)) return id;
    const { clock } = this.runtime;
    const read = () => this.states.firstUnknown(dependencies, signal);
    return hedged(clock, this.timeouts.hedgeMs, read, signal);
  }

  /**
   * Writes those of the chunks that are not there yet; those present have the right content. False
   * if the job has been accepted meanwhile: a copy that comes late would bring back chunks that
   * were removed with the job's end, and nothing would ever remove them again.
   */
  private async addChunks(
    id: string,
    group: readonly DependencyChunk[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const notAccepted = { key: KEYS.job(id), version: 0 };
    let pending = group;
    while (pending.length > 0) {
      const outcome = await this.commit(
        [notAccepted, ...pending.map(({ put }) => ({ key: put, version: 0 }))],
        pending.map(({ put, value }) => ({ put, value })),
        signal,
      );
      if (outcome.ok) return true;
      if (outcome.failed.includes(notAccepted.key)) return false;
      const existing = new Set(outcome.failed);
      const missing = pending.filter(({ put }) => !existing.has(put));
      if (missing.length === pending.length) throw new UnnamedConflictError(id);
      pending = missing;
    }
    return true;
  }

  private commit(
    when: Condition[],
    then: Change[],
    signal: AbortSignal,
  ): ReturnType<Store['tryCommit']> {
    return commitForUser(this.store, this.runtime.clock, this.timeouts, when, then, signal);
  }

  /** Chunks are never rewritten: they are laid out for the smallest limits there will be. */
  private get writeLimits(): WriteLimits {
    const { submittedBytes, chunkChanges } = this.store.limits;
    return { valueBytes: submittedBytes.current, txnOps: chunkChanges.current };
  }
}
