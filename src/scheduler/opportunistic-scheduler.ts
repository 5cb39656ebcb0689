/** Starts opportunistic jobs on capacity that no other job has taken or reserved. */
import { isOpportunistic, type CycleContext } from './cycle-context.js';
import { inSchedulingOrder } from './job-order.js';
import { drainableMachines, holdsOnlyTasksOf } from './opportunistic-drain.js';
import { ZoneRules } from './placement-rules.js';
import type { JobView, MachineView, TeamView } from './scheduling-model.js';
import type { TaskStarter } from './task-starter.js';
import { addTasks, quotaHeadroom } from './team-capacity.js';

/** An opportunistic job during a scheduling cycle. */
class OpportunisticWork {
  readonly rules: ZoneRules;
  /** Number of tasks that must run concurrently for the job to meet its due time. */
  readonly requiredConcurrency: number;
  /** Number of tasks that are on machines or starting. */
  running: number;
  /** Number of waiting tasks. */
  waiting: number;

  constructor(
    readonly job: JobView,
    readonly team: TeamView,
  ) {
    this.rules = new ZoneRules(job.spec, job.tasksByZone);
    this.requiredConcurrency = job.opportunisticConcurrency ?? 0;
    this.running = [...job.tasksByZone.values()].reduce((a, b) => a + b, 0);
    this.waiting = job.waitingTasks;
  }
}

/**
 * Schedules opportunistic jobs after all others, and finds the machines that are idle apart from
 * opportunistic tasks.
 */
export class OpportunisticScheduler {
  /** Ids of all opportunistic jobs, with or without waiting tasks. */
  private readonly opportunisticJobs: ReadonlySet<string>;
  /** True once an opportunistic task found no capacity. */
  private isStarved = false;

  constructor(
    private readonly context: CycleContext,
    private readonly starter: TaskStarter,
    private readonly scheduleGang: (job: JobView, team: TeamView) => void,
  ) {
    this.opportunisticJobs = new Set(
      context.snapshot.jobs.filter(isOpportunistic).map((job) => job.id),
    );
  }

  /**
   * Starts opportunistic tasks. Jobs without running tasks get one task each first; otherwise small
   * jobs would wait until large ones finish. Requests scale-out only for the tasks that must run
   * concurrently for a job to be in time. Machines that hold only opportunistic tasks still count
   * as idle.
   */
  schedule(waiting: JobView[]): void {
    const { snapshot, guaranteed } = this.context;
    const work = inSchedulingOrder(waiting, guaranteed).flatMap((job) => {
      const team = snapshot.teams.get(job.spec.team);
      return team ? [new OpportunisticWork(job, team)] : [];
    });
    for (const item of work) if (item.running === 0) this.start(item, 1);
    for (const item of work) {
      if (item.job.gang) this.scheduleWholeGang(item);
      else this.scheduleTasks(item);
    }
  }

  /** Returns machines with no tasks but opportunistic ones that no other job needs. */
  idleMachines(): MachineView[] {
    const { upMachines, reservations } = this.context;
    return upMachines.filter(
      (machine) =>
        !reservations.needed.has(machine.id) && holdsOnlyTasksOf(machine, this.opportunisticJobs),
    );
  }

  /** Returns the idle machines whose opportunistic tasks fit elsewhere, emptiest first. */
  drainableMachines(idle: MachineView[]): string[] {
    if (this.opportunisticJobs.size === 0 || this.isStarved) return [];
    const { snapshot, upMachines } = this.context;
    const jobs = new Map(snapshot.jobs.map((job) => [job.id, job]));
    const starting = new Set(
      this.starter.starts.flatMap(({ assignments }) => assignments.map(({ machine }) => machine)),
    );
    return drainableMachines(
      idle.filter((machine) => !starting.has(machine.id)),
      upMachines,
      snapshot.preemptionCandidates,
      jobs,
    );
  }

  private scheduleWholeGang({ job, team, requiredConcurrency }: OpportunisticWork): void {
    if (!this.starter.startGangIfItFits(job, team) && requiredConcurrency > 0)
      this.scheduleGang(job, team);
  }

  private scheduleTasks(work: OpportunisticWork): void {
    const { job, team, rules } = work;
    this.start(work, Infinity);
    const waiting = Math.min(work.waiting, quotaHeadroom(team, job.spec));
    if (waiting <= 0) return;
    this.isStarved = true;
    const { reservations, slots } = this.context;
    const required = work.requiredConcurrency - work.running;
    const missing = slots.plannable(job, Math.min(waiting, required));
    if (missing <= 0) return;
    addTasks(team.used, job.spec, missing);
    reservations.reserveOrScaleOut(job, missing, rules);
  }

  private start(work: OpportunisticWork, maxTasks: number): void {
    const { job, team, rules } = work;
    const count = Math.min(work.waiting, maxTasks, quotaHeadroom(team, job.spec));
    if (job.gang || count <= 0) return;
    const started = this.starter.startTasks(job, count, rules, team, this.context.upMachines);
    work.waiting -= started;
    work.running += started;
  }
}
