import type { LeaderRollouts, Replica, ScheduledJob, SchedulerPort } from '@leverhatch/rollout';
import type { Condition } from '@leverhatch/core/store';
import { startKey } from '../../fleet/machine.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { ExtensionHost, TermExtension } from './extension.js';
import type { RolloutPackage } from './rollout-extension.js';
import { termPort } from './term-port.js';
import { withdrawUnsentStarts } from './unsent-starts.js';

/** A machine that was not heard for so many report intervals proves nothing. */
const HEARD_REPORTS = 3;

/** Stages in which a start that this leader made cannot have run. */
const UNSENT: ReadonlySet<Placement['stage']> = new Set(['recording', 'recorded']);

/** The scheduler's side of rollouts: what is placed of the jobs, and what becomes of their replicas. */
export class ServiceRollouts implements SchedulerPort, TermExtension {
  readonly rollouts: LeaderRollouts;
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

  // ---- what the scheduler asks

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

  // ---- what rollouts ask

  job(id: string): ScheduledJob | null {
    const job = this.host.isReady() ? this.host.jobs.get(id) : undefined;
    if (!job) return null;
    const { kind, team, tasks, image, need } = job.spec;
    return {
      id,
      state: job.isCancellationAnnounced ? 'cancelled' : job.phase,
      ...{ isService: kind === 'service', team, image, replicas: tasks },
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
    const { task, attempt, machine, agentEpoch: agentEpoch, state, stage, stop } = placement;
    return {
      ...{ job: job.id, task, attempt, machine, agentEpoch, image: job.spec.image },
      key: this.keyOf(placement),
      address: this.host.machine(machine)?.address ?? null,
      running: this.runs(placement),
      starting: UNSENT.has(stage) || (stage === 'reported' && state === 'fetching'),
      stopping: stop !== null,
    };
  }

  /** What names a start never changes, and is asked for often. */
  private keyOf(placement: Placement): string {
    const known = this.keys.get(placement);
    if (known !== undefined) return known;
    const { job, task, attempt, machine, agentEpoch: agentEpoch } = placement;
    const key = `${startKey(job.id, task, attempt)}@${machine}#${agentEpoch}`;
    this.keys.set(placement, key);
    return key;
  }

  /**
   * Its worker has said so lately, to this leader. A worker that knows our token takes no order of a
   * former leader any more, so no stop that is still on its way from there can end the replica.
   */
  private runs({ machine, agentEpoch: agentEpoch, state, stage }: Placement): boolean {
    const host = this.host.machine(machine);
    if (
      !host ||
      !host.isTokenConfirmed ||
      host.isReleasing ||
      host.agentEpoch !== agentEpoch ||
      host.lastHeartbeatAt === null
    )
      return false;
    if (stage !== 'reported' || state !== 'running') return false;
    return (
      this.host.now() - host.lastHeartbeatAt <=
      this.host.settings.workers.heartbeatIntervalMs * HEARD_REPORTS
    );
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
    withdrawUnsentStarts(job, this.host.taskStopper, (withdrawn) => withdrawn < excess);
  }

  onCeilingsChanged(): void {
    this.host.requestSchedule();
  }
}
