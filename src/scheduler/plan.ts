import { fits, howMany, take } from '../fleet/types.js';
import { Priority, type JobSpec } from '../jobs/job.js';
import { gather } from './gather.js';
import { inOrder, rank, withinGuarantee } from './order.js';
import type { JobView, MachineView, Offer, Plan, Rent, Snapshot, TeamView } from './model.js';
import {
  allows,
  expectImage,
  FETCH_WEIGHT,
  fetchSeconds,
  place,
  placeGang,
  ScarceTypes,
  shapeOf,
  ZoneRules,
  type Placed,
} from './placement.js';
import { Preemption } from './preemption.js';

/** How many more tasks of `spec` a team's limit allows. */
function limitRoom(team: TeamView, spec: JobSpec): number {
  const per = (need: number, limit: number, used: number): number =>
    need <= 0 || limit === Infinity ? Infinity : Math.floor((limit - used + 1e-6) / need);
  return Math.max(
    0,
    Math.min(
      per(spec.need.cpus, team.limit.cpus, team.used.cpus),
      per(spec.need.gpus, team.limit.gpus, team.used.gpus),
    ),
  );
}

/** A wait that is not worth stopping others for. */
const QUICK_S = 3;

/** One round of decisions. It changes nothing but its own snapshot. */
export function plan(snapshot: Snapshot): Plan {
  return new Round(snapshot).run();
}

interface PatientWork {
  job: JobView;
  missing: number;
  rules: ZoneRules;
}

class Round {
  private readonly up: MachineView[];
  private readonly booting: MachineView[];
  private readonly result: Plan = { starts: [], admit: null, stops: [], rents: [], spare: [] };
  private readonly needed = new Set<string>();
  private readonly rented: { offer: Offer; view: MachineView }[] = [];
  private readonly guaranteed: Set<string>;
  private readonly preemption: Preemption;
  private readonly scarce: ScarceTypes;
  /** For lists of machines: shapes of which no task fits there any more. */
  private readonly full = new Map<MachineView[], Set<string>>();
  private readonly byShape = new Map<string, MachineView[]>();
  /** Gangs that found no room, by shape and rank: the fewest tasks that did not. */
  private readonly tooLarge = new Map<string, number>();
  /** Patient work that found no room, and how many tasks of it. */
  private readonly patient: PatientWork[] = [];
  private readonly crowds = new Map<string, number>();

  constructor(private readonly s: Snapshot) {
    this.up = s.machines.filter((m) => m.up);
    this.booting = s.machines.filter((m) => !m.up);
    this.scarce = new ScarceTypes(s.jobs, s.types, this.up);
    this.guaranteed = withinGuarantee(s.jobs, s.teams);
    this.preemption = new Preemption(s.victims, this.up, s.teams, this.guaranteed);
    for (const m of s.machines) this.addToCrowd(m.zone);
  }

  run(): Plan {
    const waiting = this.s.jobs.filter((j) => j.waiting > 0 && j.admissible);
    for (const job of inOrder(waiting, this.guaranteed)) {
      const team = this.s.teams.get(job.spec.team);
      if (!team) continue;
      if (job.gang) this.gang(job, team);
      else {
        const count = Math.min(job.waiting, limitRoom(team, job.spec));
        if (count <= 0) continue;
        const rules = new ZoneRules(job.spec, job.zones);
        let missing = count - this.startHot(job, count, rules, team);
        if (missing > 0) missing -= this.start(job, missing, rules, team, this.up, job.patient);
        if (job.patient) this.patient.push({ job, missing, rules });
        else if (missing > 0) {
          this.charge(team, job.spec, missing);
          const guaranteed = this.guaranteed.has(job.id);
          const freed = this.preemption.free(job, missing, guaranteed, this.up, rules);
          this.reserve(job, missing - freed, rules);
        }
      }
    }
    this.servePatient();
    this.result.stops = this.preemption.stops;
    // Only while nothing waits: what is stopped has to start again at once.
    if (waiting.length === 0) {
      this.result.stops = gather(this.s.movable, this.up, this.s.jobs);
    }
    this.result.rents = this.rents();
    this.result.spare = this.up
      .filter((m) => !this.needed.has(m.id) && m.tasksOf.size === 0)
      .map((m) => m.id);
    return this.result;
  }

  /**
   * What is patient gets the room that nobody else took or has set aside. Machines are rented for all
   * of it that will be ready before one could boot, less what its like holds by now and leaves by then.
   */
  private servePatient(): void {
    let leaving = this.s.leavingCpus;
    const upcoming = this.s.upcoming.map((job) => {
      return { job, missing: job.waiting, rules: new ZoneRules(job.spec, job.zones) };
    });
    for (const work of this.patient) {
      const team = this.s.teams.get(work.job.spec.team);
      if (!team || work.job.gang) continue;
      work.missing -= this.start(work.job, work.missing, work.rules, team, this.up);
    }
    for (const { job, missing, rules } of [...this.patient, ...upcoming]) {
      const { cpus } = job.spec.need;
      const covered = cpus > 0 ? Math.min(missing, Math.floor(leaving / cpus)) : missing;
      leaving -= covered * cpus;
      const left = missing - covered;
      this.reserve(job, left - this.setAside(job, left, this.up, rules), rules);
    }
  }

  private charge(team: TeamView, spec: JobSpec, count: number): void {
    team.used.cpus += spec.need.cpus * count;
    team.used.gpus += spec.need.gpus * count;
  }

  /**
   * Services of high priority go where their image is, if need be in place of lesser work: a
   * replica that waits for a long fetch serves nobody.
   */
  private startHot(job: JobView, count: number, rules: ZoneRules, team: TeamView): number {
    const { spec } = job;
    if (spec.kind !== 'service' || spec.priority > Priority.High) return 0;
    const price = this.scarce.prices(spec);
    // Where a type is scarce, its image there is not worth more than a fetch elsewhere.
    const elsewhere = FETCH_WEIGHT * this.scarce.fetchSecondsOutside(spec);
    const hot = this.up.filter(
      (m) => m.images.has(spec.image) && fetchSeconds(spec, m) < QUICK_S && price(m) <= elsewhere,
    );
    if (hot.length === 0) return 0;
    const started = this.start(job, count, rules, team, hot);
    const missing = count - started;
    if (missing === 0) return started;
    const freed = this.preemption.free(job, missing, this.guaranteed.has(job.id), hot, rules);
    this.charge(team, spec, freed);
    return started + freed;
  }

  private start(
    job: JobView,
    count: number,
    rules: ZoneRules,
    team: TeamView,
    machines: MachineView[],
    onlyBesideGpus = false,
  ): number {
    const placed = this.find(job, count, rules, machines, onlyBesideGpus);
    if (placed.length === 0) return 0;
    const size = placed.reduce((n, p) => n + p.count, 0);
    this.charge(team, job.spec, size);
    this.record(job, placed);
    return size;
  }

  private record(job: JobView, placed: { machine: MachineView; count: number }[]): void {
    for (const { machine } of placed) {
      this.needed.add(machine.id);
      expectImage(job.spec, machine);
    }
    this.result.starts.push({
      job: job.id,
      on: placed.map((p) => ({ machine: p.machine.id, count: p.count })),
    });
  }

  /** The gate: whole room that is free passes at once, other room is waited for by one at a time. */
  private gang(job: JobView, team: TeamView): void {
    if (limitRoom(team, job.spec) < job.spec.tasks) return;
    const placed = this.isFull(job.spec, this.up) ? null : placeGang(job, this.up, this.scarce);
    if (placed) {
      this.charge(team, job.spec, job.spec.tasks);
      this.record(job, placed);
      return;
    }
    if (job.patient) {
      const rules = new ZoneRules(job.spec, job.zones);
      this.patient.push({ job, missing: job.spec.tasks, rules });
      return;
    }
    const holdsGate = job.gang?.holdsGate ?? false;
    const behind = !holdsGate && (this.s.gateShut || this.result.admit !== null);
    if (!this.reserveGang(job)) return;
    this.charge(team, job.spec, job.spec.tasks);
    if (!holdsGate && !behind) this.result.admit = job.id;
  }

  /**
   * Sets aside room for a whole gang: what is free, what lesser work makes when it is stopped (sooner
   * than a machine boots, and it loses little where it can be saved), what boots, what can be rented.
   *
   * A gang behind the gate is not admitted. But its room is made or rented ahead and kept from
   * smaller work, so that it passes with its whole room free: one boot after another, gangs would
   * wait for as many boots as there are gangs before them. Since every round gives what there is to
   * the first in order, two gangs cannot keep half of the machines each.
   */
  private reserveGang(job: JobView): boolean {
    const { spec } = job;
    const coming = [...this.booting, ...this.rented.map((r) => r.view)];
    const zones = spec.oneZone
      ? [...new Set([...this.s.machines, ...this.s.offers].map((m) => m.zone))]
      : [null];
    const suits = (m: MachineView): boolean =>
      allows(spec, m.type.name, m.zone, m.spot) && !job.avoid.has(m.id);
    const guaranteed = this.guaranteed.has(job.id);
    // Room only shrinks while a round goes on: where a gang found none, one of its kind that is no
    // smaller finds none either.
    const kind = `${shapeOf(spec)}|${spec.oneZone}|${rank(job.priority, guaranteed)}`;
    const usual = job.avoid.size === 0 && job.zones.size === 0;
    if (usual && spec.tasks >= (this.tooLarge.get(kind) ?? Infinity)) return false;
    let best: { zone: string | null; missing: number } | null = null;
    for (const zone of zones) {
      const inZone = (m: { zone: string }): boolean => zone === null || m.zone === zone;
      let missing = spec.tasks;
      // Room that is being made or can be made counts, so that the choice of the zone stands until
      // it is there, and so that a gang is admitted also where nothing can be rented.
      for (const m of this.suitable(spec)) {
        if (missing <= 0) break;
        if (inZone(m) && !job.avoid.has(m.id)) {
          missing -= howMany(spec.need, this.preemption.potential(job, m, guaranteed));
        }
      }
      for (const m of coming) if (inZone(m) && suits(m)) missing -= howMany(spec.need, m.free);
      missing = Math.max(0, missing);
      if (missing > 0 && !this.s.offers.some((o) => inZone(o) && this.suits(spec, o))) continue;
      if (!best || missing < best.missing) best = { zone, missing };
    }
    if (!best) {
      if (usual) this.tooLarge.set(kind, spec.tasks);
      return false;
    }
    const rules = new ZoneRules(spec, job.zones);
    const inBest = (m: MachineView): boolean => best.zone === null || m.zone === best.zone;
    const here = this.up.filter(inBest);
    let left = spec.tasks - this.setAside(job, spec.tasks, here, rules);
    if (left > 0) left -= this.preemption.free(job, left, guaranteed, here, rules);
    left -= this.setAside(job, left, coming.filter(inBest), rules);
    return this.rent(job, left, rules, best.zone) === 0;
  }

  /**
   * Room for tasks of a job. Free room only shrinks while a round goes on, so once machines have
   * none for a shape, no other job of that shape looks there again: with hundreds of jobs waiting,
   * a round would else cost more than all reports.
   */
  private find(
    job: JobView,
    count: number,
    rules: ZoneRules,
    machines: MachineView[],
    onlyBesideGpus = false,
  ): Placed[] {
    if (this.isFull(job.spec, machines)) return [];
    return place(job, count, machines, rules, this.scarce, onlyBesideGpus);
  }

  private isFull(spec: JobSpec, machines: MachineView[]): boolean {
    let full = this.full.get(machines);
    if (!full) this.full.set(machines, (full = new Set()));
    const shape = shapeOf(spec);
    if (full.has(shape)) return true;
    if (machines.some((m) => fits(spec.need, m.free))) return false;
    full.add(shape);
    return true;
  }

  /** Machines that are up and may hold a task of this shape, whatever is on them. */
  private suitable(spec: JobSpec): MachineView[] {
    const shape = shapeOf(spec);
    let machines = this.byShape.get(shape);
    if (!machines) {
      machines = this.up.filter(
        (m) => allows(spec, m.type.name, m.zone, m.spot) && fits(spec.need, m.type.room),
      );
      this.byShape.set(shape, machines);
    }
    return machines;
  }

  private setAside(job: JobView, count: number, machines: MachineView[], rules: ZoneRules): number {
    const placed = this.find(job, count, rules, machines);
    for (const { machine } of placed) this.needed.add(machine.id);
    return placed.reduce((n, p) => n + p.count, 0);
  }

  /** Room on machines that boot or will be rented, for tasks that found none. */
  private reserve(job: JobView, count: number, rules: ZoneRules): void {
    if (count <= 0) return;
    const coming = [...this.booting, ...this.rented.map((r) => r.view)];
    this.rent(job, count - this.setAside(job, count, coming, rules), rules, null);
  }

  private suits(spec: JobSpec, o: Offer): boolean {
    return allows(spec, o.type.name, o.zone, o.spot) && fits(spec.need, o.type.room);
  }

  /** Plans rentals for `count` tasks; answers how many found no offer. */
  private rent(job: JobView, count: number, rules: ZoneRules, zone: string | null): number {
    const { spec } = job;
    let left = count;
    while (left > 0) {
      let best: { offer: Offer; cost: number } | null = null;
      for (const offer of this.s.offers) {
        if ((zone !== null && offer.zone !== zone) || !this.suits(spec, offer)) continue;
        const most = Math.min(howMany(spec.need, offer.type.room), rules.room(offer.zone));
        if (most <= 0) continue;
        const cost = offer.price / Math.min(most, left) + this.crowd(offer) * 1e-3;
        if (!best || cost < best.cost) best = { offer, cost };
      }
      if (!best) break;
      const { offer } = best;
      const view: MachineView = {
        id: `rent-${this.rented.length}`,
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
      const n = Math.min(left, rules.room(offer.zone), howMany(spec.need, view.free));
      take(view.free, spec.need, n);
      rules.add(offer.zone, n);
      this.rented.push({ offer, view });
      this.addToCrowd(offer.zone);
      left -= n;
    }
    return left;
  }

  /** Between offers of one price the emptier zone is taken. */
  private crowd(offer: Offer): number {
    return this.crowds.get(offer.zone) ?? 0;
  }

  private addToCrowd(zone: string): void {
    this.crowds.set(zone, (this.crowds.get(zone) ?? 0) + 1);
  }

  private rents(): Rent[] {
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
