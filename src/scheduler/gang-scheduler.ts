/** Gang admission: the all-or-nothing gate of KEP-349. */
import type { BackfillScheduler } from './backfill.js';
import type { CycleContext } from './cycle-context.js';
import { GangReservations } from './gang-reservations.js';
import { ZoneRules } from './placement-rules.js';
import type { JobView, TeamView } from './scheduling-model.js';
import type { TaskStarter } from './task-starter.js';
import { addTasks, quotaHeadroom } from './team-capacity.js';

/** Schedules gangs whole or not at all. */
export class GangScheduler {
  /** The gang that passes the gate in this cycle to wait for capacity; one at most. */
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
   * Starts a gang that fits on free capacity. Any other reserves capacity, and is admitted to wait
   * for it if no other gang is (KEP-349).
   */
  schedule(job: JobView, team: TeamView): void {
    const { spec } = job;
    if (this.starter.startGangIfItFits(job, team)) return;
    if (job.isBackfill) {
      this.backfill.defer(job, spec.tasks, new ZoneRules(spec, job.tasksByZone));
      return;
    }
    if (!this.reservations.reserve(job)) return;
    addTasks(team.used, spec, spec.tasks);
    const isGateTaken = this.context.snapshot.isGateClosed || this.admittedGang !== null;
    if (!job.gang?.holdsGate && !isGateTaken) this.admittedGang = job.id;
  }

  /** True if the team's limit holds the gang back. */
  isQuotaLimited({ spec }: JobView, team: TeamView): boolean {
    return quotaHeadroom(team, spec) < spec.tasks;
  }
}
