import type {
  Amounts,
  Demand,
  DrainCandidate,
  LeaderShares,
  PolicyRunner,
  SchedulerPort,
  TeamShare,
} from '@leverhatch/shares';
import { duty } from '@leverhatch/core/duty';
import type { Condition } from '@leverhatch/core/store';
import type { StartFence } from '../jobs/start-fence.js';
import type { Job, Placement } from '../jobs/tracked-job.js';
import type { HeldBack } from '../scheduler/model.js';
import { KEYS } from '../state/keys.js';
import type { Leader } from './leader.js';
import type { SharesParts } from './shares-setup.js';
import { openJobs } from './pipeline-steps.js';
import { lossMs } from './snapshot.js';
import { teamUse } from './team-use.js';

/** The scheduler's side of moving shares: what the teams use, want and would have to stop. */
export class TeamShares implements SchedulerPort, StartFence {
  readonly moves: LeaderShares;
  private readonly policy: PolicyRunner | null;

  constructor(
    private readonly leader: Leader,
    { package: shares, ports, policy, desk }: SharesParts,
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
    this.policy = policy && new shares.PolicyRunner(policy, ports, this.moves, this, desk, term.id);
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.moves.run(signal), this.runPolicy(signal)]);
  }

  private async runPolicy(signal: AbortSignal): Promise<void> {
    const { policy } = this;
    if (!policy) return;
    const { runtime, settings } = this.leader.parts;
    await duty(runtime, 'share policy', signal, settings.workers.reportMs, (s) => policy.run(s));
  }

  get policyFailure(): string | null {
    return this.policy?.failure ?? null;
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
    for (const [team, amounts] of this.waiting()) {
      if (heldBack.has(team)) demands.set(team, { heldBack: amounts });
    }
    return demands;
  }

  // ---- what moving shares asks

  used(): ReadonlyMap<string, Amounts> {
    return teamUse(this.leader.jobs.values());
  }

  waiting(): Map<string, Amounts> {
    const waiting = new Map<string, Amounts>();
    for (const job of openJobs(this.leader)) {
      const { team, need } = job.spec;
      if (job.readyAt === null) continue;
      const sum = waiting.get(team) ?? { cpus: 0, gpus: 0 };
      sum.cpus += need.cpus * job.startable;
      sum.gpus += need.gpus * job.startable;
      waiting.set(team, sum);
    }
    return waiting;
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
