/** Tasks on machines as candidates for preemption. */
import type { Priority, JobSpec } from '../../jobs/job.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { PreemptionCandidate } from '../../scheduler/scheduling-model.js';

/** Minimum expected remaining time of a running task, as a fraction of its estimate. */
const MIN_REMAINING_RATIO = 0.25;

/** The work, in milliseconds, that a task would lose if it were stopped now without a checkpoint. */
export function lostWorkMs({ job, runningSince }: Placement, now: number): number {
  const ranMs = runningSince === null ? 0 : now - runningSince;
  const { checkpointMs } = job.spec;
  return checkpointMs > 0 ? Math.min(ranMs, checkpointMs) : ranMs;
}

/** What the candidates of one job in one snapshot have in common. */
export class CandidateJob {
  constructor(
    readonly job: Job,
    /** Priority of the job, raised by jobs that depend on it. */
    readonly priority: Priority,
    /** Monotonic time of the snapshot, in milliseconds. */
    readonly now: number,
  ) {}
}

/**
 * A placement as a candidate. Its values are computed when they are read: every snapshot holds one
 * candidate for each placement, and most are not looked at.
 */
export class PlacedCandidate implements PreemptionCandidate {
  constructor(
    private readonly owner: CandidateJob,
    private readonly placement: Placement,
  ) {}

  get job(): string {
    return this.owner.job.id;
  }

  get task(): number {
    return this.placement.task;
  }

  get machine(): string {
    return this.placement.machine;
  }

  get spec(): JobSpec {
    return this.owner.job.spec;
  }

  get priority(): Priority {
    return this.owner.priority;
  }

  get lostWorkMs(): number {
    return lostWorkMs(this.placement, this.owner.now);
  }

  get wasStoppedWithoutCheckpoint(): boolean {
    return this.owner.job.stoppedWithoutCheckpoint.has(this.placement.task);
  }

  get remainingMs(): number {
    const { estimateMs } = this.owner.job.spec;
    const { runningSince } = this.placement;
    const ranMs = runningSince === null ? 0 : this.owner.now - runningSince;
    return Math.max(estimateMs - ranMs, estimateMs * MIN_REMAINING_RATIO);
  }

  get isGangMember(): boolean {
    return this.owner.job.gang !== null;
  }

  /**
   * A retry of a job that fails everywhere ends soon, so no machine is provisioned in place of the
   * capacity that it holds.
   */
  get isStopping(): boolean {
    const { job } = this.owner;
    return this.placement.stop !== null || job.phase !== 'open' || job.failures.isSuspected;
  }
}
