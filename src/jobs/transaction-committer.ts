/** Commits job transactions and resolves conflicts and ambiguous results. */

import type { Term } from '../election/term.js';
import { KEYS } from '../state/keys.js';
import {
  RequestRejectedError,
  type Change,
  type Condition,
  type Store,
  RequestPriority,
} from '../state/store.js';
import type { JobTransaction } from './job-transaction.js';
import type { Job } from './tracked-job.js';
import { UnexpectedVersionError, UnreadableRecordError } from './errors.js';
import { parseJob, WRITE_ID, type JobRecord } from './records.js';
import type { StoredSection } from './run-layout.js';

/** What the committer reports back to the writer. */
export interface CommitEvents {
  /** Another controller changed the job record: its user cancelled the job. */
  jobChanged(job: Job, version: number, record: JobRecord): void;
  /** The store rejected this write permanently. */
  rejected(job: Job, changes: Change[], error: RequestRejectedError): void;
  /** A start condition no longer holds; resolves once the current version is known. */
  startConditionFailed(condition: Condition): Promise<void>;
}

/** Commits job transactions and determines the outcome of those that failed. */
export class TransactionCommitter {
  constructor(
    private readonly store: Store,
    private readonly term: Term,
    private readonly events: CommitEvents,
  ) {}

  /** Returns the revision at which it was applied, or null if it was not and must be retried. */
  async commit(job: Job, writeId: string, transaction: JobTransaction): Promise<number | null> {
    const { conditions, changes } = transaction;
    const priority = requestPriorityOf(job, transaction);
    try {
      const outcome = await this.store.commit(conditions, changes, priority, this.term.signal);
      if (outcome.ok) return outcome.revision;
      const applied = outcome.ambiguous ? await this.appliedAt(changes, writeId) : null;
      if (applied === null) await this.onConflict(job, transaction, outcome.failed);
      return applied;
    } catch (error) {
      if (!(error instanceof RequestRejectedError)) throw error;
      // An earlier attempt without a response may have been applied before the limits fell.
      const applied = error.ambiguous ? await this.appliedAt(changes, writeId) : null;
      if (applied === null) this.events.rejected(job, changes, error);
      return applied;
    }
  }

  /** Returns the version of this write if an attempt without a response was applied, else null. */
  private async appliedAt(changes: Change[], writeId: string): Promise<number | null> {
    // A transaction is atomic, so it is enough to check one of its keys.
    const put = changes.find((change) => 'put' in change) ?? null;
    if (!put || !('put' in put)) return null;
    const entry = await this.store.readWithRetry(put.put, this.term.signal);
    return entry && writeIdOf(entry.value) === writeId ? entry.version : null;
  }

  private async onConflict(job: Job, transaction: JobTransaction, failed: string[]): Promise<void> {
    if (failed.includes(KEYS.leader)) {
      this.term.end();
      return;
    }
    if (failed.includes(KEYS.job(job.id))) {
      const entry = await this.store.readWithRetry(KEYS.job(job.id), this.term.signal);
      const record = entry && parseJob(entry.value);
      if (!entry || !record) throw new UnreadableRecordError(job.id, KEYS.job(job.id));
      this.events.jobChanged(job, entry.version, record);
      return;
    }
    const failedStartConditions = transaction.startConditions.filter(({ key }) =>
      failed.includes(key),
    );
    for (const condition of failedStartConditions)
      await this.events.startConditionFailed(condition);
    const otherKeys = failed.filter(
      (key) => !failedStartConditions.some((condition) => condition.key === key),
    );
    for (const key of otherKeys) await this.adoptStoredVersion(job, transaction, key);
  }

  /**
   * Adopts the stored version of a run record that differs from the tracked one. While the leader
   * key is held, only a write of this leader can have changed it: one without a response that was
   * abandoned because its retry was rejected.
   */
  private async adoptStoredVersion(
    job: Job,
    transaction: JobTransaction,
    key: string,
  ): Promise<void> {
    const entry = await this.store.readWithRetry(key, this.term.signal);
    const deleted = [...transaction.deletedRecords, ...transaction.leftovers].find(
      (section) => section.key === key,
    );
    if (deleted && !entry) return markRecordDeleted(job, deleted);
    const known = job.layout.stored().find((section) => section.key === key);
    const section = known ?? job.layout.sections.find((section) => section.key === key);
    const storedWriteId = writeIdOf(entry?.value);
    if (
      !section ||
      !entry ||
      typeof storedWriteId !== 'string' ||
      !storedWriteId.startsWith(`${this.term.id}/`)
    ) {
      throw new UnexpectedVersionError(job.id, key);
    }
    section.version = entry.version;
  }
}

/** Returns the write id of a stored value, if it is a record. */
const writeIdOf = (value: unknown): unknown =>
  (value as Partial<Record<typeof WRITE_ID, unknown>> | undefined)?.[WRITE_ID];

/** Updates the tracked state after a run record was deleted from the store. */
export function markRecordDeleted(job: Job, record: StoredSection): void {
  record.version = 0;
  job.layout.forgetRecord(record);
}

/**
 * Priority of a job's transaction in the queue of writes. Services and gangs come before arrays,
 * because they need all their tasks, whereas each task of an array is useful on its own. The end of
 * a job with dependents blocks all their tasks until it is stored. The cancellation of a dependent
 * is already in effect before it is written, and none of its tasks runs: hundreds of such records
 * must not delay the starts of other jobs.
 */
function requestPriorityOf(job: Job, transaction: JobTransaction): RequestPriority {
  if (transaction.isBackground) return RequestPriority.Normal;
  if (job.phase === 'open')
    return job.spec.kind === 'array' ? RequestPriority.Normal : RequestPriority.High;
  if (job.cancelledBecauseOf !== null) return RequestPriority.Background;
  if (job.isPhaseStored) return RequestPriority.Normal;
  return job.phase === 'done' && job.hasDependents
    ? RequestPriority.Critical
    : RequestPriority.High;
}
