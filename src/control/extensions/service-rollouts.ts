/** Connects rollouts to the scheduler for one term: provides replicas, and applies limits and withdrawals. */
import type { LeaderRollouts, Replica, ScheduledJob, SchedulerPort } from '@leverhatch/rollout';
import type { Condition } from '@leverhatch/core/store';
import type { Machine } from '../../fleet/machine.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { ExtensionHost, TermExtension } from './extension.js';
import { termPort } from './term-port.js';
import { withdrawUnrecordedStarts } from './unrecorded-starts.js';

/** The rollout package, which is loaded only if rollouts are enabled. */
export type RolloutPackage = typeof import('@leverhatch/rollout');

/** A report counts as current for this many heartbeat intervals after the last heartbeat. */
const HEARTBEAT_TIMEOUT_INTERVALS = 3;

/** Stages in which a start by this leader cannot have run, since its command was not sent yet. */
const UNSENT_STAGES: ReadonlySet<Placement['stage']> = new Set(['recording', 'recorded']);

/** The scheduler port of rollouts: reports placed replicas and stops them. */
export class ServiceRollouts implements SchedulerPort, TermExtension {
  readonly rollouts: LeaderRollouts;
  /** Cache of replica keys, which never change and are needed for each probe and each cycle. */
  private readonly keys = new WeakMap<Placement, string>();

  constructor(
    private readonly host: ExtensionHost,
    rollout: RolloutPackage,
    ports: ConstructorParameters<RolloutPackage['LeaderRollouts']>[0],
  ) {
    this.rollouts = new rollout.LeaderRollouts(ports, termPort(host), this);
  }

  load(signal: AbortSignal): Promise<void> {
    return this.rollouts.load(signal);
  }

  run(signal: AbortSignal): Promise<void> {
    return this.rollouts.run(signal);
  }

  // ---- TermExtension

  condition(): Condition {
    return this.rollouts.condition();
  }

  conditionFailed(condition: Condition): Promise<void> {
    return this.rollouts.conditionFailed(condition);
  }

  placementLimit(job: string): number {
    return this.rollouts.placementLimit(job);
  }

  mayMove(job: string): boolean {
    return !this.rollouts.isRolling(job);
  }

  afterSchedulingCycle(): void {
    this.rollouts.withdraw();
  }

  // ---- SchedulerPort

  job(id: string): ScheduledJob | null {
    const job = this.host.isReady() ? this.host.jobs.get(id) : undefined;
    if (!job) return null;
    const { kind, team, tasks, image, need } = job.spec;
    return {
      id,
      state: job.isCancellationAnnounced ? 'cancelled' : job.phase,
      isService: kind === 'service',
      team,
      image,
      replicas: tasks,
      resources: { cpus: need.cpus, gpus: need.gpus },
      placed: job.isUnreadable ? tasks : job.placements.size,
      failing: job.failures.isSuspected,
    };
  }

  replicas(id: string): Replica[] {
    const job = this.host.isReady() ? this.host.jobs.get(id) : undefined;
    return job ? [...job.placements.values()].map((placement) => this.replica(job, placement)) : [];
  }

  private replica(job: Job, placement: Placement): Replica {
    const { task, attempt, machine, agentEpoch, state, stage, stop } = placement;
    return {
      job: job.id,
      task,
      attempt,
      machine,
      agentEpoch,
      image: job.spec.image,
      key: this.keyOf(placement),
      address: this.host.machine(machine)?.address ?? null,
      running: this.isConfirmedRunning(placement),
      starting: UNSENT_STAGES.has(stage) || (stage === 'reported' && state === 'fetching'),
      stopping: stop !== null,
    };
  }

  private keyOf(placement: Placement): string {
    const known = this.keys.get(placement);
    if (known !== undefined) return known;
    const { job, task, attempt, machine, agentEpoch } = placement;
    const key = `${job.id}/${task}/${attempt}@${machine}#${agentEpoch}`;
    this.keys.set(placement, key);
    return key;
  }

  /**
   * Whether its worker recently reported to this leader that it runs. A worker that knows the current fencing
   * token rejects commands of former leaders, so a delayed stop of one cannot end the replica.
   */
  private isConfirmedRunning({ machine: id, agentEpoch, state, stage }: Placement): boolean {
    const machine = this.host.machine(id);
    if (!machine || stage !== 'reported' || state !== 'running') return false;
    if (!machine.isTokenConfirmed || machine.isReleasing) return false;
    return machine.agentEpoch === agentEpoch && this.hasRecentHeartbeat(machine);
  }

  private hasRecentHeartbeat({ lastHeartbeatAt }: Machine): boolean {
    if (lastHeartbeatAt === null) return false;
    const { heartbeatIntervalMs } = this.host.settings.workers;
    return this.host.now() - lastHeartbeatAt <= heartbeatIntervalMs * HEARTBEAT_TIMEOUT_INTERVALS;
  }

  withdraw({ job: id, task, attempt }: Replica): void {
    const job = this.host.jobs.get(id);
    const placement = job?.placements.get(task);
    if (!job || placement?.attempt !== attempt) return;
    this.host.taskStopper.stop(placement, this.host.taskStopper.checkpointGraceMs(job));
  }

  withdrawStarts(id: string, limit: number): void {
    const job = this.host.jobs.get(id);
    if (!job) return;
    const excess = job.placements.size - limit;
    if (excess <= 0) return;
    withdrawUnrecordedStarts(job, this.host.taskStopper, (withdrawn) => withdrawn < excess);
  }

  onCeilingsChanged(): void {
    this.host.requestSchedule();
  }
}
