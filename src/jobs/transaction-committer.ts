/** Commits of job transactions, with the resolution of conflicts and ambiguous results. */

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
  /** The job's own record was changed by another controller: cancelled by its user. */
  jobChanged(job: Job, version: number, record: JobRecord): void;
  /** The store rejects this write for good. */
  rejected(job: Job, changes: Change[], error: RequestRejectedError): void;
  /** A start condition no longer holds; resolves once its present version is known. */
  startConditionFailed(condition: Condition): Promise<void>;
}

/** Commits transactions of jobs, and finds out what became of those that failed. */
export class TransactionCommitter {
  constructor(
    private readonly store: Store,
    private readonly term: Term,
    private readonly events: CommitEvents,
  ) {}

  /** The revision at which it was applied; null if it was not, and the job has to try again. */
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
      // A copy of it that got no answer may have been applied before the limits fell.
      const applied = error.ambiguous ? await this.appliedAt(changes, writeId) : null;
      if (applied === null) this.events.rejected(job, changes, error);
      return applied;
    }
  }

  /** The version of our own write, if an unanswered copy of it was applied after all. */
  private async appliedAt(changes: Change[], writeId: string): Promise<number | null> {
    // All keys of a transaction change together, so that one tells of all.
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
    const fenced = transaction.startConditions.filter(({ key }) => failed.includes(key));
    for (const condition of fenced) await this.events.startConditionFailed(condition);
    const others = failed.filter((key) => !fenced.some((condition) => condition.key === key));
    for (const key of others) await this.reconcile(job, transaction, key);
  }

  /**
   * A run record has another version than we know. Under the leader key only our own writes can
   * have changed it: one without an answer that was then given up, since a repeat was rejected.
   */
  private async reconcile(job: Job, transaction: JobTransaction, key: string): Promise<void> {
    const entry = await this.store.readWithRetry(key, this.term.signal);
    const removed = [...transaction.removed, ...transaction.leftovers].find(
      (section) => section.key === key,
    );
    if (removed && !entry) return recordRemoved(job, removed);
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

/** The write id that a stored value carries, if it is a record. */
const writeIdOf = (value: unknown): unknown =>
  (value as Partial<Record<typeof WRITE_ID, unknown>> | undefined)?.[WRITE_ID];

/** A record of the job is no longer in the store. */
export function recordRemoved(job: Job, record: StoredSection): void {
  record.version = 0;
  job.layout.removed(record);
}

/**
 * Tasks of an array are of use one by one; services and gangs wait for each of theirs. The end of
 * a job that others wait for holds up all their tasks, until it is stored. What was cancelled with
 * another job is known to be cancelled already, and no task of it runs: hundreds of such records
 * must not stand before anybody's starts.
 */
function requestPriorityOf(job: Job, transaction: JobTransaction): RequestPriority {
  if (transaction.background) return RequestPriority.Normal;
  if (job.phase === 'open')
    return job.spec.kind === 'array' ? RequestPriority.Normal : RequestPriority.High;
  if (job.cancelledBecauseOf !== null) return RequestPriority.Background;
  if (job.isPhaseStored) return RequestPriority.Normal;
  return job.phase === 'done' && job.hasDependents
    ? RequestPriority.Critical
    : RequestPriority.High;
}
