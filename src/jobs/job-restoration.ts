/** Restoration of a job from the run records that earlier leaders stored. */
import { restoreGang, requeueGang } from './gang-phase.js';
import {
  mentionedTasks,
  startsInIndexedRecord,
  startsInRangedRecord,
  type RecordedStart,
} from './placed-entries.js';
import type { GangRecord, RangedRunRecord, RunRecord } from './records.js';
import { StartGroups } from './task-placement.js';
import type { Job, Placement } from './tracked-job.js';

/** A ranged record as it is in the store. */
interface StoredRangedRecord {
  key: string;
  version: number;
  record: RangedRunRecord;
}

/**
 * Restores one job. Indexed records, which have an entry for each task, are applied one by one as they are
 * read and not kept, since those of a large job take several times the memory of its placements. Ranged
 * records override indexed ones, see `RunLayout`, so they are applied last.
 */
export class JobRestoration {
  private readonly groups: StartGroups<Job>;
  private readonly indexed: { index: number; version: number }[] = [];
  private readonly ranged: StoredRangedRecord[] = [];
  private gangRecord: GangRecord | null = null;
  private isMismatched = false;

  constructor(private readonly job: Job) {
    this.groups = new StartGroups(job);
  }

  /** Applies an indexed record. */
  addIndexed(index: number, version: number, record: RunRecord): void {
    const { layout } = this.job;
    layout.indexedSection(index).version = version;
    this.indexed.push({ index, version });
    this.isMismatched ||= !layout.containsTasks(index, mentionedTasks(record));
    this.gangRecord = record.gang ?? this.gangRecord;
    this.apply(record, startsInIndexedRecord(record));
  }

  /** Keeps a ranged record, which `finish` applies. */
  addRanged(key: string, version: number, record: RangedRunRecord): void {
    this.ranged.push({ key, version, record });
  }

  /**
   * Applies what remains once all records were added; the caller adds the placements to their machines.
   * `now` and `wall` are the present time, monotonic and of day.
   */
  finish(perRange: number, now: number, wall: number): Iterable<Placement> {
    const { job } = this;
    if (this.gangRecord) this.restoreGang(this.gangRecord, now, wall);
    this.ranged.sort((a, b) => a.record.from - b.record.from);
    for (const { record } of this.ranged) this.applyRanged(record, now, wall);
    const sections = this.ranged.map(({ key, version, record }) => ({
      key,
      version,
      from: record.from,
      to: Math.min(record.to, job.spec.tasks),
    }));
    job.restoreLayout(this.indexed, sections, this.isMismatched, perRange);
    job.placements.recount();
    return job.placements.values();
  }

  private apply(
    { attempt, done }: Pick<RunRecord, 'attempt' | 'done'>,
    starts: Iterable<RecordedStart>,
  ): void {
    this.job.attempt = Math.max(this.job.attempt, attempt);
    this.job.restoreDone(done);
    for (const start of starts) this.job.restorePlacement(this.groups.groupOf(start), start.task);
  }

  private applyRanged(record: RangedRunRecord, now: number, wall: number): void {
    const { job } = this;
    job.clearTasks(record.from, record.to);
    this.apply(record, startsInRangedRecord(record));
    if (!job.gang || record.from !== 0) return;
    requeueGang(job.gang);
    if (record.gang) this.restoreGang(record.gang, now, wall);
  }

  private restoreGang(record: GangRecord, now: number, wall: number): void {
    if (this.job.gang) restoreGang(this.job.gang, record, now, now - wall);
  }
}
