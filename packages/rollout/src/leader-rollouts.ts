/**
 * The leader's side: reads the records, probes replicas, carries rollouts on step by step, and withdraws
 * replicas. It lives for one term, like the leader itself.
 */
import { supervise } from '@leverhatch/core/duty';
import { FeatureWatch, FencedRecords } from '@leverhatch/core/fenced-records';
import type { Change, Condition } from '@leverhatch/core/store';
import type { TermPort } from '@leverhatch/core/term';
import { ceilingsOf, lowerCeilings, type Ceilings } from './ceilings.js';
import { retire } from './history.js';
import { ROLLOUT_KEYS, WRITE_ID } from './keys.js';
import { conflictOf, RolloutObserver } from './observer.js';
import type { RolloutPorts, SchedulerPort } from './ports.js';
import {
  isOpen,
  isReadable,
  jobsOf,
  RolloutRepository,
  type ReadableRollout,
} from './rollout-repository.js';
import type { SpecRecord } from './spec.js';
import { boundedCeilings, type ManifestRecord, type StatusRecord } from './status.js';
import { nextStatus } from './transitions.js';
import { waitReason } from './wait-reason.js';
import { chooseWithdrawals } from './withdrawal.js';

/** Starts and ends of work go before steps of rollouts. */
const REQUEST_PRIORITY = 2;
const HISTORY_REQUEST_PRIORITY = 3;

/** How often, in steps, jobs that are waited for are looked up in the store. */
const STEPS_PER_LOOK_UP = 8;

/** A step that comes so many times as late as it should: this controller stood still. */
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
  /** How many replicas of each job may be placed now. */
  private ceilings: Ceilings = new Map();
  /** Jobs that open rollouts name. */
  private rolling: ReadonlySet<string> = new Set();
  /** The ceilings as they will be once the write under way is applied; null: none is. */
  private nextCeilings: Ceilings | null = null;
  /** What was placed of the jobs of rollouts whose records cannot be read, when that was found. */
  private readonly placedBefore = new Map<string, number>();
  /** Every controller has rollouts switched on, as it was last looked up. */
  private isEnabledEverywhere = false;
  private lookedAt: number;
  /** When it was last looked what may be withdrawn. */
  private withdrewAt = -Infinity;
  /** When it was last looked up which awaited jobs are over. */
  private lookedUpAt = -Infinity;
  /** Where the next look for something to do begins, so that each rollout gets its turn. */
  private nextRolloutIndex = 0;

  constructor(
    private readonly ports: RolloutPorts,
    private readonly term: TermPort,
    private readonly scheduler: SchedulerPort,
  ) {
    this.records = new FencedRecords(ports, term, {
      name: 'rollouts',
      prefix: ROLLOUT_KEYS.all,
      manifestKey: ROLLOUT_KEYS.manifest,
      read: (entries) => RolloutRepository.fromEntries(entries),
      unreadableMessage: 'rollout record cannot be read, its rollout stands still',
      onChange: () => this.recompute(),
    });
    this.controllers = new FeatureWatch('rollout', ports.log, (signal) =>
      ports.isEnabledOnAllControllers(signal),
    );
    this.observer = new RolloutObserver(ports, scheduler, () => this.open);
    this.lookedAt = ports.clock.now();
  }

  /** Reads all records. Nothing may be decided before this has come about once in the term. */
  load(signal: AbortSignal): Promise<void> {
    return this.records.load(signal);
  }

  /** What every transaction that starts work is conditioned on. */
  condition(): Condition {
    return this.records.condition();
  }

  /** Such a transaction was refused; resolves once the ceilings that the store has are known. */
  async conditionFailed(failed: Condition): Promise<void> {
    await this.records.conditionFailed(failed);
    this.withdrawStarts();
  }

  /** How many replicas of a job may be placed; while a change is being written, the smaller number. */
  placementLimit(job: string): number {
    return this.ceilings.get(job) ?? Infinity;
  }

  /** Whether a job is named by a rollout that is under way. */
  isRolling(job: string): boolean {
    return this.rolling.has(job);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { ports } = this;
    // What is placed was not known when the records were read.
    this.recompute();
    await Promise.all([
      this.records.run(signal, (signal) => this.step(signal)),
      supervise(ports, 'probe replicas', signal, ports.stepIntervalMs, (signal) =>
        this.observer.run(signal),
      ),
    ]);
  }

  /** What operators' pages show. */
  get repository(): RolloutRepository {
    return this.records.repository;
  }

  /** What an open rollout waits for, as this leader sees it; null: nothing, or it is not known. */
  waitsFor(rollout: ReadableRollout): string | null {
    if (!this.isEnabledEverywhere) return 'every controller to have rollouts switched on';
    return waitReason(rollout.spec.record, rollout.status?.record ?? null, this.seen(rollout));
  }

  /** How many replicas of each job are placed and proven. */
  counts({ spec }: ReadableRollout): ReturnType<RolloutObserver['counts']> {
    return this.observer.counts(spec.record);
  }

  /** Open rollouts of which everything can be read. */
  private get open(): ReadableRollout[] {
    return this.repository.rollouts.filter(isOpen).filter(isReadable);
  }

  // ---- ceilings

  private recompute(): void {
    const { rollouts } = this.repository;
    const now = ceilingsOf(rollouts, (job) => this.placedWhenFound(job));
    this.ceilings = lowerCeilings(now, this.nextCeilings ?? now);
    this.rolling = new Set(rollouts.filter(isOpen).flatMap(jobsOf));
    this.withdrawStarts();
  }

  private placedWhenFound(job: string): number {
    const known = this.placedBefore.get(job);
    if (known !== undefined) return known;
    const placed = this.scheduler.job(job)?.placed;
    if (placed === undefined) return 0;
    this.placedBefore.set(job, placed);
    return placed;
  }

  private withdrawStarts(): void {
    for (const [job, limit] of this.ceilings) this.scheduler.withdrawStarts(job, limit);
  }

  // ---- withdrawals, judged in the round of decisions that makes them

  /** Withdraws what may go now without a gap in capacity. */
  withdraw(): void {
    const now = this.ports.clock.now();
    // Rounds come often while much happens, and each look goes over all replicas.
    const isEarly = now - this.withdrewAt < this.ports.stepIntervalMs / 2;
    if (isEarly || !this.isEnabledEverywhere || !this.term.holdsLease()) return;
    this.withdrewAt = now;
    for (const { spec, status } of this.open) {
      if (status) this.withdrawOf(spec.record, status.record);
    }
  }

  private withdrawOf(spec: SpecRecord, status: StatusRecord): void {
    const { phase, replicas, step } = status;
    const ceilings = boundedCeilings(status);
    if (phase !== 'withdrawing' && phase !== 'rolling-back') return;
    const back = phase === 'rolling-back';
    const placed = this.scheduler.job(back ? spec.to : spec.from)?.placed ?? 0;
    if (placed <= (back ? 0 : ceilings.from)) return;
    const from = this.observer.judged(spec.from, spec);
    const to = this.observer.judged(spec.to, spec);
    const [leaving, others] = back ? [to, from] : [from, to];
    const ceiling = back ? ceilings.to : ceilings.from;
    for (const replica of chooseWithdrawals(leaving, others, replicas, ceiling, back)) {
      const { job, task, attempt, machine } = replica;
      const fields = { rollout: spec.id, phase, step, task: `${job}/${task}`, attempt, machine };
      this.ports.log.info(fields, 'replica withdrawn');
      this.scheduler.withdraw(replica);
    }
  }

  // ---- steps

  /** Carries one rollout on by one transaction; false if nothing could be done now. */
  private async step(signal: AbortSignal): Promise<boolean> {
    if (!this.term.holdsLease()) return false;
    const { open } = this;
    this.detectStall();
    this.isEnabledEverywhere =
      open.length > 0 && (await this.controllers.isEnabledEverywhere(signal));
    await this.lookUpAwaited(open);
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
   * A new job that the leader does not know has not been submitted, or is over and nothing of it is left:
   * the store tells.
   */
  private async lookUpAwaited(open: readonly ReadableRollout[]): Promise<void> {
    const now = this.ports.clock.now();
    if (now - this.lookedUpAt < this.ports.stepIntervalMs * STEPS_PER_LOOK_UP) return;
    this.lookedUpAt = now;
    for (const { spec } of open) {
      const { to } = spec.record;
      if (this.scheduler.job(to) !== null || this.observer.isFinished(to)) continue;
      const job = await this.ports.readJob(to);
      if (job && job.state !== 'open') this.observer.markFinished(to);
    }
  }

  /** What was measured while this controller stood still cannot be compared. */
  private detectStall(): void {
    const now = this.ports.clock.now();
    if (now - this.lookedAt > this.ports.stepIntervalMs * STALL_STEPS)
      this.observer.restartWindows();
    this.lookedAt = now;
  }

  /** Looked up again after every wait: what was followed meanwhile must not be written over. */
  private transition(id: string): Transition | null {
    const rollout = this.repository.rollout(id);
    if (!rollout || !isReadable(rollout) || !isOpen(rollout)) return null;
    const before = rollout.status?.record ?? null;
    const seen = this.seen(rollout);
    const after = nextStatus(rollout.spec.record, before, seen, this.records.nextWriteId());
    return after && { rollout, before, after };
  }

  private seen(rollout: ReadableRollout): ReturnType<RolloutObserver['observe']> {
    const conflict = conflictOf(rollout, this.repository.rollouts);
    return this.observer.observe(rollout, conflict);
  }

  private async write(transition: Transition, signal: AbortSignal): Promise<boolean> {
    const { rollout, before, after } = transition;
    const { id } = rollout;
    const changesCeilings =
      before?.ceilings.from !== after.ceilings.from || before.ceilings.to !== after.ceilings.to;
    if (changesCeilings) this.applyPendingCeilings(after);
    const when: Condition[] = [
      // An order that has come meanwhile is looked at first.
      { key: ROLLOUT_KEYS.spec(id), version: rollout.spec.version },
      { key: ROLLOUT_KEYS.status(id), version: rollout.status?.version ?? 0 },
    ];
    const then: Change[] = [{ put: ROLLOUT_KEYS.status(id), value: after }];
    if (changesCeilings) {
      when.push(this.condition());
      then.push({ put: ROLLOUT_KEYS.manifest, value: this.nextManifest(after[WRITE_ID]) });
    }
    const announced = changesCeilings ? (): void => void (this.nextCeilings = null) : null;
    await this.records.write(
      { conditions: when, changes: then, priority: REQUEST_PRIORITY },
      signal,
      announced,
    );
    // Also where an earlier copy of the write was carried out, whose answer got lost.
    if (this.repository.rollout(id)?.status?.record?.[WRITE_ID] === after[WRITE_ID])
      this.logTransition(transition);
    this.scheduler.onCeilingsChanged();
    return !this.term.signal.aborted;
  }

  private nextManifest(writeId: string): ManifestRecord {
    return { [WRITE_ID]: writeId, revision: this.repository.revision + 1 };
  }

  /**
   * From here on the smaller ceilings hold, and what was planned before and has not been sent is taken
   * back: a start that was decided on the former ceilings must not be recorded under the next.
   */
  private applyPendingCeilings(after: StatusRecord): void {
    const next = this.repository.rollouts.map((rollout) =>
      rollout.id === after.id ? { ...rollout, status: { record: after, version: 0 } } : rollout,
    );
    this.nextCeilings = ceilingsOf(next, (job) => this.placedWhenFound(job));
    this.recompute();
  }

  private logTransition({ before, after }: Transition): void {
    const { id, from, to, phase, step, ceilings, replicas, reason, evidence } = after;
    const fields = { rollout: id, from, to, was: before?.phase ?? 'requested', phase, step };
    this.ports.log.info(
      { ...fields, ceilings, level: replicas, reason, evidence },
      'rollout transition',
    );
  }

  /** Drops the oldest rollout that is over, where more are kept than the history holds. */
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
