import { fits, type MachineType } from '../fleet/types.js';
import type { JobSpec } from '../jobs/job.js';
import type { Job } from '../jobs/live.js';
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

  /**
   * It has its machines. However long it waited for them, what is left of its timeout from here on
   * is never less than the fetch of its image and the slack: a gang whose machines came late would
   * else be stopped while it fetches. `bootMs`: the boot time that its timeout counts with.
   */
  placed(job: Job, now: number, bootMs: number): void {
    const gang = job.gang!;
    if (gang.phase === 'admitted') gang.chargedMs = Math.min(gang.chargedMs, bootMs);
    else gang.chargedMs = 0;
    gang.chargedAt = now;
    gang.phase = 'placed';
    job.touch(0);
  }

  /** A gang that lost a task cannot go on: the rest is stopped, and it queues again when all are gone. */
  broken(job: Job, stopAll: (graceMs: number) => void): void {
    const gang = job.gang!;
    if (job.live.size > 0) {
      if (![...job.live.values()].some((p) => p.stop && p.stop.graceMs > 0)) stopAll(0);
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
    if (now >= gang.until && job.live.size === 0) gang.phase = 'queued';
    return;
  }
  if (gang.phase !== 'admitted' && gang.phase !== 'placed') return;
  // While the cloud refuses, is silent or boots slowly, a gang that waits for machines is not to blame.
  const excused = gang.phase === 'admitted' && isCloudInTrouble(leader, job, now);
  if (!excused) gang.chargedMs += now - gang.chargedAt;
  gang.chargedAt = now;
  if (gang.chargedMs <= gateTimeout(leader, job)) return;
  leader.parts.runtime.log.info({ job: job.id, waitedMs: gang.chargedMs }, 'gang past its timeout');
  leader.gate.suspend(job, now);
  leader.stops.stopAll(job, 0);
  leader.ledger.flush(job);
}

/** Machines that the gang may wait for cannot be had, or are late and may still come. */
function isCloudInTrouble(leader: Leader, job: Job, now: number): boolean {
  if (leader.rentals.troubleSince !== null) return true;
  const { machines, boots } = leader.fleet;
  const types = new Set(usableTypes(leader, job.spec).map((type) => type.name));
  for (const m of machines.values()) {
    if (!types.has(m.type?.name ?? '') || m.returning) continue;
    if (boots.mayStillCome(m, now, machines.values())) return true;
  }
  return false;
}

/** Boot and fetch of the slowest machine type that the gang may get, and some slack. */
function gateTimeout(leader: Leader, job: Job): number {
  let most = 0;
  for (const type of usableTypes(leader, job.spec)) {
    const fetchMs = (job.spec.imageGb / type.fetchGbPerS) * 1000;
    most = Math.max(most, leader.fleet.boots.expectedMs(type) + fetchMs);
  }
  return most + leader.parts.operator.gate.slackSeconds * 1000;
}

/** The boot time that a gang's timeout counts with at least, whatever type it gets. */
export function gateBootMs(leader: Leader, job: Job): number {
  return Math.min(...usableTypes(leader, job.spec).map((t) => leader.fleet.boots.expectedMs(t)));
}

/** The machine types on which a task of the job may run. */
function usableTypes(leader: Leader, spec: JobSpec): MachineType[] {
  const types = [...(leader.parts.catalogue.types.value?.values() ?? [])];
  return types.filter(
    (t) => (spec.types === null || spec.types.includes(t.name)) && fits(spec.need, t.room),
  );
}
