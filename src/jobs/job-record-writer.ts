/** The writer of a leader's decisions on jobs. */

import type { Term } from '../election/term.js';
import type { Runtime } from '@leverhatch/core/duty';
import { KEYS } from '../state/keys.js';
import { jsonBytes, type StoreLimits } from '../state/store-limits.js';
import type { Change, RequestRejectedError, Store } from '../state/store.js';
import type { JobPhase } from './job.js';
import type { StartFence } from './start-fence.js';
import { canArchive, TransactionBuilder, type JobTransaction } from './job-transaction.js';
import type { Job, Placement } from './tracked-job.js';
import { isUnrecorded } from './placement-stage.js';
import { LeftoverRecords } from './leftover-records.js';
import { tasksPerRange, type JobRecord } from './records.js';
import type { LayoutPolicy } from './run-layout.js';
import { recordRemoved, TransactionCommitter } from './transaction-committer.js';
import { WriteRejections } from './write-rejections.js';

/** For how many batch intervals the exits of a job's tasks wait while writes queue. */
const MAX_EXIT_BATCHES = 4;

/** A transaction that is about to be written. */
interface JobWrite {
  transaction: JobTransaction;
  /** The job's phase when the transaction was built. */
  phase: JobPhase;
  /** Starts that it records. */
  starts: Placement[];
  /** Exited starts whose exit it records. */
  exits: Placement[];
}

/** What the writer reports back to the leader. */
export interface JobRecordEvents {
  /** The job's own record was changed by another controller: cancelled by its user. */
  jobChanged(job: Job, version: number, record: JobRecord): void;
  /** These starts are in the store and may be sent. */
  startsRecorded(placements: Placement[]): void;
  /** The exit of these starts is in the store and may be forgotten. */
  exitsRecorded(placements: Placement[]): void;
  /** The store holds something that only another leader could have written. */
  contradiction(what: string): void;
  /** The store holds the job's final state. */
  endRecorded(job: Job, phase: JobPhase): void;
  /** Nothing of the job is left to be written. */
  archived(job: Job): void;
}

/**
 * Writes what the leader decides, one transaction at a time for each job. Every transaction is
 * conditioned on the leader key and on the records it replaces; one that adds starts also on the
 * job's own record, so that a cancelled job cannot start.
 */
export class JobRecordWriter {
  private writes = 0;
  private readonly rejections: WriteRejections;
  readonly leftovers: LeftoverRecords;
  private readonly builder: TransactionBuilder;
  private readonly committer: TransactionCommitter;

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly term: Term,
    limits: StoreLimits,
    private readonly layoutPolicy: LayoutPolicy,
    private readonly exitBatchMs: number,
    private readonly events: JobRecordEvents,
    private readonly startFences: readonly StartFence[] = [],
  ) {
    this.rejections = new WriteRejections(limits, exitBatchMs);
    this.leftovers = new LeftoverRecords(store, runtime, term);
    // A leader of an earlier version would take them for records that it cannot read.
    this.builder = new TransactionBuilder(
      runtime,
      term,
      this.rejections,
      () => layoutPolicy.leftoversKnown() && store.queuedWrites > 0 && !this.leftovers.isFull,
    );
    this.committer = new TransactionCommitter(store, term, {
      jobChanged: (job, version, record) => events.jobChanged(job, version, record),
      rejected: (job, changes, error) => this.onRejected(job, changes, error),
      startConditionFailed: async (condition) => {
        const fence = startFences.find(
          (startFence) => startFence.condition().key === condition.key,
        );
        await fence?.conditionFailed(condition);
      },
    });
  }

  flush(job: Job): void {
    if (
      job.isWriteInFlight ||
      job.isUnreadable ||
      this.term.signal.aborted ||
      !this.needsWrite(job)
    )
      return;
    if (this.rejections.retryAt(job) > this.runtime.clock.now()) return;
    job.isWriteInFlight = true;
    void this.write(job)
      .catch((error: unknown) => {
        if (this.term.signal.aborted) return;
        this.events.contradiction(`${job.id}: ${String(error)}`);
      })
      .finally(() => {
        job.isWriteInFlight = false;
        this.flush(job);
      });
  }

  /**
   * Exits of tasks can wait a little: until they are recorded their workers go on reporting them,
   * and a successor learns them from there. So the exits of a large array share a few writes, and
   * while writes queue they wait longer: a write that is under way would hold up the job's next
   * starts.
   */
  flushExits(job: Job): void {
    if (job.phase !== 'open') return this.flush(job);
    if (job.isExitFlushPending) return;
    job.isExitFlushPending = true;
    void this.collectExits(job).then(() => {
      job.isExitFlushPending = false;
      this.flush(job);
    });
  }

  /**
   * Rewrites the job's superseded records as ranged ones, when nothing else waits to be written.
   * `isRewriting` is false again once it is done.
   */
  rewrite(job: Job): void {
    if (job.phase !== 'open' || job.isUnreadable || job.isArchived) return;
    job.isRewriting = true;
    this.flush(job);
  }

  private async collectExits(job: Job): Promise<void> {
    for (let i = 0; i < MAX_EXIT_BATCHES; i++) {
      await this.runtime.clock.sleep(this.exitBatchMs, this.term.signal);
      if (this.store.queuedWrites === 0 || !job.dirty) return;
    }
  }

  private needsWrite(job: Job): boolean {
    // Of a closed job nothing is written again: its records would come back without their job.
    if (job.isArchived) return false;
    if (job.phase === 'open') return job.dirty || job.isRewriting;
    // Of a job that is over, what still runs is recorded already, and more than that does no harm.
    return !job.isPhaseStored || canArchive(job);
  }

  private nextWriteId(): string {
    return `${this.term.id}/${++this.writes}`;
  }

  private async write(job: Job): Promise<void> {
    const writeId = this.nextWriteId();
    this.chooseLayout(job);
    const write = this.prepare(job, writeId);
    const { transaction } = write;
    if (transaction.changes.length === 0) {
      job.isRewriting = false;
      return;
    }
    const wasDirty = transaction.sections.filter((section) => section.dirty);
    transaction.background = job.isRewriting && wasDirty.length === 0;
    for (const section of transaction.sections) section.dirty = false;
    const revision = await this.committer.commit(job, writeId, transaction);
    if (revision === null) {
      for (const section of wasDirty) section.dirty = true;
      return;
    }
    this.applied(job, write, revision);
  }

  /** The next transaction of a job, and the starts and exits of its tasks that it stores. */
  private prepare(job: Job, writeId: string): JobWrite {
    const transaction = this.builder.build(job, writeId);
    const recordingStarts = [...job.placements.values()].filter(isUnrecorded);
    // Starts in sections that did not fit into this transaction stay unsent until theirs is written.
    const isCovered = (placement: Placement): boolean =>
      transaction.sections.some(
        (section) => placement.task >= section.from && placement.task < section.to,
      );
    const starts = recordingStarts.filter(isCovered);
    const exits = transaction.archives
      ? job.unrecordedExits
      : job.unrecordedExits.filter(isCovered);
    const { jobRecord } = transaction;
    if (jobRecord !== null || starts.length > 0) {
      transaction.conditions.push({ key: KEYS.job(job.id), version: job.version });
    }
    if (starts.length > 0) {
      transaction.startConditions = this.startFences.map((fence) => fence.condition());
      transaction.conditions.push(...transaction.startConditions);
    }
    if (jobRecord !== null) transaction.changes.push({ put: KEYS.job(job.id), value: jobRecord });
    return { transaction, phase: job.phase, starts, exits };
  }

  /** The store holds what was written. */
  private applied(job: Job, write: JobWrite, revision: number): void {
    const { transaction, phase, starts, exits } = write;
    for (const section of transaction.sections) {
      section.version = revision;
      section.inherited = false;
    }
    for (const record of transaction.removed) recordRemoved(job, record);
    if (transaction.jobRecord !== null) {
      job.version = revision;
      if (phase === job.phase) job.isPhaseStored = true;
      if (transaction.archives) job.isArchived = true;
      this.leftovers.add(transaction.leftovers);
      this.events.endRecorded(job, phase);
    }
    const recorded = new Set(exits);
    job.unrecordedExits = job.unrecordedExits.filter((placement) => !recorded.has(placement));
    this.events.startsRecorded(starts);
    this.events.exitsRecorded(exits);
    if (job.isArchived) this.events.archived(job);
  }

  /**
   * Ranged records where all controllers read them and records must shrink, or one was rejected.
   */
  private chooseLayout(job: Job): void {
    if (job.layout.kind === 'ranged' || job.phase !== 'open') return;
    if (!this.layoutPolicy.rangesReadable()) return;
    if (!this.layoutPolicy.rangesWanted() && !this.rejections.has(job)) return;
    const perRange = tasksPerRange(this.rejections.limitsFor(job).valueBytes);
    job.useRangedRecords(perRange);
    this.rejections.layoutChanged(job);
    this.runtime.log.debug({ job: job.id, perRange }, 'run records become ranged');
  }

  /** The store rejects this write for good, which stops the progress of this job alone. */
  private onRejected(job: Job, changes: Change[], error: RequestRejectedError): void {
    const { clock, log } = this.runtime;
    const first = !this.rejections.has(job);
    const waitMs = this.rejections.add(job, clock.now());
    job.isRewriting = false;
    if (first) {
      const sizes = changes.map((change) =>
        'put' in change
          ? { key: change.put, bytes: jsonBytes(change.value) }
          : { key: change.delete },
      );
      log.error({ job: job.id, error: String(error), changes: sizes }, 'job write rejected');
    }
    void clock.sleep(waitMs, this.term.signal).then(() => this.flush(job));
  }
}
