/** Jobs and placements as the leader tracks them. */

import { FailureHistory } from './failure-history.js';
import { newGangState, toGangRecord, type GangState } from './gang-phase.js';
import { JobPlacements } from './job-placements.js';
import type { JobPhase, JobSpec } from './job.js';
import { toRangedEntries, toIndexedEntries } from './placed-entries.js';
import { isUnrecorded } from './placement-stage.js';
import { WRITE_ID, type GangRecord, type RangedRunRecord, type RunRecord } from './records.js';
import { RunLayout, type Section, type StoredSection } from './run-layout.js';
import { TaskPlacement, type StartGroup } from './task-placement.js';
import { TaskSet, type TaskRanges } from './task-set.js';
import { UnrecordedExits } from './unrecorded-exits.js';

/** A placement of a task of a tracked job. */
export type Placement = TaskPlacement<Job>;

/** A job as the leader tracks it. */
export class Job {
  phase: JobPhase = 'open';
  attempt = 0;
  readonly placements = new JobPlacements<Placement>((task) => this.done.has(task));
  readonly gang: GangState | null;
  readonly layout: RunLayout;
  /** Its indexed records are being rewritten as ranged ones in the background. */
  isRewriting = false;
  private readonly done: TaskSet;
  readonly failures: FailureHistory;
  /**
   * The tasks, not done yet, that this leader has stopped without a checkpoint; none of gangs, since their
   * tasks are not moved.
   */
  readonly stoppedWithoutCheckpoint: TaskSet;
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
    this.done = new TaskSet(spec.tasks);
    this.stoppedWithoutCheckpoint = new TaskSet(spec.tasks);
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
    this.stoppedWithoutCheckpoint.remove(task);
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

  // ---- restoration, see `JobRestoration`

  /** Marks stored ranges of tasks as completed. */
  restoreDone(ranges: TaskRanges): void {
    this.done.addRanges(ranges);
  }

  /** Adds a start that an earlier leader stored. */
  restorePlacement(group: StartGroup<Job>, task: number): void {
    this.placements.set(task, new TaskPlacement(group, task, 'recovered'));
  }

  /** Drops what was restored of the tasks from `from` (inclusive) to `to` (exclusive). */
  clearTasks(from: number, to: number): void {
    for (let task = from; task < to && task < this.spec.tasks; task++) {
      this.placements.delete(task);
      this.done.remove(task);
    }
  }

  /** Restores the layout of the stored records; `ranged` are in order of their first tasks. */
  restoreLayout(
    indexed: { index: number; version: number }[],
    ranged: StoredSection[],
    isMismatched: boolean,
    perRange: number,
  ): void {
    const isEmpty = (from: number, to: number): boolean => this.isEmpty(from, to);
    this.hasMismatchedLayout = isMismatched;
    if (isMismatched) this.layout.restoreMismatched(indexed, ranged, perRange, isEmpty);
    else if (ranged.length > 0) this.layout.restoreRanged(ranged, perRange, isEmpty);
  }
}
