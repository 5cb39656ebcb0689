import type {
  Amounts,
  Demand,
  DrainCandidate,
  LeaderShares,
  PolicyRunner,
  SchedulerPort,
  ShareApi,
  SharePorts,
  TeamShare,
} from '@leverhatch/shares';
import { duty } from '@leverhatch/core/duty';
import type { Condition } from '@leverhatch/core/store';
import type { Job, Placement } from '../jobs/tracked-job.js';
import type { HeldBack } from '../scheduler/model.js';
import type { ExtensionHost, TermExtension } from './extension.js';
import type { SharesSwitch } from './shares-extension.js';
import { lossMs } from './snapshot.js';
import { teamUse } from './team-use.js';
import { termPort } from './term-port.js';
import { withdrawUnsentStarts } from './unsent-starts.js';

/** What moving shares has beside the term. */
interface TeamSharesParts extends SharesSwitch {
  ports: SharePorts;
  api: ShareApi;
}

function candidate(placement: Placement, now: number): DrainCandidate {
  const { job, task } = placement;
  const { cpus, gpus } = job.spec.need;
  return {
    job: job.id,
    task,
    priority: job.spec.priority,
    lossMs: lossMs(placement, now),
    wholeGang: job.gang !== null,
    need: { cpus, gpus },
  };
}

/** The scheduler's side of moving shares: what the teams use, want and would have to stop. */
export class TeamShares implements SchedulerPort, TermExtension {
  readonly moves: LeaderShares;
  private readonly policy: PolicyRunner | null;

  constructor(
    private readonly host: ExtensionHost,
    { package: shares, ports, policy, api }: TeamSharesParts,
  ) {
    this.moves = new shares.LeaderShares(ports, termPort(host), this);
    this.policy =
      policy && new shares.PolicyRunner(policy, ports, this.moves, this, api, host.term.id);
  }

  load(signal: AbortSignal): Promise<void> {
    return this.moves.load(signal);
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.moves.run(signal), this.runPolicy(signal)]);
  }

  private async runPolicy(signal: AbortSignal): Promise<void> {
    const { policy } = this;
    if (!policy) return;
    const { runtime, settings } = this.host;
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
    return this.moves.conditionFailed(condition);
  }

  /** Stops what keeps a share from a team that has a claim to it and waits for it alone. */
  afterRound(heldBack: HeldBack): void {
    if (heldBack.size === 0) return;
    const stops = this.moves.toStop(
      this.demands(heldBack),
      this.used(),
      (team) => this.stoppableNow(team),
      (team) => this.stopping(team),
    );
    for (const { job, task } of stops) this.stop(job, task);
  }

  private stop(id: string, task: number): void {
    const job = this.host.jobs.get(id);
    const placement = job?.placements.get(task);
    if (!job || !placement || placement.stop) return;
    const { stops } = this.host;
    const grace = stops.graceFor(job);
    this.host.runtime.log.debug({ task: `${id}/${task}` }, 'stopped to move a share');
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
    return teamUse(this.host.jobs.values());
  }

  waiting(): Map<string, Amounts> {
    const waiting = new Map<string, Amounts>();
    for (const job of this.host.jobs.values()) {
      const { team, need } = job.spec;
      if (job.phase !== 'open' || job.readyAt === null) continue;
      const startable = this.host.startable(job);
      const sum = waiting.get(team) ?? { cpus: 0, gpus: 0 };
      sum.cpus += need.cpus * startable;
      sum.gpus += need.gpus * startable;
      waiting.set(team, sum);
    }
    return waiting;
  }

  /** What may be stopped of a team, whatever is known of its machines. */
  candidates(team: string): DrainCandidate[] {
    const now = this.host.now();
    return this.drainable(team).map((placement) => candidate(placement, now));
  }

  /**
   * The candidates on machines that are heard, gangs only whole. Room that others leave cannot be used
   * yet or even seen by the round of decisions, which would stop as much again on machines that are heard.
   */
  private stoppableNow(team: string): DrainCandidate[] {
    const now = this.host.now();
    if (this.mayBeStopping(team, now)) return [];
    const drainable = this.drainable(team);
    const isHeard = ({ machine }: Placement): boolean => this.host.isUsable(machine);
    const unheardGangs = new Set<Job>();
    for (const placement of drainable) {
      if (placement.job.gang && !isHeard(placement)) unheardGangs.add(placement.job);
    }
    return drainable
      .filter((placement) => isHeard(placement) && !unheardGangs.has(placement.job))
      .map((placement) => candidate(placement, now));
  }

  /**
   * Whether a former leader may have told tasks to stop of which this one has not heard: that is known
   * from reports alone. No machine that will still report with its tasks does so after a lease.
   */
  private mayBeStopping(team: string, now: number): boolean {
    const { term, settings } = this.host;
    if (now - term.startedAt > settings.workers.leaseMs) return false;
    for (const { machine } of this.placementsOf(team)) {
      if (this.host.machine(machine)?.heardAt === null) return true;
    }
    return false;
  }

  /** Replicas of services are not stopped: what they answer can't be made up for. */
  private drainable(team: string): Placement[] {
    const isDrainable = ({ job, stop }: Placement): boolean => job.spec.kind !== 'service' && !stop;
    return [...this.placementsOf(team)].filter(isDrainable);
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
    for (const job of this.host.jobs.values()) {
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
      for (const job of this.host.jobs.values()) {
        if (!over()) break;
        if (job.spec.team === team) this.withdrawStartsOf(job, used.get(team)!, over);
      }
    }
  }

  private withdrawStartsOf(job: Job, used: Amounts, over: () => boolean): void {
    const { cpus, gpus } = job.spec.need;
    let counted = 0;
    const isOver = (withdrawn: number): boolean => {
      used.cpus -= cpus * (withdrawn - counted);
      used.gpus -= gpus * (withdrawn - counted);
      counted = withdrawn;
      return over();
    };
    isOver(withdrawUnsentStarts(job, this.host.stops, isOver));
  }

  changed(): void {
    this.host.touch();
  }
}
