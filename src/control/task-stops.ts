import type { Clock } from '@leverhatch/core/clock';
import type { Fleet } from '../fleet/fleet.js';
import type { StopCommands } from '../fleet/stop-commands.js';
import type { Job, Placement } from '../jobs/tracked-job.js';
import type { Settings } from '../settings/deploy.js';
import type { LongPoll } from './long-poll.js';

/** Work is little that is done again in this many times what saving it takes. */
const LITTLE_LOSS_SAVES = 2;

/** A task that is stopped at any moment has lost on average this share of what it does between checkpoints. */
const MEAN_LOSS_SHARE = 0.5;

/** Stops tasks, with or without time to save, by the shortest way there is to their machines. */
export class TaskStops {
  constructor(
    private readonly fleet: Fleet,
    private readonly longPoll: LongPoll,
    private readonly commands: StopCommands,
    private readonly workers: Settings['workers'],
    private readonly clock: Clock,
  ) {}

  /** Stops every task of a job; what was never sent is taken back at once. */
  stopAll(job: Job, graceMs: number): void {
    for (const p of [...job.placements.values()]) this.stop(p, graceMs);
  }

  stop(p: Placement, graceMs: number): void {
    if (p.stop && p.stop.graceMs <= graceMs) return;
    if (!p.stop && p.state === 'running' && (graceMs === 0 || p.job.spec.checkpointMs === 0)) {
      const { unsavedStops } = p.job;
      unsavedStops.set(p.task, (unsavedStops.get(p.task) ?? 0) + 1);
    }
    p.stop = { graceMs };
    if (p.stage === 'recording' || p.stage === 'recorded') this.fleet.withdraw(p);
    else if (!this.longPoll.release(p.machine)) this.halt(p, graceMs);
  }

  private halt(p: Placement, graceMs: number): void {
    const m = this.fleet.machines.get(p.machine);
    // A silent machine would only hold a socket; its lease is running out.
    if (!m || p.session !== m.session || m.heardAt === null) return;
    if (this.clock.now() - m.heardAt > this.workers.reportMs * 2) return;
    const { task, attempt } = p;
    this.commands.add(m, { op: 'stop', job: p.job.id, task, attempt, graceMs });
  }

  graceFor(job: Job): number {
    const { spec } = job;
    return spec.checkpointMs > 0 ? spec.saveMs + this.workers.gangPeerMs : 0;
  }

  /**
   * What makes way for others saves first only if it would lose much: a machine that saves does no
   * more work than one that does a little of it again, and whoever waits for it waits longer.
   */
  graceToMakeWay(job: Job): number {
    const { checkpointMs, saveMs } = job.spec;
    const meanLossMs = checkpointMs * MEAN_LOSS_SHARE;
    return meanLossMs <= saveMs * LITTLE_LOSS_SAVES ? 0 : this.graceFor(job);
  }
}
