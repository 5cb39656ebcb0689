import { fits, copiesThatFit, subtract } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView, InstanceOffer, ScaleOutRequest } from './scheduling-model.js';
import { isAllowedOn, type ZoneRules } from './placement-rules.js';

/** What each machine in a zone adds to the cost of an offer there: less than prices differ by. */
const COST_PER_MACHINE = 1e-3;

/** Puts together what one round rents. */
export class ScaleOutPlan {
  private readonly plannedMachines: { offer: InstanceOffer; view: MachineView }[] = [];
  /** How many machines there are in each zone, with those that will be rented. */
  private readonly machinesIn = new Map<string, number>();

  constructor(
    private readonly offers: InstanceOffer[],
    machines: MachineView[],
  ) {
    for (const machine of machines) this.countMachine(machine.zone);
  }

  /** The machines that will be rented, as they will be when they are up. */
  get machines(): MachineView[] {
    return this.plannedMachines.map((plannedMachine) => plannedMachine.view);
  }

  /** The zones in which anything can be rented. */
  get zones(): string[] {
    return this.offers.map((offer) => offer.zone);
  }

  /** True if a machine that suits `spec` can be rented in `zone`; null: in any zone. */
  offersFor(spec: JobSpec, zone: string | null): boolean {
    return this.offers.some(
      (offer) => (zone === null || offer.zone === zone) && suits(spec, offer),
    );
  }

  /** Plans rentals for `count` tasks; answers how many found no offer. */
  add(job: JobView, count: number, rules: ZoneRules, zone: string | null): number {
    const { spec } = job;
    let left = count;
    while (left > 0) {
      const offer = this.cheapestOffer(spec, left, rules, zone);
      if (!offer) break;
      const view = plannedMachine(offer, `rent-${this.plannedMachines.length}`);
      const count = Math.min(
        left,
        rules.remaining(offer.zone),
        copiesThatFit(spec.need, view.free),
      );
      subtract(view.free, spec.need, count);
      rules.add(offer.zone, count);
      this.plannedMachines.push({ offer, view });
      this.countMachine(offer.zone);
      left -= count;
    }
    return left;
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
      if ((zone !== null && offer.zone !== zone) || !suits(spec, offer)) continue;
      const most = Math.min(
        copiesThatFit(spec.need, offer.type.capacity),
        rules.remaining(offer.zone),
      );
      if (most <= 0) continue;
      // Between offers of one price the emptier zone is taken.
      const machines = this.machinesInZone(offer.zone);
      const cost = offer.price / Math.min(most, count) + machines * COST_PER_MACHINE;
      if (!best || cost < best.cost) best = { offer, cost };
    }
    return best?.offer ?? null;
  }

  /** How many machines there are in a zone, with those that will be rented. */
  machinesInZone(zone: string): number {
    return this.machinesIn.get(zone) ?? 0;
  }

  private countMachine(zone: string): void {
    this.machinesIn.set(zone, (this.machinesIn.get(zone) ?? 0) + 1);
  }

  /** What is to be rented, by offer. */
  requests(): ScaleOutRequest[] {
    const sums = new Map<InstanceOffer, number>();
    for (const { offer } of this.plannedMachines) sums.set(offer, (sums.get(offer) ?? 0) + 1);
    return [...sums].map(([offer, count]) => ({
      type: offer.type.name,
      zone: offer.zone,
      spot: offer.spot,
      count,
    }));
  }
}

function suits(spec: JobSpec, offer: InstanceOffer): boolean {
  return (
    isAllowedOn(spec, offer.type.name, offer.zone, offer.spot) &&
    fits(spec.need, offer.type.capacity)
  );
}

/** A machine of this offer as it will be when it is up. */
function plannedMachine(offer: InstanceOffer, id: string): MachineView {
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
