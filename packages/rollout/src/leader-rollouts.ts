/** The leader's rollout controller for one term: reads the records and advances each rollout. */
import { supervise } from '@leverhatch/core/supervised-task';
import { FeatureWatch, FencedRecords } from '@leverhatch/core/fenced-records';
import type { Change, Condition } from '@leverhatch/core/store';
import type { TermPort } from '@leverhatch/core/term';
import { CeilingTracker } from './ceiling-tracker.js';
import { historyPruning } from './history.js';
import { ROLLOUT_KEYS, WRITE_ID } from './keys.js';
import { conflictOf, RolloutObserver } from './observer.js';
import type { RolloutPorts, SchedulerPort } from './ports.js';
import { ReplicaWithdrawals } from './replica-withdrawals.js';
import {
  isOpen,
  isReadable,
  RolloutRepository,
  type ReadableRollout,
} from './rollout-repository.js';
import type { ManifestRecord, StatusRecord } from './status.js';
import { nextStatus } from './transitions.js';
import { waitReason } from './wait-reason.js';

/** Lower store priority than that of writes that start or end tasks. */
const REQUEST_PRIORITY = 2;
const HISTORY_REQUEST_PRIORITY = 3;

/** Steps between two checks of the store for new jobs that the leader does not know. */
const STEPS_PER_JOB_READ = 8;

/** A gap of this many step intervals between two steps means that this controller was stalled. */
const STALL_STEPS = 4;

/** A transition to be written. */
interface Transition {
  rollout: ReadableRollout;
  before: StatusRecord | null;
  after: StatusRecord;
}

/** The rollouts of one term. */
export class LeaderRollouts {
  private readonly records: FencedRecords<RolloutRepository>;
  private readonly controllers: FeatureWatch;
  private readonly observer: RolloutObserver;
  private readonly ceilings: CeilingTracker;
  private readonly withdrawals: ReplicaWithdrawals;
  /** Whether every controller had rollouts enabled at the last check. */
  private isEnabledEverywhere = false;
  /** Start of the last step, in monotonic milliseconds like all times here. */
  private steppedAt: number;
  /** When unknown new jobs were last looked up in the store. */
  private newJobsReadAt = -Infinity;
  /** Round-robin index of the rollout that is tried first, so that none is starved. */
  private nextRolloutIndex = 0;

  constructor(
    private readonly ports: RolloutPorts,
    private readonly term: TermPort,
    private readonly scheduler: SchedulerPort,
  ) {
    this.ceilings = new CeilingTracker(scheduler, () => this.repository.rollouts);
    this.records = new FencedRecords(ports, term, {
      name: 'rollouts',
      prefix: ROLLOUT_KEYS.all,
      manifestKey: ROLLOUT_KEYS.manifest,
      createRepository: (entries) => RolloutRepository.fromEntries(entries),
      unreadableMessage: 'rollout record is unreadable, its rollout does not advance',
      onChange: () => this.ceilings.recompute(),
    });
    this.controllers = new FeatureWatch('rollout', ports.log, (signal) =>
      ports.isEnabledOnAllControllers(signal),
    );
    this.observer = new RolloutObserver(ports, scheduler, () => this.open);
    this.withdrawals = new ReplicaWithdrawals(ports, scheduler, this.observer);
    this.steppedAt = ports.clock.now();
  }

  /** Reads all records. Nothing may be scheduled in the term before this has resolved. */
  load(signal: AbortSignal): Promise<void> {
    return this.records.load(signal);
  }

  /** The condition of every transaction that starts tasks. */
  condition(): Condition {
    return this.records.condition();
  }

  /**
   * Handles a transaction that starts tasks and was rejected because the manifest has changed. Resolves once
   * the ceilings in the store are known and starts beyond them have been withdrawn.
   */
  async conditionFailed(failed: Condition): Promise<void> {
    await this.records.conditionFailed(failed);
    this.ceilings.withdrawStarts();
  }

  /** Maximum number of placed replicas of a job; the lower value while a change is being written. */
  placementLimit(job: string): number {
    return this.ceilings.placementLimit(job);
  }

  /** Whether an open rollout names a job. */
  isRolling(job: string): boolean {
    return this.ceilings.isRolling(job);
  }

  /** Advances rollouts and probes replicas until the term ends. */
  async run(signal: AbortSignal): Promise<void> {
    const { ports } = this;
    // Placements were not yet known when the records were read.
    this.ceilings.recompute();
    await Promise.all([
      this.records.run(signal, (signal) => this.step(signal)),
      supervise(ports, 'probe replicas', signal, ports.stepIntervalMs, (signal) =>
        this.observer.run(signal),
      ),
    ]);
  }

  /** Withdraws replicas that are no longer needed for capacity; called after each scheduling cycle. */
  withdraw(): void {
    if (this.withdrawals.isThrottled()) return;
    if (this.isEnabledEverywhere && this.term.holdsLease()) this.withdrawals.withdraw(this.open);
  }

  /** The records as they were last read or written. */
  get repository(): RolloutRepository {
    return this.records.repository;
  }

  /** What an open rollout waits for, as observed by this leader; null if nothing. */
  waitsFor(rollout: ReadableRollout): string | null {
    if (!this.isEnabledEverywhere) return 'every controller to have rollouts switched on';
    return waitReason(rollout.spec.record, rollout.status?.record ?? null, this.observe(rollout));
  }

  /** How many replicas of each job are placed and proven. */
  counts({ spec }: ReadableRollout): ReturnType<RolloutObserver['counts']> {
    return this.observer.counts(spec.record);
  }

  /** Open rollouts whose records can all be read. */
  private get open(): ReadableRollout[] {
    return this.repository.rollouts.filter(isOpen).filter(isReadable);
  }

  // ---- steps

  /** Advances one rollout by one transaction; false if none is due. */
  private async step(signal: AbortSignal): Promise<boolean> {
    if (!this.term.holdsLease()) return false;
    const { open } = this;
    this.detectStall();
    this.isEnabledEverywhere =
      open.length > 0 && (await this.controllers.isEnabledEverywhere(signal));
    await this.findFinishedNewJobs(open);
    if (this.isEnabledEverywhere) {
      this.nextRolloutIndex++;
      const first = this.nextRolloutIndex % open.length;
      for (const { id } of [...open.slice(first), ...open.slice(0, first)]) {
        const transition = this.dueTransition(id);
        if (transition) return this.write(transition, signal);
      }
    }
    return this.pruneHistory(signal);
  }

  /**
   * If the leader does not know the new job of a rollout, the job either has not been submitted yet or has
   * finished and been dropped from memory; its record in the store tells which.
   */
  private async findFinishedNewJobs(open: readonly ReadableRollout[]): Promise<void> {
    const now = this.ports.clock.now();
    if (now - this.newJobsReadAt < this.ports.stepIntervalMs * STEPS_PER_JOB_READ) return;
    this.newJobsReadAt = now;
    for (const { spec } of open) {
      const { to } = spec.record;
      if (this.scheduler.job(to) !== null || this.observer.isFinished(to)) continue;
      const job = await this.ports.readJob(to);
      if (job && job.state !== 'open') this.observer.markFinished(to);
    }
  }

  /** Discards load measurements after a stall of this controller, since they are not comparable. */
  private detectStall(): void {
    const now = this.ports.clock.now();
    if (now - this.steppedAt > this.ports.stepIntervalMs * STALL_STEPS)
      this.observer.restartWindows();
    this.steppedAt = now;
  }

  /** The transition that is due; rereads the rollout, since its records may have changed meanwhile. */
  private dueTransition(id: string): Transition | null {
    const rollout = this.repository.rollout(id);
    if (!rollout || !isReadable(rollout) || !isOpen(rollout)) return null;
    const before = rollout.status?.record ?? null;
    const observed = this.observe(rollout);
    const after = nextStatus(rollout.spec.record, before, observed, this.records.nextWriteId());
    return after && { rollout, before, after };
  }

  private observe(rollout: ReadableRollout): ReturnType<RolloutObserver['observe']> {
    const conflict = conflictOf(rollout, this.repository.rollouts);
    return this.observer.observe(rollout, conflict);
  }

  private async write(transition: Transition, signal: AbortSignal): Promise<boolean> {
    const { rollout, before, after } = transition;
    const { id } = rollout;
    const changesCeilings =
      before?.ceilings.from !== after.ceilings.from || before.ceilings.to !== after.ceilings.to;
    if (changesCeilings) this.ceilings.beginWrite(after);
    const conditions: Condition[] = [
      // Fails the write if a command was accepted meanwhile; the command must be considered first.
      { key: ROLLOUT_KEYS.spec(id), version: rollout.spec.version },
      { key: ROLLOUT_KEYS.status(id), version: rollout.status?.version ?? 0 },
    ];
    const changes: Change[] = [{ put: ROLLOUT_KEYS.status(id), value: after }];
    if (changesCeilings) {
      conditions.push(this.condition());
      changes.push({ put: ROLLOUT_KEYS.manifest, value: this.nextManifest(after[WRITE_ID]) });
    }
    const onOutcome = changesCeilings ? (): void => this.ceilings.endWrite() : null;
    await this.records.write(
      { conditions, changes, priority: REQUEST_PRIORITY },
      signal,
      onOutcome,
    );
    // Also true if an earlier attempt with an ambiguous result was applied.
    if (this.repository.rollout(id)?.status?.record?.[WRITE_ID] === after[WRITE_ID])
      this.logTransition(transition);
    this.scheduler.onCeilingsChanged();
    return !this.term.signal.aborted;
  }

  private nextManifest(writeId: string): ManifestRecord {
    return { [WRITE_ID]: writeId, revision: this.repository.revision + 1 };
  }

  private logTransition({ before, after }: Transition): void {
    const { id, from, to, phase, step, ceilings, replicas, reason, evidence } = after;
    const fields = { rollout: id, from, to, was: before?.phase ?? 'requested', phase, step };
    this.ports.log.info({ ...fields, ceilings, replicas, reason, evidence }, 'rollout transition');
  }

  /** Deletes the oldest finished rollout if the history exceeds its bound. */
  private async pruneHistory(signal: AbortSignal): Promise<boolean> {
    const manifest = this.nextManifest(this.records.nextWriteId());
    const pruning = historyPruning(
      this.repository,
      manifest,
      (job) => this.scheduler.job(job)?.state === 'open',
    );
    if (pruning === null) return false;
    await this.records.write(
      { ...pruning, priority: HISTORY_REQUEST_PRIORITY },
      signal,
      () => undefined,
    );
    return !this.term.signal.aborted;
  }
}
