/** Gang scheduling with the all-or-nothing admission gate of KEP-349. */
import type { BackfillScheduler } from './backfill.js';
import type { CycleContext } from './cycle-context.js';
import { GangReservations } from './gang-reservations.js';
import { ZoneRules } from './placement-rules.js';
import type { JobView, TeamView } from './scheduling-model.js';
import type { TaskStarter } from './task-starter.js';
import { addTasks, quotaHeadroom } from './team-capacity.js';

/** Schedules all tasks of a gang together or none of them. */
export class GangScheduler {
  /** Id of the gang that this cycle admits to wait for capacity; at most one per cycle. */
  admittedGang: string | null = null;
  private readonly reservations: GangReservations;

  constructor(
    private readonly context: CycleContext,
    private readonly starter: TaskStarter,
    private readonly backfill: BackfillScheduler,
  ) {
    this.reservations = new GangReservations(context);
  }

  /**
   * Starts a gang that fits on free capacity. Otherwise reserves capacity for it, and admits it to
   * wait for that capacity if no other gang is admitted (KEP-349).
   */
  schedule(job: JobView, team: TeamView): void {
    const { spec } = job;
    if (this.starter.startGangIfItFits(job, team)) return;
    if (job.isBackfill) {
      this.backfill.defer(job, spec.tasks, new ZoneRules(spec, job.tasksByZone));
      return;
    }
    if (!this.hasSlotsSoon(job) || !this.reservations.reserve(job)) return;
    addTasks(team.used, spec, spec.tasks);
    const isGateTaken = this.context.snapshot.isGateClosed || this.admittedGang !== null;
    if (!job.gang?.holdsGate && !isGateTaken) this.admittedGang = job.id;
  }

  /**
   * Whether the gang gets its slots once stopping and preemptible tasks have exited. Otherwise the free
   * slots are kept for it, unless even all of them would not be enough beside the replicas.
   */
  private hasSlotsSoon(job: JobView): boolean {
    const { slots } = this.context;
    const { tasks } = job.spec;
    if (slots.obtainable(job, tasks) === tasks) return true;
    if (slots.canEverHold(tasks)) slots.accumulate();
    return false;
  }

  /** True if the gang does not fit within its team's limit. */
  isQuotaLimited({ spec }: JobView, team: TeamView): boolean {
    return quotaHeadroom(team, spec) < spec.tasks;
  }
}
