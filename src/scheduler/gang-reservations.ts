/** Reserves capacity for whole gangs that do not fit on what is free (KEP-349). */
import { copiesThatFit } from '../fleet/resources.js';
import type { CycleContext } from './cycle-context.js';
import type { JobView, MachineView } from './scheduling-model.js';
import { rank } from './job-order.js';
import { canUse, schedulingShape, ZoneRules } from './placement-rules.js';
import type { Preemption } from './preemption.js';
import type { ScaleOutPlan } from './scale-out-plan.js';
import type { Reservations } from './reservations.js';
import type { CapacityFinder } from './capacity-finder.js';

/** Reserves capacity for whole gangs in one scheduling cycle. */
export class GangReservations {
  /** By shape and rank, the size in tasks of the smallest gang that found no capacity. */
  private readonly unplaceableSizes = new Map<string, number>();

  private readonly machines: MachineView[];
  private readonly upMachines: MachineView[];
  private readonly guaranteed: ReadonlySet<string>;
  private readonly finder: CapacityFinder;
  private readonly scaleOutPlan: ScaleOutPlan;
  private readonly reservations: Reservations;
  private readonly preemption: Preemption;

  constructor(context: CycleContext) {
    this.machines = context.snapshot.machines;
    this.upMachines = context.upMachines;
    this.guaranteed = context.guaranteed;
    this.finder = context.finder;
    this.scaleOutPlan = context.scaleOutPlan;
    this.reservations = context.reservations;
    this.preemption = context.preemption;
  }

  /**
   * Reserves capacity for a whole gang: what is free, what preemption frees (sooner than a machine
   * boots, and little is lost with checkpoints), what boots, what scale-out provisions. False: there
   * is not enough.
   *
   * A gang behind the gate (KEP-349) is not admitted. But its capacity is freed or provisioned ahead
   * and kept from smaller work, so that it passes with all of it free; else gangs would wait for as
   * many boots as there are gangs before them. Since every scheduling cycle gives what there is to
   * the first in order, two gangs cannot hold half of the machines each.
   */
  reserve(job: JobView): boolean {
    const { spec } = job;
    // Capacity only shrinks during a cycle: where a gang found too little, one of the same kind that
    // is no smaller finds too little as well.
    const kind = `${schedulingShape(spec)}|${spec.oneZone}|${rank(job.priority, this.isGuaranteed(job))}`;
    const isUnrestricted = job.avoidedMachines.size === 0 && job.tasksByZone.size === 0;
    if (isUnrestricted && spec.tasks >= (this.unplaceableSizes.get(kind) ?? Infinity)) return false;
    const best = this.bestZone(job);
    if (best) return this.reserveIn(job, best.zone);
    if (isUnrestricted) this.unplaceableSizes.set(kind, spec.tasks);
    return false;
  }

  /**
   * The zone in which the fewest tasks would need scale-out; null: there is none. Among equals the
   * one with the fewest machines: the cloud's capacity in a zone is limited, and gangs that all went
   * to one zone would use it up while other zones have plenty.
   */
  private bestZone(job: JobView): { zone: string | null } | null {
    const { spec } = job;
    const { upcomingMachines } = this.reservations;
    const zones = spec.oneZone
      ? [...new Set([...this.machines.map((machine) => machine.zone), ...this.scaleOutPlan.zones])]
      : [null];
    let best: { zone: string | null; missing: number; machines: number } | null = null;
    for (const zone of zones) {
      const missing = this.tasksWithoutCapacity(job, zone, upcomingMachines);
      if (missing > 0 && !this.scaleOutPlan.hasOfferFor(spec, zone)) continue;
      // Where nothing is missing the first zone will do: its choice has to stand until the gang starts.
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
   * How many tasks find no capacity in a zone. What preemption frees or could free counts, so that
   * the choice of the zone stands until it is free, and so that a gang is admitted also where
   * scale-out is not possible.
   */
  private tasksWithoutCapacity(
    job: JobView,
    zone: string | null,
    upcomingMachines: MachineView[],
  ): number {
    const { spec } = job;
    const guaranteed = this.isGuaranteed(job);
    let missing = spec.tasks;
    for (const machine of this.finder.suitableMachines(spec)) {
      if (missing <= 0) break;
      if (isInZone(zone, machine) && !job.avoidedMachines.has(machine.id)) {
        missing -= copiesThatFit(
          spec.need,
          this.preemption.capacityAfterPreemption(job, machine, guaranteed),
        );
      }
    }
    for (const machine of upcomingMachines) {
      if (isInZone(zone, machine) && canUse(job, machine))
        missing -= copiesThatFit(spec.need, machine.free);
    }
    return Math.max(0, missing);
  }

  private reserveIn(job: JobView, zone: string | null): boolean {
    const { spec } = job;
    const rules = new ZoneRules(spec, job.tasksByZone);
    const { upcomingMachines } = this.reservations;
    const upInZone = this.upMachines.filter((machine) => isInZone(zone, machine));
    let remaining = spec.tasks - this.reservations.reserveOn(job, spec.tasks, upInZone, rules);
    if (remaining > 0)
      remaining -= this.preemption.freeCapacity(
        job,
        remaining,
        this.isGuaranteed(job),
        upInZone,
        rules,
      );
    const upcomingInZone = upcomingMachines.filter((machine) => isInZone(zone, machine));
    remaining -= this.reservations.reserveOn(job, remaining, upcomingInZone, rules);
    return this.scaleOutPlan.add(job, remaining, rules, zone) === 0;
  }

  private isGuaranteed(job: JobView): boolean {
    return this.guaranteed.has(job.id);
  }
}

/** `zone` null stands for any. */
const isInZone = (zone: string | null, machine: MachineView): boolean =>
  zone === null || machine.zone === zone;
