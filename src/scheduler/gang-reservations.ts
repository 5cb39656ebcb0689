import { copiesThatFit } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './scheduling-model.js';
import { rank } from './job-order.js';
import { isAllowedOn, schedulingShape, ZoneRules } from './placement-rules.js';
import type { Preemption } from './preemption.js';
import type { ScaleOutPlan } from './scale-out-plan.js';
import type { Reservations } from './reservations.js';
import type { CapacityFinder } from './capacity-finder.js';

/** Sets aside room for whole gangs that do not find it free. */
export class GangReservations {
  /** Gangs that found no room, by shape and rank: the fewest tasks that did not. */
  private readonly tooLarge = new Map<string, number>();

  constructor(
    private readonly machines: MachineView[],
    private readonly up: MachineView[],
    private readonly guaranteed: ReadonlySet<string>,
    private readonly finder: CapacityFinder,
    private readonly scaleOutPlan: ScaleOutPlan,
    private readonly reservations: Reservations,
    private readonly preemption: Preemption,
  ) {}

  /**
   * Sets aside room for a whole gang: what is free, what lesser work makes when it is stopped (sooner
   * than a machine boots, and it loses little where it can be saved), what boots, what can be rented.
   *
   * A gang behind the gate is not admitted. But its room is made or rented ahead and kept from
   * smaller work, so that it passes with its whole room free: one boot after another, gangs would
   * wait for as many boots as there are gangs before them. Since every round gives what there is to
   * the first in order, two gangs cannot keep half of the machines each.
   */
  reserve(job: JobView): boolean {
    const { spec } = job;
    // Room only shrinks while a round goes on: where a gang found none, one of its kind that is no
    // smaller finds none either.
    const kind = `${schedulingShape(spec)}|${spec.oneZone}|${rank(job.priority, this.isGuaranteed(job))}`;
    const usual = job.avoidedMachines.size === 0 && job.tasksByZone.size === 0;
    if (usual && spec.tasks >= (this.tooLarge.get(kind) ?? Infinity)) return false;
    const best = this.bestZone(job);
    if (best) return this.reserveIn(job, best.zone);
    if (usual) this.tooLarge.set(kind, spec.tasks);
    return false;
  }

  /**
   * The zone in which the fewest tasks would need a machine to be rented; null: there is none. Among
   * equals the one with the fewest machines: what the cloud has to give in a zone is limited, and
   * gangs that all went to one zone would use it up while other zones have plenty.
   */
  private bestZone(job: JobView): { zone: string | null } | null {
    const { spec } = job;
    const { coming } = this.reservations;
    const zones = spec.oneZone
      ? [...new Set([...this.machines.map((machine) => machine.zone), ...this.scaleOutPlan.zones])]
      : [null];
    let best: { zone: string | null; missing: number; machines: number } | null = null;
    for (const zone of zones) {
      const missing = this.missingIn(job, zone, coming);
      if (missing > 0 && !this.scaleOutPlan.offersFor(spec, zone)) continue;
      // Where nothing is missing the first will do: its choice has to stand until the gang starts.
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
   * How many tasks find no room in a zone. Room that is being made or can be made counts, so that the
   * choice of the zone stands until it is there, and so that a gang is admitted also where nothing
   * can be rented.
   */
  private missingIn(job: JobView, zone: string | null, coming: MachineView[]): number {
    const { spec } = job;
    const guaranteed = this.isGuaranteed(job);
    let missing = spec.tasks;
    for (const machine of this.finder.suitable(spec)) {
      if (missing <= 0) break;
      if (isIn(zone, machine) && !job.avoidedMachines.has(machine.id)) {
        missing -= copiesThatFit(
          spec.need,
          this.preemption.capacityAfterPreemption(job, machine, guaranteed),
        );
      }
    }
    for (const machine of coming) {
      if (isIn(zone, machine) && suits(job, spec, machine))
        missing -= copiesThatFit(spec.need, machine.free);
    }
    return Math.max(0, missing);
  }

  private reserveIn(job: JobView, zone: string | null): boolean {
    const { spec } = job;
    const rules = new ZoneRules(spec, job.tasksByZone);
    const { coming } = this.reservations;
    const here = this.up.filter((machine) => isIn(zone, machine));
    let left = spec.tasks - this.reservations.reserveOn(job, spec.tasks, here, rules);
    if (left > 0) left -= this.preemption.makeRoom(job, left, this.isGuaranteed(job), here, rules);
    const comingHere = coming.filter((machine) => isIn(zone, machine));
    left -= this.reservations.reserveOn(job, left, comingHere, rules);
    return this.scaleOutPlan.add(job, left, rules, zone) === 0;
  }

  private isGuaranteed(job: JobView): boolean {
    return this.guaranteed.has(job.id);
  }
}

/** `zone` null stands for any. */
const isIn = (zone: string | null, machine: MachineView): boolean =>
  zone === null || machine.zone === zone;

const suits = (job: JobView, spec: JobSpec, machine: MachineView): boolean =>
  isAllowedOn(spec, machine.type.name, machine.zone, machine.spot) &&
  !job.avoidedMachines.has(machine.id);
