/** Stopping of tasks, with a grace period for saving a checkpoint. */
import type { Clock } from '@leverhatch/core/clock';
import type { Fleet } from '../../fleet/fleet.js';
import type { StopCommandSender } from '../../fleet/stop-command-sender.js';
import { stopCommand } from '../../fleet/worker-commands.js';
import type { StopRequest } from '../../jobs/job-placements.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { Settings } from '../../settings/deploy.js';
import type { LongPoll } from './long-poll.js';

/** Lost work is negligible if repeating it takes no longer than saving this many checkpoints. */
const NEGLIGIBLE_LOSS_SAVES = 2;

/** Mean fraction of a checkpoint interval that is lost by a stop at a random moment. */
const MEAN_LOSS_RATIO = 0.5;

/** Heartbeat intervals without a heartbeat after which a worker gets no direct stop command. */
const UNRESPONSIVE_INTERVALS = 2;

/** Stops tasks, with or without a grace period, by the fastest route to their machines. */
export class TaskStopper {
  constructor(
    private readonly fleet: Fleet,
    private readonly longPoll: LongPoll,
    private readonly commands: StopCommandSender,
    private readonly workers: Settings['workers'],
    private readonly clock: Clock,
  ) {}

  /** Stops every task of a job; starts that were never dispatched are withdrawn at once. */
  stopAll(job: Job, graceMs: number): void {
    const { placements } = job;
    if (!placements.mayStop) return;
    const request: StopRequest = { graceMs };
    // All stops are set before the first start is withdrawn: a member of a gang that is gone stops the
    // others, which then finds nothing left to stop.
    for (const placement of placements.values()) this.setStop(placement, request);
    for (const placement of placements.values())
      if (placement.stop === request) this.carryOut(placement, request);
  }

  /** Stops one task with a grace period; a pending stop with a shorter or equal one is kept. */
  stop(placement: Placement, graceMs: number): void {
    const request: StopRequest = { graceMs };
    this.setStop(placement, request);
    if (placement.stop === request) this.carryOut(placement, request);
  }

  private setStop(placement: Placement, request: StopRequest): void {
    if (placement.stop && placement.stop.graceMs <= request.graceMs) return;
    if (!placement.stop && placement.state === 'running')
      this.recordStop(placement, request.graceMs);
    placement.job.placements.setStop(placement, request);
  }

  private carryOut(placement: Placement, { graceMs }: StopRequest): void {
    if (placement.stage === 'recording' || placement.stage === 'recorded')
      this.fleet.withdrawStart(placement);
    else if (!this.longPoll.release(placement.machine)) this.sendStop(placement, graceMs);
  }

  /**
   * Records a stop by which the task loses work because it cannot save a checkpoint. It decides whether a
   * task may be moved, so that of a gang or of a job that has ended is not needed.
   */
  private recordStop(placement: Placement, graceMs: number): void {
    const { job, task } = placement;
    if (graceMs !== 0 && job.spec.checkpointMs !== 0) return;
    if (job.gang || job.phase !== 'open' || job.isCancellationAnnounced) return;
    job.stoppedWithoutCheckpoint.add(task);
  }

  private sendStop(placement: Placement, graceMs: number): void {
    const machine = this.fleet.machines.get(placement.machine);
    if (machine?.agentEpoch !== placement.agentEpoch || machine.lastHeartbeatAt === null) return;
    // A command to an unresponsive worker would only occupy a socket; its lease will expire anyway.
    const sinceHeartbeatMs = this.clock.now() - machine.lastHeartbeatAt;
    if (sinceHeartbeatMs > this.workers.heartbeatIntervalMs * UNRESPONSIVE_INTERVALS) return;
    this.commands.add(machine, stopCommand(placement, graceMs));
  }

  /** Grace period for saving a checkpoint, in milliseconds; 0 for a job without checkpoints. */
  checkpointGraceMs(job: Job): number {
    const { spec } = job;
    return spec.checkpointMs > 0 ? spec.saveMs + this.workers.gangPeerMs : 0;
  }

  /**
   * Grace period of a preempted task, in milliseconds. A checkpoint is saved only if the task would
   * otherwise lose much work: saving occupies the machine as long as repeating a little work would,
   * and delays the preempting task.
   */
  preemptionGraceMs(job: Job): number {
    const { checkpointMs, saveMs } = job.spec;
    const meanLossMs = checkpointMs * MEAN_LOSS_RATIO;
    return meanLossMs <= saveMs * NEGLIGIBLE_LOSS_SAVES ? 0 : this.checkpointGraceMs(job);
  }
}
