import type {
  Amounts,
  TeamDemand,
  DrainCandidate,
  LeaderQuotas,
  PolicyRunner,
  SchedulerPort,
  QuotaTransferApi,
  QuotaTransferPorts,
  TeamQuota,
} from '@leverhatch/shares';
import { supervise } from '@leverhatch/core/duty';
import type { Condition } from '@leverhatch/core/store';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { QuotaLimitedTasks } from '../../scheduler/scheduling-model.js';
import type { ExtensionHost, TermExtension } from './extension.js';
import type { QuotaTransferOptions } from './quota-transfer-extension.js';
import { lostWorkMs } from '../scheduling/snapshot.js';
import { teamUsage } from '../scheduling/team-usage.js';
import { termPort } from './term-port.js';
import { withdrawUnsentStarts } from './unsent-starts.js';

/** What moving shares has beside the term. */
interface TeamSharesParts extends QuotaTransferOptions {
  ports: QuotaTransferPorts;
  api: QuotaTransferApi;
}

function candidate(placement: Placement, now: number): DrainCandidate {
  const { job, task } = placement;
  const { cpus, gpus } = job.spec.need;
  return {
    job: job.id,
    task,
    priority: job.spec.priority,
    lostWorkMs: lostWorkMs(placement, now),
    isGangMember: job.gang !== null,
    resources: { cpus, gpus },
  };
}

/** The scheduler's side of moving shares: what the teams use, want and would have to stop. */
export class TeamQuotas implements SchedulerPort, TermExtension {
  readonly leaderQuotas: LeaderQuotas;
  private readonly policy: PolicyRunner | null;

  constructor(
    private readonly host: ExtensionHost,
    { package: shares, ports, policy, api }: TeamSharesParts,
  ) {
    this.leaderQuotas = new shares.LeaderQuotas(ports, termPort(host), this);
    this.policy =
      policy && new shares.PolicyRunner(policy, ports, this.leaderQuotas, this, api, host.term.id);
  }

  load(signal: AbortSignal): Promise<void> {
    return this.leaderQuotas.load(signal);
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.leaderQuotas.run(signal), this.runPolicy(signal)]);
  }

  private async runPolicy(signal: AbortSignal): Promise<void> {
    const { policy } = this;
    if (!policy) return;
    const { runtime, settings } = this.host;
    await supervise(
      runtime,
      'share policy',
      signal,
      settings.workers.heartbeatIntervalMs,
      (signal) => policy.run(signal),
    );
  }

  get policyFailure(): string | null {
    return this.policy?.failure ?? null;
  }

  // ---- what the scheduler asks

  /** What each team may have now. */
  quotas(): ReadonlyMap<string, TeamQuota> {
    return this.leaderQuotas.quotas();
  }

  condition(): Condition {
    return this.leaderQuotas.condition();
  }

  conditionFailed(condition: Condition): Promise<void> {
    return this.leaderQuotas.conditionFailed(condition);
  }

  /** Stops what keeps a share from a team that has a claim to it and waits for it alone. */
  afterSchedulingCycle(quotaLimited: QuotaLimitedTasks): void {
    if (quotaLimited.size === 0) return;
    const stops = this.leaderQuotas.tasksToPreempt(
      this.demands(quotaLimited),
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
    const { taskStopper: taskStopper } = this.host;
    const grace = taskStopper.checkpointGraceMs(job);
    this.host.runtime.log.debug({ task: `${id}/${task}` }, 'stopped to move a share');
    if (job.gang) taskStopper.stopAll(job, grace);
    else taskStopper.stop(placement, grace);
  }

  /** What waits of the teams whose limit alone holds work back. */
  private demands(quotaLimited: QuotaLimitedTasks): Map<string, TeamDemand> {
    const demands = new Map<string, TeamDemand>();
    for (const [team, amounts] of this.waiting()) {
      if (quotaLimited.has(team)) demands.set(team, { quotaLimited: amounts });
    }
    return demands;
  }

  // ---- what moving shares asks

  used(): ReadonlyMap<string, Amounts> {
    return teamUsage(this.host.jobs.values());
  }

  waiting(): Map<string, Amounts> {
    const waiting = new Map<string, Amounts>();
    for (const job of this.host.jobs.values()) {
      const { team, need } = job.spec;
      if (job.phase !== 'open' || job.readyAt === null) continue;
      const startable = this.host.startableTasks(job);
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
    const isHeard = ({ machine }: Placement): boolean => this.host.isSchedulable(machine);
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
      if (this.host.machine(machine)?.lastHeartbeatAt === null) return true;
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

  withdrawStarts(limits: ReadonlyMap<string, TeamQuota>): void {
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
    isOver(withdrawUnsentStarts(job, this.host.taskStopper, isOver));
  }

  onQuotasChanged(): void {
    this.host.requestSchedule();
  }
}
