import { Priority, type JobSpec } from '../jobs/job.js';
import { GangReservations } from './gang-reservations.js';
import { consolidate } from './consolidation.js';
import { inSchedulingOrder, withinGuarantee } from './job-order.js';
import type {
  JobView,
  MachineView,
  SchedulingPlan,
  Snapshot,
  TeamView,
} from './scheduling-model.js';
import { ContendedTypes } from './contended-types.js';
import { placeGang } from './placement.js';
import { FETCH_WEIGHT, fetchSeconds, recordImageFetch } from './placement-cost.js';
import { ZoneRules } from './placement-rules.js';
import { scaleOutHeadroom } from './headroom.js';
import { drainableMachines, holdsOnly } from './opportunistic.js';
import { Preemption } from './preemption.js';
import { ScaleOutPlan } from './scale-out-plan.js';
import { Reservations } from './reservations.js';
import { CapacityFinder } from './capacity-finder.js';

/** How many more tasks of `spec` a team's limit allows. */
function quotaHeadroom(team: TeamView, spec: JobSpec): number {
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

const isOpportunistic = (job: JobView): boolean => job.opportunisticTasks !== null;

/** A wait that is not worth stopping others for. */
const NEGLIGIBLE_FETCH_SECONDS = 3;

/** One round of decisions. It changes nothing but its own snapshot. */
export function schedule(snapshot: Snapshot): SchedulingPlan {
  return new SchedulingCycle(snapshot).run();
}

interface BackfillWork {
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
    this.rules = new ZoneRules(job.spec, job.tasksByZone);
    this.running = [...job.tasksByZone.values()].reduce((a, b) => a + b, 0);
    this.left = job.waitingTasks;
  }
}

class SchedulingCycle {
  private readonly up: MachineView[];
  private readonly quotaLimited = new Map<string, number>();
  private readonly plan: SchedulingPlan = {
    starts: [],
    admittedGang: null,
    stops: [],
    scaleOut: [],
    idleMachines: [],
    quotaLimited: this.quotaLimited,
    drainableMachines: [],
  };
  private readonly guaranteed: Set<string>;
  private readonly contended: ContendedTypes;
  private readonly finder: CapacityFinder;
  private readonly scaleOutPlan: ScaleOutPlan;
  private readonly reservations: Reservations;
  private readonly preemption: Preemption;
  private readonly gangs: GangReservations;
  /** Patient work that found no room, and how many tasks of it. */
  private readonly backfill: BackfillWork[] = [];
  /** Opportunistic jobs, those that wait and those that do not. */
  private readonly opportunistic: ReadonlySet<string>;
  /** Some opportunistic work found no room. */
  private isOpportunisticStarved = false;

  constructor(private readonly snapshot: Snapshot) {
    this.up = snapshot.machines.filter((machine) => machine.isUp);
    const booting = snapshot.machines.filter((machine) => !machine.isUp);
    this.opportunistic = new Set(snapshot.jobs.filter(isOpportunistic).map((j) => j.id));
    this.contended = new ContendedTypes(
      snapshot.jobs.filter((j) => !isOpportunistic(j)),
      snapshot.types,
      this.up,
    );
    this.guaranteed = withinGuarantee(snapshot.jobs, snapshot.teams);
    this.preemption = new Preemption(
      snapshot.preemptionCandidates,
      this.up,
      snapshot.teams,
      this.guaranteed,
    );
    this.finder = new CapacityFinder(this.up, this.contended);
    this.scaleOutPlan = new ScaleOutPlan(snapshot.offers, snapshot.machines);
    this.reservations = new Reservations(this.finder, this.scaleOutPlan, booting);
    this.gangs = new GangReservations(
      snapshot.machines,
      this.up,
      this.guaranteed,
      this.finder,
      this.scaleOutPlan,
      this.reservations,
      this.preemption,
    );
  }

  run(): SchedulingPlan {
    const waiting = this.snapshot.jobs.filter((j) => j.waitingTasks > 0 && j.isAdmissible);
    const claims = waiting.filter((j) => !isOpportunistic(j) || j.isLastResortRetry);
    for (const job of inSchedulingOrder(claims, this.guaranteed)) {
      const team = this.snapshot.teams.get(job.spec.team);
      if (!team) continue;
      if (job.isLastResortRetry) this.scheduleLastResortRetry(job, team);
      else if (job.gang) this.scheduleGang(job, team);
      else this.scheduleTasks(job, team);
    }
    this.scheduleBackfill();
    this.scheduleOpportunistic(waiting.filter((j) => isOpportunistic(j) && !j.isLastResortRetry));
    scaleOutHeadroom(this.snapshot, this.up, this.preemption, this.scaleOutPlan);
    // Moves only while nothing waits: what is stopped has to start again at once.
    this.plan.stops =
      claims.length === 0
        ? consolidate(this.snapshot.movableReplicas, this.up, this.snapshot.jobs)
        : this.preemption.stops;
    this.plan.scaleOut = this.scaleOutPlan.requests();
    const spare = this.up.filter(
      (machine) =>
        !this.reservations.needed.has(machine.id) && holdsOnly(machine, this.opportunistic),
    );
    this.plan.idleMachines = spare.map((machine) => machine.id);
    if (this.opportunistic.size > 0 && !this.isOpportunisticStarved) {
      const jobs = new Map(this.snapshot.jobs.map((j) => [j.id, j]));
      const starting = new Set(
        this.plan.starts.flatMap((snapshot) =>
          snapshot.assignments.map((assignment) => assignment.machine),
        ),
      );
      this.plan.drainableMachines = drainableMachines(
        spare.filter((machine) => !starting.has(machine.id)),
        this.up,
        this.snapshot.preemptionCandidates,
        jobs,
      );
    }
    return this.plan;
  }

  /**
   * Opportunistic work takes what nobody else took or has set aside: one task of each job that has
   * none first, or small jobs would wait for the end of large ones. What it must have to be in time is
   * rented; its room counts as spare all the same.
   */
  private scheduleOpportunistic(jobs: JobView[]): void {
    const work = inSchedulingOrder(jobs, this.guaranteed).flatMap((job) => {
      const team = this.snapshot.teams.get(job.spec.team);
      return team ? [new OpportunisticWork(job, team)] : [];
    });
    for (const w of work) if (w.running === 0) this.startOpportunistic(w, 1);
    for (const w of work) {
      if (w.job.gang) {
        if (!this.startGangIfItFits(w.job, w.team) && w.job.opportunisticTasks! > 0)
          this.scheduleGang(w.job, w.team);
        continue;
      }
      this.startOpportunistic(w, Infinity);
      const left = Math.min(w.left, quotaHeadroom(w.team, w.job.spec));
      if (left <= 0) continue;
      this.isOpportunisticStarved = true;
      const most = Math.min(left, w.job.opportunisticTasks! - w.running);
      if (most <= 0) continue;
      this.chargeQuota(w.team, w.job.spec, most);
      this.reservations.reserveOrScaleOut(w.job, most, w.rules);
    }
  }

  private startOpportunistic(work: OpportunisticWork, most: number): void {
    const count = Math.min(work.left, most, quotaHeadroom(work.team, work.job.spec));
    if (work.job.gang || count <= 0) return;
    const started = this.startTasks(work.job, count, work.rules, work.team, this.up);
    work.left -= started;
    work.running += started;
  }

  /** Starts what there is free room for, and does nothing for the rest. */
  private scheduleLastResortRetry(job: JobView, team: TeamView): void {
    if (job.gang) {
      this.startGangIfItFits(job, team);
      return;
    }
    const count = Math.min(job.waitingTasks, quotaHeadroom(team, job.spec));
    if (count > 0)
      this.startTasks(job, count, new ZoneRules(job.spec, job.tasksByZone), team, this.up);
  }

  /** Starts the tasks of an array or service that find room, and makes or rents it for the others. */
  private scheduleTasks(job: JobView, team: TeamView): void {
    const count = Math.min(job.waitingTasks, quotaHeadroom(team, job.spec));
    this.recordQuotaLimited(job.spec, job.waitingTasks - count);
    if (count <= 0) return;
    const rules = new ZoneRules(job.spec, job.tasksByZone);
    let missing = count - this.startWhereImageIsCached(job, count, rules, team);
    if (missing > 0) missing -= this.startTasks(job, missing, rules, team, this.up, job.isBackfill);
    if (job.isBackfill) {
      this.backfill.push({ job, missing, rules });
      return;
    }
    if (missing <= 0) return;
    this.chargeQuota(team, job.spec, missing);
    const guaranteed = this.guaranteed.has(job.id);
    const freed = this.preemption.makeRoom(job, missing, guaranteed, this.up, rules);
    this.reservations.reserveOrScaleOut(job, missing - freed, rules);
  }

  /**
   * What is patient gets the room that nobody else took or has set aside. Machines are rented for all
   * of it that will be ready before one could boot, less what its like holds by now and leaves by then.
   */
  private scheduleBackfill(): void {
    let leaving = this.snapshot.leavingCpus;
    const upcoming = this.snapshot.upcomingJobs.map((job) => {
      return { job, missing: job.waitingTasks, rules: new ZoneRules(job.spec, job.tasksByZone) };
    });
    for (const work of this.backfill) {
      const team = this.snapshot.teams.get(work.job.spec.team);
      if (!team || work.job.gang) continue;
      work.missing -= this.startTasks(work.job, work.missing, work.rules, team, this.up);
    }
    for (const { job, missing, rules } of [...this.backfill, ...upcoming]) {
      const { cpus } = job.spec.need;
      const covered = cpus > 0 ? Math.min(missing, Math.floor(leaving / cpus)) : missing;
      leaving -= covered * cpus;
      const left = missing - covered;
      const aside = this.reservations.reserveOn(job, left, this.up, rules);
      this.reservations.reserveOrScaleOut(job, left - aside, rules);
    }
  }

  private recordQuotaLimited(spec: JobSpec, tasks: number): void {
    if (tasks > 0)
      this.quotaLimited.set(spec.team, (this.quotaLimited.get(spec.team) ?? 0) + tasks);
  }

  private chargeQuota(team: TeamView, spec: JobSpec, count: number): void {
    team.used.cpus += spec.need.cpus * count;
    team.used.gpus += spec.need.gpus * count;
  }

  /**
   * Services of high priority go where their image is, if need be in place of lesser work: a
   * replica that waits for a long fetch serves nobody.
   */
  private startWhereImageIsCached(
    job: JobView,
    count: number,
    rules: ZoneRules,
    team: TeamView,
  ): number {
    const { spec } = job;
    if (spec.kind !== 'service' || spec.priority > Priority.High) return 0;
    const price = this.contended.prices(spec);
    // Where a type is contended, its image there is not worth more than a fetch elsewhere.
    const elsewhere = FETCH_WEIGHT * this.contended.fetchSecondsOutside(spec);
    const cached = this.up.filter(
      (machine) =>
        machine.images.has(spec.image) &&
        fetchSeconds(spec, machine) < NEGLIGIBLE_FETCH_SECONDS &&
        price(machine) <= elsewhere,
    );
    if (cached.length === 0) return 0;
    const started = this.startTasks(job, count, rules, team, cached);
    const missing = count - started;
    if (missing === 0) return started;
    const freed = this.preemption.makeRoom(
      job,
      missing,
      this.guaranteed.has(job.id),
      cached,
      rules,
    );
    this.chargeQuota(team, spec, freed);
    return started + freed;
  }

  private startTasks(
    job: JobView,
    count: number,
    rules: ZoneRules,
    team: TeamView,
    machines: MachineView[],
    onlyBesideGpus = false,
  ): number {
    const placed = this.finder.find(job, count, rules, machines, onlyBesideGpus);
    if (placed.length === 0) return 0;
    const size = placed.reduce((sum, placed) => sum + placed.count, 0);
    this.chargeQuota(team, job.spec, size);
    this.recordStart(job, placed);
    return size;
  }

  private recordStart(job: JobView, placed: { machine: MachineView; count: number }[]): void {
    for (const { machine } of placed) {
      if (!isOpportunistic(job)) this.reservations.needed.add(machine.id);
      recordImageFetch(job.spec, machine);
    }
    this.plan.starts.push({
      job: job.id,
      assignments: placed.map((p) => ({ machine: p.machine.id, count: p.count })),
    });
  }

  /** The gate: whole room that is free passes at once, other room is waited for by one at a time. */
  private scheduleGang(job: JobView, team: TeamView): void {
    if (quotaHeadroom(team, job.spec) < job.spec.tasks) {
      this.recordQuotaLimited(job.spec, job.spec.tasks);
      return;
    }
    if (this.startGangIfItFits(job, team)) return;
    if (job.isBackfill) {
      const rules = new ZoneRules(job.spec, job.tasksByZone);
      this.backfill.push({ job, missing: job.spec.tasks, rules });
      return;
    }
    const holdsGate = job.gang?.holdsGate ?? false;
    const behind = !holdsGate && (this.snapshot.isGateClosed || this.plan.admittedGang !== null);
    if (!this.gangs.reserve(job)) return;
    this.chargeQuota(team, job.spec, job.spec.tasks);
    if (!holdsGate && !behind) this.plan.admittedGang = job.id;
  }

  /** A gang whose whole room is free and held now passes at once; false if it is not. */
  private startGangIfItFits(job: JobView, team: TeamView): boolean {
    const { spec } = job;
    if (quotaHeadroom(team, spec) < spec.tasks || this.finder.isFull(spec, this.up)) return false;
    const placed = placeGang(job, this.up, this.contended);
    if (!placed) return false;
    this.chargeQuota(team, spec, spec.tasks);
    this.recordStart(job, placed);
    return true;
  }
}
