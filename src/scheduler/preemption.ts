/**
 * Preemption: frees capacity by stopping tasks of lower priority or, for a job within its team's
 * guarantee, tasks of teams that exceed their own guarantee.
 */
import { fits, countFittingTasks, subtract, type Resources } from '../fleet/resources.js';
import { outranks, rank } from './job-order.js';
import { canUse, schedulingShape, type ZoneRules } from './placement-rules.js';
import TinyQueue from 'tinyqueue';
import type { PlacementSlots } from './placement-slots.js';
import { PreemptionChoices, type PreemptionChoice } from './preemption-choices.js';
import type {
  JobView,
  MachineView,
  PreemptibleJob,
  PreemptionCandidate,
  Snapshot,
  TaskId,
  TeamCapacity,
} from './scheduling-model.js';
import { addTasks, CAPACITY_TOLERANCE } from './team-capacity.js';

/** A candidate and its place among those of its machine, which are in the order of preemption. */
interface CandidatePosition {
  candidate: PreemptionCandidate;
  candidates: readonly PreemptionCandidate[];
  position: number;
}

/**
 * The preemptions of one scheduling cycle. Tasks whose loss is smallest are preempted first.
 * Capacity that is already being freed is used before more tasks are preempted.
 */
export class Preemption {
  readonly stops: TaskId[] = [];
  /** Preemptible tasks by machine: lowest priority first, then smallest loss. */
  private readonly candidatesByMachine = new Map<string, PreemptionCandidate[]>();
  private readonly preempted = new Set<PreemptionCandidate>();
  private readonly stoppingByTeam = new Map<string, TeamCapacity>();
  /** Capacity that stopping tasks will free on each machine, in addition to its free capacity. */
  private readonly stoppingByMachine = new Map<string, Resources>();
  /**
   * Number of stops when preemption last found too little capacity, by shape, priority and team.
   */
  private readonly exhaustedShapes = new Map<string, number>();
  /** Numbers of tasks that could be preempted for slots, by priority and guaranteed team. */
  private readonly preemptibleCounts = new Map<string, { count: number; stops: number }>();
  /** The services and gangs on machines, once they were asked for. */
  private sortedJobs: PreemptibleJob[] | null = null;
  /** The lowest priority (highest number) among the candidates. */
  private lowestPriority = -Infinity;

  constructor(
    private readonly snapshot: Pick<Snapshot, 'preemptionCandidates' | 'preemptibleJobs' | 'teams'>,
    private readonly upMachines: MachineView[],
    private readonly guaranteed: ReadonlySet<string>,
    private readonly slots: PlacementSlots,
  ) {
    for (const machine of upMachines)
      this.stoppingByMachine.set(machine.id, { cpus: 0, gpus: 0, memoryGb: 0 });
    for (const candidate of snapshot.preemptionCandidates) this.addCandidate(candidate);
    for (const list of this.candidatesByMachine.values()) {
      list.sort(byPreemptionOrder);
    }
  }

  /**
   * Returns the free capacity of a machine after all stopping tasks have exited and all tasks of
   * lower priority that come after this job in the scheduling order have been preempted.
   */
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
   * Frees and claims capacity for up to `count` tasks; returns the number of tasks covered.
   * Considers only zones whose rules allow more tasks of the job: capacity freed in a zone that
   * already holds its share would stay unused in every cycle while the job waits for it.
   */
  freeCapacity(
    job: JobView,
    count: number,
    isGuaranteed: boolean,
    machines: MachineView[],
    rules: ZoneRules,
  ): number {
    // Only preemption adds capacity within a cycle, so an attempt that found too little is not
    // repeated until there are new stops.
    const shape = schedulingShape(job.spec);
    const key = `${shape}|${job.priority}|${isGuaranteed ? job.spec.team : ''}`;
    const isUnrestricted = machines === this.upMachines && this.hasNoPlacementLimits(job);
    if (isUnrestricted && this.exhaustedShapes.get(key) === this.stops.length) return 0;
    const allowed = machines.filter((machine) => canUse(job, machine));
    const withSlot = this.slots.obtainable(job, count);
    let found = this.claimStopping(job, withSlot, allowed, rules);
    this.claimSlots(job, found);
    if (found < count) found += this.preempt(job, count - found, isGuaranteed, allowed, rules);
    // Another job of this shape may hold fewer slots.
    const hadSlots = withSlot === count;
    if (isUnrestricted && hadSlots && found < count)
      this.exhaustedShapes.set(key, this.stops.length);
    return found;
  }

  /**
   * Claims slots for `count` tasks that have capacity. Where too few are free or being freed, stops the
   * tasks whose loss is smallest, on any machine; then replicas and whole gangs.
   */
  claimSlots(job: JobView, count: number): void {
    const shortage = this.slots.shortage(count);
    if (shortage > 0) {
      const stopped = this.preemptForSlots(job, shortage);
      if (stopped < shortage) this.preemptJobsForSlots(job, shortage - stopped);
    }
    this.slots.claim(job, count);
  }

  /** Counts the tasks that could be preempted for the slots of a job, on any machine. */
  countPreemptible(job: JobView): number {
    const isGuaranteed = this.guaranteed.has(job.id);
    const key = `${job.priority}|${isGuaranteed ? job.spec.team : ''}`;
    const known = this.preemptibleCounts.get(key);
    const stops = this.preempted.size;
    if (known) return Math.max(0, known.count - (stops - known.stops));
    const isCounted = (candidate: PreemptionCandidate): boolean =>
      this.mayPreemptForSlot(job, candidate);
    const lowestPriority = Math.max(this.lowestPriority, lowestPriorityOf(this.preemptibleJobs));
    if (!isGuaranteed && !outranks(job.priority, lowestPriority)) return 0;
    let count = 0;
    for (const { id } of this.upMachines)
      count += this.candidatesByMachine.get(id)?.filter(isCounted).length ?? 0;
    for (const { tasks } of this.preemptibleJobs) count += tasks.filter(isCounted).length;
    this.preemptibleCounts.set(key, { count, stops });
    return count;
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

  /** Preempts up to `count` tasks for their slots; returns how many. */
  private preemptForSlots(job: JobView, count: number): number {
    let stopped = 0;
    for (const candidate of this.inPreemptionOrder()) {
      if (stopped === count) break;
      if (!this.mayPreemptForSlot(job, candidate)) continue;
      this.preemptTask(candidate);
      stopped++;
    }
    return stopped;
  }

  /** Preempts up to `count` replicas for their slots, or whole gangs; lowest priorities first. */
  private preemptJobsForSlots(job: JobView, count: number): void {
    let stopped = 0;
    for (const { isGang, tasks } of this.preemptibleJobs) {
      let isGangTold = false;
      for (const candidate of tasks) {
        if (stopped >= count && !isGangTold) return;
        if (!this.mayPreemptForSlot(job, candidate)) continue;
        // The stop of one member stops the gang.
        this.preemptTask(candidate, !isGangTold);
        isGangTold = isGang;
        stopped++;
      }
    }
  }

  /** The services and gangs on machines, lowest priority first. */
  private get preemptibleJobs(): PreemptibleJob[] {
    this.sortedJobs ??= this.snapshot
      .preemptibleJobs()
      .sort((a, b) => lowestPriorityOf([b]) - lowestPriorityOf([a]));
    return this.sortedJobs;
  }

  /** Yields the candidates of all machines: lowest priority first, then smallest loss. */
  private *inPreemptionOrder(): Iterable<PreemptionCandidate> {
    const queue = new TinyQueue<CandidatePosition>([], (a, b) =>
      byPreemptionOrder(a.candidate, b.candidate),
    );
    const add = (candidates: readonly PreemptionCandidate[], position: number): void => {
      const candidate = candidates[position];
      if (candidate) queue.push({ candidate, candidates, position });
    };
    for (const { id } of this.upMachines) add(this.candidatesByMachine.get(id) ?? [], 0);
    for (let next = queue.pop(); next; next = queue.pop()) {
      yield next.candidate;
      add(next.candidates, next.position + 1);
    }
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

  /** Returns the free capacity of a machine once all its stopping tasks have exited. */
  private capacityAfterStops(machine: MachineView): Resources {
    const stopping = this.stoppingOn(machine);
    return {
      cpus: machine.free.cpus + stopping.cpus,
      gpus: machine.free.gpus + stopping.gpus,
      memoryGb: machine.free.memoryGb + stopping.memoryGb,
    };
  }

  /** Claims capacity that is free or already being freed; returns the number of tasks covered. */
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
      const tasks = Math.min(maxTasks, countFittingTasks(need, this.capacityAfterStops(machine)));
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
    // If no task of lower priority is running, only a job within its guarantee may preempt.
    if (!isGuaranteed && !outranks(job.priority, this.lowestPriority)) return 0;
    const choices = new PreemptionChoices(this.choicesOn(job, isGuaranteed, machines, rules));
    let found = 0;
    while (found < count) {
      const best = choices.takeBest();
      if (!best) break;
      if (rules.remaining(best.machine.zone) <= 0) continue;
      // Recomputes the choice: an earlier stop may have brought a team down to its guarantee.
      const current = this.cheapestChoice(job, best.machine, isGuaranteed);
      if (current && current.loss <= best.loss) {
        this.applyChoice(job, current);
        rules.add(best.machine.zone);
        found++;
      }
      const next = this.cheapestChoice(job, best.machine, isGuaranteed);
      if (next) choices.add(next);
    }
    return found;
  }

  /** Returns the cheapest choice on each machine whose zone may hold more tasks of the job. */
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
    for (const candidate of candidates) this.preemptTask(candidate);
    this.slots.claim(job, 1);
    // Claims the capacity now, including any part that is already free, so that smaller tasks do
    // not take it before the stopping tasks exit.
    subtract(machine.free, job.spec.need, 1);
  }

  /** `isTold`: the task is told to stop itself, and not by the stop of another one of its gang. */
  private preemptTask(candidate: PreemptionCandidate, isTold = true): void {
    this.preempted.add(candidate);
    if (isTold) this.stops.push({ job: candidate.job, task: candidate.task });
    const stopping = this.stoppingByMachine.get(candidate.machine);
    if (stopping) subtract(stopping, candidate.spec.need, -1);
    addTasks(this.stoppingOfTeam(candidate.spec.team), candidate.spec, 1);
    this.slots.addStopping();
  }

  private isOverGuarantee(name: string): boolean {
    const team = this.snapshot.teams.get(name);
    if (!team) return false;
    const { guarantee, used } = team;
    const stopping = this.stoppingOfTeam(name);
    return (
      used.gpus - stopping.gpus > guarantee.gpus + CAPACITY_TOLERANCE ||
      (guarantee.cpus > 0 && used.cpus - stopping.cpus > guarantee.cpus + CAPACITY_TOLERANCE)
    );
  }

  /**
   * Capacity of a team's tasks that this cycle preempts. It is not subtracted from the team's
   * usage: until a task is confirmed to have exited, it counts against the team's limit, and no
   * other task may use its quota.
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

  /**
   * Whether a task may be preempted for its slot. Unlike capacity, slots are also taken by tasks of other
   * teams that use none of what is guaranteed to their team, which can be as small as one likes.
   */
  private mayPreemptForSlot(job: JobView, candidate: PreemptionCandidate): boolean {
    const isGuaranteed = this.guaranteed.has(job.id);
    if (candidate.isStopping || this.preempted.has(candidate)) return false;
    if (this.mayPreempt(job, isGuaranteed, candidate)) return true;
    const { team, need } = candidate.spec;
    if (!isGuaranteed || team === job.spec.team) return false;
    if (this.rankOf(candidate) <= rank(job.priority, isGuaranteed)) return false;
    const guarantee = this.snapshot.teams.get(team)?.guarantee ?? { cpus: 0, gpus: 0 };
    const usesGuaranteed =
      (guarantee.cpus > 0 && need.cpus > 0) || (guarantee.gpus > 0 && need.gpus > 0);
    return !usesGuaranteed;
  }

  private mayPreempt(job: JobView, isGuaranteed: boolean, candidate: PreemptionCandidate): boolean {
    // A task that precedes this job in the scheduling order would take the capacity back in the
    // next cycle and be preempted again in the one after.
    if (this.rankOf(candidate) <= rank(job.priority, isGuaranteed)) return false;
    if (outranks(job.priority, candidate.priority)) return true;
    const { team } = candidate.spec;
    return isGuaranteed && team !== job.spec.team && this.isOverGuarantee(team);
  }
}

/** The lowest priority (highest number) of jobs, of which the first one has it; -Infinity if there are none. */
const lowestPriorityOf = ([first]: readonly PreemptibleJob[]): number =>
  first?.tasks[0]?.priority ?? -Infinity;

/** Orders candidates: lowest priority first, then smallest loss. */
const byPreemptionOrder = (a: PreemptionCandidate, b: PreemptionCandidate): number =>
  b.priority - a.priority || a.lostWorkMs - b.lostWorkMs;

/**
 * True if neither the job nor the candidate uses GPUs on a machine that has GPUs. Preemption would
 * gain nothing: the preempted task would only run again after the job, and CPU-only tasks free
 * their capacity within seconds anyway.
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
