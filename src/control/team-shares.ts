import type {
  Amounts,
  Demand,
  DrainCandidate,
  LeaderShares,
  SchedulerPort,
  SharePorts,
  TeamShare,
} from '@leverhatch/shares';
import type { Condition } from '@leverhatch/core/store';
import type { StartFence } from '../jobs/start-fence.js';
import type { Job, Placement } from '../jobs/tracked-job.js';
import type { HeldBack } from '../scheduler/model.js';
import { KEYS } from '../state/keys.js';
import type { Leader } from './leader.js';
import { openJobs } from './pipeline-steps.js';
import { lossMs } from './snapshot.js';
import { teamUse } from './team-use.js';

/** The package that moves shares, as it is loaded where it is switched on. */
export type SharesPackage = typeof import('@leverhatch/shares');

/** What a controller with shares switched on passes to its leader. */
export interface SharesParts {
  package: SharesPackage;
  ports: SharePorts;
}

/** The scheduler's side of moving shares: what the teams use, want and would have to stop. */
export class TeamShares implements SchedulerPort, StartFence {
  readonly moves: LeaderShares;

  constructor(
    private readonly leader: Leader,
    { package: shares, ports }: SharesParts,
  ) {
    const { term } = leader;
    this.moves = new shares.LeaderShares(
      ports,
      {
        id: term.id,
        signal: term.signal,
        leaderCondition: () => ({ key: KEYS.leader, version: term.token }),
        leased: () => term.leased(leader.now),
        end: () => term.end(),
      },
      this,
    );
  }

  // ---- what the scheduler asks

  /** What each team may have now. */
  teams(): ReadonlyMap<string, TeamShare> {
    return this.moves.shares();
  }

  condition(): Condition {
    return this.moves.condition();
  }

  conditionFailed(condition: Condition): Promise<void> {
    return this.moves.conditionFailed(condition, this.leader.term.signal);
  }

  /** Stops what keeps a share from a team that has a claim to it and waits for it alone. */
  drain(heldBack: HeldBack): void {
    if (heldBack.size === 0) return;
    const stops = this.moves.toStop(
      this.demands(heldBack),
      this.used(),
      (team) => this.candidates(team),
      (team) => this.stopping(team),
    );
    for (const { job, task } of stops) this.stop(job, task);
  }

  private stop(id: string, task: number): void {
    const job = this.leader.jobs.get(id);
    const placement = job?.placements.get(task);
    if (!job || !placement || placement.stop) return;
    const { stops } = this.leader;
    const grace = stops.graceFor(job);
    this.leader.parts.runtime.log.debug({ task: `${id}/${task}` }, 'stopped to move a share');
    if (job.gang) stops.stopAll(job, grace);
    else stops.stop(placement, grace);
  }

  /** What waits of the teams whose limit alone holds work back. */
  private demands(heldBack: HeldBack): Map<string, Demand> {
    const demands = new Map<string, Demand>();
    for (const job of openJobs(this.leader)) {
      const { team, need } = job.spec;
      if (!heldBack.has(team) || job.readyAt === null) continue;
      const sum = demands.get(team)?.heldBack ?? { cpus: 0, gpus: 0 };
      sum.cpus += need.cpus * job.startable;
      sum.gpus += need.gpus * job.startable;
      demands.set(team, { heldBack: sum });
    }
    return demands;
  }

  // ---- what moving shares asks

  used(): ReadonlyMap<string, Amounts> {
    return teamUse(this.leader.jobs.values());
  }

  /** Replicas of services are not stopped: what they answer can't be made up for. */
  candidates(team: string): DrainCandidate[] {
    const { now } = this.leader;
    const list: DrainCandidate[] = [];
    for (const placement of this.placementsOf(team)) {
      const { job, task } = placement;
      if (job.spec.kind === 'service' || placement.stop) continue;
      const { cpus, gpus } = job.spec.need;
      list.push({
        job: job.id,
        task,
        priority: job.spec.priority,
        lossMs: lossMs(placement, now),
        wholeGang: job.gang !== null,
        need: { cpus, gpus },
      });
    }
    return list;
  }

  private stopping(team: string): Amounts {
    const sum = { cpus: 0, gpus: 0 };
    for (const { job, stop } of this.placementsOf(team)) {
      if (!stop) continue;
      sum.cpus += job.spec.need.cpus;
      sum.gpus += job.spec.need.gpus;
    }
    return sum;
  }

  private *placementsOf(team: string): Generator<Placement> {
    for (const job of this.leader.jobs.values()) {
      if (job.spec.team === team) yield* job.placements.values();
    }
  }

  withdrawStarts(limits: ReadonlyMap<string, TeamShare>): void {
    const used = this.used();
    for (const [team, { limit }] of limits) {
      const over = (): boolean => {
        const now = used.get(team);
        return now !== undefined && (now.cpus > limit.cpus + 1e-6 || now.gpus > limit.gpus + 1e-6);
      };
      for (const job of this.leader.jobs.values()) {
        if (!over()) break;
        if (job.spec.team === team) this.withdrawStartsOf(job, used.get(team)!, over);
      }
    }
  }

  private withdrawStartsOf(job: Job, used: Amounts, over: () => boolean): void {
    for (const placement of [...job.placements.values()]) {
      // Those of a gang go together, with the first.
      if (!over() || job.placements.get(placement.task) !== placement) continue;
      if (placement.stage !== 'recording') continue;
      const before = job.placements.size;
      this.leader.stops.stop(placement, 0);
      const withdrawn = before - job.placements.size;
      used.cpus -= job.spec.need.cpus * withdrawn;
      used.gpus -= job.spec.need.gpus * withdrawn;
    }
  }

  changed(): void {
    this.leader.touch();
  }
}
