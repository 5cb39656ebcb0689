/** Bookkeeping of the all-or-nothing gate; when its time runs out is decided in gang-timeouts.ts. */
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
 * How often the wait on the inadmissible list is doubled at most. Nothing tells that what kept a gang
 * from being ready is over, and one that waits for minutes beside free room is not served.
 */
const MAX_WAIT_DOUBLINGS = 1;

/**
 * The all-or-nothing gate's bookkeeping (KEP-349): admission, readiness, timeout and the
 * inadmissible list. Which gang passes is decided by the scheduler.
 */
export class GangGate {
  constructor(private readonly operatorSettings: OperatorSettings) {}

  /** The gang holds the gate until it is ready; its time runs from here. */
  admit(job: GangJob, now: number): void {
    markGangAdmitted(job.gang, now);
    job.markDirty(0);
  }

  /**
   * It has its machines. However long it waited for them, what is left of its timeout from here on
   * is never less than the fetch of its image and the slack: a gang whose machines came late would
   * else be stopped while it fetches. `bootMs`: the boot time that its timeout counts with.
   */
  onPlaced(job: GangJob, now: number, bootMs: number): void {
    markGangPlaced(job.gang, now, bootMs);
    job.markDirty(0);
  }

  /** A gang that lost a task cannot go on: the rest is stopped, and it queues again when all are gone. */
  onMemberLost(job: GangJob, stopAll: (graceMs: number) => void): void {
    const { gang } = job;
    if (job.placements.size > 0) {
      if (
        ![...job.placements.values()].some(
          (placement) => placement.stop && placement.stop.graceMs > 0,
        )
      )
        stopAll(0);
      return;
    }
    if (gang.phase === 'placed' || gang.phase === 'started') {
      requeueGang(gang);
      job.markDirty(0);
    }
  }

  suspend(job: GangJob, now: number): void {
    const { gang } = job;
    const doublings = Math.min(gang.suspensions, MAX_WAIT_DOUBLINGS);
    const waitMs = this.operatorSettings.gate.returnSeconds * 1000 * 2 ** doublings;
    markGangSuspended(gang, now + waitMs);
    job.markDirty(0);
  }
}
