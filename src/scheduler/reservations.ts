/** Reserves capacity for tasks that cannot start in this scheduling cycle. */
import type { JobView, MachineView } from './scheduling-model.js';
import { placedCount } from './placement.js';
import type { ZoneRules } from './placement-rules.js';
import type { ScaleOutPlan } from './scale-out-plan.js';
import type { CapacityFinder } from './capacity-finder.js';

/** The reservations of one scheduling cycle; scale-out covers the tasks that do not fit. */
export class Reservations {
  /** Ids of machines that start a task in this cycle or are reserved for one. */
  readonly needed = new Set<string>();

  constructor(
    private readonly finder: CapacityFinder,
    private readonly scaleOutPlan: ScaleOutPlan,
    private readonly booting: MachineView[],
  ) {}

  /** Machines that are booting or that scale-out will provision. */
  get upcomingMachines(): MachineView[] {
    return [...this.booting, ...this.scaleOutPlan.machines];
  }

  /** Reserves capacity for up to `count` tasks on these machines; returns how many tasks fit. */
  reserveOn(job: JobView, count: number, machines: MachineView[], rules: ZoneRules): number {
    const placed = this.finder.placeTasks(job, count, rules, machines);
    for (const { machine } of placed) this.needed.add(machine.id);
    return placedCount(placed);
  }

  /** Reserves capacity on upcoming machines; scale-out covers the tasks that do not fit. */
  reserveOrScaleOut(job: JobView, count: number, rules: ZoneRules): void {
    if (count <= 0) return;
    this.scaleOutPlan.add(
      job,
      count - this.reserveOn(job, count, this.upcomingMachines, rules),
      rules,
      null,
    );
  }
}
