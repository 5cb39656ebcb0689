/** Reserves capacity for tasks that cannot start in this scheduling cycle. */
import type { JobView, MachineView } from './scheduling-model.js';
import { placedCount, placeTasks } from './placement.js';
import type { PlacementSlots } from './placement-slots.js';
import type { ZoneRules } from './placement-rules.js';
import type { ScaleOutPlan } from './scale-out-plan.js';
import type { CapacityFinder } from './capacity-finder.js';
import type { ContendedTypes } from './contended-types.js';

/** The reservations of one scheduling cycle; scale-out covers the tasks that do not fit. */
export class Reservations {
  /** Ids of machines that start a task in this cycle or are reserved for one. */
  readonly needed = new Set<string>();

  constructor(
    private readonly finder: CapacityFinder,
    private readonly contended: ContendedTypes,
    private readonly scaleOutPlan: ScaleOutPlan,
    private readonly slots: PlacementSlots,
    private readonly upMachines: MachineView[],
    private readonly upcomingMachines: MachineView[],
  ) {}

  /** Reserves capacity for up to `count` tasks on machines that are up; returns how many fit. */
  reserve(job: JobView, count: number, rules: ZoneRules): number {
    const placed = this.finder.placeTasks(job, count, rules, this.upMachines);
    for (const { machine } of placed) this.needed.add(machine.id);
    return placedCount(placed);
  }

  /** Reserves capacity for up to `count` tasks on upcoming machines; returns how many fit. */
  reserveOnUpcoming(job: JobView, count: number, rules: ZoneRules): number {
    if (count <= 0) return 0;
    const placed = placeTasks(job, count, this.upcomingMachines, rules, this.contended);
    const reserved = placedCount(placed);
    this.slots.plan(reserved);
    return reserved;
  }

  /** Reserves capacity on upcoming machines; scale-out covers the tasks that do not fit. */
  reserveOrScaleOut(job: JobView, count: number, rules: ZoneRules): void {
    if (count <= 0) return;
    const reserved = this.reserveOnUpcoming(job, count, rules);
    this.scaleOut(job, count - reserved, rules);
  }

  /** Plans machines for `count` tasks; returns the number of tasks without a suitable offer. */
  scaleOut(job: JobView, count: number, rules: ZoneRules): number {
    const missing = this.scaleOutPlan.add(job, count, rules);
    this.slots.plan(count - missing);
    return missing;
  }
}
