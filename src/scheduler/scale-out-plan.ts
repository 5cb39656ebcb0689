/** Selects the instance offers of the cloud to provision. */
import { fits, countFittingTasks, subtract } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView, InstanceOffer, ScaleOutRequest } from './scheduling-model.js';
import { isAllowedOn, type ZoneRules } from './placement-rules.js';

/** Added to an offer's cost for each machine in its zone; smaller than the differences in price. */
const COST_PER_MACHINE = 1e-3;

/** The machines that one scheduling cycle provisions. */
export class ScaleOutPlan {
  private readonly plannedMachines: { offer: InstanceOffer; view: MachineView }[] = [];
  /** Number of machines by zone, including planned ones. */
  private readonly machinesByZone = new Map<string, number>();

  constructor(
    private readonly offers: InstanceOffer[],
    machines: MachineView[],
  ) {
    for (const machine of machines) this.countMachine(machine.zone);
  }

  /** Views of the planned machines, with the capacity that the plan leaves free. */
  get machines(): MachineView[] {
    return this.plannedMachines.map(({ view }) => view);
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
  add({ spec }: JobView, count: number, rules: ZoneRules, zone: string | null): number {
    let remaining = count;
    while (remaining > 0) {
      const offer = this.cheapestOffer(spec, remaining, rules, zone);
      if (!offer) break;
      const view = plannedMachineView(offer, `planned-${this.plannedMachines.length}`);
      const tasks = Math.min(
        remaining,
        rules.remaining(offer.zone),
        countFittingTasks(spec.need, view.free),
      );
      subtract(view.free, spec.need, tasks);
      rules.add(offer.zone, tasks);
      this.plannedMachines.push({ offer, view });
      this.countMachine(offer.zone);
      remaining -= tasks;
    }
    return remaining;
  }

  /** Returns the offer with the lowest cost per task, counting the tasks that one machine holds. */
  private cheapestOffer(
    spec: JobSpec,
    count: number,
    rules: ZoneRules,
    zone: string | null,
  ): InstanceOffer | null {
    let best: { offer: InstanceOffer; cost: number } | null = null;
    for (const offer of this.offers) {
      if ((zone !== null && offer.zone !== zone) || !isSuitable(spec, offer)) continue;
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

  private countMachine(zone: string): void {
    this.machinesByZone.set(zone, (this.machinesByZone.get(zone) ?? 0) + 1);
  }

  /** Returns the scale-out requests: the number of planned machines per offer. */
  requests(): ScaleOutRequest[] {
    const counts = new Map<InstanceOffer, number>();
    for (const { offer } of this.plannedMachines) counts.set(offer, (counts.get(offer) ?? 0) + 1);
    return [...counts].map(([offer, count]) => ({
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

/** Returns the view of an empty machine of this offer. */
function plannedMachineView(offer: InstanceOffer, id: string): MachineView {
  return {
    id,
    type: offer.type,
    zone: offer.zone,
    spot: offer.spot,
    free: { ...offer.type.capacity },
    isUp: false,
    images: new Set(),
    incomingGb: 0,
    tasksByJob: new Map(),
    replicas: 0,
    idleTimeoutMs: 0,
  };
}
