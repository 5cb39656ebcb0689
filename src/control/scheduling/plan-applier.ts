/** How the plan of a scheduling cycle is carried out. */
import type { Runtime } from '@leverhatch/core/duty';
import type { Fleet } from '../../fleet/fleet.js';
import type { MachineProvisioner } from '../../fleet/machine-provisioner.js';
import type { JobRecordWriter } from '../../jobs/job-record-writer.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { SchedulingPlan } from '../../scheduler/scheduling-model.js';
import { isGangJob, type GangGate } from '../admission/gang-gate.js';
import type { GangTimeouts } from '../admission/gang-timeouts.js';
import type { MachineReconciler } from '../reconciliation/machine-reconciler.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';

/** What a `PlanApplier` works with. */
export interface PlanApplierContext {
  readonly runtime: Pick<Runtime, 'clock' | 'log'>;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly fleet: Pick<Fleet, 'machines' | 'addPlacement'>;
  readonly provisioner: Pick<MachineProvisioner, 'provision'>;
  readonly reconciler: Pick<MachineReconciler, 'scaleIn'>;
  readonly gangGate: Pick<GangGate, 'admit' | 'onPlaced'>;
  readonly gangTimeouts: Pick<GangTimeouts, 'bootMs'>;
  readonly taskStopper: Pick<TaskStopper, 'stop' | 'preemptionGraceMs'>;
  readonly recordWriter: Pick<JobRecordWriter, 'flush'>;
}

/** A plan names a job, task or machine that the leader no longer has: snapshot and state disagree. */
export class StalePlanError extends Error {
  constructor(
    readonly kind: 'job' | 'task' | 'machine' | 'gang',
    readonly subject: string,
  ) {
    super(`the plan names an unknown ${kind}: ${subject}`);
  }
}

/** Places tasks, admits gangs, stops what makes way, and rents and gives back machines. */
export class PlanApplier {
  constructor(private readonly context: PlanApplierContext) {}

  /** `mayScaleOut`: enough is known of the fleet to rent and give back machines. */
  apply(result: SchedulingPlan, now: number, mayScaleOut: boolean): void {
    const touched = new Set<Job>();
    for (const start of result.starts) {
      const job = this.jobOf(start.job);
      // Such a job is in no snapshot; should it ever get here, its tasks still must not start.
      if (job.readyAt === null) continue;
      this.place(job, start.assignments, now);
      touched.add(job);
    }
    if (result.admittedGang !== null) {
      const job = this.jobOf(result.admittedGang);
      if (!isGangJob(job)) throw new StalePlanError('gang', job.id);
      this.context.gangGate.admit(job, now);
      touched.add(job);
    }
    for (const { job, task } of result.stops) {
      const placement = this.context.jobs.get(job)?.placements.get(task);
      if (placement)
        this.context.taskStopper.stop(
          placement,
          this.context.taskStopper.preemptionGraceMs(placement.job),
        );
    }
    for (const job of touched) this.context.recordWriter.flush(job);
    if (!mayScaleOut) return;
    for (const rent of result.scaleOut) this.context.provisioner.provision(rent);
    this.context.reconciler.scaleIn(result, now);
  }

  private jobOf(id: string): Job {
    const job = this.context.jobs.get(id);
    if (!job) throw new StalePlanError('job', id);
    return job;
  }

  private place(job: Job, on: { machine: string; count: number }[], now: number): void {
    const tasks = job.waitingTasks(taskCount(on));
    job.attempt++;
    let next = 0;
    for (const { machine, count } of on) {
      const host = this.context.fleet.machines.get(machine);
      if (!host) throw new StalePlanError('machine', machine);
      for (let i = 0; i < count; i++) {
        const task = tasks[next++];
        if (task === undefined) throw new StalePlanError('task', job.id);
        const placement: Placement = {
          job,
          task,
          attempt: job.attempt,
          machine,
          agentEpoch: host.agentEpoch,
          zone: host.zone,
          stage: 'recording',
          state: null,
          placedAt: now,
          runningSince: null,
          stop: null,
        };
        job.placements.set(task, placement);
        this.context.fleet.addPlacement(placement, now);
        job.markDirty(task);
      }
    }
    const { clock, log } = this.context.runtime;
    log.debug(
      {
        job: job.id,
        class: job.spec.jobClass,
        attempt: job.attempt,
        waitedMs: Math.round(clock.wall() - (job.readyAt ?? job.submittedAt)),
        on,
      },
      'placed',
    );
    if (isGangJob(job))
      this.context.gangGate.onPlaced(job, now, this.context.gangTimeouts.bootMs(job));
  }
}

/** How many tasks are assigned in all. */
export function taskCount(assignments: readonly { count: number }[]): number {
  return assignments.reduce((sum, { count }) => sum + count, 0);
}
