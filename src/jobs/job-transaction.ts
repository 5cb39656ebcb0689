/** Transactions that bring the stored records of a job up to date. */

import type { Term } from '../election/term.js';
import type { Runtime } from '@leverhatch/core/duty';
import { KEYS } from '../state/keys.js';
import { jsonBytes } from '../state/store-limits.js';
import type { Change, Condition } from '../state/store.js';
import type { Job } from './tracked-job.js';
import { fitJobRecord } from './record-size.js';
import { WRITE_ID, type JobRecord, type RangedRunRecord, type RunRecord } from './records.js';
import type { Section, StoredSection } from './run-layout.js';
import type { WriteRejections } from './write-rejections.js';

/** The store takes 64 KiB in one transaction; some are left for its frame and conditions. */
const MAX_TRANSACTION_BYTES = 56 * 1024;
/** The key and the condition that go with a value. */
const BYTES_PER_OPERATION = 200;

interface SectionRecord {
  section: Section;
  record: RunRecord | RangedRunRecord;
}

/** One transaction of a job, and what it does. */
export interface JobTransaction {
  conditions: Condition[];
  changes: Change[];
  /** What is written. */
  sections: Section[];
  /** What is deleted. */
  removed: StoredSection[];
  jobRecord: JobRecord | null;
  /** True if only the final state is left after it, but for `leftovers`. */
  archives: boolean;
  /** Run records that mean nothing after it, and are deleted later on. */
  leftovers: StoredSection[];
  /** It changes nothing: records are moved to another layout. */
  background: boolean;
  /**
   * What its starts rest on beside the leader key; empty: it has none, or they rest on nothing
   * else.
   */
  startConditions: Condition[];
}

/** A job that is over and of which nothing can run any more keeps only its final state. */
export function canArchive(job: Job): boolean {
  return job.phase !== 'open' && job.placements.size === 0 && !job.isArchived && !job.isUnreadable;
}

/** Builds the transactions that bring the stored records of a job up to date. */
export class TransactionBuilder {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly rejections: WriteRejections,
    /** Whether run records of a job that is over may be left for later. */
    private readonly mayLeaveRecords: () => boolean,
  ) {}

  /** The next transaction of a job; `writeId` marks its records. */
  build(job: Job, writeId: string): JobTransaction {
    return canArchive(job)
      ? this.archivingTransaction(job, writeId)
      : this.progressTransaction(job, writeId);
  }

  private empty(): JobTransaction {
    return {
      conditions: [{ key: KEYS.leader, version: this.term.fencingToken }],
      changes: [],
      sections: [],
      removed: [],
      jobRecord: null,
      archives: false,
      leftovers: [],
      background: false,
      startConditions: [],
    };
  }

  /**
   * Deletes the records of a job that is over and leaves its final state. Where that takes several
   * transactions the job's own record says first that it is over: with some of its records gone and
   * its own still open, a successor would run tasks again.
   */
  private archivingTransaction(job: Job, writeId: string): JobTransaction {
    const transaction = this.empty();
    const stored = job.layout.stored();
    const maxRecords = this.rejections.limitsFor(job).txnOps - 1;
    if (stored.length > maxRecords && !job.isPhaseStored) {
      transaction.jobRecord = this.finalRecord(job, writeId);
      return transaction;
    }
    const leaves = stored.length <= maxRecords && this.mayLeaveRecords();
    const records = stored.slice(0, maxRecords);
    for (const { key, version } of records) {
      transaction.conditions.push({ key, version });
      if (!leaves) transaction.changes.push({ delete: key });
    }
    if (leaves) transaction.leftovers = records;
    else transaction.removed = records;
    if (stored.length > maxRecords) return transaction;
    const { phase, tasks, doneAt } = this.finalRecord(job, writeId);
    transaction.jobRecord = {
      [WRITE_ID]: writeId,
      phase,
      tasks,
      ...(doneAt === undefined ? {} : { doneAt }),
    };
    transaction.archives = true;
    return transaction;
  }

  /** Of a job that is over and of which something is still left. */
  private finalRecord(job: Job, writeId: string): JobRecord {
    const { phase, spec, submittedAt } = job;
    const whole: JobRecord = {
      [WRITE_ID]: writeId,
      phase,
      tasks: spec.tasks,
      at: submittedAt,
      spec,
    };
    // One accepted under larger limits may have to lose its machine types, which matter no more.
    const record =
      fitJobRecord(whole, this.rejections.limitsFor(job).valueBytes, new Set()) ?? whole;
    if (phase !== 'done') return record;
    // Those that need it are ready from then on, also for a new leader.
    job.doneAt ??= Math.round(this.runtime.clock.wall());
    return { ...record, doneAt: job.doneAt };
  }

  /** What has changed of a job, as much of it as one transaction may carry. */
  private progressTransaction(job: Job, writeId: string): JobTransaction {
    const transaction = this.empty();
    if (job.phase === 'open') this.addSections(job, writeId, transaction);
    else if (!job.isPhaseStored) transaction.jobRecord = this.finalRecord(job, writeId);
    if (!job.isRewriting) return transaction;
    const written = new Set(transaction.sections);
    for (const record of job.layout.removable(written)) {
      if (transaction.changes.length >= this.rejections.limitsFor(job).txnOps - 1) break;
      transaction.removed.push(record);
      transaction.conditions.push({ key: record.key, version: record.version });
      transaction.changes.push({ delete: record.key });
    }
    return transaction;
  }

  private addSections(job: Job, writeId: string, transaction: JobTransaction): void {
    const limits = this.rejections.limitsFor(job);
    const records = this.recordsToWrite(job, writeId, limits.valueBytes);
    let bytes = 0;
    for (const { section, record } of records) {
      bytes += jsonBytes(record) + BYTES_PER_OPERATION;
      // One change is left for the job's own record.
      if (transaction.changes.length >= limits.txnOps - 1) return;
      if (bytes > MAX_TRANSACTION_BYTES && transaction.changes.length > 0) return;
      transaction.conditions.push({ key: section.key, version: section.version });
      transaction.changes.push({ put: section.key, value: record });
      transaction.sections.push(section);
    }
  }

  /** The records that have to be written; ranged ones are split until each fits. */
  private recordsToWrite(job: Job, writeId: string, valueBytes: number): SectionRecord[] {
    const { layout } = job;
    const { clock } = this.runtime;
    const wallOf = (monotonic: number): number =>
      Math.round(clock.wall() + monotonic - clock.now());
    const isDue = (section: Section): boolean =>
      section.dirty || (job.isRewriting && section.inherited);
    const records: SectionRecord[] = [];
    // `split` adds the later half behind the present section: it is reached in turn.
    for (const section of layout.sections) {
      if (!isDue(section)) continue;
      let record = job.toRecord(section, writeId, wallOf);
      while (layout.kind === 'ranged' && section.to - section.from > 1) {
        if (jsonBytes(record) <= valueBytes) break;
        layout.split(section);
        record = job.toRecord(section, writeId, wallOf);
      }
      records.push({ section, record });
    }
    if (layout.kind === 'indexed') return records;
    // Later tasks first: see `RunLayout` on splitting. Changes before what is only moved.
    return records.reverse().sort((a, b) => Number(b.section.dirty) - Number(a.section.dirty));
  }
}
