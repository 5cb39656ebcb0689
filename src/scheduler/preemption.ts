import { fits, howMany, take, type Need } from '../fleet/types.js';
import { outranks, rank } from './order.js';
import type { JobView, MachineView, TeamView, VictimView } from './model.js';
import { allows, shapeOf, type ZoneRules } from './placement.js';

/**
 * Stops work to make room: of lower priority, or, for a job within its team's guarantee, what
 * other teams run beyond theirs. The cheapest loss goes first. Room that is already being made is
 * counted before more is asked for.
 */
export class Preemption {
  readonly stops: { job: string; task: number }[] = [];
  /** By machine, what may be stopped there task by task. */
  private readonly byMachine = new Map<string, VictimView[]>();
  private readonly chosen = new Set<VictimView>();
  private readonly leavingOf = new Map<string, { cpus: number; gpus: number }>();
  /** Room that what is being stopped on a machine will leave, beyond what is free there. */
  private readonly leaving = new Map<string, Need>();

  /** Shapes for which no more was found, and after how many stops. */
  private readonly inVain = new Map<string, number>();
  /** The least important priority among what may be stopped. */
  private lowest = -Infinity;

  constructor(
    victims: VictimView[],
    private readonly up: MachineView[],
    private readonly teams: ReadonlyMap<string, TeamView>,
    private readonly guaranteed: ReadonlySet<string>,
  ) {
    for (const m of up) this.leaving.set(m.id, { cpus: 0, gpus: 0, memoryGb: 0 });
    for (const v of victims) {
      if (v.stopping) {
        const room = this.leaving.get(v.machine);
        if (room) take(room, v.spec.need, -1);
      } else if (!v.wholeGang) {
        const list = this.byMachine.get(v.machine);
        if (list) list.push(v);
        else this.byMachine.set(v.machine, [v]);
        this.lowest = Math.max(this.lowest, v.priority);
      }
    }
    // The least important first, and of these the cheapest loss.
    for (const list of this.byMachine.values()) {
      list.sort((a, b) => b.priority - a.priority || a.lossMs - b.lossMs);
    }
  }

  /** What is free there, or will be once all that is told to stop has left. */
  coming(m: MachineView): Need {
    const leaving = this.leaving.get(m.id)!;
    return {
      cpus: m.free.cpus + leaving.cpus,
      gpus: m.free.gpus + leaving.gpus,
      memoryGb: m.free.memoryGb + leaving.memoryGb,
    };
  }

  /** What there would be if all work of lower priority that comes after this job had left. */
  potential(job: JobView, m: MachineView, guaranteed: boolean): Need {
    const room = this.coming(m);
    const own = rank(job.priority, guaranteed);
    for (const v of this.byMachine.get(m.id) ?? []) {
      if (this.chosen.has(v)) continue;
      if (!outranks(job.priority, v.priority)) continue;
      if (rank(v.priority, this.guaranteed.has(v.job)) > own) take(room, v.spec.need, -1);
    }
    return room;
  }

  /**
   * How many of `count` tasks will find room by stopping others. Only where the job's zones let them
   * start: room made in a zone that already holds its share would be kept free in vain, round after
   * round, while the job waits for it.
   */
  free(
    job: JobView,
    count: number,
    guaranteed: boolean,
    among: MachineView[],
    rules: ZoneRules,
  ): number {
    // Room only shrinks within a round, but for what stops make: what was in vain once stays so.
    const key = `${shapeOf(job.spec)}|${job.priority}|${guaranteed ? job.spec.team : ''}`;
    const { spread, oneZone } = job.spec;
    const whole = among === this.up && job.avoid.size === 0 && !spread && !oneZone;
    if (whole && this.inVain.get(key) === this.stops.length) return 0;
    let found = 0;
    const suitable = among.filter(
      (m) => allows(job.spec, m.type.name, m.zone, m.spot) && !job.avoid.has(m.id),
    );
    for (const m of suitable) {
      if (found === count) break;
      const most = Math.min(count - found, rules.room(m.zone));
      if (most <= 0) continue;
      const n = Math.min(most, howMany(job.spec.need, this.coming(m)));
      if (n > 0) {
        take(m.free, job.spec.need, n);
        rules.add(m.zone, n);
        found += n;
      }
    }
    if (found < count) found += this.displace(job, count - found, guaranteed, suitable, rules);
    if (whole && found < count) this.inVain.set(key, this.stops.length);
    return found;
  }

  private displace(
    job: JobView,
    count: number,
    guaranteed: boolean,
    suitable: MachineView[],
    rules: ZoneRules,
  ): number {
    // Where nothing less important runs, only a guarantee could take room from others.
    if (!guaranteed && !outranks(job.priority, this.lowest)) return 0;
    let choices: Choice[] = [];
    for (const machine of suitable) {
      if (!this.byMachine.has(machine.id)) continue;
      if (rules.room(machine.zone) <= 0) continue;
      const choice = this.cheapest(job, machine, guaranteed);
      if (choice) choices.push(choice);
    }
    let found = 0;
    while (found < count && choices.length > 0) {
      const best = choices.reduce((a, b) => (b.loss < a.loss ? b : a));
      if (rules.room(best.machine.zone) <= 0) {
        choices = choices.filter((c) => c.machine.zone !== best.machine.zone);
        continue;
      }
      // An earlier stop may have brought a team down to its guarantee: the choice is made anew.
      const now = this.cheapest(job, best.machine, guaranteed);
      if (now && now.loss <= best.loss) {
        this.stopFor(job, now);
        rules.add(best.machine.zone);
        found++;
      }
      const next = this.cheapest(job, best.machine, guaranteed);
      choices.splice(choices.indexOf(best), 1);
      if (next) choices.push(next);
    }
    return found;
  }

  private stopFor(job: JobView, choice: Choice): void {
    const leaving = this.leaving.get(choice.machine.id)!;
    for (const v of choice.victims) {
      this.chosen.add(v);
      this.stops.push({ job: v.job, task: v.task });
      take(leaving, v.spec.need, -1);
      const leavingTeam = this.leavingTeam(v.spec.team);
      leavingTeam.cpus += v.spec.need.cpus;
      leavingTeam.gpus += v.spec.need.gpus;
    }
    // Claimed now, also where some is free already: smaller work must not slip into it.
    take(choice.machine.free, job.spec.need, 1);
  }

  private overGuarantee(name: string): boolean {
    const team = this.teams.get(name);
    const leaving = this.leavingTeam(name);
    return (
      team !== undefined &&
      (team.used.gpus - leaving.gpus > team.guarantee.gpus + 1e-6 ||
        (team.guarantee.cpus > 0 && team.used.cpus - leaving.cpus > team.guarantee.cpus + 1e-6))
    );
  }

  /**
   * What is being stopped of a team. It is kept apart from what the team uses: until it is proven
   * gone it counts against the team's limit, and no other task may take its share.
   */
  private leavingTeam(name: string): { cpus: number; gpus: number } {
    let sum = this.leavingOf.get(name);
    if (!sum) {
      sum = { cpus: 0, gpus: 0 };
      this.leavingOf.set(name, sum);
    }
    return sum;
  }

  private cheapest(job: JobView, machine: MachineView, guaranteed: boolean): Choice | null {
    const victims: VictimView[] = [];
    const besideGpus = machine.type.room.gpus > 0 && job.spec.need.gpus === 0;
    const room = this.coming(machine);
    const { need } = job.spec;
    const own = rank(job.priority, guaranteed);
    let loss = 0;
    for (const v of this.byMachine.get(machine.id) ?? []) {
      if (victims.length > 0 && fits(need, room)) break;
      if (this.chosen.has(v)) continue;
      // Two that both live on what work with GPUs leaves: the one would run again as long as the
      // other waits, and all of it makes room within seconds.
      if (besideGpus && v.spec.need.gpus === 0) continue;
      // What goes before this job in the order would take the room back in the next round, and be
      // stopped again in the one after.
      if (rank(v.priority, this.guaranteed.has(v.job)) <= own) continue;
      const may =
        outranks(job.priority, v.priority) ||
        (guaranteed && v.spec.team !== job.spec.team && this.overGuarantee(v.spec.team));
      if (!may) continue;
      victims.push(v);
      loss += v.lossMs + 1;
      take(room, v.spec.need, -1);
    }
    return victims.length > 0 && fits(need, room) ? { machine, victims, loss } : null;
  }
}

/** What is stopped on a machine to make room for one task. */
interface Choice {
  machine: MachineView;
  victims: VictimView[];
  loss: number;
}
