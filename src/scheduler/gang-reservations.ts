/** Reserves capacity for whole gangs that do not fit on free capacity (KEP-349). */
import { countFittingTasks } from '../fleet/resources.js';
import type { CycleContext } from './cycle-context.js';
import type { JobView, MachineView } from './scheduling-model.js';
import { rank } from './job-order.js';
import { countFittingOn } from './machine-view.js';
import { canUse, schedulingShape, ZoneRules } from './placement-rules.js';
import type { Preemption } from './preemption.js';
import type { ScaleOutPlan } from './scale-out-plan.js';
import type { Reservations } from './reservations.js';
import type { CapacityFinder } from './capacity-finder.js';

/** Reserves capacity for whole gangs in one scheduling cycle. */
export class GangReservations {
  /** Task count of the smallest gang that found no capacity, by shape, `oneZone` and rank. */
  private readonly unplaceableSizes = new Map<string, number>();

  private readonly machines: MachineView[];
  private readonly upMachines: MachineView[];
  private readonly upcomingMachines: MachineView[];
  private readonly guaranteed: ReadonlySet<string>;
  private readonly finder: CapacityFinder;
  private readonly scaleOutPlan: ScaleOutPlan;
  private readonly reservations: Reservations;
  private readonly preemption: Preemption;

  constructor(context: CycleContext) {
    this.machines = context.snapshot.machines;
    this.upMachines = context.upMachines;
    this.upcomingMachines = context.upcomingMachines;
    this.guaranteed = context.guaranteed;
    this.finder = context.finder;
    this.scaleOutPlan = context.scaleOutPlan;
    this.reservations = context.reservations;
    this.preemption = context.preemption;
  }

  /**
   * Reserves capacity for a whole gang, in this order: free capacity, capacity freed by preemption
   * (faster than a machine boot, and checkpoints keep the loss small), booting machines, scale-out.
   * Returns false if there is not enough.
   *
   * A gang that waits for the admission gate (KEP-349) also reserves: its capacity is freed or
   * provisioned in advance and withheld from smaller jobs, so that it can start as soon as it is
   * admitted. Otherwise a gang would wait for one machine boot per gang before it. Every scheduling
   * cycle reserves in scheduling order, so two gangs cannot block each other with half of the
   * machines each.
   */
  reserve(job: JobView): boolean {
    const { spec } = job;
    // Capacity only shrinks during a cycle: if a gang found too little, a gang of the same kind and
    // at least the same size cannot fit either.
    const kind = `${schedulingShape(spec)}|${spec.oneZone}|${rank(job.priority, this.isGuaranteed(job))}`;
    const isUnrestricted = job.avoidedMachines.size === 0 && job.tasksByZone.size === 0;
    if (isUnrestricted && spec.tasks >= (this.unplaceableSizes.get(kind) ?? Infinity)) return false;
    const best = this.bestZone(job);
    if (best) return this.reserveIn(job, best.zone);
    if (isUnrestricted) this.unplaceableSizes.set(kind, spec.tasks);
    return false;
  }

  /**
   * Returns the zone in which the fewest tasks would need scale-out, or null if no zone can hold
   * the gang. Ties go to the zone with the fewest machines: the cloud's capacity per zone is
   * limited, and sending all gangs to one zone would exhaust it while other zones have capacity
   * left.
   */
  private bestZone(job: JobView): { zone: string | null } | null {
    const { spec } = job;
    const zones = spec.oneZone
      ? [...new Set([...this.machines.map((machine) => machine.zone), ...this.scaleOutPlan.zones])]
      : [null];
    let best: { zone: string | null; missing: number; machines: number } | null = null;
    for (const zone of zones) {
      const missing = this.tasksWithoutCapacity(job, zone);
      if (missing > 0 && !this.scaleOutPlan.hasOfferFor(spec, zone)) continue;
      // Ties without missing capacity go to the first zone: the choice must not change between
      // cycles until the gang starts.
      const machines = missing > 0 && zone !== null ? this.scaleOutPlan.machinesInZone(zone) : 0;
      const better =
        best === null ||
        missing < best.missing ||
        (missing === best.missing && machines < best.machines);
      if (better) best = { zone, missing, machines };
    }
    return best;
  }

  /**
   * Returns how many tasks find no capacity in a zone. Capacity that preemption is freeing or could
   * free counts as available, so that the choice of zone stays the same until it is free, and so
   * that a gang can be admitted where scale-out is not possible.
   */
  private tasksWithoutCapacity(job: JobView, zone: string | null): number {
    const { spec } = job;
    const guaranteed = this.isGuaranteed(job);
    let missing = spec.tasks;
    for (const machine of this.finder.suitableMachines(spec)) {
      if (missing <= 0) break;
      if (isInZone(zone, machine) && !job.avoidedMachines.has(machine.id)) {
        missing -= countFittingTasks(
          spec.need,
          this.preemption.capacityAfterPreemption(job, machine, guaranteed),
        );
      }
    }
    for (const machine of this.upcomingMachines) {
      if (isInZone(zone, machine) && canUse(job, machine))
        missing -= countFittingOn(spec.need, machine);
    }
    return Math.max(0, missing);
  }

  private reserveIn(job: JobView, zone: string | null): boolean {
    const { spec } = job;
    const rules = new ZoneRules(spec, job.tasksByZone, zone);
    const reserved = this.reservations.reserve(job, spec.tasks, rules);
    this.preemption.claimSlots(job, reserved);
    let remaining = spec.tasks - reserved;
    if (remaining > 0)
      remaining -= this.preemption.freeCapacity(
        job,
        remaining,
        this.isGuaranteed(job),
        this.upMachines,
        rules,
      );
    remaining -= this.reservations.reserveOnUpcoming(job, remaining, rules);
    return this.reservations.scaleOut(job, remaining, rules) === 0;
  }

  private isGuaranteed(job: JobView): boolean {
    return this.guaranteed.has(job.id);
  }
}

/** True if the machine is in `zone`; null matches any zone. */
const isInZone = (zone: string | null, machine: MachineView): boolean =>
  zone === null || machine.zone === zone;
