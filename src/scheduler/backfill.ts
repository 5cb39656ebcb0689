/**
 * Backfill: CPU-only jobs that run on capacity that other jobs leave unused, and that can wait for
 * running backfill tasks to finish.
 */
import type { CycleContext } from './cycle-context.js';
import { ZoneRules } from './placement-rules.js';
import type { JobView } from './scheduling-model.js';
import type { TaskStarter } from './task-starter.js';

/** A backfill job whose remaining tasks are placed after all other jobs. */
interface DeferredJob {
  job: JobView;
  /** Number of tasks that have not been placed yet. */
  missing: number;
  rules: ZoneRules;
}

/** Schedules backfill jobs after all jobs that cannot wait. */
export class BackfillScheduler {
  private readonly deferredJobs: DeferredJob[] = [];

  constructor(
    private readonly context: CycleContext,
    private readonly starter: TaskStarter,
  ) {}

  /** Queues `missing` tasks of a job until `schedule` runs. */
  defer(job: JobView, missing: number, rules: ZoneRules): void {
    this.deferredJobs.push({ job, missing, rules });
  }

  /**
   * Starts deferred tasks on capacity that no other job has taken or reserved. Requests scale-out
   * for the remaining deferred tasks and for the jobs that become ready before a new machine could
   * boot, minus the tasks that fit on the CPUs that running CPU-only tasks free by then.
   */
  schedule(): void {
    this.startDeferred();
    const { snapshot, reservations, slots } = this.context;
    let { cpusFreedSoon } = snapshot;
    const upcoming = snapshot.upcomingJobs.map((job) => ({
      job,
      missing: job.waitingTasks,
      rules: new ZoneRules(job.spec, job.tasksByZone),
    }));
    for (const { job, missing, rules } of [...this.deferredJobs, ...upcoming]) {
      const { cpus } = job.spec.need;
      const waitsForRunning =
        cpus > 0 ? Math.min(missing, Math.floor(cpusFreedSoon / cpus)) : missing;
      cpusFreedSoon -= waitsForRunning * cpus;
      const uncovered = slots.plannable(job, missing - waitsForRunning);
      const reserved = reservations.reserve(job, uncovered, rules);
      slots.plan(reserved);
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
