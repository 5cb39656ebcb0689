/** Tracks the ceilings that the leader enforces in the scheduler, also while a change of them is written. */
import { ceilingsOf, lowerCeilings, type Ceilings } from './ceilings.js';
import type { SchedulerPort } from './ports.js';
import { isOpen, jobsOf, type Rollout } from './rollout-repository.js';
import type { StatusRecord } from './status.js';

/** The ceilings of one term, recomputed whenever the records change. */
export class CeilingTracker {
  /** Maximum number of placed replicas per job, as enforced now. */
  private ceilings: Ceilings = new Map();
  /** Jobs named by open rollouts. */
  private openRolloutJobs: ReadonlySet<string> = new Set();
  /** The ceilings after the write in flight; null if there is none. */
  private pending: Ceilings | null = null;
  /** Placed replicas per job of a rollout with an unreadable status, counted when that was first seen. */
  private readonly placedWhenUnreadable = new Map<string, number>();

  constructor(
    private readonly scheduler: Pick<SchedulerPort, 'job' | 'withdrawStarts'>,
    private readonly rollouts: () => readonly Rollout[],
  ) {}

  /** Maximum number of placed replicas of a job; the lower value while a change is being written. */
  placementLimit(job: string): number {
    return this.ceilings.get(job) ?? Infinity;
  }

  /** Whether an open rollout names a job. */
  isRolling(job: string): boolean {
    return this.openRolloutJobs.has(job);
  }

  /** Recomputes the ceilings after the records changed. */
  recompute(): void {
    const rollouts = this.rollouts();
    const current = ceilingsOf(rollouts, (job) => this.placedWhenFirstUnreadable(job));
    this.ceilings = lowerCeilings(current, this.pending ?? current);
    this.openRolloutJobs = new Set(rollouts.filter(isOpen).flatMap(jobsOf));
    this.withdrawStarts();
  }

  /** Withdraws unsent starts beyond the ceilings. */
  withdrawStarts(): void {
    for (const [job, limit] of this.ceilings) this.scheduler.withdrawStarts(job, limit);
  }

  /**
   * Call before a status is written. Enforces the lower of the old and new ceilings until `endWrite`, and
   * withdraws unsent starts above them, so that no start planned under the old ceilings is recorded under the
   * new ones.
   */
  beginWrite(after: StatusRecord): void {
    const next = this.rollouts().map((rollout) =>
      rollout.id === after.id ? { ...rollout, status: { record: after, version: 0 } } : rollout,
    );
    this.pending = ceilingsOf(next, (job) => this.placedWhenFirstUnreadable(job));
    this.recompute();
  }

  /** Call when the outcome of the write is known. From the next `recompute` on, only the records count. */
  endWrite(): void {
    this.pending = null;
  }

  private placedWhenFirstUnreadable(job: string): number {
    const known = this.placedWhenUnreadable.get(job);
    if (known !== undefined) return known;
    const placed = this.scheduler.job(job)?.placed;
    if (placed === undefined) return 0;
    this.placedWhenUnreadable.set(job, placed);
    return placed;
  }
}
