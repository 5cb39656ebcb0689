import { fits, copiesThatFit, subtract, type Resources } from '../fleet/resources.js';
import { outranks, rank } from './job-order.js';
import type { JobView, MachineView, TeamView, PreemptionCandidate } from './scheduling-model.js';
import { CAPACITY_TOLERANCE } from './team-capacity.js';
import { isAllowedOn, schedulingShape, type ZoneRules } from './placement-rules.js';

/**
 * Stops work to make room: of lower priority, or, for a job within its team's guarantee, what
 * other teams run beyond theirs. The cheapest loss goes first. Room that is already being made is
 * counted before more is asked for.
 */
export class Preemption {
  readonly stops: { job: string; task: number }[] = [];
  /** By machine, what may be stopped there task by task. */
  private readonly candidatesByMachine = new Map<string, PreemptionCandidate[]>();
  private readonly chosen = new Set<PreemptionCandidate>();
  private readonly exitingByTeam = new Map<string, { cpus: number; gpus: number }>();
  /** Room that what is being stopped on a machine will leave, beyond what is free there. */
  private readonly exitingByMachine = new Map<string, Resources>();

  /** Shapes for which no more was found, and after how many stops. */
  private readonly exhaustedShapes = new Map<string, number>();
  /** The least important priority among what may be stopped. */
  private lowestPriority = -Infinity;

  constructor(
    victims: PreemptionCandidate[],
    private readonly up: MachineView[],
    private readonly teams: ReadonlyMap<string, TeamView>,
    private readonly guaranteed: ReadonlySet<string>,
  ) {
    for (const machine of up)
      this.exitingByMachine.set(machine.id, { cpus: 0, gpus: 0, memoryGb: 0 });
    for (const candidate of victims) {
      if (candidate.isStopping) {
        const room = this.exitingByMachine.get(candidate.machine);
        if (room) subtract(room, candidate.spec.need, -1);
      } else if (!candidate.isGangMember) {
        const list = this.candidatesByMachine.get(candidate.machine);
        if (list) list.push(candidate);
        else this.candidatesByMachine.set(candidate.machine, [candidate]);
        this.lowestPriority = Math.max(this.lowestPriority, candidate.priority);
      }
    }
    // The least important first, and of these the cheapest loss.
    for (const list of this.candidatesByMachine.values()) {
      list.sort((a, b) => b.priority - a.priority || a.lostWorkMs - b.lostWorkMs);
    }
  }

  /** What is free there, or will be once all that is told to stop has left. */
  capacityAfterExits(machine: MachineView): Resources {
    const leaving = this.exitingByMachine.get(machine.id)!;
    return {
      cpus: machine.free.cpus + leaving.cpus,
      gpus: machine.free.gpus + leaving.gpus,
      memoryGb: machine.free.memoryGb + leaving.memoryGb,
    };
  }

  /** What there would be if all work of lower priority that comes after this job had left. */
  capacityAfterPreemption(job: JobView, machine: MachineView, guaranteed: boolean): Resources {
    const room = this.capacityAfterExits(machine);
    const own = rank(job.priority, guaranteed);
    for (const candidate of this.candidatesByMachine.get(machine.id) ?? []) {
      if (this.chosen.has(candidate)) continue;
      if (!outranks(job.priority, candidate.priority)) continue;
      if (rank(candidate.priority, this.guaranteed.has(candidate.job)) > own)
        subtract(room, candidate.spec.need, -1);
    }
    return room;
  }

  /**
   * How many of `count` tasks will find room by stopping others. Only where the job's zones let them
   * start: room made in a zone that already holds its share would be kept free in vain, round after
   * round, while the job waits for it.
   */
  makeRoom(
    job: JobView,
    count: number,
    guaranteed: boolean,
    among: MachineView[],
    rules: ZoneRules,
  ): number {
    // Room only shrinks within a round, but for what stops make: what was in vain once stays so.
    const key = `${schedulingShape(job.spec)}|${job.priority}|${guaranteed ? job.spec.team : ''}`;
    const { spread, oneZone } = job.spec;
    const whole = among === this.up && job.avoidedMachines.size === 0 && !spread && !oneZone;
    if (whole && this.exhaustedShapes.get(key) === this.stops.length) return 0;
    let found = 0;
    const suitable = among.filter(
      (machine) =>
        isAllowedOn(job.spec, machine.type.name, machine.zone, machine.spot) &&
        !job.avoidedMachines.has(machine.id),
    );
    for (const machine of suitable) {
      if (found === count) break;
      const most = Math.min(count - found, rules.remaining(machine.zone));
      if (most <= 0) continue;
      const total = Math.min(most, copiesThatFit(job.spec.need, this.capacityAfterExits(machine)));
      if (total > 0) {
        subtract(machine.free, job.spec.need, total);
        rules.add(machine.zone, total);
        found += total;
      }
    }
    if (found < count) found += this.preempt(job, count - found, guaranteed, suitable, rules);
    if (whole && found < count) this.exhaustedShapes.set(key, this.stops.length);
    return found;
  }

  private preempt(
    job: JobView,
    count: number,
    guaranteed: boolean,
    suitable: MachineView[],
    rules: ZoneRules,
  ): number {
    // Where nothing less important runs, only a guarantee could take room from others.
    if (!guaranteed && !outranks(job.priority, this.lowestPriority)) return 0;
    let choices: PreemptionChoice[] = [];
    for (const machine of suitable) {
      if (!this.candidatesByMachine.has(machine.id)) continue;
      if (rules.remaining(machine.zone) <= 0) continue;
      const choice = this.cheapestChoice(job, machine, guaranteed);
      if (choice) choices.push(choice);
    }
    let found = 0;
    while (found < count && choices.length > 0) {
      const best = choices.reduce((a, b) => (b.loss < a.loss ? b : a));
      if (rules.remaining(best.machine.zone) <= 0) {
        choices = choices.filter((choice) => choice.machine.zone !== best.machine.zone);
        continue;
      }
      // An earlier stop may have brought a team down to its guarantee: the choice is made anew.
      const now = this.cheapestChoice(job, best.machine, guaranteed);
      if (now && now.loss <= best.loss) {
        this.applyChoice(job, now);
        rules.add(best.machine.zone);
        found++;
      }
      const next = this.cheapestChoice(job, best.machine, guaranteed);
      choices.splice(choices.indexOf(best), 1);
      if (next) choices.push(next);
    }
    return found;
  }

  private applyChoice(job: JobView, choice: PreemptionChoice): void {
    const leaving = this.exitingByMachine.get(choice.machine.id)!;
    for (const candidate of choice.candidates) {
      this.chosen.add(candidate);
      this.stops.push({ job: candidate.job, task: candidate.task });
      subtract(leaving, candidate.spec.need, -1);
      const leavingTeam = this.exitingOfTeam(candidate.spec.team);
      leavingTeam.cpus += candidate.spec.need.cpus;
      leavingTeam.gpus += candidate.spec.need.gpus;
    }
    // Claimed now, also where some is free already: smaller work must not slip into it.
    subtract(choice.machine.free, job.spec.need, 1);
  }

  private isOverGuarantee(name: string): boolean {
    const team = this.teams.get(name);
    const leaving = this.exitingOfTeam(name);
    return (
      team !== undefined &&
      (team.used.gpus - leaving.gpus > team.guarantee.gpus + CAPACITY_TOLERANCE ||
        (team.guarantee.cpus > 0 &&
          team.used.cpus - leaving.cpus > team.guarantee.cpus + CAPACITY_TOLERANCE))
    );
  }

  /**
   * What is being stopped of a team. It is kept apart from what the team uses: until it is proven
   * gone it counts against the team's limit, and no other task may take its share.
   */
  private exitingOfTeam(name: string): { cpus: number; gpus: number } {
    let sum = this.exitingByTeam.get(name);
    if (!sum) {
      sum = { cpus: 0, gpus: 0 };
      this.exitingByTeam.set(name, sum);
    }
    return sum;
  }

  private cheapestChoice(
    job: JobView,
    machine: MachineView,
    guaranteed: boolean,
  ): PreemptionChoice | null {
    const victims: PreemptionCandidate[] = [];
    const besideGpus = machine.type.capacity.gpus > 0 && job.spec.need.gpus === 0;
    const room = this.capacityAfterExits(machine);
    const { need } = job.spec;
    const own = rank(job.priority, guaranteed);
    let loss = 0;
    for (const candidate of this.candidatesByMachine.get(machine.id) ?? []) {
      if (victims.length > 0 && fits(need, room)) break;
      if (this.chosen.has(candidate)) continue;
      // Two that both live on what work with GPUs leaves: the one would run again as long as the
      // other waits, and all of it makes room within seconds.
      if (besideGpus && candidate.spec.need.gpus === 0) continue;
      // What goes before this job in the order would take the room back in the next round, and be
      // stopped again in the one after.
      if (rank(candidate.priority, this.guaranteed.has(candidate.job)) <= own) continue;
      const may =
        outranks(job.priority, candidate.priority) ||
        (guaranteed &&
          candidate.spec.team !== job.spec.team &&
          this.isOverGuarantee(candidate.spec.team));
      if (!may) continue;
      victims.push(candidate);
      loss += candidate.lostWorkMs + 1;
      subtract(room, candidate.spec.need, -1);
    }
    return victims.length > 0 && fits(need, room) ? { machine, candidates: victims, loss } : null;
  }
}

/** What is stopped on a machine to make room for one task. */
interface PreemptionChoice {
  machine: MachineView;
  candidates: PreemptionCandidate[];
  loss: number;
}
