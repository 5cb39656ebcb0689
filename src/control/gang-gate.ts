import type { Job } from '../jobs/tracked-job.js';
import type { Operator } from '../settings/operator.js';
import type { Leader } from './leader.js';

/**
 * How often the wait on the inadmissible list is doubled at most. Nothing tells that what kept a gang
 * from being ready is over, and one that waits for minutes beside free room is not served.
 */
const MOST_WAIT_DOUBLINGS = 1;

/**
 * The all-or-nothing gate's bookkeeping (KEP-349): admission, readiness, timeout and the
 * inadmissible list. Which gang passes is decided by the scheduler.
 */
export class GangGate {
  constructor(private readonly operator: Operator) {}

  /** The gang holds the gate until it is ready; its time runs from here. */
  admit(job: Job, now: number): void {
    const gang = job.gang!;
    gang.phase = 'admitted';
    gang.holdsGate = true;
    gang.chargedMs = 0;
    gang.chargedAt = now;
    job.touch(0);
  }

  placed(job: Job, now: number): void {
    const gang = job.gang!;
    if (gang.phase !== 'admitted') {
      gang.chargedMs = 0;
      gang.chargedAt = now;
    }
    gang.phase = 'placed';
    job.touch(0);
  }

  /** A gang that lost a task cannot go on: the rest is stopped, and it queues again when all are gone. */
  broken(job: Job, stopAll: (graceMs: number) => void): void {
    const gang = job.gang!;
    if (job.placements.size > 0) {
      if (![...job.placements.values()].some((p) => p.stop && p.stop.graceMs > 0)) stopAll(0);
      return;
    }
    if (gang.phase === 'placed' || gang.phase === 'started') {
      gang.phase = 'queued';
      gang.holdsGate = false;
      job.touch(0);
    }
  }

  suspend(job: Job, now: number): void {
    const gang = job.gang!;
    gang.phase = 'suspended';
    gang.holdsGate = false;
    const doublings = Math.min(gang.suspensions, MOST_WAIT_DOUBLINGS);
    gang.until = now + this.operator.gate.returnSeconds * 1000 * 2 ** doublings;
    gang.suspensions++;
    job.touch(0);
  }
}

/** Suspends a gang that is past its timeout, and lets a suspended one queue again after its wait. */
export function checkTimeout(leader: Leader, job: Job, now: number): void {
  const gang = job.gang!;
  if (job.phase !== 'open') return;
  if (gang.phase === 'suspended') {
    if (now >= gang.until && job.placements.size === 0) gang.phase = 'queued';
    return;
  }
  if (gang.phase !== 'admitted' && gang.phase !== 'placed') return;
  // While the cloud refuses or is silent, a gang that waits for machines is not to blame.
  const excused = gang.phase === 'admitted' && leader.rentals.troubleSince !== null;
  if (!excused) gang.chargedMs += now - gang.chargedAt;
  gang.chargedAt = now;
  if (gang.chargedMs <= gateTimeout(leader, job)) return;
  leader.parts.runtime.log.info({ job: job.id, waitedMs: gang.chargedMs }, 'gang past its timeout');
  leader.gate.suspend(job, now);
  leader.stops.stopAll(job, 0);
  leader.ledger.flush(job);
}

/** Boot and fetch of the slowest machine type that the gang may get, and some slack. */
function gateTimeout(leader: Leader, job: Job): number {
  const { spec } = job;
  let most = 0;
  for (const type of leader.parts.catalogue.types.value?.values() ?? []) {
    if (spec.types !== null && !spec.types.includes(type.name)) continue;
    most = Math.max(most, type.bootMs + (spec.imageGb / type.fetchGbPerS) * 1000);
  }
  return most + leader.parts.operator.gate.slackSeconds * 1000;
}
