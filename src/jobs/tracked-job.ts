import type { TaskState } from '../wire/report.js';
import { DoneTasks } from './done-tasks.js';
import { FailureHistory } from './failures.js';
import type { JobPhase, JobSpec } from './job.js';
import {
  placedByMachine,
  placedByTask,
  startsByMachine,
  startsByTask,
  tasksNamed,
  type RecordedStart,
} from './placed-entries.js';
import type { GangRecord, RangedRunRecord, RunRecord } from './records.js';
import { RunLayout, type Section } from './run-layout.js';

/**
 * How far a start has come. `recording`: not yet in the store. `recorded`: may be sent.
 * `recovered`: recorded by an earlier leader, may or may not have been sent. `offered`: sent in the
 * answer to a report. `reported`: its worker has shown it.
 */
export type Stage = 'recording' | 'recorded' | 'recovered' | 'offered' | 'reported';

/** One start of one task. It occupies its place until it is proven gone. */
export interface Placement extends RecordedStart {
  job: Job;
  stage: Stage;
  state: TaskState | null;
  placedAt: number;
  runningSince: number | null;
  stop: { graceMs: number } | null;
}

export interface Gang {
  phase: 'queued' | GangRecord['phase'];
  holdsGate: boolean;
  /** Time that counts against the timeout, and when it was last counted. */
  chargedMs: number;
  chargedAt: number;
  /** Steady time until which a suspended gang stays inadmissible. */
  until: number;
  suspensions: number;
}

/** Everything that the store holds of one job's tasks. */
export interface StoredRuns {
  indexed: { index: number; version: number; record: RunRecord }[];
  ranged: { key: string; version: number; record: RangedRunRecord }[];
}

export class Job {
  phase: JobPhase = 'open';
  attempt = 0;
  readonly placements = new Map<number, Placement>();
  readonly gang: Gang | null;
  readonly layout: RunLayout;
  /** Its records are being rewritten in the background. */
  rewriting = false;
  private readonly done: DoneTasks;
  readonly failures: FailureHistory;
  /** How often running tasks were stopped without being saved; what this leader knows of it. */
  readonly unsavedStops = new Map<number, number>();
  /** Exited starts whose end is not in the store yet. */
  exited: Placement[] = [];
  writing = false;
  /** Ends are about to be written. */
  endsWait = false;
  /** True once the job's own record says what `phase` says. */
  phaseStored = true;
  /** A record of it cannot be read: all of its tasks count as running, and none is started. */
  unreadable = false;
  /** Its indexed records were written for another limit of a value, see `RunLayout`. */
  foreignLayout = false;
  /** Users were told that it is cancelled, though its record has not been read here yet. */
  cancelAnnounced = false;
  /** Jobs that have to be done before any task of this one starts. */
  dependencies: readonly string[] = [];
  /** Time of day since when it could start; null: it waits for other jobs. */
  readyAt: number | null;
  /** Others wait for it: what keeps them is that its end is stored. */
  awaited = false;
  /** The job that it needs and that was cancelled; null if it was not cancelled for another's sake. */
  cancelledWith: string | null = null;
  /** Time of day at which its end was written as done; null until then. */
  doneAt: number | null = null;
  /** True once only the compact final state is left in the store. */
  closed = false;

  constructor(
    readonly id: string,
    readonly spec: JobSpec,
    readonly submittedAt: number,
    public version: number,
    perIndexedRecord: number,
    reportMs?: number,
  ) {
    this.failures = new FailureHistory(reportMs);
    this.readyAt = submittedAt;
    this.done = new DoneTasks(spec.tasks);
    this.layout = new RunLayout(id, spec.tasks, perIndexedRecord);
    this.gang =
      spec.kind === 'gang'
        ? {
            phase: 'queued',
            holdsGate: false,
            chargedMs: 0,
            chargedAt: 0,
            until: 0,
            suspensions: 0,
          }
        : null;
  }

  get doneCount(): number {
    return this.done.count;
  }

  get complete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  isDone(task: number): boolean {
    return this.done.has(task);
  }

  get waiting(): number {
    if (this.phase !== 'open' || this.cancelAnnounced) return 0;
    return this.spec.tasks - this.doneCount - this.placedUndone();
  }

  private placedUndone(): number {
    if (this.doneCount === 0) return this.placements.size;
    let n = 0;
    for (const task of this.placements.keys()) if (!this.isDone(task)) n++;
    return n;
  }

  /** The first `limit` tasks that are neither done nor possibly on a machine. */
  waitingTasks(limit: number): number[] {
    const tasks: number[] = [];
    for (let t = 0; t < this.spec.tasks && tasks.length < limit; t++) {
      if (!this.done.has(t) && !this.placements.has(t)) tasks.push(t);
    }
    return tasks;
  }

  /** How many tasks may be started: of a job that fails on every machine one at a time, as a trial. */
  get startable(): number {
    if (!this.failures.suspected || this.gang) return this.waiting;
    return Math.min(this.waiting, this.placements.size > 0 ? 0 : 1);
  }

  get running(): number {
    let n = 0;
    for (const p of this.placements.values()) if (p.state === 'running') n++;
    return n;
  }

  markDone(task: number): void {
    if (this.done.add(task)) this.touch(task);
  }

  touch(task: number): void {
    this.layout.touch(task);
  }

  get dirty(): boolean {
    return this.layout.dirty;
  }

  /** True if nothing of these tasks has to be in the store. */
  private isEmpty(from: number, to: number): boolean {
    for (let t = from; t < to; t++) if (this.done.has(t) || this.placements.has(t)) return false;
    return true;
  }

  /** From now on the job is written as ranged records. */
  useRangedRecords(perRecord: number): void {
    this.layout.toRanged(perRecord, (from, to) => this.isEmpty(from, to));
  }

  toRecord(
    section: Section,
    w: string,
    wallOf: (steady: number) => number,
  ): RunRecord | RangedRunRecord {
    const { from, to } = section;
    const placements = [...this.placements.values()].filter((p) => p.task >= from && p.task < to);
    const done = this.done.ranges(from, to);
    if (this.layout.kind === 'ranged') {
      const gang = from === 0 ? this.gangRecord(wallOf) : {};
      const placed = placedByMachine(placements);
      return { w, from, to, attempt: this.attempt, done, placed, ...gang };
    }
    const placed = placedByTask(placements);
    return { w, attempt: this.attempt, done, placed, ...this.gangRecord(wallOf) };
  }

  private gangRecord(wallOf: (steady: number) => number): { gang?: GangRecord } {
    if (!this.gang || this.gang.phase === 'queued') return {};
    const { phase, suspensions, until } = this.gang;
    return { gang: { phase, suspensions, until: wallOf(until) } };
  }

  /**
   * Takes over what earlier leaders recorded; the caller adds the placements to their machines.
   * Ranged records stand above indexed ones, see `RunLayout`.
   */
  restore(stored: StoredRuns, perRange: number, now: number, wall: number): Placement[] {
    const sinceWall = now - wall;
    for (const { index, version, record } of stored.indexed) {
      this.layout.sections[index]!.version = version;
      this.attempt = Math.max(this.attempt, record.attempt);
      this.done.addRanges(record.done);
      if (record.gang) this.restoreGang(record.gang, now, sinceWall);
      for (const start of startsByTask(record)) this.restorePlacement(start, now);
    }
    const ranged = [...stored.ranged].sort((a, b) => a.record.from - b.record.from);
    for (const { record } of ranged) this.restoreRange(record, now, sinceWall);
    this.restoreLayout(stored.indexed, ranged, perRange);
    return [...this.placements.values()];
  }

  private restoreLayout(
    indexed: StoredRuns['indexed'],
    ranged: StoredRuns['ranged'],
    perRange: number,
  ): void {
    const sections = ranged.map(({ key, version, record }) => ({
      key,
      version,
      from: record.from,
      to: Math.min(record.to, this.spec.tasks),
    }));
    const isEmpty = (from: number, to: number): boolean => this.isEmpty(from, to);
    this.foreignLayout = indexed.some((r) => !this.layout.holds(r.index, tasksNamed(r.record)));
    if (this.foreignLayout) this.layout.restoreForeign(indexed, sections, perRange, isEmpty);
    else if (ranged.length > 0) this.layout.restoreRanged(sections, perRange, isEmpty);
  }

  private restoreRange(record: RangedRunRecord, now: number, sinceWall: number): void {
    for (let t = record.from; t < record.to && t < this.spec.tasks; t++) {
      this.placements.delete(t);
      this.done.remove(t);
    }
    this.attempt = Math.max(this.attempt, record.attempt);
    this.done.addRanges(record.done);
    if (this.gang && record.from === 0) {
      this.gang.phase = 'queued';
      this.gang.holdsGate = false;
      if (record.gang) this.restoreGang(record.gang, now, sinceWall);
    }
    for (const start of startsByMachine(record)) this.restorePlacement(start, now);
  }

  private restoreGang(record: GangRecord, now: number, sinceWall: number): void {
    if (!this.gang) return;
    this.gang.phase = record.phase;
    this.gang.suspensions = record.suspensions;
    this.gang.until = record.until + sinceWall;
    this.gang.holdsGate = record.phase === 'admitted';
    this.gang.chargedAt = now;
  }

  private restorePlacement(start: RecordedStart, now: number): void {
    this.placements.set(start.task, {
      job: this,
      ...start,
      stage: 'recovered',
      state: null,
      placedAt: now,
      runningSince: null,
      stop: null,
    });
  }
}
