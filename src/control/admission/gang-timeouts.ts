/**
 * When a gang that holds the gate has waited for too long. The timeout counts only while the cloud
 * could have served the gang, so it needs to see the fleet and the provisioner; the bookkeeping of
 * the gate itself is in gang-gate.ts.
 */
import { requeueGang } from '../../jobs/gang-phase.js';
import type { Runtime } from '@leverhatch/core/duty';
import type { Fleet } from '../../fleet/fleet.js';
import type { MachineProvisioner } from '../../fleet/machine-provisioner.js';
import { fits, type MachineType } from '../../fleet/resources.js';
import type { JobRecordWriter } from '../../jobs/job-record-writer.js';
import type { JobSpec } from '../../jobs/job.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { OperatorSettings } from '../../settings/operator.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';
import type { GangGate, GangJob } from './gang-gate.js';

/** What `GangTimeouts` works with. */
export interface GangTimeoutsContext {
  readonly runtime: Pick<Runtime, 'log'>;
  readonly operator: OperatorSettings;
  readonly fleet: Pick<Fleet, 'machines' | 'bootTimes'>;
  readonly provisioner: Pick<MachineProvisioner, 'unavailableSince'>;
  readonly gangGate: Pick<GangGate, 'suspend'>;
  readonly taskStopper: Pick<TaskStopper, 'stopAll'>;
  readonly recordWriter: Pick<JobRecordWriter, 'flush'>;
  machineTypes(): ReadonlyMap<string, MachineType>;
}

/** Suspends gangs that hold the gate beyond their timeout. */
export class GangTimeouts {
  constructor(private readonly context: GangTimeoutsContext) {}

  /** Suspends a gang that is past its timeout, and lets a suspended one queue again after its wait. */
  check(job: GangJob, now: number): void {
    const { gang } = job;
    if (job.phase !== 'open') return;
    if (gang.phase === 'suspended') {
      if (now >= gang.suspendedUntil && job.placements.size === 0) requeueGang(gang);
      return;
    }
    if (gang.phase !== 'admitted' && gang.phase !== 'placed') return;
    // While the cloud refuses, is unresponsive or boots slowly, a gang that waits for machines is not to blame.
    const excused = gang.phase === 'admitted' && this.isCloudInTrouble(job, now);
    if (!excused) gang.countedMs += now - gang.countedAt;
    gang.countedAt = now;
    if (gang.countedMs <= this.timeoutMs(job)) return;
    this.context.runtime.log.info(
      { job: job.id, waitedMs: gang.countedMs },
      'gang past its timeout',
    );
    this.context.gangGate.suspend(job, now);
    this.context.taskStopper.stopAll(job, 0);
    this.context.recordWriter.flush(job);
  }

  /** Machines that the gang may wait for cannot be had, or are late and may still come. */
  private isCloudInTrouble(job: Job, now: number): boolean {
    if (this.context.provisioner.unavailableSince !== null) return true;
    const { machines, bootTimes } = this.context.fleet;
    const types = new Set(this.usableTypes(job.spec).map((type) => type.name));
    for (const machine of machines.values()) {
      if (!types.has(machine.type?.name ?? '') || machine.isReleasing) continue;
      if (bootTimes.mayStillBoot(machine, now, machines.values())) return true;
    }
    return false;
  }

  /** Boot and fetch of the slowest machine type that the gang may get, and some slack. */
  private timeoutMs(job: Job): number {
    let most = 0;
    for (const type of this.usableTypes(job.spec)) {
      const fetchMs = (job.spec.imageGb / type.fetchGbPerS) * 1000;
      most = Math.max(most, this.context.fleet.bootTimes.expectedMs(type) + fetchMs);
    }
    return most + this.context.operator.gate.slackSeconds * 1000;
  }

  /** The boot time that a gang's timeout counts with at least, whatever type it gets. */
  bootMs(job: Job): number {
    return Math.min(
      ...this.usableTypes(job.spec).map((type) => this.context.fleet.bootTimes.expectedMs(type)),
    );
  }

  /** The machine types on which a task of the job may run. */
  private usableTypes(spec: JobSpec): MachineType[] {
    const types = [...this.context.machineTypes().values()];
    return types.filter(
      (type) =>
        (spec.types === null || spec.types.includes(type.name)) && fits(spec.need, type.capacity),
    );
  }
}
