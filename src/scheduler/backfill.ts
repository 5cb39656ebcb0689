/** Backfill: work without GPUs that fills gaps and can wait for other backfill to end. */
import type { CycleContext } from './cycle-context.js';
import { ZoneRules } from './placement-rules.js';
import type { JobView } from './scheduling-model.js';
import type { TaskStarter } from './task-starter.js';

interface DeferredJob {
  job: JobView;
  /** Tasks that found no capacity. */
  missing: number;
  rules: ZoneRules;
}

/** Schedules backfill after all work that cannot wait. */
export class BackfillScheduler {
  private readonly deferredJobs: DeferredJob[] = [];

  constructor(
    private readonly context: CycleContext,
    private readonly starter: TaskStarter,
  ) {}

  /** Keeps `missing` tasks of a job for `schedule`. */
  defer(job: JobView, missing: number, rules: ZoneRules): void {
    this.deferredJobs.push({ job, missing, rules });
  }

  /**
   * Starts deferred tasks on capacity that nothing else took or reserved. Scale-out covers all that
   * will be ready before a machine could boot, less what running backfill will have freed by then.
   */
  schedule(): void {
    this.startDeferred();
    const { snapshot, reservations, upMachines } = this.context;
    let { leavingCpus } = snapshot;
    const upcoming = snapshot.upcomingJobs.map((job) => ({
      job,
      missing: job.waitingTasks,
      rules: new ZoneRules(job.spec, job.tasksByZone),
    }));
    for (const { job, missing, rules } of [...this.deferredJobs, ...upcoming]) {
      const { cpus } = job.spec.need;
      const waitsForRunning =
        cpus > 0 ? Math.min(missing, Math.floor(leavingCpus / cpus)) : missing;
      leavingCpus -= waitsForRunning * cpus;
      const uncovered = missing - waitsForRunning;
      const reserved = reservations.reserveOn(job, uncovered, upMachines, rules);
      reservations.reserveOrScaleOut(job, uncovered - reserved, rules);
    }
  }

  private startDeferred(): void {
    const { snapshot, upMachines } = this.context;
    for (const deferred of this.deferredJobs) {
      const { job, missing, rules } = deferred;
      const team = snapshot.teams.get(job.spec.team);
      if (!team || job.gang) continue;
      deferred.missing -= this.starter.startTasks(job, missing, rules, team, upMachines);
    }
  }
}
