/** The ceilings that the leader holds the scheduler to, also while a change of them is being written. */
import { ceilingsOf, lowerCeilings, type Ceilings } from './ceilings.js';
import type { SchedulerPort } from './ports.js';
import { isOpen, jobsOf, type Rollout } from './rollout-repository.js';
import type { StatusRecord } from './status.js';

/** Ceilings of one term, recomputed whenever the records change. */
export class CeilingTracker {
  /** How many replicas of each job may be placed now. */
  private ceilings: Ceilings = new Map();
  /** Jobs that open rollouts name. */
  private rolling: ReadonlySet<string> = new Set();
  /** The ceilings that the write in flight brings; null: none is in flight. */
  private pending: Ceilings | null = null;
  /** What was placed of the jobs of unreadable rollouts, when they were found to be so. */
  private readonly placedBefore = new Map<string, number>();

  constructor(
    private readonly scheduler: Pick<SchedulerPort, 'job' | 'withdrawStarts'>,
    private readonly rollouts: () => readonly Rollout[],
  ) {}

  /** How many replicas of a job may be placed; while a change is being written, the lower number. */
  placementLimit(job: string): number {
    return this.ceilings.get(job) ?? Infinity;
  }

  /** Whether an open rollout names a job. */
  isRolling(job: string): boolean {
    return this.rolling.has(job);
  }

  /** Follows a change of the records. */
  recompute(): void {
    const rollouts = this.rollouts();
    const current = ceilingsOf(rollouts, (job) => this.placedWhenFound(job));
    this.ceilings = lowerCeilings(current, this.pending ?? current);
    this.rolling = new Set(rollouts.filter(isOpen).flatMap(jobsOf));
    this.withdrawStarts();
  }

  /** Withdraws unsent starts beyond the ceilings. */
  withdrawStarts(): void {
    for (const [job, limit] of this.ceilings) this.scheduler.withdrawStarts(job, limit);
  }

  /**
   * Holds the lower ceilings from before a status is written, and withdraws unsent starts beyond them: a
   * start that was planned under the former ceilings must not be recorded under the next.
   */
  beginWrite(after: StatusRecord): void {
    const next = this.rollouts().map((rollout) =>
      rollout.id === after.id ? { ...rollout, status: { record: after, version: 0 } } : rollout,
    );
    this.pending = ceilingsOf(next, (job) => this.placedWhenFound(job));
    this.recompute();
  }

  /** The outcome of the write is known; the next `recompute` follows the records alone. */
  endWrite(): void {
    this.pending = null;
  }

  private placedWhenFound(job: string): number {
    const known = this.placedBefore.get(job);
    if (known !== undefined) return known;
    const placed = this.scheduler.job(job)?.placed;
    if (placed === undefined) return 0;
    this.placedBefore.set(job, placed);
    return placed;
  }
}
