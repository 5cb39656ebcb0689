/** State changes of the all-or-nothing gang gate; gang-timeouts.ts decides when a gang times out. */
import {
  markGangAdmitted,
  markGangPlaced,
  markGangSuspended,
  requeueGang,
  type GangState,
} from '../../jobs/gang-phase.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { OperatorSettings } from '../../settings/operator.js';

/** A gang-scheduled job. */
export type GangJob = Job & { readonly gang: GangState };

/** Whether a job is gang-scheduled. */
export function isGangJob(job: Job): job is GangJob {
  return job.gang !== null;
}

/**
 * Maximum number of times the wait of a suspended gang is doubled. No event reports that the reason
 * for the timeout is gone, so a longer backoff could keep a gang waiting for minutes beside free
 * capacity.
 */
const MAX_WAIT_DOUBLINGS = 1;

/**
 * Tracks the all-or-nothing gang gate (KEP-349): admission, placement, loss of members and
 * suspension after a timeout. The scheduler decides which gang is admitted.
 */
export class GangGate {
  constructor(private readonly operatorSettings: OperatorSettings) {}

  /**
   * Admits the gang: it holds the gate until all its tasks run, or until it is suspended or requeued.
   * Its timeout starts now.
   */
  admit(job: GangJob, now: number): void {
    markGangAdmitted(job.gang, now);
    job.markDirty(0);
  }

  /**
   * Marks the gang as placed on machines. However long it waited for them, the remaining timeout
   * still covers its image fetch and the slack; otherwise a gang whose machines arrived late would
   * be stopped while it fetches. `bootMs`: the boot time that is included in its timeout.
   */
  onPlaced(job: GangJob, now: number, bootMs: number): void {
    markGangPlaced(job.gang, now, bootMs);
    job.markDirty(0);
  }

  /**
   * Handles the loss of a task, after which the gang cannot continue: stops the remaining tasks
   * without a grace period, unless one of them is already stopping with one, and requeues the gang
   * once all of them are gone. `stopAll` may itself report further losses.
   */
  onMemberLost(job: GangJob, stopAll: (graceMs: number) => void): void {
    const { gang } = job;
    if (job.placements.size > 0) {
      if (!job.placements.hasStopWithGrace) stopAll(0);
      return;
    }
    if (gang.phase === 'placed' || gang.phase === 'started') {
      requeueGang(gang);
      job.markDirty(0);
    }
  }

  /** Suspends the gang after a timeout; its wait doubles with repeated suspensions. */
  suspend(job: GangJob, now: number): void {
    const { gang } = job;
    const doublings = Math.min(gang.suspensions, MAX_WAIT_DOUBLINGS);
    const waitMs = this.operatorSettings.gate.returnSeconds * 1000 * 2 ** doublings;
    markGangSuspended(gang, now + waitMs);
    job.markDirty(0);
  }
}
