/**
 * Timeouts of admitted gangs. While a gang waits for machines, its timeout counts only if the cloud is
 * available and boots them in time, so this needs access to the fleet and the provisioner; the state
 * changes of the gate itself are in gang-gate.ts.
 */
import { requeueGang } from '../../jobs/gang-phase.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Fleet } from '../../fleet/fleet.js';
import type { MachineProvisioner } from '../../fleet/machine-provisioner.js';
import { fits, type MachineType } from '../../fleet/resources.js';
import type { JobRecordWriter } from '../../jobs/job-record-writer.js';
import type { JobSpec } from '../../jobs/job.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { OperatorSettings } from '../../settings/operator.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';
import type { GangGate, GangJob } from './gang-gate.js';

/** Dependencies of `GangTimeouts`. */
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

/** Suspends gangs that are not ready within their timeout. */
export class GangTimeouts {
  constructor(private readonly context: GangTimeoutsContext) {}

  /** Suspends a gang that has timed out, and requeues a suspended one after its wait. */
  check(job: GangJob, now: number): void {
    const { gang } = job;
    if (job.phase !== 'open') return;
    if (gang.phase === 'suspended') {
      if (now >= gang.suspendedUntil && job.placements.size === 0) requeueGang(gang);
      return;
    }
    if (gang.phase !== 'admitted' && gang.phase !== 'placed') return;
    // The timeout is paused while a gang waits for machines of a cloud that rejects requests, is
    // unresponsive or boots machines slowly: the delay is not the gang's fault. It is not paused
    // while the cloud is only out of capacity.
    const isPaused = gang.phase === 'admitted' && this.isCloudImpaired(job, now);
    if (!isPaused) gang.countedMs += now - gang.countedAt;
    gang.countedAt = now;
    if (gang.countedMs <= this.timeoutMs(job)) return;
    this.context.runtime.log.info(
      { job: job.id, waitedMs: gang.countedMs },
      'gang timed out, suspending it',
    );
    this.context.gangGate.suspend(job, now);
    this.context.taskStopper.stopAll(job, 0);
    this.context.recordWriter.flush(job);
  }

  /**
   * Whether the cloud is unavailable, or a machine that the gang may be waiting for is late but may
   * still boot.
   */
  private isCloudImpaired(job: Job, now: number): boolean {
    if (this.context.provisioner.unavailableSince !== null) return true;
    const { machines, bootTimes } = this.context.fleet;
    const types = new Set(this.usableTypes(job.spec).map((type) => type.name));
    for (const machine of machines.values()) {
      if (!types.has(machine.type?.name ?? '') || machine.isReleasing) continue;
      if (bootTimes.mayStillBoot(machine, now, machines.values())) return true;
    }
    return false;
  }

  /** Boot and image fetch time of the slowest machine type that the gang may get, plus slack. */
  private timeoutMs(job: Job): number {
    let longestMs = 0;
    for (const type of this.usableTypes(job.spec)) {
      const fetchMs = (job.spec.imageGb / type.fetchGbPerS) * 1000;
      longestMs = Math.max(longestMs, this.context.fleet.bootTimes.expectedMs(type) + fetchMs);
    }
    return longestMs + this.context.operator.gate.slackSeconds * 1000;
  }

  /** The boot time that a gang's timeout includes at least, whichever machine type it gets. */
  bootMs(job: Job): number {
    return Math.min(
      ...this.usableTypes(job.spec).map((type) => this.context.fleet.bootTimes.expectedMs(type)),
    );
  }

  /** The machine types on which a task of the job may run and fits. */
  private usableTypes(spec: JobSpec): MachineType[] {
    const types = [...this.context.machineTypes().values()];
    return types.filter(
      (type) =>
        (spec.types === null || spec.types.includes(type.name)) && fits(spec.need, type.capacity),
    );
  }
}
