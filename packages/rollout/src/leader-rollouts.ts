/** The leader's side, for one term: reads the records and carries each rollout on by transitions. */
import { supervise } from '@leverhatch/core/duty';
import { FeatureWatch, FencedRecords } from '@leverhatch/core/fenced-records';
import type { Change, Condition } from '@leverhatch/core/store';
import type { TermPort } from '@leverhatch/core/term';
import { CeilingTracker } from './ceiling-tracker.js';
import { retire } from './history.js';
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

/** Writes of starts and ends of work go first. */
const REQUEST_PRIORITY = 2;
const HISTORY_REQUEST_PRIORITY = 3;

/** Steps between two reads of awaited jobs from the store. */
const STEPS_PER_JOB_READ = 8;

/** Step intervals without a step after which this controller counts as stalled. */
const STALL_STEPS = 4;

/** A transition that is about to be written. */
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
  /** Whether every controller had rollouts enabled when that was last read. */
  private isEnabledEverywhere = false;
  /** When the last step began, in monotonic milliseconds like all times here. */
  private steppedAt: number;
  /** When awaited jobs were last read from the store. */
  private awaitedReadAt = -Infinity;
  /** Rotates the rollout that is tried first, so that each gets its turn. */
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
      read: (entries) => RolloutRepository.fromEntries(entries),
      unreadableMessage: 'rollout record cannot be read, its rollout stands still',
      onChange: () => this.ceilings.recompute(),
    });
    this.controllers = new FeatureWatch('rollout', ports.log, (signal) =>
      ports.isEnabledOnAllControllers(signal),
    );
    this.observer = new RolloutObserver(ports, scheduler, () => this.open);
    this.withdrawals = new ReplicaWithdrawals(ports, scheduler, this.observer);
    this.steppedAt = ports.clock.now();
  }

  /** Reads all records. Nothing may be scheduled before this has resolved once in the term. */
  load(signal: AbortSignal): Promise<void> {
    return this.records.load(signal);
  }

  /** What every transaction that starts work is conditioned on. */
  condition(): Condition {
    return this.records.condition();
  }

  /** Such a transaction was refused; resolves once the ceilings in the store are known. */
  async conditionFailed(failed: Condition): Promise<void> {
    await this.records.conditionFailed(failed);
    this.ceilings.withdrawStarts();
  }

  /** How many replicas of a job may be placed; while a change is being written, the lower number. */
  placementLimit(job: string): number {
    return this.ceilings.placementLimit(job);
  }

  /** Whether an open rollout names a job. */
  isRolling(job: string): boolean {
    return this.ceilings.isRolling(job);
  }

  /** Carries rollouts on and probes replicas, until the term ends. */
  async run(signal: AbortSignal): Promise<void> {
    const { ports } = this;
    // Placements were not known when the records were read.
    this.ceilings.recompute();
    await Promise.all([
      this.records.run(signal, (signal) => this.step(signal)),
      supervise(ports, 'probe replicas', signal, ports.stepIntervalMs, (signal) =>
        this.observer.run(signal),
      ),
    ]);
  }

  /** Withdraws what may go now without a gap in capacity; called after each scheduling cycle. */
  withdraw(): void {
    if (this.withdrawals.isEarly()) return;
    if (this.isEnabledEverywhere && this.term.holdsLease()) this.withdrawals.withdraw(this.open);
  }

  /** The records as they were last read or written. */
  get repository(): RolloutRepository {
    return this.records.repository;
  }

  /** What an open rollout waits for, as this leader observes it; null: nothing. */
  waitsFor(rollout: ReadableRollout): string | null {
    if (!this.isEnabledEverywhere) return 'every controller to have rollouts switched on';
    return waitReason(rollout.spec.record, rollout.status?.record ?? null, this.observe(rollout));
  }

  /** How many replicas of each job are placed and proven. */
  counts({ spec }: ReadableRollout): ReturnType<RolloutObserver['counts']> {
    return this.observer.counts(spec.record);
  }

  /** Open rollouts of which everything can be read. */
  private get open(): ReadableRollout[] {
    return this.repository.rollouts.filter(isOpen).filter(isReadable);
  }

  // ---- steps

  /** Carries one rollout on by one transaction; false if none is due. */
  private async step(signal: AbortSignal): Promise<boolean> {
    if (!this.term.holdsLease()) return false;
    const { open } = this;
    this.detectStall();
    this.isEnabledEverywhere =
      open.length > 0 && (await this.controllers.isEnabledEverywhere(signal));
    await this.readAwaitedJobs(open);
    if (this.isEnabledEverywhere) {
      this.nextRolloutIndex++;
      const first = this.nextRolloutIndex % open.length;
      for (const { id } of [...open.slice(first), ...open.slice(0, first)]) {
        const transition = this.transition(id);
        if (transition) return this.write(transition, signal);
      }
    }
    return this.retireOldest(signal);
  }

  /**
   * A new job that the leader does not know has not been submitted, or is over and forgotten; its record in
   * the store tells which.
   */
  private async readAwaitedJobs(open: readonly ReadableRollout[]): Promise<void> {
    const now = this.ports.clock.now();
    if (now - this.awaitedReadAt < this.ports.stepIntervalMs * STEPS_PER_JOB_READ) return;
    this.awaitedReadAt = now;
    for (const { spec } of open) {
      const { to } = spec.record;
      if (this.scheduler.job(to) !== null || this.observer.isFinished(to)) continue;
      const job = await this.ports.readJob(to);
      if (job && job.state !== 'open') this.observer.markFinished(to);
    }
  }

  /** What was measured while this controller was stalled cannot be compared. */
  private detectStall(): void {
    const now = this.ports.clock.now();
    if (now - this.steppedAt > this.ports.stepIntervalMs * STALL_STEPS)
      this.observer.restartWindows();
    this.steppedAt = now;
  }

  /** The transition that is due; the records may have changed since the rollout was listed. */
  private transition(id: string): Transition | null {
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
      // A command accepted meanwhile has to be decided on first.
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
    // Also where an earlier attempt of the write, whose result was ambiguous, was applied.
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
    this.ports.log.info(
      { ...fields, ceilings, level: replicas, reason, evidence },
      'rollout transition',
    );
  }

  /** Drops the oldest finished rollout beyond the history's bound. */
  private async retireOldest(signal: AbortSignal): Promise<boolean> {
    const manifest = this.nextManifest(this.records.nextWriteId());
    const retirement = retire(
      this.repository,
      manifest,
      (job) => this.scheduler.job(job)?.state === 'open',
    );
    if (retirement === null) return false;
    await this.records.write(
      { ...retirement, priority: HISTORY_REQUEST_PRIORITY },
      signal,
      () => undefined,
    );
    return !this.term.signal.aborted;
  }
}
