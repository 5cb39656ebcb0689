/** Starts tasks on free capacity and charges them to their team's quota. */
import { isOpportunistic, type CycleContext } from './cycle-context.js';
import { placedCount, placeGang, type Placed } from './placement.js';
import { recordImageFetch } from './placement-cost.js';
import type { ZoneRules } from './placement-rules.js';
import type { JobView, MachineView, TaskStarts, TeamView } from './scheduling-model.js';
import { addTasks, quotaHeadroom } from './team-capacity.js';

/** The starts of one scheduling cycle. */
export class TaskStarter {
  readonly starts: TaskStarts[] = [];

  constructor(private readonly context: CycleContext) {}

  /** Starts up to `count` tasks; returns how many found capacity. */
  startTasks(
    job: JobView,
    count: number,
    rules: ZoneRules,
    team: TeamView,
    machines: MachineView[],
    keepGpuShare = false,
  ): number {
    const { finder, slots } = this.context;
    const maxTasks = slots.startable(job, count);
    if (maxTasks <= 0) return 0;
    const placed = finder.placeTasks(job, maxTasks, rules, machines, keepGpuShare);
    if (placed.length === 0) return 0;
    const started = placedCount(placed);
    addTasks(team.used, job.spec, started);
    this.recordStart(job, placed);
    return started;
  }

  /** Starts a gang if all its tasks fit on free capacity; returns whether it was started. */
  startGangIfItFits(job: JobView, team: TeamView): boolean {
    const { spec } = job;
    const { finder, slots, upMachines, contended } = this.context;
    if (slots.startable(job, spec.tasks) < spec.tasks) return false;
    if (quotaHeadroom(team, spec) < spec.tasks || finder.isFull(spec, upMachines)) return false;
    const placed = placeGang(job, upMachines, contended);
    if (!placed) return false;
    addTasks(team.used, spec, spec.tasks);
    this.recordStart(job, placed);
    return true;
  }

  private recordStart(job: JobView, placed: Placed[]): void {
    this.context.slots.start(job, placedCount(placed));
    for (const { machine } of placed) {
      if (!isOpportunistic(job)) this.context.reservations.needed.add(machine.id);
      recordImageFetch(job.spec, machine);
    }
    this.starts.push({
      job: job.id,
      assignments: placed.map(({ machine, count }) => ({ machine: machine.id, count })),
    });
  }
}
