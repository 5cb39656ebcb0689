/** A scheduling cycle: decides on starts, preemption, reservations and scale-out for a snapshot. */
import { Priority, type JobSpec } from '../jobs/job.js';
import { BackfillScheduler } from './backfill.js';
import { consolidate } from './consolidation.js';
import { createCycleContext, isOpportunistic, type CycleContext } from './cycle-context.js';
import { GangScheduler } from './gang-scheduler.js';
import { scaleOutHeadroom } from './headroom.js';
import { inSchedulingOrder } from './job-order.js';
import { OpportunisticScheduler } from './opportunistic-scheduler.js';
import { FETCH_WEIGHT, fetchSeconds } from './placement-cost.js';
import { ZoneRules } from './placement-rules.js';
import type { JobView, SchedulingPlan, Snapshot, TeamView } from './scheduling-model.js';
import { TaskStarter } from './task-starter.js';
import { addTasks, quotaHeadroom } from './team-capacity.js';

/**
 * An image that a machine is already fetching counts as cached there if tasks would wait for less
 * than this, because avoiding so short a wait is not worth preempting other tasks.
 */
const NEGLIGIBLE_FETCH_SECONDS = 3;

/** Runs one scheduling cycle. It modifies only the snapshot. */
export function schedule(snapshot: Snapshot): SchedulingPlan {
  return new SchedulingCycle(createCycleContext(snapshot)).run();
}

class SchedulingCycle {
  private readonly quotaLimited = new Map<string, number>();
  private readonly starter: TaskStarter;
  private readonly backfill: BackfillScheduler;
  private readonly gangs: GangScheduler;
  private readonly opportunistic: OpportunisticScheduler;

  constructor(private readonly context: CycleContext) {
    this.starter = new TaskStarter(context);
    this.backfill = new BackfillScheduler(context, this.starter);
    this.gangs = new GangScheduler(context, this.starter, this.backfill);
    this.opportunistic = new OpportunisticScheduler(context, this.starter, (job, team) =>
      this.scheduleGang(job, team),
    );
  }

  run(): SchedulingPlan {
    const { snapshot, upMachines, guaranteed, preemption, scaleOutPlan } = this.context;
    const waiting = snapshot.jobs.filter((job) => job.waitingTasks > 0 && job.isAdmissible);
    const regularJobs = waiting.filter((job) => !isOpportunistic(job) || job.isLastResortRetry);
    for (const job of inSchedulingOrder(regularJobs, guaranteed)) {
      const team = snapshot.teams.get(job.spec.team);
      if (team) this.scheduleJob(job, team);
    }
    this.backfill.schedule();
    this.opportunistic.schedule(
      waiting.filter((job) => isOpportunistic(job) && !job.isLastResortRetry),
    );
    scaleOutHeadroom(this.context);
    const idle = this.opportunistic.idleMachines();
    return {
      starts: this.starter.starts,
      admittedGang: this.gangs.admittedGang,
      // Consolidates only while no job waits (apart from opportunistic ones, which are scheduled
      // last), so that stopped replicas restart immediately.
      stops:
        regularJobs.length === 0
          ? consolidate(snapshot.movableReplicas, upMachines, snapshot.jobs)
          : preemption.stops,
      scaleOut: scaleOutPlan.requests(),
      idleMachines: idle.map((machine) => machine.id),
      drainableMachines: this.opportunistic.drainableMachines(idle),
      quotaLimited: this.quotaLimited,
    };
  }

  private scheduleJob(job: JobView, team: TeamView): void {
    if (job.isLastResortRetry) this.scheduleLastResortRetry(job, team);
    else if (job.gang) this.scheduleGang(job, team);
    else this.scheduleTasks(job, team);
  }

  /** Starts the tasks that fit on free capacity; neither preempts, reserves nor scales out. */
  private scheduleLastResortRetry(job: JobView, team: TeamView): void {
    if (job.gang) {
      this.starter.startGangIfItFits(job, team);
      return;
    }
    const count = Math.min(job.waitingTasks, quotaHeadroom(team, job.spec));
    if (count <= 0) return;
    const rules = new ZoneRules(job.spec, job.tasksByZone);
    this.starter.startTasks(job, count, rules, team, this.context.upMachines);
  }

  private scheduleGang(job: JobView, team: TeamView): void {
    if (this.gangs.isQuotaLimited(job, team)) this.recordQuotaLimited(job.spec, job.spec.tasks);
    else this.gangs.schedule(job, team);
  }

  /** Starts the tasks of an array or service that fit; preempts or scales out for the rest. */
  private scheduleTasks(job: JobView, team: TeamView): void {
    const { upMachines, guaranteed, preemption, reservations, slots } = this.context;
    const count = Math.min(job.waitingTasks, quotaHeadroom(team, job.spec));
    this.recordQuotaLimited(job.spec, job.waitingTasks - count);
    if (count <= 0) return;
    const rules = new ZoneRules(job.spec, job.tasksByZone);
    let missing = count - this.startWhereImageIsCached(job, count, rules, team);
    if (missing > 0)
      missing -= this.starter.startTasks(job, missing, rules, team, upMachines, job.isBackfill);
    if (job.isBackfill) {
      this.backfill.defer(job, missing, rules);
      return;
    }
    missing = Math.min(missing, slots.obtainable(job, missing));
    if (missing <= 0) return;
    addTasks(team.used, job.spec, missing);
    const freed = preemption.freeCapacity(job, missing, guaranteed.has(job.id), upMachines, rules);
    reservations.reserveOrScaleOut(job, missing - freed, rules);
  }

  /**
   * Places replicas of high-priority services on machines that have their image cached, if
   * necessary by preempting other tasks, because a replica cannot serve requests during a long
   * image fetch. Returns the number of replicas that start now or for which capacity is being freed.
   */
  private startWhereImageIsCached(
    job: JobView,
    count: number,
    rules: ZoneRules,
    team: TeamView,
  ): number {
    const { spec } = job;
    if (spec.kind !== 'service' || spec.priority > Priority.High) return 0;
    const { contended, guaranteed, preemption, upMachines } = this.context;
    const penalty = contended.penaltySeconds(spec);
    // A cached image on a contended type is worth at most the cost of the fetch on another type.
    const maxPenalty = FETCH_WEIGHT * contended.minFetchSecondsOnUncontended(spec);
    const withCachedImage = upMachines.filter(
      (machine) =>
        machine.images.has(spec.image) &&
        fetchSeconds(spec, machine) < NEGLIGIBLE_FETCH_SECONDS &&
        penalty(machine) <= maxPenalty,
    );
    if (withCachedImage.length === 0) return 0;
    const started = this.starter.startTasks(job, count, rules, team, withCachedImage);
    const missing = count - started;
    if (missing === 0) return started;
    const freed = preemption.freeCapacity(
      job,
      missing,
      guaranteed.has(job.id),
      withCachedImage,
      rules,
    );
    addTasks(team.used, spec, freed);
    return started + freed;
  }

  private recordQuotaLimited({ team }: JobSpec, tasks: number): void {
    if (tasks > 0) this.quotaLimited.set(team, (this.quotaLimited.get(team) ?? 0) + tasks);
  }
}
