/** Updates of a job after events of its tasks: running, exited or lost. */
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Fleet } from '../../fleet/fleet.js';
import { markGangStarted } from '../../jobs/gang-phase.js';
import type { JobRecordWriter } from '../../jobs/job-record-writer.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { ExitReason } from '../../wire/worker-heartbeat.js';
import { isGangJob, type GangGate } from '../admission/gang-gate.js';
import type { TaskStopper } from './task-stopper.js';

/** Dependencies of `TaskLifecycle`. */
export interface TaskLifecycleContext {
  readonly runtime: Pick<Runtime, 'clock' | 'log'>;
  readonly fleet: Pick<Fleet, 'machines'>;
  readonly recordWriter: Pick<JobRecordWriter, 'flush' | 'flushExits'>;
  readonly gangGate: Pick<GangGate, 'onMemberLost'>;
  readonly taskStopper: Pick<TaskStopper, 'stopAll'>;
  requestSchedule(): void;
}

/** Updates a job when one of its tasks runs, has exited, or is proven gone. */
export class TaskLifecycle {
  constructor(private readonly context: TaskLifecycleContext) {}

  onRunning(placement: Placement): void {
    placement.runningSince = this.context.runtime.clock.now();
    const { job } = placement;
    job.failures.recordRunning(0);
    if (job.gang?.phase === 'placed' && job.isRunningInFull) {
      markGangStarted(job.gang);
      job.markDirty(0);
      this.context.recordWriter.flush(job);
      this.context.requestSchedule();
    }
  }

  onExited(placement: Placement, exitReason: ExitReason, checkpointed: boolean): void {
    const { job } = placement;
    job.placements.delete(placement.task);
    job.unrecordedExits.add(placement);
    job.markDirty(placement.task);
    if (exitReason === 'done') {
      job.failures.recordCompletion();
      if (job.gang) job.markAllDone();
      else job.markDone(placement.task);
    } else if (
      exitReason === 'error' ||
      exitReason === 'insufficient_capacity' ||
      exitReason === 'unknown' ||
      exitReason === 'already_running'
    ) {
      this.onFailure(placement, exitReason);
    }
    this.context.runtime.log.debug(
      {
        task: `${job.id}/${placement.task}`,
        attempt: placement.attempt,
        machine: placement.machine,
        exitReason,
        checkpointed,
      },
      'task exited',
    );
    this.afterEnd(job);
  }

  private onFailure(placement: Placement, exitReason: ExitReason): void {
    const now = this.context.runtime.clock.now();
    const { failures } = placement.job;
    const ranMs = placement.runningSince === null ? 0 : now - placement.runningSince;
    const failed = exitReason === 'error';
    failures.record({ machine: failed ? placement.machine : null, ranMs, now });
    if (failed) this.context.fleet.machines.get(placement.machine)?.recordFailure(failures);
  }

  /**
   * Updates the failure attribution of a job: if other tasks of it run for longer than the failed
   * ones did, the job itself is not at fault.
   */
  reviewFailures(job: Job, now: number): void {
    if (!job.failures.isUndecided) return;
    if (job.placements.size === 0) job.failures.recordIdle(now);
    for (const placement of job.placements.values()) {
      if (placement.state === 'running' && placement.runningSince !== null) {
        job.failures.recordRunning(now - placement.runningSince);
      }
    }
  }

  onLost(placement: Placement): void {
    const { job } = placement;
    job.placements.delete(placement.task);
    job.markDirty(placement.task);
    this.context.runtime.log.debug(
      {
        task: `${job.id}/${placement.task}`,
        attempt: placement.attempt,
        machine: placement.machine,
      },
      'task lost',
    );
    this.afterEnd(job);
  }

  private afterEnd(job: Job): void {
    if (job.phase === 'open' && job.isComplete) {
      job.phase = 'done';
      job.isPhaseStored = false;
    }
    if (isGangJob(job) && job.phase === 'open')
      this.context.gangGate.onMemberLost(job, (graceMs) =>
        this.context.taskStopper.stopAll(job, graceMs),
      );
    this.context.recordWriter.flushExits(job);
    this.context.requestSchedule();
  }
}
