import { fits, type MachineType } from '../../fleet/resources.js';
import type { JobSpec } from '../../jobs/job.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { OperatorSettings } from '../../settings/operator.js';
import type { Leader } from '../leader.js';

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
  admit(job: Job, now: number): void {
    const gang = job.gang!;
    gang.phase = 'admitted';
    gang.holdsGate = true;
    gang.countedMs = 0;
    gang.countedAt = now;
    job.markDirty(0);
  }

  /**
   * It has its machines. However long it waited for them, what is left of its timeout from here on
   * is never less than the fetch of its image and the slack: a gang whose machines came late would
   * else be stopped while it fetches. `bootMs`: the boot time that its timeout counts with.
   */
  onPlaced(job: Job, now: number, bootMs: number): void {
    const gang = job.gang!;
    if (gang.phase === 'admitted') gang.countedMs = Math.min(gang.countedMs, bootMs);
    else gang.countedMs = 0;
    gang.countedAt = now;
    gang.phase = 'placed';
    job.markDirty(0);
  }

  /** A gang that lost a task cannot go on: the rest is stopped, and it queues again when all are gone. */
  onMemberLost(job: Job, stopAll: (graceMs: number) => void): void {
    const gang = job.gang!;
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
      gang.phase = 'queued';
      gang.holdsGate = false;
      job.markDirty(0);
    }
  }

  suspend(job: Job, now: number): void {
    const gang = job.gang!;
    gang.phase = 'suspended';
    gang.holdsGate = false;
    const doublings = Math.min(gang.suspensions, MAX_WAIT_DOUBLINGS);
    gang.suspendedUntil = now + this.operatorSettings.gate.returnSeconds * 1000 * 2 ** doublings;
    gang.suspensions++;
    job.markDirty(0);
  }
}

/** Suspends a gang that is past its timeout, and lets a suspended one queue again after its wait. */
export function checkTimeout(leader: Leader, job: Job, now: number): void {
  const gang = job.gang!;
  if (job.phase !== 'open') return;
  if (gang.phase === 'suspended') {
    if (now >= gang.suspendedUntil && job.placements.size === 0) gang.phase = 'queued';
    return;
  }
  if (gang.phase !== 'admitted' && gang.phase !== 'placed') return;
  // While the cloud refuses, is silent or boots slowly, a gang that waits for machines is not to blame.
  const excused = gang.phase === 'admitted' && isCloudInTrouble(leader, job, now);
  if (!excused) gang.countedMs += now - gang.countedAt;
  gang.countedAt = now;
  if (gang.countedMs <= gateTimeout(leader, job)) return;
  leader.context.runtime.log.info(
    { job: job.id, waitedMs: gang.countedMs },
    'gang past its timeout',
  );
  leader.gangGate.suspend(job, now);
  leader.taskStopper.stopAll(job, 0);
  leader.recordWriter.flush(job);
}

/** Machines that the gang may wait for cannot be had, or are late and may still come. */
function isCloudInTrouble(leader: Leader, job: Job, now: number): boolean {
  if (leader.provisioner.unavailableSince !== null) return true;
  const { machines, bootTimes: bootTimes } = leader.fleet;
  const types = new Set(usableTypes(leader, job.spec).map((type) => type.name));
  for (const machine of machines.values()) {
    if (!types.has(machine.type?.name ?? '') || machine.isReleasing) continue;
    if (bootTimes.mayStillBoot(machine, now, machines.values())) return true;
  }
  return false;
}

/** Boot and fetch of the slowest machine type that the gang may get, and some slack. */
function gateTimeout(leader: Leader, job: Job): number {
  let most = 0;
  for (const type of usableTypes(leader, job.spec)) {
    const fetchMs = (job.spec.imageGb / type.fetchGbPerS) * 1000;
    most = Math.max(most, leader.fleet.bootTimes.expectedMs(type) + fetchMs);
  }
  return most + leader.context.operator.gate.slackSeconds * 1000;
}

/** The boot time that a gang's timeout counts with at least, whatever type it gets. */
export function gateBootMs(leader: Leader, job: Job): number {
  return Math.min(
    ...usableTypes(leader, job.spec).map((type) => leader.fleet.bootTimes.expectedMs(type)),
  );
}

/** The machine types on which a task of the job may run. */
function usableTypes(leader: Leader, spec: JobSpec): MachineType[] {
  const types = [...(leader.context.machineTypes.types.value?.values() ?? [])];
  return types.filter(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) && fits(spec.need, type.capacity),
  );
}
