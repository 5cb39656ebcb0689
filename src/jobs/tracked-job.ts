/** Jobs and placements as the leader tracks them. */

import type { TaskState } from '../wire/worker-heartbeat.js';
import { CompletedTasks } from './completed-tasks.js';
import { FailureHistory } from './failure-history.js';
import {
  newGangState,
  requeueGang,
  restoreGang,
  toGangRecord,
  type GangState,
} from './gang-phase.js';
import { JobPlacements, type StopRequest } from './job-placements.js';
import type { JobPhase, JobSpec } from './job.js';
import {
  toRangedEntries,
  toIndexedEntries,
  startsInRangedRecord,
  startsInIndexedRecord,
  mentionedTasks,
  type RecordedStart,
} from './placed-entries.js';
import { isUnrecorded, type PlacementStage } from './placement-stage.js';
import { WRITE_ID, type GangRecord, type RangedRunRecord, type RunRecord } from './records.js';
import { RunLayout, type Section } from './run-layout.js';
import { UnrecordedExits } from './unrecorded-exits.js';

/**
 * A placement: one start of one task on a machine. It occupies its resources until it is proven
 * gone. Times are monotonic (ms).
 */
export interface Placement extends RecordedStart {
  job: Job;
  stage: PlacementStage;
  state: TaskState | null;
  placedAt: number;
  runningSince: number | null;
  stop: StopRequest | null;
}

/** All run records of one job in the store. */
export interface StoredRuns {
  indexed: { index: number; version: number; record: RunRecord }[];
  ranged: { key: string; version: number; record: RangedRunRecord }[];
}

/** A job as the leader tracks it. */
export class Job {
  phase: JobPhase = 'open';
  attempt = 0;
  readonly placements = new JobPlacements<Placement>((task) => this.done.has(task));
  readonly gang: GangState | null;
  readonly layout: RunLayout;
  /** Its indexed records are being rewritten as ranged ones in the background. */
  isRewriting = false;
  private readonly done: CompletedTasks;
  readonly failures: FailureHistory;
  /**
   * The number of stops without a checkpoint that this leader knows of, for each task that is not done;
   * gangs have none, since their tasks are not moved.
   */
  readonly stopsWithoutCheckpoint = new Map<number, number>();
  readonly unrecordedExits = new UnrecordedExits<Placement>();
  isWriteInFlight = false;
  /** A delayed write of task exits is scheduled. */
  isExitFlushPending = false;
  /** True if `phase` is stored in the job record. */
  isPhaseStored = true;
  /** A record of the job is unreadable: all its tasks count as running, and none is started. */
  isUnreadable = false;
  /** Its indexed records were written under a different value limit, see `RunLayout`. */
  hasMismatchedLayout = false;
  /** Its cancellation was announced to users, but this leader has not read its record yet. */
  isCancellationAnnounced = false;
  /** Jobs that have to be done before any task of this one starts. */
  dependencies: readonly string[] = [];
  /** Wall-clock time since when it could start; null while it waits for dependencies. */
  readyAt: number | null;
  /** True if other jobs depend on it: they can start only once its end is stored. */
  hasDependents = false;
  /** The cancelled dependency that caused its cancellation; null if there is none. */
  cancelledBecauseOf: string | null = null;
  /** Wall-clock time at which it was stored as done; null until then. */
  doneAt: number | null = null;
  /** True once only the compact final state remains in the store. */
  isArchived = false;

  constructor(
    readonly id: string,
    readonly spec: JobSpec,
    readonly submittedAt: number,
    public version: number,
    tasksPerIndexedRecord: number,
    heartbeatIntervalMs?: number,
  ) {
    this.failures = new FailureHistory(heartbeatIntervalMs);
    this.readyAt = submittedAt;
    this.done = new CompletedTasks(spec.tasks);
    this.layout = new RunLayout(id, spec.tasks, tasksPerIndexedRecord);
    this.gang = spec.kind === 'gang' ? newGangState() : null;
  }

  get doneCount(): number {
    return this.done.count;
  }

  get isComplete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  isDone(task: number): boolean {
    return this.done.has(task);
  }

  get waitingTaskCount(): number {
    if (this.phase !== 'open' || this.isCancellationAnnounced) return 0;
    return this.spec.tasks - this.doneCount - this.placements.incompleteCount;
  }

  /** Whether every task either runs or has completed. */
  get isRunningInFull(): boolean {
    return this.doneCount + this.placements.runningIncompleteCount === this.spec.tasks;
  }

  /** Returns the first `limit` tasks that are neither completed nor possibly on a machine. */
  waitingTasks(limit: number): number[] {
    const tasks: number[] = [];
    for (let task = 0; task < this.spec.tasks && tasks.length < limit; task++) {
      if (!this.done.has(task) && !this.placements.has(task)) tasks.push(task);
    }
    return tasks;
  }

  /**
   * How many tasks may be started. A job that is suspected to be faulty gets one at a time, as a
   * trial, unless it is a gang, whose tasks have to start together.
   */
  get startableTaskCount(): number {
    if (!this.failures.isSuspected || this.gang) return this.waitingTaskCount;
    return Math.min(this.waitingTaskCount, this.placements.size > 0 ? 0 : 1);
  }

  get runningCount(): number {
    return this.placements.runningCount;
  }

  markDone(task: number): void {
    if (!this.done.add(task)) return;
    this.stopsWithoutCheckpoint.delete(task);
    this.placements.recordDone(task);
    this.markDirty(task);
  }

  /** Marks all tasks as completed, as those of a gang complete together. */
  markAllDone(): void {
    if (this.isComplete) return;
    for (let task = 0; task < this.spec.tasks; task++) this.markDone(task);
  }

  markDirty(task: number): void {
    this.layout.markDirty(task);
  }

  get dirty(): boolean {
    return this.layout.dirty;
  }

  /** True if there is nothing to store for these tasks: none is completed or placed. */
  private isEmpty(from: number, to: number): boolean {
    for (let task = from; task < to; task++)
      if (this.done.has(task) || this.placements.has(task)) return false;
    return true;
  }

  /** Switches the job to ranged records. */
  switchToRangedRecords(perRecord: number): void {
    this.layout.switchToRanged(perRecord, (from, to) => this.isEmpty(from, to));
  }

  toRecord(
    section: Section,
    writeId: string,
    toWallClock: (monotonic: number) => number,
  ): RunRecord | RangedRunRecord {
    const { from, to } = section;
    const placements = this.placementsIn(from, to);
    const done = this.done.ranges(from, to);
    if (this.layout.kind === 'ranged') {
      const gang = from === 0 ? this.gangRecord(toWallClock) : {};
      const placed = toRangedEntries(placements);
      return { [WRITE_ID]: writeId, from, to, attempt: this.attempt, done, placed, ...gang };
    }
    const placed = toIndexedEntries(placements);
    return {
      [WRITE_ID]: writeId,
      attempt: this.attempt,
      done,
      placed,
      ...this.gangRecord(toWallClock),
    };
  }

  /** Returns the placements of the tasks from `from` (inclusive) to `to` (exclusive). */
  private placementsIn(from: number, to: number): Placement[] {
    const placements: Placement[] = [];
    for (let task = from; task < to; task++) {
      const placement = this.placements.get(task);
      if (placement) placements.push(placement);
    }
    return placements;
  }

  /** The starts that are in the store once the record of this section is. */
  unrecordedStartsIn({ from, to }: Section): Placement[] {
    return this.placementsIn(from, to).filter(isUnrecorded);
  }

  /** The exits that are in the store once the record of this section is. */
  unrecordedExitsIn({ from, to }: Section): Placement[] {
    return this.unrecordedExits.ofTasks(from, to);
  }

  private gangRecord(toWallClock: (monotonic: number) => number): { gang?: GangRecord } {
    const record = this.gang && toGangRecord(this.gang, toWallClock);
    return record ? { gang: record } : {};
  }

  /**
   * Restores what earlier leaders stored; the caller adds the placements to their machines. Ranged
   * records override indexed ones, see `RunLayout`.
   */
  restore(stored: StoredRuns, perRange: number, now: number, wall: number): Iterable<Placement> {
    const wallToMonotonicMs = now - wall;
    for (const { index, version, record } of stored.indexed) {
      this.layout.indexedSection(index).version = version;
      this.attempt = Math.max(this.attempt, record.attempt);
      this.done.addRanges(record.done);
      if (this.gang && record.gang) restoreGang(this.gang, record.gang, now, wallToMonotonicMs);
      for (const start of startsInIndexedRecord(record)) this.restorePlacement(start, now);
    }
    const ranged = [...stored.ranged].sort((a, b) => a.record.from - b.record.from);
    for (const { record } of ranged) this.restoreRange(record, now, wallToMonotonicMs);
    this.restoreLayout(stored.indexed, ranged, perRange);
    this.placements.recount();
    return this.placements.values();
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
    this.hasMismatchedLayout = indexed.some(
      ({ index, record }) => !this.layout.containsTasks(index, mentionedTasks(record)),
    );
    if (this.hasMismatchedLayout)
      this.layout.restoreMismatched(indexed, sections, perRange, isEmpty);
    else if (ranged.length > 0) this.layout.restoreRanged(sections, perRange, isEmpty);
  }

  private restoreRange(record: RangedRunRecord, now: number, wallToMonotonicMs: number): void {
    for (let task = record.from; task < record.to && task < this.spec.tasks; task++) {
      this.placements.delete(task);
      this.done.remove(task);
    }
    this.attempt = Math.max(this.attempt, record.attempt);
    this.done.addRanges(record.done);
    if (this.gang && record.from === 0) {
      requeueGang(this.gang);
      if (record.gang) restoreGang(this.gang, record.gang, now, wallToMonotonicMs);
    }
    for (const start of startsInRangedRecord(record)) this.restorePlacement(start, now);
  }

  private restorePlacement(start: RecordedStart, now: number): void {
    const { task, attempt, machine, agentEpoch, zone } = start;
    // Not `...start`: an object with copied fields takes more memory.
    this.placements.set(task, {
      job: this,
      task,
      attempt,
      machine,
      agentEpoch,
      zone,
      stage: 'recovered',
      state: null,
      placedAt: now,
      runningSince: null,
      stop: null,
    });
  }
}
