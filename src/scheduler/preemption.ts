/**
 * Preemption: frees capacity by stopping tasks of lower priority or, for a job within its team's
 * guarantee, tasks of teams that use more than theirs.
 */
import { fits, copiesThatFit, subtract, type Resources } from '../fleet/resources.js';
import { outranks, rank } from './job-order.js';
import { canUse, schedulingShape, type ZoneRules } from './placement-rules.js';
import type {
  JobView,
  MachineView,
  PreemptionCandidate,
  TaskId,
  TeamCapacity,
  TeamView,
} from './scheduling-model.js';
import { addTasks, CAPACITY_TOLERANCE } from './team-capacity.js';

/** The tasks to preempt on a machine to free capacity for one task. */
interface PreemptionChoice {
  machine: MachineView;
  candidates: PreemptionCandidate[];
  /** Work lost in machine milliseconds, and one more for each task. */
  loss: number;
}

/**
 * The preemptions of one scheduling cycle. The cheapest loss goes first. Capacity that is already
 * being freed is counted before more is preempted.
 */
export class Preemption {
  readonly stops: TaskId[] = [];
  /** What may be preempted on each machine; the least important first, then the cheapest loss. */
  private readonly candidatesByMachine = new Map<string, PreemptionCandidate[]>();
  private readonly preempted = new Set<PreemptionCandidate>();
  private readonly stoppingByTeam = new Map<string, TeamCapacity>();
  /** Capacity that stopping tasks will free on each machine, beyond what is free there. */
  private readonly stoppingByMachine = new Map<string, Resources>();
  /** By shape, how many stops there were when preemption last found too little. */
  private readonly exhaustedShapes = new Map<string, number>();
  /** The least important priority among the candidates. */
  private lowestPriority = -Infinity;

  constructor(
    candidates: PreemptionCandidate[],
    private readonly upMachines: MachineView[],
    private readonly teams: ReadonlyMap<string, TeamView>,
    private readonly guaranteed: ReadonlySet<string>,
  ) {
    for (const machine of upMachines)
      this.stoppingByMachine.set(machine.id, { cpus: 0, gpus: 0, memoryGb: 0 });
    for (const candidate of candidates) this.addCandidate(candidate);
    for (const list of this.candidatesByMachine.values()) {
      list.sort((a, b) => b.priority - a.priority || a.lostWorkMs - b.lostWorkMs);
    }
  }

  /** What is free there if all work of lower priority that comes after this job is preempted. */
  capacityAfterPreemption(job: JobView, machine: MachineView, isGuaranteed: boolean): Resources {
    const capacity = this.capacityAfterStops(machine);
    const ownRank = rank(job.priority, isGuaranteed);
    for (const candidate of this.candidatesByMachine.get(machine.id) ?? []) {
      if (this.preempted.has(candidate)) continue;
      if (outranks(job.priority, candidate.priority) && this.rankOf(candidate) > ownRank)
        subtract(capacity, candidate.spec.need, -1);
    }
    return capacity;
  }

  /**
   * Frees capacity for up to `count` tasks and claims it; answers for how many. Only where the job's
   * zones let them start: in a zone that already holds its share, the capacity would stay unused,
   * cycle after cycle, while the job waits for it.
   */
  freeCapacity(
    job: JobView,
    count: number,
    isGuaranteed: boolean,
    machines: MachineView[],
    rules: ZoneRules,
  ): number {
    // Only preemption adds capacity within a cycle: what was in vain once stays so until the next.
    const shape = schedulingShape(job.spec);
    const key = `${shape}|${job.priority}|${isGuaranteed ? job.spec.team : ''}`;
    const isUnrestricted = machines === this.upMachines && this.hasNoPlacementLimits(job);
    if (isUnrestricted && this.exhaustedShapes.get(key) === this.stops.length) return 0;
    const allowed = machines.filter((machine) => canUse(job, machine));
    let found = this.claimStopping(job, count, allowed, rules);
    if (found < count) found += this.preempt(job, count - found, isGuaranteed, allowed, rules);
    if (isUnrestricted && found < count) this.exhaustedShapes.set(key, this.stops.length);
    return found;
  }

  private addCandidate(candidate: PreemptionCandidate): void {
    if (candidate.isStopping) {
      const stopping = this.stoppingByMachine.get(candidate.machine);
      if (stopping) subtract(stopping, candidate.spec.need, -1);
      return;
    }
    if (candidate.isGangMember) return;
    const list = this.candidatesByMachine.get(candidate.machine);
    if (list) list.push(candidate);
    else this.candidatesByMachine.set(candidate.machine, [candidate]);
    this.lowestPriority = Math.max(this.lowestPriority, candidate.priority);
  }

  private hasNoPlacementLimits({ spec, avoidedMachines }: JobView): boolean {
    return avoidedMachines.size === 0 && !spec.spread && !spec.oneZone;
  }

  private rankOf(candidate: PreemptionCandidate): number {
    return rank(candidate.priority, this.guaranteed.has(candidate.job));
  }

  private stoppingOn(machine: MachineView): Resources {
    const stopping = this.stoppingByMachine.get(machine.id);
    if (!stopping) throw new Error(`preemption on machine ${machine.id}, which is not up`);
    return stopping;
  }

  /** What is free there once all tasks that are told to stop have left. */
  private capacityAfterStops(machine: MachineView): Resources {
    const stopping = this.stoppingOn(machine);
    return {
      cpus: machine.free.cpus + stopping.cpus,
      gpus: machine.free.gpus + stopping.gpus,
      memoryGb: machine.free.memoryGb + stopping.memoryGb,
    };
  }

  /** Claims what is free or being freed already; answers for how many tasks. */
  private claimStopping(
    job: JobView,
    count: number,
    machines: MachineView[],
    rules: ZoneRules,
  ): number {
    const { need } = job.spec;
    let found = 0;
    for (const machine of machines) {
      if (found === count) break;
      const maxTasks = Math.min(count - found, rules.remaining(machine.zone));
      if (maxTasks <= 0) continue;
      const tasks = Math.min(maxTasks, copiesThatFit(need, this.capacityAfterStops(machine)));
      if (tasks <= 0) continue;
      subtract(machine.free, need, tasks);
      rules.add(machine.zone, tasks);
      found += tasks;
    }
    return found;
  }

  private preempt(
    job: JobView,
    count: number,
    isGuaranteed: boolean,
    machines: MachineView[],
    rules: ZoneRules,
  ): number {
    // Where nothing less important runs, only a guarantee entitles to what others hold.
    if (!isGuaranteed && !outranks(job.priority, this.lowestPriority)) return 0;
    let choices = this.choicesOn(job, isGuaranteed, machines, rules);
    let found = 0;
    while (found < count && choices.length > 0) {
      const best = choices.reduce((a, b) => (b.loss < a.loss ? b : a));
      if (rules.remaining(best.machine.zone) <= 0) {
        choices = choices.filter((choice) => choice.machine.zone !== best.machine.zone);
        continue;
      }
      // An earlier stop may have brought a team down to its guarantee: the choice is made anew.
      const current = this.cheapestChoice(job, best.machine, isGuaranteed);
      if (current && current.loss <= best.loss) {
        this.applyChoice(job, current);
        rules.add(best.machine.zone);
        found++;
      }
      const next = this.cheapestChoice(job, best.machine, isGuaranteed);
      choices.splice(choices.indexOf(best), 1);
      if (next) choices.push(next);
    }
    return found;
  }

  /** The cheapest choice on each machine in a zone that may hold more of the job. */
  private choicesOn(
    job: JobView,
    isGuaranteed: boolean,
    machines: MachineView[],
    rules: ZoneRules,
  ): PreemptionChoice[] {
    const choices: PreemptionChoice[] = [];
    for (const machine of machines) {
      if (!this.candidatesByMachine.has(machine.id)) continue;
      if (rules.remaining(machine.zone) <= 0) continue;
      const choice = this.cheapestChoice(job, machine, isGuaranteed);
      if (choice) choices.push(choice);
    }
    return choices;
  }

  private applyChoice(job: JobView, { machine, candidates }: PreemptionChoice): void {
    const stopping = this.stoppingOn(machine);
    for (const candidate of candidates) {
      this.preempted.add(candidate);
      this.stops.push({ job: candidate.job, task: candidate.task });
      subtract(stopping, candidate.spec.need, -1);
      addTasks(this.stoppingOfTeam(candidate.spec.team), candidate.spec, 1);
    }
    // Claimed now, also where some is free already: smaller work must not slip into it.
    subtract(machine.free, job.spec.need, 1);
  }

  private isOverGuarantee(name: string): boolean {
    const team = this.teams.get(name);
    if (!team) return false;
    const { guarantee, used } = team;
    const stopping = this.stoppingOfTeam(name);
    return (
      used.gpus - stopping.gpus > guarantee.gpus + CAPACITY_TOLERANCE ||
      (guarantee.cpus > 0 && used.cpus - stopping.cpus > guarantee.cpus + CAPACITY_TOLERANCE)
    );
  }

  /**
   * What is being stopped of a team. It is kept apart from what the team uses: until it is proven
   * gone it counts against the team's limit, and no other task may take its share.
   */
  private stoppingOfTeam(name: string): TeamCapacity {
    let sum = this.stoppingByTeam.get(name);
    if (!sum) {
      sum = { cpus: 0, gpus: 0 };
      this.stoppingByTeam.set(name, sum);
    }
    return sum;
  }

  private cheapestChoice(
    job: JobView,
    machine: MachineView,
    isGuaranteed: boolean,
  ): PreemptionChoice | null {
    const { need } = job.spec;
    const capacity = this.capacityAfterStops(machine);
    const candidates: PreemptionCandidate[] = [];
    let loss = 0;
    for (const candidate of this.candidatesByMachine.get(machine.id) ?? []) {
      if (candidates.length > 0 && fits(need, capacity)) break;
      if (this.preempted.has(candidate)) continue;
      if (neitherUsesGpus(job, candidate, machine)) continue;
      if (!this.mayPreempt(job, isGuaranteed, candidate)) continue;
      candidates.push(candidate);
      loss += candidate.lostWorkMs + 1;
      subtract(capacity, candidate.spec.need, -1);
    }
    return candidates.length > 0 && fits(need, capacity) ? { machine, candidates, loss } : null;
  }

  private mayPreempt(job: JobView, isGuaranteed: boolean, candidate: PreemptionCandidate): boolean {
    // What precedes this job in the scheduling order would take the capacity back in the next cycle,
    // and be preempted again in the one after.
    if (this.rankOf(candidate) <= rank(job.priority, isGuaranteed)) return false;
    if (outranks(job.priority, candidate.priority)) return true;
    const { team } = candidate.spec;
    return isGuaranteed && team !== job.spec.team && this.isOverGuarantee(team);
  }
}

/**
 * True if both use only what work with GPUs leaves on the machine. Preemption would gain nothing: the
 * one would run again only once the other has ended, and such work frees capacity within seconds.
 */
function neitherUsesGpus(
  job: JobView,
  candidate: PreemptionCandidate,
  machine: MachineView,
): boolean {
  return (
    machine.type.capacity.gpus > 0 && job.spec.need.gpus === 0 && candidate.spec.need.gpus === 0
  );
}
