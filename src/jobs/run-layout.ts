/** Layout of a job's tasks over run records. */

import { KEYS } from '../state/keys.js';
import { UnknownSectionError } from './errors.js';

/**
 * How the tasks of a job are spread over run records.
 *
 * `indexed`: every record holds the same number of tasks, which follows from the limit for a value,
 * and its key ends in its number. All versions read and write it.
 *
 * `ranged`: a record says itself which tasks it holds, its key ends in `p` and the first of them,
 * and it can be split. A version that knows only indexed records cannot read these keys: it leaves
 * the job alone as one that may run, but believes what a superseded record says of placements and
 * may launch them again. So nothing is written this way before all controllers can read it.
 */
export type LayoutKind = 'indexed' | 'ranged';

/** Which layout run records may have now. */
export interface LayoutPolicy {
  /** True once every controller reads ranged records. */
  rangesReadable(): boolean;
  /** True once every controller knows that run records of a job that is over mean nothing. */
  leftoversKnown(): boolean;
  /** True if records have to become smaller. */
  rangesWanted(): boolean;
}

/** The tasks from `from` up to but without `to`, which share one run record. */
export interface Section {
  key: string;
  from: number;
  to: number;
  /** Version of its record; 0: there is none. */
  version: number;
  /** Something changed that its record does not say. */
  dirty: boolean;
  /** Its tasks' state rests on a superseded record. */
  inherited: boolean;
}

/** A record in the store, by its key. */
export interface StoredSection {
  key: string;
  from: number;
  to: number;
  version: number;
}

/**
 * A superseded record still holds the state of those tasks for which no ranged record has been
 * written. A reader applies the superseded records first, then the ranged ones in order of their
 * first tasks; a later one replaces what an earlier one says of the same tasks. Whoever writes
 * keeps to the matching order: where a section is split, the later half is stored before, or
 * together with, the shorter record of the earlier one.
 */
export class RunLayout {
  kind: LayoutKind = 'indexed';
  sections: Section[];
  /** Indexed records whose tasks have moved to ranged ones. */
  superseded: StoredSection[] = [];

  constructor(
    private readonly job: string,
    private readonly tasks: number,
    perRecord: number,
  ) {
    this.sections = [];
    for (let from = 0; from < tasks; from += perRecord) {
      const to = Math.min(tasks, from + perRecord);
      const key = KEYS.run(job, this.sections.length);
      this.sections.push({ key, from, to, version: 0, dirty: false, inherited: false });
    }
  }

  markDirty(task: number): void {
    this.at(task).dirty = true;
  }

  get dirty(): boolean {
    return this.sections.some((section) => section.dirty);
  }

  /** The section of the indexed record of this number. */
  sectionOf(index: number): Section {
    const section = this.sections[index];
    if (!section) throw new UnknownSectionError(this.job, index);
    return section;
  }

  /** The section of one task. */
  private at(task: number): Section {
    let low = 0;
    let high = this.sections.length - 1;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.sectionOf(middle).from <= task) low = middle;
      else high = middle - 1;
    }
    return this.sectionOf(low);
  }

  /** All records of the job in the store; superseded ones first, as they have to go first. */
  stored(): StoredSection[] {
    return [...this.superseded, ...this.sections.filter((section) => section.version > 0)];
  }

  /** Superseded records of which nothing is needed any more once `written` are stored. */
  removable(written: ReadonlySet<Section> = new Set()): StoredSection[] {
    return this.superseded.filter((old) =>
      this.sections.every(
        (section) =>
          !overlaps(section, old) || written.has(section) || (!section.dirty && !section.inherited),
      ),
    );
  }

  /** True while a background rewrite has something to do. */
  get hasSuperseded(): boolean {
    return this.superseded.length > 0;
  }

  removed(record: StoredSection): void {
    this.superseded = this.superseded.filter((section) => section !== record);
  }

  /** From now on the job's records are ranged ones of at most `perRecord` tasks. */
  toRanged(perRecord: number, isEmpty: (from: number, to: number) => boolean): void {
    const before = this.sections;
    this.superseded = before.filter((section) => section.version > 0);
    this.kind = 'ranged';
    this.sections = this.fill([], perRecord, isEmpty);
    for (const section of this.sections) {
      section.dirty = before.some((old) => old.dirty && overlaps(section, old));
    }
  }

  /** Whether these tasks belong to the indexed record of this number, as we count. */
  holds(index: number, tasks: Iterable<number>): boolean {
    const section = this.sections[index];
    if (!section) return false;
    for (const task of tasks) if (task < section.from || task >= section.to) return false;
    return true;
  }

  /** Takes over ranged records that were read from the store, in the order of their first tasks. */
  restoreRanged(
    records: StoredSection[],
    perRecord: number,
    isEmpty: (from: number, to: number) => boolean,
  ): void {
    const superseded = this.sections.filter((section) => section.version > 0);
    this.restoreAbove(superseded, records, perRecord, isEmpty);
  }

  /**
   * Takes over indexed records that were written for another limit of a value than today's: which
   * tasks each of them holds is not known from its number. What they say of tasks is read all the
   * same, but none of them may be written again, since it would lose tasks that it holds as well.
   * So ranged records go above them, and each of them stays until those hold all that any of them
   * says.
   */
  restoreForeign(
    indexed: { index: number; version: number }[],
    records: StoredSection[],
    perRecord: number,
    isEmpty: (from: number, to: number) => boolean,
  ): void {
    const superseded = indexed.map(({ index, version }) => {
      return { key: KEYS.run(this.job, index), from: 0, to: this.tasks, version };
    });
    this.restoreAbove(superseded, records, perRecord, isEmpty);
  }

  private restoreAbove(
    superseded: StoredSection[],
    records: StoredSection[],
    perRecord: number,
    isEmpty: (from: number, to: number) => boolean,
  ): void {
    this.superseded = superseded;
    this.kind = 'ranged';
    this.sections = this.fill(records, perRecord, isEmpty);
  }

  /**
   * The stored records, each up to where the next begins, and new sections for tasks without one.
   */
  private fill(
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
        const inherits = this.superseded.some((old) => overlaps(section, old));
        // The first one holds what concerns the whole job.
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

  /** Halves a ranged section of more than one task; both halves have to be written. */
  split(section: Section): void {
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
  }
}

const overlaps = (a: { from: number; to: number }, b: { from: number; to: number }): boolean =>
  a.from < b.to && b.from < a.to;
