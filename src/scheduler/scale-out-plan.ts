/** Chooses which of the cloud's offers to provision. */
import { fits, copiesThatFit, subtract } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView, InstanceOffer, ScaleOutRequest } from './scheduling-model.js';
import { isAllowedOn, type ZoneRules } from './placement-rules.js';

/** Added to an offer's price for each machine in its zone: less than prices differ by. */
const COST_PER_MACHINE = 1e-3;

/** The machines that one scheduling cycle provisions. */
export class ScaleOutPlan {
  private readonly plannedMachines: { offer: InstanceOffer; view: MachineView }[] = [];
  /** Machines in each zone, planned ones included. */
  private readonly machinesByZone = new Map<string, number>();

  constructor(
    private readonly offers: InstanceOffer[],
    machines: MachineView[],
  ) {
    for (const machine of machines) this.countMachine(machine.zone);
  }

  /** The planned machines as they will be when they are up. */
  get machines(): MachineView[] {
    return this.plannedMachines.map(({ view }) => view);
  }

  /** The zones with offers, one entry for each offer. */
  get zones(): string[] {
    return this.offers.map((offer) => offer.zone);
  }

  /** True if there is an offer that suits `spec` in `zone`; null: in any zone. */
  hasOfferFor(spec: JobSpec, zone: string | null): boolean {
    return this.offers.some(
      (offer) => (zone === null || offer.zone === zone) && isSuitable(spec, offer),
    );
  }

  /** Plans machines for `count` tasks; answers for how many there is no offer. */
  add({ spec }: JobView, count: number, rules: ZoneRules, zone: string | null): number {
    let remaining = count;
    while (remaining > 0) {
      const offer = this.cheapestOffer(spec, remaining, rules, zone);
      if (!offer) break;
      const view = plannedMachineView(offer, `planned-${this.plannedMachines.length}`);
      const tasks = Math.min(
        remaining,
        rules.remaining(offer.zone),
        copiesThatFit(spec.need, view.free),
      );
      subtract(view.free, spec.need, tasks);
      rules.add(offer.zone, tasks);
      this.plannedMachines.push({ offer, view });
      this.countMachine(offer.zone);
      remaining -= tasks;
    }
    return remaining;
  }

  /** The offer that costs least for each of `count` tasks, as far as one machine holds them. */
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
        copiesThatFit(spec.need, offer.type.capacity),
        rules.remaining(offer.zone),
      );
      if (maxTasks <= 0) continue;
      // Of offers at the same price the one in the emptier zone is taken.
      const machines = this.machinesInZone(offer.zone);
      const cost = offer.price / Math.min(maxTasks, count) + machines * COST_PER_MACHINE;
      if (!best || cost < best.cost) best = { offer, cost };
    }
    return best?.offer ?? null;
  }

  /** How many machines there are in a zone, planned ones included. */
  machinesInZone(zone: string): number {
    return this.machinesByZone.get(zone) ?? 0;
  }

  private countMachine(zone: string): void {
    this.machinesByZone.set(zone, (this.machinesByZone.get(zone) ?? 0) + 1);
  }

  /** The planned machines, summed by offer. */
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

/** A machine of this offer as it will be when it is up. */
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
    tasksOf: new Map(),
    replicas: 0,
    idleTimeoutMs: 0,
  };
}
