import type { Clock } from '@leverhatch/core/clock';
import type { Fleet } from '../../fleet/fleet.js';
import type { StopCommands } from '../../fleet/stop-commands.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { Settings } from '../../settings/deploy.js';
import type { LongPoll } from './long-poll.js';

/** Work is little that is done again in this many times what saving it takes. */
const NEGLIGIBLE_LOSS_SAVES = 2;

/** A task that is stopped at any moment has lost on average this share of what it does between checkpoints. */
const MEAN_LOSS_RATIO = 0.5;

/** Stops tasks, with or without time to save, by the shortest way there is to their machines. */
export class TaskStopper {
  constructor(
    private readonly fleet: Fleet,
    private readonly longPoll: LongPoll,
    private readonly commands: StopCommands,
    private readonly workers: Settings['workers'],
    private readonly clock: Clock,
  ) {}

  /** Stops every task of a job; what was never sent is taken back at once. */
  stopAll(job: Job, graceMs: number): void {
    for (const placement of [...job.placements.values()]) this.stop(placement, graceMs);
  }

  stop(placement: Placement, graceMs: number): void {
    if (placement.stop && placement.stop.graceMs <= graceMs) return;
    if (
      !placement.stop &&
      placement.state === 'running' &&
      (graceMs === 0 || placement.job.spec.checkpointMs === 0)
    ) {
      const { stopsWithoutCheckpoint: stopsWithoutCheckpoint } = placement.job;
      stopsWithoutCheckpoint.set(
        placement.task,
        (stopsWithoutCheckpoint.get(placement.task) ?? 0) + 1,
      );
    }
    placement.stop = { graceMs };
    if (placement.stage === 'recording' || placement.stage === 'recorded')
      this.fleet.withdraw(placement);
    else if (!this.longPoll.release(placement.machine)) this.sendStop(placement, graceMs);
  }

  private sendStop(placement: Placement, graceMs: number): void {
    const machine = this.fleet.machines.get(placement.machine);
    // A silent machine would only hold a socket; its lease is running out.
    if (!machine || placement.agentEpoch !== machine.agentEpoch || machine.lastHeartbeatAt === null)
      return;
    if (this.clock.now() - machine.lastHeartbeatAt > this.workers.heartbeatIntervalMs * 2) return;
    const { task, attempt } = placement;
    this.commands.add(machine, { kind: 'stop', job: placement.job.id, task, attempt, graceMs });
  }

  checkpointGraceMs(job: Job): number {
    const { spec } = job;
    return spec.checkpointMs > 0 ? spec.saveMs + this.workers.gangPeerMs : 0;
  }

  /**
   * What makes way for others saves first only if it would lose much: a machine that saves does no
   * more work than one that does a little of it again, and whoever waits for it waits longer.
   */
  preemptionGraceMs(job: Job): number {
    const { checkpointMs, saveMs } = job.spec;
    const meanLossMs = checkpointMs * MEAN_LOSS_RATIO;
    return meanLossMs <= saveMs * NEGLIGIBLE_LOSS_SAVES ? 0 : this.checkpointGraceMs(job);
  }
}
