/** Building of the transactions that bring the stored records of a job up to date. */

import type { Term } from '../election/term.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { KEYS } from '../state/keys.js';
import { jsonBytes } from '../state/store-limits.js';
import type { Change, Condition } from '../state/store.js';
import type { Job } from './tracked-job.js';
import { fitJobRecord } from './record-size.js';
import { WRITE_ID, type JobRecord, type RangedRunRecord, type RunRecord } from './records.js';
import type { Section, StoredSection } from './run-layout.js';
import type { WriteRejections } from './write-rejections.js';

/** The store accepts 64 KiB per transaction; the rest is left for its envelope and conditions. */
const MAX_TRANSACTION_BYTES = 56 * 1024;
/** Allowance for the key and the condition of each value. */
const BYTES_PER_OPERATION = 200;

interface SectionRecord {
  section: Section;
  record: RunRecord | RangedRunRecord;
}

/** One transaction of a job, with the records that it affects. */
export interface JobTransaction {
  conditions: Condition[];
  changes: Change[];
  /** Approximate size of the run records that it writes. */
  bytes: number;
  /** Sections whose records it writes. */
  sections: Section[];
  /** Records that it deletes. */
  deletedRecords: StoredSection[];
  jobRecord: JobRecord | null;
  /** True if after it only the job's final state remains in the store, apart from `leftovers`. */
  isArchiving: boolean;
  /** Run records that are obsolete after it and are deleted later. */
  leftovers: StoredSection[];
  /** It only moves records to another layout, without changing any state. */
  isBackground: boolean;
  /**
   * Conditions that its starts depend on, other than the leader key; empty if it has no starts or
   * there are no such conditions.
   */
  startConditions: Condition[];
}

/** Whether only the final state has to be kept: the job has ended and nothing of it can run. */
export function canArchive(job: Job): boolean {
  return job.phase !== 'open' && job.placements.size === 0 && !job.isArchived && !job.isUnreadable;
}

/** Builds the transactions that bring the stored records of a job up to date. */
export class TransactionBuilder {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly rejections: WriteRejections,
    /** Whether the deletion of an ended job's run records may be deferred. */
    private readonly mayDeferDeletes: () => boolean,
  ) {}

  /** Builds the next transaction of a job; `writeId` is stored in its records. */
  build(job: Job, writeId: string): JobTransaction {
    return canArchive(job)
      ? this.archivingTransaction(job, writeId)
      : this.progressTransaction(job, writeId);
  }

  private emptyTransaction(): JobTransaction {
    return {
      conditions: [{ key: KEYS.leader, version: this.term.fencingToken }],
      changes: [],
      bytes: 0,
      sections: [],
      deletedRecords: [],
      jobRecord: null,
      isArchiving: false,
      leftovers: [],
      isBackground: false,
      startConditions: [],
    };
  }

  /**
   * Deletes the run records of an ended job and keeps its final state. If that takes several
   * transactions, the first one stores the end in the job record: if run records were deleted while
   * the job record is still open, a new leader would run tasks again.
   */
  private archivingTransaction(job: Job, writeId: string): JobTransaction {
    const transaction = this.emptyTransaction();
    const stored = job.layout.stored();
    const maxRecords = this.rejections.limitsFor(job).txnOps - 1;
    if (stored.length > maxRecords && !job.isPhaseStored) {
      transaction.jobRecord = this.finalRecord(job, writeId);
      return transaction;
    }
    const deferDeletes = stored.length <= maxRecords && this.mayDeferDeletes();
    const records = stored.slice(0, maxRecords);
    for (const { key, version } of records) {
      transaction.conditions.push({ key, version });
      if (!deferDeletes) transaction.changes.push({ delete: key });
    }
    if (deferDeletes) transaction.leftovers = records;
    else transaction.deletedRecords = records;
    if (stored.length > maxRecords) return transaction;
    const { phase, tasks, doneAt } = this.finalRecord(job, writeId);
    transaction.jobRecord = {
      [WRITE_ID]: writeId,
      phase,
      tasks,
      ...(doneAt === undefined ? {} : { doneAt }),
    };
    transaction.isArchiving = true;
    return transaction;
  }

  /** The job record of an ended job of which placements or run records remain. */
  private finalRecord(job: Job, writeId: string): JobRecord {
    const { phase, spec, submittedAt } = job;
    const fullRecord: JobRecord = {
      [WRITE_ID]: writeId,
      phase,
      tasks: spec.tasks,
      at: submittedAt,
      spec,
    };
    // A record accepted under larger limits may have to drop its machine types, which are no longer
    // needed.
    const record =
      fitJobRecord(fullRecord, this.rejections.limitsFor(job).valueBytes, new Set()) ?? fullRecord;
    if (phase !== 'done') return record;
    // Dependents count as ready from this time on, under a new leader as well.
    job.doneAt ??= Math.round(this.runtime.clock.wall());
    return { ...record, doneAt: job.doneAt };
  }

  /** Stores the changes of a job, as many as fit into one transaction. */
  private progressTransaction(job: Job, writeId: string): JobTransaction {
    const transaction = this.emptyTransaction();
    if (job.phase === 'open') this.addSections(job, writeId, transaction);
    else if (!job.isPhaseStored) transaction.jobRecord = this.finalRecord(job, writeId);
    if (!job.isRewriting) return transaction;
    const written = new Set(transaction.sections);
    for (const record of job.layout.removable(written)) {
      if (transaction.changes.length >= this.rejections.limitsFor(job).txnOps - 1) break;
      transaction.deletedRecords.push(record);
      transaction.conditions.push({ key: record.key, version: record.version });
      transaction.changes.push({ delete: record.key });
    }
    return transaction;
  }

  private addSections(job: Job, writeId: string, transaction: JobTransaction): void {
    const limits = this.rejections.limitsFor(job);
    for (const { section, record } of this.recordsToWrite(job, writeId, limits.valueBytes)) {
      const bytes = transaction.bytes + jsonBytes(record) + BYTES_PER_OPERATION;
      // One change is reserved for the job record.
      if (transaction.changes.length >= limits.txnOps - 1) return;
      if (bytes > MAX_TRANSACTION_BYTES && transaction.changes.length > 0) return;
      transaction.conditions.push({ key: section.key, version: section.version });
      transaction.changes.push({ put: section.key, value: record });
      transaction.sections.push(section);
      transaction.bytes = bytes;
    }
  }

  /**
   * Yields the records that have to be written; ranged ones are split until each fits. A record is
   * built when it is asked for: a large job has many more than fit into one transaction.
   */
  private *recordsToWrite(job: Job, writeId: string, valueBytes: number): Generator<SectionRecord> {
    const { clock } = this.runtime;
    const toWallClock = (monotonic: number): number =>
      Math.round(clock.wall() + monotonic - clock.now());
    const remaining = dueSections(job).reverse();
    for (let section = remaining.pop(); section; section = remaining.pop()) {
      const record = job.toRecord(section, writeId, toWallClock);
      const canSplit = job.layout.kind === 'ranged' && section.to - section.from > 1;
      // The later half goes first, as `RunLayout` requires.
      if (canSplit && jsonBytes(record) > valueBytes)
        remaining.push(section, job.layout.split(section));
      else yield { section, record };
    }
  }
}

/** The sections whose records have to be written, in the order in which they may be written. */
function dueSections({ layout, isRewriting }: Job): Section[] {
  const due = layout.sections.filter(
    (section) => section.dirty || (isRewriting && section.inherited),
  );
  if (layout.kind === 'indexed') return due;
  // Later tasks first, as `RunLayout` requires for splits; changed sections before moved ones.
  return due.reverse().sort((a, b) => Number(b.dirty) - Number(a.dirty));
}
