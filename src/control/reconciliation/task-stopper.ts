/** Stopping of tasks, and the grace that they get to save a checkpoint. */
import type { Clock } from '@leverhatch/core/clock';
import type { Fleet } from '../../fleet/fleet.js';
import type { StopCommands } from '../../fleet/stop-commands.js';
import { stopCommand } from '../../fleet/worker-commands.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { Settings } from '../../settings/deploy.js';
import type { LongPoll } from './long-poll.js';

/** Lost work is negligible if repeating it takes no longer than this many saves. */
const NEGLIGIBLE_LOSS_SAVES = 2;

/** Mean share of the work between two checkpoints that a stop at a random moment loses. */
const MEAN_LOSS_RATIO = 0.5;

/** Heartbeat intervals without a heartbeat after which a worker gets no direct stop command. */
const UNRESPONSIVE_INTERVALS = 2;

/** Stops tasks, with or without grace, by the fastest route to their machines. */
export class TaskStopper {
  constructor(
    private readonly fleet: Fleet,
    private readonly longPoll: LongPoll,
    private readonly commands: StopCommands,
    private readonly workers: Settings['workers'],
    private readonly clock: Clock,
  ) {}

  /** Stops every task of a job; starts that were never dispatched are withdrawn at once. */
  stopAll(job: Job, graceMs: number): void {
    for (const placement of [...job.placements.values()]) this.stop(placement, graceMs);
  }

  /** Stops one task with `graceMs` to save; a stop with no more grace that is under way stays as it is. */
  stop(placement: Placement, graceMs: number): void {
    if (placement.stop && placement.stop.graceMs <= graceMs) return;
    if (!placement.stop && placement.state === 'running') this.countStop(placement, graceMs);
    placement.stop = { graceMs };
    if (placement.stage === 'recording' || placement.stage === 'recorded')
      this.fleet.withdraw(placement);
    else if (!this.longPoll.release(placement.machine)) this.sendStop(placement, graceMs);
  }

  /** Counts a stop that leaves the task no time to save a checkpoint. */
  private countStop(placement: Placement, graceMs: number): void {
    const { job, task } = placement;
    if (graceMs !== 0 && job.spec.checkpointMs !== 0) return;
    job.stopsWithoutCheckpoint.set(task, (job.stopsWithoutCheckpoint.get(task) ?? 0) + 1);
  }

  private sendStop(placement: Placement, graceMs: number): void {
    const machine = this.fleet.machines.get(placement.machine);
    if (machine?.agentEpoch !== placement.agentEpoch || machine.lastHeartbeatAt === null) return;
    // An unresponsive worker would only hold a socket; its lease is running out.
    const sinceHeartbeatMs = this.clock.now() - machine.lastHeartbeatAt;
    if (sinceHeartbeatMs > this.workers.heartbeatIntervalMs * UNRESPONSIVE_INTERVALS) return;
    this.commands.add(machine, stopCommand(placement, graceMs));
  }

  /** Grace in which a task of the job can save a checkpoint, in milliseconds; 0 if it never saves. */
  checkpointGraceMs(job: Job): number {
    const { spec } = job;
    return spec.checkpointMs > 0 ? spec.saveMs + this.workers.gangPeerMs : 0;
  }

  /**
   * Grace of a preempted task, in milliseconds. It saves only if it would lose much: saving takes the
   * machine as long as repeating a little work, and the task that preempts it waits longer.
   */
  preemptionGraceMs(job: Job): number {
    const { checkpointMs, saveMs } = job.spec;
    const meanLossMs = checkpointMs * MEAN_LOSS_RATIO;
    return meanLossMs <= saveMs * NEGLIGIBLE_LOSS_SAVES ? 0 : this.checkpointGraceMs(job);
  }
}
