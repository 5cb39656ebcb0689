import { fits, howMany, take } from '../fleet/types.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView, Offer, Rent } from './model.js';
import { allows, type ZoneRules } from './placement.js';

/** What each machine in a zone adds to the cost of an offer there: less than prices differ by. */
const COST_PER_MACHINE = 1e-3;

/** Puts together what one round rents. */
export class RentalPlan {
  private readonly rented: { offer: Offer; view: MachineView }[] = [];
  /** How many machines there are in each zone, with those that will be rented. */
  private readonly machinesIn = new Map<string, number>();

  constructor(
    private readonly offers: Offer[],
    machines: MachineView[],
  ) {
    for (const m of machines) this.addTo(m.zone);
  }

  /** The machines that will be rented, as they will be when they are up. */
  get machines(): MachineView[] {
    return this.rented.map((r) => r.view);
  }

  /** The zones in which anything can be rented. */
  get zones(): string[] {
    return this.offers.map((o) => o.zone);
  }

  /** True if a machine that suits `spec` can be rented in `zone`; null: in any zone. */
  offersFor(spec: JobSpec, zone: string | null): boolean {
    return this.offers.some((o) => (zone === null || o.zone === zone) && suits(spec, o));
  }

  /** Plans rentals for `count` tasks; answers how many found no offer. */
  rent(job: JobView, count: number, rules: ZoneRules, zone: string | null): number {
    const { spec } = job;
    let left = count;
    while (left > 0) {
      const offer = this.cheapest(spec, left, rules, zone);
      if (!offer) break;
      const view = rentedView(offer, `rent-${this.rented.length}`);
      const n = Math.min(left, rules.room(offer.zone), howMany(spec.need, view.free));
      take(view.free, spec.need, n);
      rules.add(offer.zone, n);
      this.rented.push({ offer, view });
      this.addTo(offer.zone);
      left -= n;
    }
    return left;
  }

  /** The offer that costs least for each of `count` tasks, as far as one machine holds them. */
  private cheapest(
    spec: JobSpec,
    count: number,
    rules: ZoneRules,
    zone: string | null,
  ): Offer | null {
    let best: { offer: Offer; cost: number } | null = null;
    for (const offer of this.offers) {
      if ((zone !== null && offer.zone !== zone) || !suits(spec, offer)) continue;
      const most = Math.min(howMany(spec.need, offer.type.room), rules.room(offer.zone));
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

  private addTo(zone: string): void {
    this.machinesIn.set(zone, (this.machinesIn.get(zone) ?? 0) + 1);
  }

  /** What is to be rented, by offer. */
  rents(): Rent[] {
    const sums = new Map<Offer, number>();
    for (const { offer } of this.rented) sums.set(offer, (sums.get(offer) ?? 0) + 1);
    return [...sums].map(([offer, count]) => ({
      type: offer.type.name,
      zone: offer.zone,
      spot: offer.spot,
      count,
    }));
  }
}

function suits(spec: JobSpec, o: Offer): boolean {
  return allows(spec, o.type.name, o.zone, o.spot) && fits(spec.need, o.type.room);
}

/** A machine of this offer as it will be when it is up. */
function rentedView(offer: Offer, id: string): MachineView {
  return {
    id,
    type: offer.type,
    zone: offer.zone,
    spot: offer.spot,
    free: { ...offer.type.room },
    up: false,
    images: new Set(),
    incomingGb: 0,
    tasksOf: new Map(),
    replicas: 0,
    keepMs: 0,
  };
}
