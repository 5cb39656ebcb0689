/** Selects the instance offers of the cloud to provision. */
import { fits, countFittingTasks, subtract } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import { provisionedMachines } from './machine-view.js';
import type { JobView, MachineView, InstanceOffer, ScaleOutRequest } from './scheduling-model.js';
import { isAllowedOn, type ZoneRules } from './placement-rules.js';

/** Added to an offer's cost for each machine in its zone; smaller than the differences in price. */
const COST_PER_MACHINE = 1e-3;

/**
 * Share of the machines that a job still needs which is planned from one offer before the offers are
 * compared again. The comparisons grow with the logarithm of the machines, and the last ones, one
 * machine each, level the zones.
 */
const STEP_RATIO = 1 / 64;

/** Machines of one offer that a job fills alike, planned in one or several steps. */
interface PlannedMachines {
  view: MachineView;
  tasksEach: number;
}

/**
 * The machines that one scheduling cycle provisions. Its size depends on the number of jobs, not on
 * that of their tasks: identical machines share a view.
 */
export class ScaleOutPlan {
  /** Number of planned machines by offer. */
  private readonly planned = new Map<InstanceOffer, number>();
  /** Number of machines by zone, including planned ones. */
  private readonly machinesByZone = new Map<string, number>();

  /**
   * @param machines the machines of the snapshot
   * @param upcomingMachines receives views of the planned machines, with the capacity that the plan
   *   leaves free
   */
  constructor(
    private readonly offers: InstanceOffer[],
    machines: MachineView[],
    private readonly upcomingMachines: MachineView[],
  ) {
    for (const { zone, count } of machines) this.countMachines(zone, count);
  }

  /** Zones of the offers, one entry per offer. */
  get zones(): string[] {
    return this.offers.map((offer) => offer.zone);
  }

  /** True if an offer in `zone` suits `spec`; a null zone matches any. */
  hasOfferFor(spec: JobSpec, zone: string | null): boolean {
    return this.offers.some(
      (offer) => (zone === null || offer.zone === zone) && isSuitable(spec, offer),
    );
  }

  /** Plans machines for `count` tasks; returns the number of tasks without a suitable offer. */
  add({ spec }: JobView, count: number, rules: ZoneRules): number {
    const plannedByOffer = new Map<InstanceOffer, PlannedMachines>();
    let remaining = count;
    while (remaining > 0) {
      const offer = this.cheapestOffer(spec, remaining, rules);
      if (!offer) break;
      const maxTasks = Math.min(remaining, rules.remaining(offer.zone));
      const tasksEach = Math.min(maxTasks, countFittingTasks(spec.need, offer.type.capacity));
      const machines = Math.max(1, Math.floor((maxTasks / tasksEach) * STEP_RATIO));
      const previous = plannedByOffer.get(offer);
      if (previous?.tasksEach === tasksEach) previous.view.count += machines;
      else plannedByOffer.set(offer, this.plan(offer, machines, spec, tasksEach));
      this.planned.set(offer, (this.planned.get(offer) ?? 0) + machines);
      this.countMachines(offer.zone, machines);
      rules.add(offer.zone, tasksEach * machines);
      remaining -= tasksEach * machines;
    }
    return remaining;
  }

  /** Adds a view of machines of an offer to the upcoming machines, each with `tasksEach` tasks. */
  private plan(
    offer: InstanceOffer,
    machines: number,
    { need }: JobSpec,
    tasksEach: number,
  ): PlannedMachines {
    const view = provisionedMachines(offer, machines, 'planned', 0);
    subtract(view.free, need, tasksEach);
    this.upcomingMachines.push(view);
    return { view, tasksEach };
  }

  /** Returns the offer with the lowest cost per task, counting the tasks that one machine holds. */
  private cheapestOffer(spec: JobSpec, count: number, rules: ZoneRules): InstanceOffer | null {
    let best: { offer: InstanceOffer; cost: number } | null = null;
    for (const offer of this.offers) {
      if (!isSuitable(spec, offer)) continue;
      const maxTasks = Math.min(
        countFittingTasks(spec.need, offer.type.capacity),
        rules.remaining(offer.zone),
      );
      if (maxTasks <= 0) continue;
      // Among offers at the same price, the zone with fewer machines wins.
      const machines = this.machinesInZone(offer.zone);
      const cost = offer.price / Math.min(maxTasks, count) + machines * COST_PER_MACHINE;
      if (!best || cost < best.cost) best = { offer, cost };
    }
    return best?.offer ?? null;
  }

  /** Returns the number of machines in a zone, including planned ones. */
  machinesInZone(zone: string): number {
    return this.machinesByZone.get(zone) ?? 0;
  }

  private countMachines(zone: string, count: number): void {
    this.machinesByZone.set(zone, (this.machinesByZone.get(zone) ?? 0) + count);
  }

  /** Returns the scale-out requests: the number of planned machines per offer. */
  requests(): ScaleOutRequest[] {
    return [...this.planned].map(([offer, count]) => ({
      type: offer.type.name,
      zone: offer.zone,
      spot: offer.spot,
      count,
    }));
  }
}

function isSuitable(spec: JobSpec, offer: InstanceOffer): boolean {
  return (
    isAllowedOn(spec, offer.type.name, offer.zone, offer.spot) &&
    fits(spec.need, offer.type.capacity)
  );
}
