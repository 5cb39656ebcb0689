/** Applies the plan of a scheduling cycle to the leader's state. */
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Fleet } from '../../fleet/fleet.js';
import type { MachineProvisioner } from '../../fleet/machine-provisioner.js';
import type { JobRecordWriter } from '../../jobs/job-record-writer.js';
import { TaskPlacement } from '../../jobs/task-placement.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { SchedulingPlan } from '../../scheduler/scheduling-model.js';
import { isGangJob, type GangGate } from '../admission/gang-gate.js';
import type { GangTimeouts } from '../admission/gang-timeouts.js';
import type { MachineReconciler } from '../reconciliation/machine-reconciler.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';

/** Dependencies of `PlanApplier`. */
export interface PlanApplierContext {
  readonly runtime: Pick<Runtime, 'clock' | 'log'>;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly fleet: Pick<Fleet, 'machines' | 'addPlacement'>;
  readonly provisioner: Pick<MachineProvisioner, 'provision'>;
  readonly reconciler: Pick<MachineReconciler, 'scaleIn'>;
  readonly gangGate: Pick<GangGate, 'admit' | 'onPlaced'>;
  readonly gangTimeouts: Pick<GangTimeouts, 'bootMs'>;
  readonly taskStopper: Pick<
    TaskStopper,
    'stop' | 'stopAll' | 'preemptionGraceMs' | 'checkpointGraceMs'
  >;
  readonly recordWriter: Pick<JobRecordWriter, 'flush'>;
}

/** The plan refers to something the leader does not have: the snapshot differs from the state. */
export class StalePlanError extends Error {
  constructor(
    readonly kind: 'job' | 'task' | 'machine' | 'gang',
    readonly subject: string,
  ) {
    super(`scheduling plan refers to unknown ${kind}: ${subject}`);
  }
}

/** Places tasks, admits gangs, stops preempted tasks, and provisions and releases machines. */
export class PlanApplier {
  constructor(private readonly context: PlanApplierContext) {}

  /** `mayScaleOut`: the fleet is known well enough to provision and release machines. */
  apply(plan: SchedulingPlan, now: number, mayScaleOut: boolean): void {
    const touched = new Set<Job>();
    for (const start of plan.starts) {
      const job = this.jobOf(start.job);
      // The tasks of a job that waits for dependencies must never start. Plans contain no such starts,
      // since snapshots list these jobs only as upcoming jobs, if at all.
      if (job.readyAt === null) continue;
      this.place(job, start.assignments, now);
      touched.add(job);
    }
    if (plan.admittedGang !== null) {
      const job = this.jobOf(plan.admittedGang);
      if (!isGangJob(job)) throw new StalePlanError('gang', job.id);
      this.context.gangGate.admit(job, now);
      touched.add(job);
    }
    for (const { job, task } of plan.stops) {
      const placement = this.context.jobs.get(job)?.placements.get(task);
      if (placement) this.preempt(placement);
    }
    for (const job of touched) this.context.recordWriter.flush(job);
    if (!mayScaleOut) return;
    for (const rent of plan.scaleOut) this.context.provisioner.provision(rent);
    this.context.reconciler.scaleIn(plan, now);
  }

  private preempt(placement: Placement): void {
    const { taskStopper } = this.context;
    const { job } = placement;
    if (job.gang) taskStopper.stopAll(job, taskStopper.checkpointGraceMs(job));
    else taskStopper.stop(placement, taskStopper.preemptionGraceMs(job));
  }

  private jobOf(id: string): Job {
    const job = this.context.jobs.get(id);
    if (!job) throw new StalePlanError('job', id);
    return job;
  }

  private place(job: Job, assignments: { machine: string; count: number }[], now: number): void {
    const tasks = job.waitingTasks(taskCount(assignments));
    job.attempt++;
    let next = 0;
    for (const { machine, count } of assignments) {
      const host = this.context.fleet.machines.get(machine);
      if (!host) throw new StalePlanError('machine', machine);
      const { agentEpoch, zone } = host;
      const group = { job, attempt: job.attempt, machine, agentEpoch, zone };
      for (let i = 0; i < count; i++) {
        const task = tasks[next++];
        if (task === undefined) throw new StalePlanError('task', job.id);
        const placement = new TaskPlacement(group, task, 'recording');
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
        on: assignments,
      },
      'placed',
    );
    if (isGangJob(job))
      this.context.gangGate.onPlaced(job, now, this.context.gangTimeouts.bootMs(job));
  }
}

/** The total number of tasks in these assignments. */
export function taskCount(assignments: readonly { count: number }[]): number {
  return assignments.reduce((sum, { count }) => sum + count, 0);
}
