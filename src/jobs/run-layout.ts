/** Distribution of a job's tasks over run records. */

import { KEYS } from '../state/keys.js';
import { UnknownSectionError } from './errors.js';

/**
 * How the tasks of a job are distributed over run records.
 *
 * `indexed`: every record holds the same number of tasks, which is derived from the value limit,
 * and its key ends in the record's index. All versions read and write this layout.
 *
 * `ranged`: a record contains the range of its tasks, its key ends in `p` and the first task, and
 * it can be split. A version that supports only indexed records cannot parse these keys: it places
 * no tasks of the job, since they may be running, but it trusts the placements in superseded
 * records and may launch them again. So ranged records are written only once all controllers can
 * read them.
 */
export type LayoutKind = 'indexed' | 'ranged';

/** Determines which layout run records may have at present. */
export interface LayoutPolicy {
  /** True once every controller can read ranged records. */
  rangesReadable(): boolean;
  /** True once every controller ignores run records of ended jobs. */
  leftoversKnown(): boolean;
  /** True if records have to become smaller. */
  rangesWanted(): boolean;
}

/** The tasks from `from` (inclusive) to `to` (exclusive), which share one run record. */
export interface Section {
  key: string;
  from: number;
  to: number;
  /** Version of its record; 0 if there is none. */
  version: number;
  /** True if there are changes that are not in its record yet. */
  dirty: boolean;
  /** True if the state of its tasks is still stored in a superseded record. */
  inherited: boolean;
}

/** A stored run record and the tasks it covers. */
export interface StoredSection {
  key: string;
  from: number;
  to: number;
  version: number;
}

/**
 * Maps the tasks of a job to run records and tracks the versions of those.
 *
 * A superseded record still holds the state of those tasks for which no ranged record has been
 * written. A reader applies the superseded records first, then the ranged ones in order of their
 * first tasks; a later record overrides an earlier one for the tasks that both cover. Writers keep
 * to a matching order: when a section is split, the record of the later half is stored before, or
 * together with, the shortened record of the earlier half.
 */
export class RunLayout {
  kind: LayoutKind = 'indexed';
  /**
   * Sections in order of their tasks. Of an indexed layout only those in use, since most tasks of a
   * large job may wait for long: the others are neither stored nor dirty.
   */
  sections: Section[] = [];
  /** Stored indexed records whose tasks now belong to ranged sections. */
  superseded: StoredSection[] = [];

  constructor(
    private readonly job: string,
    private readonly tasks: number,
    private readonly tasksPerIndexedRecord: number,
  ) {}

  markDirty(task: number): void {
    this.sectionOfTask(task).dirty = true;
  }

  get dirty(): boolean {
    return this.sections.some((section) => section.dirty);
  }

  /** Whether an indexed record of this index can belong to the job. */
  hasIndexedRecord(index: number): boolean {
    return index * this.tasksPerIndexedRecord < this.tasks;
  }

  /** Returns the section of the indexed record of this index. */
  indexedSection(index: number): Section {
    if (!this.hasIndexedRecord(index)) throw new UnknownSectionError(this.job, index);
    return this.sectionOfTask(index * this.tasksPerIndexedRecord);
  }

  /** Returns the section that contains a task; adds it if it was not in use yet. */
  private sectionOfTask(task: number): Section {
    const position = this.lastPositionUpTo(task);
    const found = this.sections[position];
    if (found && task < found.to) return found;
    const section = this.newIndexedSection(Math.floor(task / this.tasksPerIndexedRecord));
    this.sections.splice(position + 1, 0, section);
    return section;
  }

  private newIndexedSection(index: number): Section {
    const { from, to } = this.indexedRange(index);
    const key = KEYS.run(this.job, index);
    return { key, from, to, version: 0, dirty: false, inherited: false };
  }

  /** The tasks of the indexed record of this index. */
  private indexedRange(index: number): { from: number; to: number } {
    const from = index * this.tasksPerIndexedRecord;
    return { from, to: Math.min(this.tasks, from + this.tasksPerIndexedRecord) };
  }

  /** Returns the position of the last section that begins at or before a task; -1 if there is none. */
  private lastPositionUpTo(task: number): number {
    let low = -1;
    let high = this.sections.length - 1;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if ((this.sections[middle]?.from ?? Infinity) <= task) low = middle;
      else high = middle - 1;
    }
    return low;
  }

  /** All records of the job in the store; superseded ones first, as they must be deleted first. */
  stored(): StoredSection[] {
    return [...this.superseded, ...this.sections.filter((section) => section.version > 0)];
  }

  /** Superseded records that are no longer needed once the sections in `written` are stored. */
  removable(written: ReadonlySet<Section> = new Set()): StoredSection[] {
    return this.superseded.filter((record) =>
      this.sections.every(
        (section) =>
          !overlaps(section, record) ||
          written.has(section) ||
          (!section.dirty && !section.inherited),
      ),
    );
  }

  /** True while superseded records are left for a background rewrite. */
  get hasSuperseded(): boolean {
    return this.superseded.length > 0;
  }

  forgetRecord(record: StoredSection): void {
    this.superseded = this.superseded.filter((section) => section !== record);
  }

  /** Switches the job to ranged records of at most `perRecord` tasks. */
  switchToRanged(perRecord: number, isEmpty: (from: number, to: number) => boolean): void {
    const previous = this.sections;
    this.superseded = previous.filter((section) => section.version > 0);
    this.kind = 'ranged';
    this.sections = this.buildSections([], perRecord, isEmpty);
    for (const section of this.sections) {
      section.dirty = previous.some(
        (previousSection) => previousSection.dirty && overlaps(section, previousSection),
      );
    }
  }

  /** Whether all these tasks belong to the record of this index under the current value limit. */
  containsTasks(index: number, tasks: Iterable<number>): boolean {
    if (!this.hasIndexedRecord(index)) return false;
    const { from, to } = this.indexedRange(index);
    for (const task of tasks) if (task < from || task >= to) return false;
    return true;
  }

  /** Restores ranged records that were read from the store, in order of their first tasks. */
  restoreRanged(
    records: StoredSection[],
    perRecord: number,
    isEmpty: (from: number, to: number) => boolean,
  ): void {
    const superseded = this.sections.filter((section) => section.version > 0);
    this.restoreOverriding(superseded, records, perRecord, isEmpty);
  }

  /**
   * Restores indexed records that were written under a different value limit, so that the tasks of
   * a record cannot be derived from its index. Their contents are still valid, but none of them may
   * be overwritten, since that would lose other tasks that it contains. Ranged records therefore
   * override them, and every indexed record is kept until the ranged ones cover all of their
   * contents.
   */
  restoreMismatched(
    indexed: { index: number; version: number }[],
    records: StoredSection[],
    perRecord: number,
    isEmpty: (from: number, to: number) => boolean,
  ): void {
    const superseded = indexed.map(({ index, version }) => {
      return { key: KEYS.run(this.job, index), from: 0, to: this.tasks, version };
    });
    this.restoreOverriding(superseded, records, perRecord, isEmpty);
  }

  private restoreOverriding(
    superseded: StoredSection[],
    records: StoredSection[],
    perRecord: number,
    isEmpty: (from: number, to: number) => boolean,
  ): void {
    this.superseded = superseded;
    this.kind = 'ranged';
    this.sections = this.buildSections(records, perRecord, isEmpty);
  }

  /**
   * Returns sections for the stored records, each cut off where the next begins, and new
   * sections for the tasks that have no record.
   */
  private buildSections(
    records: StoredSection[],
    perRecord: number,
    isEmpty: (from: number, to: number) => boolean,
  ): Section[] {
    const sections: Section[] = [];
    let next = 0;
    const fillUpTo = (end: number): void => {
      while (next < end) {
        const from = next;
        next = Math.min(end, from + perRecord);
        const section = { key: KEYS.runRange(this.job, from), from, to: next, version: 0 };
        const inherits = this.superseded.some((record) => overlaps(section, record));
        // The first section also stores the state of the whole job, such as its gang phase.
        const inherited = inherits && (from === 0 || !isEmpty(from, next));
        sections.push({ ...section, dirty: false, inherited });
      }
    };
    records.forEach((record, i) => {
      fillUpTo(record.from);
      next = Math.min(record.to, records[i + 1]?.from ?? this.tasks);
      sections.push({ ...record, to: next, dirty: false, inherited: false });
    });
    fillUpTo(this.tasks);
    return sections;
  }

  /**
   * Splits a ranged section of more than one task in half; both halves have to be written. Returns
   * the later one.
   */
  split(section: Section): Section {
    const middle = (section.from + section.to) >> 1;
    const later: Section = {
      key: KEYS.runRange(this.job, middle),
      from: middle,
      to: section.to,
      version: 0,
      dirty: true,
      inherited: section.inherited,
    };
    section.to = middle;
    section.dirty = true;
    this.sections.splice(this.sections.indexOf(section) + 1, 0, later);
    return later;
  }
}

const overlaps = (a: { from: number; to: number }, b: { from: number; to: number }): boolean =>
  a.from < b.to && b.from < a.to;
