/** Idempotent acceptance of submitted jobs into the store. */

import type { Runtime } from '@leverhatch/core/supervised-task';
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

/** The outcome of adding a submission that was not known to this controller. */
export type AcceptanceResult =
  | { kind: 'added' }
  /** The job is already in the store, added by another controller or an earlier attempt. */
  | { kind: 'known' }
  /** The job record does not fit the limits of the store. */
  | { kind: 'too large' }
  /** The submission depends on a job that was never accepted. */
  | { kind: 'unknown dependency'; id: string };

/**
 * Adds new jobs to the store. The job record is written last, on condition that none exists: until
 * then the job is not accepted, whatever else has been written, and if two controllers accept the
 * same job concurrently, only one record is created.
 */
export class JobAcceptance {
  constructor(
    private readonly store: Store,
    private readonly states: JobStateCache,
    private readonly runtime: Runtime,
    private readonly timeouts: RequestTimeouts,
    /** Returns the existing machine types; null while they are unknown. */
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
        // A 503 would make the user retry the same submission forever.
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
    const types = this.machineTypes();
    // The record also has to fit when it is rewritten under limits announced for later.
    const { valueBytes } = this.store.limits.smallest();
    // Limits halved after a rejection are a guess: they may shorten a record, but are no reason to
    // reject a job as too large.
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
   * Returns the first dependency that was never accepted, or null. An accepted job stays in the
   * store, so the later write needs no condition on it. A job that depends on itself cannot have
   * been accepted before.
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
   * Writes the chunks that are not in the store yet; existing ones have the same content. Returns
   * false if the job has been accepted in the meantime: a delayed write would otherwise recreate
   * chunks that were removed when the job ended, and nothing would ever delete them.
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
      const existingKeys = new Set(outcome.failed);
      const missing = pending.filter(({ put }) => !existingKeys.has(put));
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

  /** Chunks are never rewritten, so they are laid out for the smallest limits announced so far. */
  private get writeLimits(): WriteLimits {
    const { submittedBytes, chunkChanges } = this.store.limits;
    return { valueBytes: submittedBytes.current, txnOps: chunkChanges.current };
  }
}
