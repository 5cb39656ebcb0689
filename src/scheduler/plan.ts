import { Priority, type JobSpec } from '../jobs/job.js';
import { GangReservations } from './gang-reservations.js';
import { consolidate } from './consolidation.js';
import { inOrder, withinGuarantee } from './order.js';
import type { JobView, MachineView, Plan, Snapshot, TeamView } from './model.js';
import {
  expectImage,
  FETCH_WEIGHT,
  fetchSeconds,
  placeGang,
  ContendedTypes,
  ZoneRules,
} from './placement.js';
import { rentHeadroom } from './headroom.js';
import { clearable, holdsOnly } from './opportunistic.js';
import { Preemption } from './preemption.js';
import { RentalPlan } from './rental-plan.js';
import { Reservations } from './reservations.js';
import { RoomFinder } from './room-finder.js';

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

const isOpportunistic = (job: JobView): boolean => job.opportunistic !== null;

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

/** An opportunistic job while a round serves it. */
class OpportunisticWork {
  readonly rules: ZoneRules;
  /** Its tasks that are on machines or start, and those that wait. */
  running: number;
  left: number;

  constructor(
    readonly job: JobView,
    readonly team: TeamView,
  ) {
    this.rules = new ZoneRules(job.spec, job.zones);
    this.running = [...job.zones.values()].reduce((a, b) => a + b, 0);
    this.left = job.waiting;
  }
}

class Round {
  private readonly up: MachineView[];
  private readonly heldBack = new Map<string, number>();
  private readonly result: Plan = {
    starts: [],
    admit: null,
    stops: [],
    rents: [],
    spare: [],
    heldBack: this.heldBack,
    clearable: [],
  };
  private readonly guaranteed: Set<string>;
  private readonly contended: ContendedTypes;
  private readonly finder: RoomFinder;
  private readonly rentals: RentalPlan;
  private readonly reservations: Reservations;
  private readonly preemption: Preemption;
  private readonly gangs: GangReservations;
  /** Patient work that found no room, and how many tasks of it. */
  private readonly patient: PatientWork[] = [];
  /** Opportunistic jobs, those that wait and those that do not. */
  private readonly opportunistic: ReadonlySet<string>;
  /** Some opportunistic work found no room. */
  private starved = false;

  constructor(private readonly s: Snapshot) {
    this.up = s.machines.filter((m) => m.up);
    const booting = s.machines.filter((m) => !m.up);
    this.opportunistic = new Set(s.jobs.filter(isOpportunistic).map((j) => j.id));
    this.contended = new ContendedTypes(
      s.jobs.filter((j) => !isOpportunistic(j)),
      s.types,
      this.up,
    );
    this.guaranteed = withinGuarantee(s.jobs, s.teams);
    this.preemption = new Preemption(s.victims, this.up, s.teams, this.guaranteed);
    this.finder = new RoomFinder(this.up, this.contended);
    this.rentals = new RentalPlan(s.offers, s.machines);
    this.reservations = new Reservations(this.finder, this.rentals, booting);
    this.gangs = new GangReservations(
      s.machines,
      this.up,
      this.guaranteed,
      this.finder,
      this.rentals,
      this.reservations,
      this.preemption,
    );
  }

  run(): Plan {
    const waiting = this.s.jobs.filter((j) => j.waiting > 0 && j.admissible);
    const claims = waiting.filter((j) => !isOpportunistic(j) || j.onTrial);
    for (const job of inOrder(claims, this.guaranteed)) {
      const team = this.s.teams.get(job.spec.team);
      if (!team) continue;
      if (job.onTrial) this.tryOut(job, team);
      else if (job.gang) this.gang(job, team);
      else this.tasks(job, team);
    }
    this.servePatient();
    this.serveOpportunistic(waiting.filter((j) => isOpportunistic(j) && !j.onTrial));
    rentHeadroom(this.s, this.up, this.preemption, this.rentals);
    // Moves only while nothing waits: what is stopped has to start again at once.
    this.result.stops =
      claims.length === 0
        ? consolidate(this.s.movable, this.up, this.s.jobs)
        : this.preemption.stops;
    this.result.rents = this.rentals.rents();
    const spare = this.up.filter(
      (m) => !this.reservations.needed.has(m.id) && holdsOnly(m, this.opportunistic),
    );
    this.result.spare = spare.map((m) => m.id);
    if (this.opportunistic.size > 0 && !this.starved) {
      const jobs = new Map(this.s.jobs.map((j) => [j.id, j]));
      const starting = new Set(this.result.starts.flatMap((s) => s.on.map((o) => o.machine)));
      this.result.clearable = clearable(
        spare.filter((m) => !starting.has(m.id)),
        this.up,
        this.s.victims,
        jobs,
      );
    }
    return this.result;
  }

  /**
   * Opportunistic work takes what nobody else took or has set aside: one task of each job that has
   * none first, or small jobs would wait for the end of large ones. What it must have to be in time is
   * rented; its room counts as spare all the same.
   */
  private serveOpportunistic(jobs: JobView[]): void {
    const work = inOrder(jobs, this.guaranteed).flatMap((job) => {
      const team = this.s.teams.get(job.spec.team);
      return team ? [new OpportunisticWork(job, team)] : [];
    });
    for (const w of work) if (w.running === 0) this.startSome(w, 1);
    for (const w of work) {
      if (w.job.gang) {
        if (!this.passWhole(w.job, w.team) && w.job.opportunistic! > 0) this.gang(w.job, w.team);
        continue;
      }
      this.startSome(w, Infinity);
      const left = Math.min(w.left, limitRoom(w.team, w.job.spec));
      if (left <= 0) continue;
      this.starved = true;
      const most = Math.min(left, w.job.opportunistic! - w.running);
      if (most <= 0) continue;
      this.charge(w.team, w.job.spec, most);
      this.reservations.reserve(w.job, most, w.rules);
    }
  }

  private startSome(w: OpportunisticWork, most: number): void {
    const count = Math.min(w.left, most, limitRoom(w.team, w.job.spec));
    if (w.job.gang || count <= 0) return;
    const started = this.start(w.job, count, w.rules, w.team, this.up);
    w.left -= started;
    w.running += started;
  }

  /** Starts what there is free room for, and does nothing for the rest. */
  private tryOut(job: JobView, team: TeamView): void {
    if (job.gang) {
      this.passWhole(job, team);
      return;
    }
    const count = Math.min(job.waiting, limitRoom(team, job.spec));
    if (count > 0) this.start(job, count, new ZoneRules(job.spec, job.zones), team, this.up);
  }

  /** Starts the tasks of an array or service that find room, and makes or rents it for the others. */
  private tasks(job: JobView, team: TeamView): void {
    const count = Math.min(job.waiting, limitRoom(team, job.spec));
    this.holdBack(job.spec, job.waiting - count);
    if (count <= 0) return;
    const rules = new ZoneRules(job.spec, job.zones);
    let missing = count - this.startHot(job, count, rules, team);
    if (missing > 0) missing -= this.start(job, missing, rules, team, this.up, job.patient);
    if (job.patient) {
      this.patient.push({ job, missing, rules });
      return;
    }
    if (missing <= 0) return;
    this.charge(team, job.spec, missing);
    const guaranteed = this.guaranteed.has(job.id);
    const freed = this.preemption.free(job, missing, guaranteed, this.up, rules);
    this.reservations.reserve(job, missing - freed, rules);
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
      const aside = this.reservations.setAside(job, left, this.up, rules);
      this.reservations.reserve(job, left - aside, rules);
    }
  }

  private holdBack(spec: JobSpec, tasks: number): void {
    if (tasks > 0) this.heldBack.set(spec.team, (this.heldBack.get(spec.team) ?? 0) + tasks);
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
    const price = this.contended.prices(spec);
    // Where a type is contended, its image there is not worth more than a fetch elsewhere.
    const elsewhere = FETCH_WEIGHT * this.contended.fetchSecondsOutside(spec);
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
    const placed = this.finder.find(job, count, rules, machines, onlyBesideGpus);
    if (placed.length === 0) return 0;
    const size = placed.reduce((n, p) => n + p.count, 0);
    this.charge(team, job.spec, size);
    this.record(job, placed);
    return size;
  }

  private record(job: JobView, placed: { machine: MachineView; count: number }[]): void {
    for (const { machine } of placed) {
      if (!isOpportunistic(job)) this.reservations.needed.add(machine.id);
      expectImage(job.spec, machine);
    }
    this.result.starts.push({
      job: job.id,
      on: placed.map((p) => ({ machine: p.machine.id, count: p.count })),
    });
  }

  /** The gate: whole room that is free passes at once, other room is waited for by one at a time. */
  private gang(job: JobView, team: TeamView): void {
    if (limitRoom(team, job.spec) < job.spec.tasks) {
      this.holdBack(job.spec, job.spec.tasks);
      return;
    }
    if (this.passWhole(job, team)) return;
    if (job.patient) {
      const rules = new ZoneRules(job.spec, job.zones);
      this.patient.push({ job, missing: job.spec.tasks, rules });
      return;
    }
    const holdsGate = job.gang?.holdsGate ?? false;
    const behind = !holdsGate && (this.s.gateShut || this.result.admit !== null);
    if (!this.gangs.reserve(job)) return;
    this.charge(team, job.spec, job.spec.tasks);
    if (!holdsGate && !behind) this.result.admit = job.id;
  }

  /** A gang whose whole room is free and held now passes at once; false if it is not. */
  private passWhole(job: JobView, team: TeamView): boolean {
    const { spec } = job;
    if (limitRoom(team, spec) < spec.tasks || this.finder.isFull(spec, this.up)) return false;
    const placed = placeGang(job, this.up, this.contended);
    if (!placed) return false;
    this.charge(team, spec, spec.tasks);
    this.record(job, placed);
    return true;
  }
}
