/** Persists the leader's decisions on jobs. */

import type { Term } from '../election/term.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { KEYS } from '../state/keys.js';
import { jsonBytes, type StoreLimits } from '../state/store-limits.js';
import type { Change, RequestRejectedError, Store } from '../state/store.js';
import type { JobPhase } from './job.js';
import type { StartFence } from './start-fence.js';
import { canArchive, TransactionBuilder, type JobTransaction } from './job-transaction.js';
import type { Job, Placement } from './tracked-job.js';
import { LeftoverRecords } from './leftover-records.js';
import { tasksPerRange, type JobRecord } from './records.js';
import type { LayoutPolicy } from './run-layout.js';
import { markRecordDeleted, TransactionCommitter } from './transaction-committer.js';
import { WriteAdmission } from './write-admission.js';
import { WriteRejections } from './write-rejections.js';

/** Maximum number of batch intervals for which task exits are delayed while writes are queued. */
const MAX_EXIT_BATCHES = 4;

/** A transaction that is about to be written. */
interface JobWrite {
  transaction: JobTransaction;
  /** The job's phase when the transaction was built. */
  phase: JobPhase;
  /** Starts that it stores. */
  starts: Placement[];
  /** Exited placements whose exit it stores. */
  exits: Placement[];
}

/** Dependencies of `JobRecordWriter`. */
export interface JobRecordWriterContext {
  readonly store: Store;
  readonly runtime: Runtime;
  readonly term: Term;
  readonly limits: StoreLimits;
  readonly layoutPolicy: LayoutPolicy;
  /** How long task exits are delayed to share a write, in milliseconds. */
  readonly exitBatchMs: number;
  readonly memoryMb: number;
  readonly events: JobRecordEvents;
  /** Fences of transactions that start tasks, in addition to the leader key. */
  readonly startFences?: readonly StartFence[];
}

/** What the writer reports back to the leader. */
export interface JobRecordEvents {
  /** Another controller changed the job record: its user cancelled the job. */
  jobChanged(job: Job, version: number, record: JobRecord): void;
  /** These starts are in the store and may be sent to the workers. */
  startsRecorded(placements: Placement[]): void;
  /** The exits of these placements are in the store, so the placements may be dropped. */
  exitsRecorded(placements: Placement[]): void;
  /** The store contains something that only another leader can have written. */
  inconsistencyDetected(description: string): void;
  /** The store contains the job's final state. */
  endRecorded(job: Job, phase: JobPhase): void;
  /** Nothing of the job remains to be written. */
  archived(job: Job): void;
}

/**
 * Writes the leader's decisions to the store, one transaction at a time per job. Every transaction
 * is conditioned on the leader key and on the records it replaces; one that adds starts is also
 * conditioned on the job record, so that a cancelled job cannot start.
 */
export class JobRecordWriter {
  private writeCount = 0;
  private readonly rejections: WriteRejections;
  readonly leftovers: LeftoverRecords;
  private readonly builder: TransactionBuilder;
  private readonly committer: TransactionCommitter;

  private readonly admission: WriteAdmission;
  private readonly startFences: readonly StartFence[];

  constructor(private readonly context: JobRecordWriterContext) {
    const { store, runtime, term, limits, layoutPolicy, exitBatchMs, events } = context;
    this.startFences = context.startFences ?? [];
    this.admission = new WriteAdmission(context.memoryMb);
    this.rejections = new WriteRejections(limits, exitBatchMs);
    this.leftovers = new LeftoverRecords(store, runtime, term);
    // Records are left behind only once all controllers support it: a leader of an earlier version
    // would treat them as unreadable.
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
        const fence = this.startFences.find(
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
      this.context.term.signal.aborted ||
      !this.needsWrite(job)
    )
      return;
    if (this.rejections.retryAt(job) > this.context.runtime.clock.now()) return;
    if (!this.admission.admit(job)) return;
    job.isWriteInFlight = true;
    void this.write(job)
      .catch((error: unknown) => {
        if (this.context.term.signal.aborted) return;
        this.context.events.inconsistencyDetected(`${job.id}: ${String(error)}`);
      })
      .finally(() => {
        job.isWriteInFlight = false;
        this.admission.end(job);
        for (let next = this.admission.next(job); next; next = this.admission.next(job))
          this.flush(next);
        this.flush(job);
      });
  }

  /**
   * Writes task exits after a short delay, so that the exits of a large array share a few writes.
   * The delay is safe: until an exit is stored its worker keeps reporting it, so a new leader
   * learns of it too. While writes are queued the delay is longer, since a write in flight would
   * block the job's next starts.
   */
  flushExits(job: Job): void {
    if (job.phase !== 'open') return this.flush(job);
    if (job.isExitFlushPending) return;
    job.isExitFlushPending = true;
    void this.waitForExits(job).then(() => {
      job.isExitFlushPending = false;
      this.flush(job);
    });
  }

  /**
   * Rewrites the job's indexed records as ranged ones; to be called while no other writes are
   * queued. `job.isRewriting` is reset when the rewrite is complete or the store rejects a write of
   * the job.
   */
  rewriteSuperseded(job: Job): void {
    if (job.phase !== 'open' || job.isUnreadable || job.isArchived) return;
    job.isRewriting = true;
    this.flush(job);
  }

  private async waitForExits(job: Job): Promise<void> {
    for (let i = 0; i < MAX_EXIT_BATCHES; i++) {
      await this.context.runtime.clock.sleep(this.context.exitBatchMs, this.context.term.signal);
      if (this.context.store.queuedWrites === 0 || !job.dirty) return;
    }
  }

  private needsWrite(job: Job): boolean {
    // An archived job is never written again: that would recreate run records without a job.
    if (job.isArchived) return false;
    if (job.phase === 'open') return job.dirty || job.isRewriting;
    // What still runs of an ended job is already stored; records that list more are harmless.
    return !job.isPhaseStored || canArchive(job);
  }

  private nextWriteId(): string {
    return `${this.context.term.id}/${++this.writeCount}`;
  }

  private async write(job: Job): Promise<void> {
    const writeId = this.nextWriteId();
    this.switchLayoutIfNeeded(job);
    const write = this.prepare(job, writeId);
    const { transaction } = write;
    if (transaction.changes.length === 0) {
      job.isRewriting = false;
      return;
    }
    const wasDirty = transaction.sections.filter((section) => section.dirty);
    transaction.isBackground = job.isRewriting && wasDirty.length === 0;
    for (const section of transaction.sections) section.dirty = false;
    this.admission.begin(job, transaction.bytes);
    const revision = await this.committer.commit(job, writeId, transaction);
    if (revision === null) {
      for (const section of wasDirty) section.dirty = true;
      return;
    }
    this.onCommitted(job, write, revision);
  }

  /** Builds the next transaction of a job and collects the starts and exits that it stores. */
  private prepare(job: Job, writeId: string): JobWrite {
    const transaction = this.builder.build(job, writeId);
    // Starts in sections that did not fit into this transaction are sent only after a later one.
    const starts = transaction.sections.flatMap((section) => job.unrecordedStartsIn(section));
    const exits = transaction.isArchiving
      ? job.unrecordedExits.all()
      : transaction.sections.flatMap((section) => job.unrecordedExitsIn(section));
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

  /** Updates the tracked state after a transaction was applied. */
  private onCommitted(job: Job, write: JobWrite, revision: number): void {
    const { transaction, phase, starts, exits } = write;
    for (const section of transaction.sections) {
      section.version = revision;
      section.inherited = false;
    }
    for (const record of transaction.deletedRecords) markRecordDeleted(job, record);
    if (transaction.jobRecord !== null) {
      job.version = revision;
      if (phase === job.phase) job.isPhaseStored = true;
      if (transaction.isArchiving) job.isArchived = true;
      this.leftovers.add(transaction.leftovers);
      this.context.events.endRecorded(job, phase);
    }
    job.unrecordedExits.remove(exits);
    this.context.events.startsRecorded(starts);
    this.context.events.exitsRecorded(exits);
    if (job.isArchived) this.context.events.archived(job);
  }

  /**
   * Switches the job to ranged records if all controllers can read them, and either records have to
   * become smaller or the store rejected a write of the job.
   */
  private switchLayoutIfNeeded(job: Job): void {
    if (job.layout.kind === 'ranged' || job.phase !== 'open') return;
    if (!this.context.layoutPolicy.rangesReadable()) return;
    if (!this.context.layoutPolicy.rangesWanted() && !this.rejections.has(job)) return;
    const perRange = tasksPerRange(this.rejections.limitsFor(job).valueBytes);
    job.switchToRangedRecords(perRange);
    this.rejections.layoutChanged(job);
    this.context.runtime.log.debug({ job: job.id, perRange }, 'switching to ranged run records');
  }

  /** Logs the first rejected write of a job and schedules a retry, which delays only this job. */
  private onRejected(job: Job, changes: Change[], error: RequestRejectedError): void {
    const { clock, log } = this.context.runtime;
    const isFirst = !this.rejections.has(job);
    const retryDelayMs = this.rejections.add(job, clock.now());
    job.isRewriting = false;
    if (isFirst) {
      const sizes = changes.map((change) =>
        'put' in change
          ? { key: change.put, bytes: jsonBytes(change.value) }
          : { key: change.delete },
      );
      log.error({ job: job.id, error: String(error), changes: sizes }, 'job write rejected');
    }
    void clock.sleep(retryDelayMs, this.context.term.signal).then(() => this.flush(job));
  }
}
