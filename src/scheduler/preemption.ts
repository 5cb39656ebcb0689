import { fits, howMany, take, type Need } from '../fleet/types.js';
import { outranks } from './order.js';
import type { JobView, MachineView, TeamView, VictimView } from './model.js';
import { allows } from './placement.js';

/**
 * Stops work to make room: of lower priority, or, for a job within its team's guarantee, what
 * other teams run beyond theirs. The cheapest loss goes first. Room that is already being made is
 * counted before more is asked for.
 */
export class Preemption {
  readonly stops: { job: string; task: number }[] = [];
  private readonly byMachine = new Map<string, VictimView[]>();
  private readonly chosen = new Set<VictimView>();
  private readonly leavingOf = new Map<string, { cpus: number; gpus: number }>();
  /** Room that what is being stopped on a machine will leave, beyond what is free there. */
  private readonly leaving = new Map<string, Need>();

  constructor(
    victims: VictimView[],
    up: MachineView[],
    private readonly teams: ReadonlyMap<string, TeamView>,
  ) {
    for (const v of victims) {
      const list = this.byMachine.get(v.machine);
      if (list) list.push(v);
      else this.byMachine.set(v.machine, [v]);
    }
    for (const m of up) {
      const room = { cpus: 0, gpus: 0, memoryGb: 0 };
      for (const v of this.byMachine.get(m.id) ?? []) {
        if (v.stopping) take(room, v.spec.need, -1);
      }
      this.leaving.set(m.id, room);
    }
  }

  /** What is free there, or will be once all that is told to stop has left. */
  coming(m: MachineView): Need {
    const room = { ...m.free };
    take(room, this.leaving.get(m.id)!, -1);
    return room;
  }

  /** How many of `count` tasks will find room by stopping others. */
  free(job: JobView, count: number, guaranteed: boolean, among: MachineView[]): number {
    let found = 0;
    const suitable = among.filter(
      (m) => allows(job.spec, m.type.name, m.zone, m.spot) && !job.avoid.has(m.id),
    );
    for (const m of suitable) {
      const n = Math.min(count - found, howMany(job.spec.need, this.coming(m)));
      if (n > 0) {
        take(m.free, job.spec.need, n);
        found += n;
      }
    }
    while (found < count) {
      let best: { machine: MachineView; victims: VictimView[]; loss: number } | null = null;
      for (const m of suitable) {
        const choice = this.cheapest(job, m, guaranteed);
        if (choice && (!best || choice.loss < best.loss)) best = { machine: m, ...choice };
      }
      if (!best) break;
      const leaving = this.leaving.get(best.machine.id)!;
      for (const v of best.victims) {
        this.chosen.add(v);
        this.stops.push({ job: v.job, task: v.task });
        take(leaving, v.spec.need, -1);
        const leavingTeam = this.leavingTeam(v.spec.team);
        leavingTeam.cpus += v.spec.need.cpus;
        leavingTeam.gpus += v.spec.need.gpus;
      }
      // Claimed now, also where some is free already: smaller work must not slip into it.
      take(best.machine.free, job.spec.need, 1);
      found++;
    }
    return found;
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

  private cheapest(
    job: JobView,
    m: MachineView,
    guaranteed: boolean,
  ): { victims: VictimView[]; loss: number } | null {
    const room = this.coming(m);
    const may = (this.byMachine.get(m.id) ?? [])
      .filter(
        (v) =>
          !v.stopping &&
          !this.chosen.has(v) &&
          !v.wholeGang &&
          (outranks(job.spec.priority, v.spec.priority) ||
            (guaranteed && this.overGuarantee(v.spec.team) && v.spec.team !== job.spec.team)),
      )
      .sort((a, b) => b.spec.priority - a.spec.priority || a.lossMs - b.lossMs);
    const victims: VictimView[] = [];
    let loss = 0;
    for (const v of may) {
      if (fits(job.spec.need, room)) break;
      victims.push(v);
      loss += v.lossMs + 1;
      take(room, v.spec.need, -1);
    }
    return victims.length > 0 && fits(job.spec.need, room) ? { victims, loss } : null;
  }
}
