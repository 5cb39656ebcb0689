/** Connects quota transfers to the scheduler for one term. */
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
import { supervise } from '@leverhatch/core/supervised-task';
import type { Condition } from '@leverhatch/core/store';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { QuotaLimitedTasks } from '../../scheduler/scheduling-model.js';
import type { ExtensionHost, TermExtension } from './extension.js';
import type { QuotaTransferOptions } from './quota-transfer-options.js';
import { lostWorkMs } from '../scheduling/placed-candidate.js';
import { teamUsage } from '../scheduling/team-usage.js';
import { termPort } from './term-port.js';
import { withdrawUnrecordedStarts } from './unrecorded-starts.js';

/** Tolerance when usage is compared with a limit, for rounding errors in sums of decimals. */
const USAGE_TOLERANCE = 1e-6;

/** Dependencies that exist for the lifetime of the controller. */
interface ControllerContext extends QuotaTransferOptions {
  ports: QuotaTransferPorts;
  api: QuotaTransferApi;
}

/** Adds the resource requests of `count` tasks to `sum`; a negative count subtracts them. */
function addTasks(sum: Amounts, need: Amounts, count: number): void {
  sum.cpus += need.cpus * count;
  sum.gpus += need.gpus * count;
}

function drainCandidateOf(placement: Placement, now: number): DrainCandidate {
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

/** The scheduler port of quota transfers: teams' usage, waiting work and preemption candidates. */
export class TeamQuotas implements SchedulerPort, TermExtension {
  readonly leaderQuotas: LeaderQuotas;
  private readonly policy: PolicyRunner | null;

  constructor(
    private readonly host: ExtensionHost,
    { package: quotaTransfers, ports, policy, api }: ControllerContext,
  ) {
    this.leaderQuotas = new quotaTransfers.LeaderQuotas(ports, termPort(host), this);
    this.policy =
      policy &&
      new quotaTransfers.PolicyRunner(policy, ports, this.leaderQuotas, this, api, host.term.id);
  }

  /** Reads the records, before anything is scheduled in the term. */
  load(signal: AbortSignal): Promise<void> {
    return this.leaderQuotas.load(signal);
  }

  /** Advances transfers and evaluates the policy until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.leaderQuotas.run(signal), this.runPolicy(signal)]);
  }

  private async runPolicy(signal: AbortSignal): Promise<void> {
    const { policy } = this;
    if (!policy) return;
    const { runtime, settings } = this.host;
    await supervise(
      runtime,
      'quota policy',
      signal,
      settings.workers.heartbeatIntervalMs,
      (taskSignal) => policy.run(taskSignal),
    );
  }

  /** Why the policy's last evaluation failed; null if it succeeded or there is no policy. */
  get policyFailure(): string | null {
    return this.policy?.failure ?? null;
  }

  // ---- called by the scheduler

  /** The current quota of each team. */
  quotas(): ReadonlyMap<string, TeamQuota> {
    return this.leaderQuotas.quotas();
  }

  /** The condition of every transaction that starts tasks. */
  condition(): Condition {
    return this.leaderQuotas.condition();
  }

  /** Call when a transaction was refused for this condition; resolves once the stored quotas are known. */
  conditionFailed(condition: Condition): Promise<void> {
    return this.leaderQuotas.conditionFailed(condition);
  }

  /** Preempts tasks of donors for teams below their guarantee that only their limit holds back. */
  afterSchedulingCycle(quotaLimited: QuotaLimitedTasks): void {
    if (quotaLimited.size === 0) return;
    const tasksToPreempt = this.leaderQuotas.tasksToPreempt(
      this.demands(quotaLimited),
      this.used(),
      (team) => this.stoppableNow(team),
      (team) => this.stoppingResources(team),
    );
    for (const { job, task } of tasksToPreempt) this.stopTask(job, task);
  }

  private stopTask(id: string, task: number): void {
    const job = this.host.jobs.get(id);
    const placement = job?.placements.get(task);
    if (!job || !placement || placement.stop) return;
    const { taskStopper } = this.host;
    const graceMs = taskStopper.checkpointGraceMs(job);
    this.host.runtime.log.debug({ task: `${id}/${task}` }, 'task preempted for a quota transfer');
    if (job.gang) taskStopper.stopAll(job, graceMs);
    else taskStopper.stop(placement, graceMs);
  }

  /** The waiting work of teams that only their limit holds back. */
  private demands(quotaLimited: QuotaLimitedTasks): Map<string, TeamDemand> {
    const demands = new Map<string, TeamDemand>();
    for (const [team, amounts] of this.waiting()) {
      if (quotaLimited.has(team)) demands.set(team, { quotaLimited: amounts });
    }
    return demands;
  }

  // ---- called by quota transfers

  /** Recorded occupancy by team. */
  used(): ReadonlyMap<string, Amounts> {
    return teamUsage(this.host.jobs.values());
  }

  /** The total resource requests of each team's tasks that could start but have not. */
  waiting(): Map<string, Amounts> {
    const waiting = new Map<string, Amounts>();
    for (const job of this.host.jobs.values()) {
      const { team, need } = job.spec;
      if (job.phase !== 'open' || job.readyAt === null) continue;
      const startable = this.host.startableTasks(job);
      const sum = waiting.get(team) ?? { cpus: 0, gpus: 0 };
      addTasks(sum, need, startable);
      waiting.set(team, sum);
    }
    return waiting;
  }

  /** The tasks of a team that may be preempted, whether or not their machines respond. */
  drainCandidates(team: string): DrainCandidate[] {
    const now = this.host.now();
    return this.drainable(team).map((placement) => drainCandidateOf(placement, now));
  }

  /**
   * The candidates on responsive machines; gangs only if all of their machines are responsive. Capacity freed
   * on other machines is unusable and invisible to the scheduling cycle, which would preempt as much again.
   */
  private stoppableNow(team: string): DrainCandidate[] {
    const now = this.host.now();
    if (this.mayBeStopping(team, now)) return [];
    const drainable = this.drainable(team);
    const isResponsive = ({ machine }: Placement): boolean => this.host.isSchedulable(machine);
    const unresponsiveGangs = new Set<Job>();
    for (const placement of drainable) {
      if (placement.job.gang && !isResponsive(placement)) unresponsiveGangs.add(placement.job);
    }
    return drainable
      .filter((placement) => isResponsive(placement) && !unresponsiveGangs.has(placement.job))
      .map((placement) => drainCandidateOf(placement, now));
  }

  /**
   * Whether a former leader may have sent stops that this one does not know of; only heartbeats report them.
   * A machine without a heartbeat within a worker lease will not report its tasks any more.
   */
  private mayBeStopping(team: string, now: number): boolean {
    const { term, settings } = this.host;
    if (now - term.startedAt > settings.workers.leaseMs) return false;
    for (const { machine } of this.placementsOf(team)) {
      if (this.host.machine(machine)?.lastHeartbeatAt === null) return true;
    }
    return false;
  }

  /** A team's tasks that may be preempted; excludes service replicas, whose requests would be lost. */
  private drainable(team: string): Placement[] {
    const isDrainable = ({ job, stop }: Placement): boolean => job.spec.kind !== 'service' && !stop;
    return [...this.placementsOf(team)].filter(isDrainable);
  }

  /** The resources that the team's stopping tasks will free. */
  private stoppingResources(team: string): Amounts {
    const sum = { cpus: 0, gpus: 0 };
    for (const { job, stop } of this.placementsOf(team)) {
      if (stop) addTasks(sum, job.spec.need, 1);
    }
    return sum;
  }

  private *placementsOf(team: string): Generator<Placement> {
    for (const job of this.host.jobs.values()) {
      if (job.spec.team === team) yield* job.placements.values();
    }
  }

  /** Withdraws starts that are not recorded yet until the teams are within these limits. */
  withdrawStarts(limits: ReadonlyMap<string, TeamQuota>): void {
    const used = this.used();
    for (const [team, { limit }] of limits) {
      const teamUsed = used.get(team);
      if (!teamUsed) continue;
      const isOverLimit = (): boolean =>
        teamUsed.cpus > limit.cpus + USAGE_TOLERANCE ||
        teamUsed.gpus > limit.gpus + USAGE_TOLERANCE;
      for (const job of this.host.jobs.values()) {
        if (!isOverLimit()) break;
        if (job.spec.team === team) this.withdrawStartsOf(job, teamUsed, isOverLimit);
      }
    }
  }

  /** Withdraws unrecorded starts of one job and subtracts them from `used`. */
  private withdrawStartsOf(job: Job, used: Amounts, isOverLimit: () => boolean): void {
    let counted = 0;
    const isStillOver = (withdrawn: number): boolean => {
      addTasks(used, job.spec.need, counted - withdrawn);
      counted = withdrawn;
      return isOverLimit();
    };
    isStillOver(withdrawUnrecordedStarts(job, this.host.taskStopper, isStillOver));
  }

  /** Requests a scheduling cycle. */
  onQuotasChanged(): void {
    this.host.requestSchedule();
  }
}
