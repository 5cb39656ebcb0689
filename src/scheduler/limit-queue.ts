import type { MachineType } from '../fleet/types.js';
import type { JobView, TeamView, VictimView } from './model.js';
import { rank } from './order.js';

type Amount = TeamView['used'];

/**
 * Gangs that nothing but their team's limit holds back. Each task of the team that ends gives back a
 * little of it, and smaller work that comes after the gang would take that every time: a gang of a
 * team at its limit would wait until nothing else of the team does. So its share is kept for it from
 * the moment at which what runs of such work, and ends soon, is enough for the whole gang. Where it
 * is not, as with replicas that stay, nothing is kept unused. For one gang of a team at a time, since
 * what is kept for several would stand idle.
 */
export class LimitQueue {
  private readonly byTeam = new Map<string, VictimView[]>();
  /** Teams whose first gang in the order has been looked at. */
  private readonly first = new Set<string>();

  constructor(
    victims: VictimView[],
    types: MachineType[],
    private readonly guaranteed: ReadonlySet<string>,
  ) {
    // What takes less than a boot is waited for rather than stopped.
    const soonMs = Math.min(...types.map((t) => t.bootMs));
    for (const v of victims) {
      if (v.wholeGang || v.spec.estimateMs > soonMs) continue;
      const list = this.byTeam.get(v.spec.team);
      if (list) list.push(v);
      else this.byTeam.set(v.spec.team, [v]);
    }
  }

  /**
   * Whether to keep a share of the team's limit for a gang: it is the first of its team, and there is
   * room for the whole of it once lesser work that ends soon has ended.
   */
  keepsFor(job: JobView, team: TeamView): boolean {
    const { need, tasks } = job.spec;
    if (this.first.has(job.spec.team)) return false;
    this.first.add(job.spec.team);
    const ending = this.endingBefore(job);
    const covers = (of: keyof Amount): boolean =>
      need[of] * tasks <= team.limit[of] - team.used[of] + ending[of] + 1e-6;
    return covers('cpus') && covers('gpus');
  }

  /** What the job's team runs of work that comes after the job and ends soon. */
  private endingBefore(job: JobView): Amount {
    const own = rank(job.priority, this.guaranteed.has(job.id));
    const sum = { cpus: 0, gpus: 0 };
    for (const v of this.byTeam.get(job.spec.team) ?? []) {
      if (rank(v.priority, this.guaranteed.has(v.job)) <= own) continue;
      sum.cpus += v.spec.need.cpus;
      sum.gpus += v.spec.need.gpus;
    }
    return sum;
  }
}
