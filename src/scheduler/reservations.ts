import type { JobView, MachineView } from './scheduling-model.js';
import { placedCount } from './placement.js';
import type { ZoneRules } from './placement-rules.js';
import type { ScaleOutPlan } from './scale-out-plan.js';
import type { CapacityFinder } from './capacity-finder.js';

/** Keeps room for tasks that cannot start in this round, and rents what is missing. */
export class Reservations {
  /** Machines that start a task in this round or are kept for one. */
  readonly needed = new Set<string>();

  constructor(
    private readonly finder: CapacityFinder,
    private readonly scaleOutPlan: ScaleOutPlan,
    private readonly booting: MachineView[],
  ) {}

  /** Machines that boot or will be rented. */
  get coming(): MachineView[] {
    return [...this.booting, ...this.scaleOutPlan.machines];
  }

  /** Takes the room of up to `count` tasks on these machines; answers of how many. */
  reserveOn(job: JobView, count: number, machines: MachineView[], rules: ZoneRules): number {
    const placed = this.finder.find(job, count, rules, machines);
    for (const { machine } of placed) this.needed.add(machine.id);
    return placedCount(placed);
  }

  /** Room on machines that boot or will be rented, for tasks that found none. */
  reserveOrScaleOut(job: JobView, count: number, rules: ZoneRules): void {
    if (count <= 0) return;
    this.scaleOutPlan.add(job, count - this.reserveOn(job, count, this.coming, rules), rules, null);
  }
}
