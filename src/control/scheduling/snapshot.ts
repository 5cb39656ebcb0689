/**
 * The snapshot of the leader's state that a scheduling cycle works on. Above 300 lines because each
 * part of the snapshot is a small function over the same sources.
 */
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Fleet } from '../../fleet/fleet.js';
import type { MachineProvisioner } from '../../fleet/machine-provisioner.js';
import type { Machine } from '../../fleet/machine.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { MachineType } from '../../fleet/resources.js';
import type {
  JobView,
  MachineView,
  InstanceOffer,
  ReplicaView,
  Snapshot,
  TeamView,
  PreemptibleJob,
  PreemptionCandidate,
  SlotUsage,
} from '../../scheduler/scheduling-model.js';
import { provisionedMachines } from '../../scheduler/machine-view.js';
import { pipelineUrgency, type StepUrgency } from '../../scheduler/pipelines.js';
import type { Settings } from '../../settings/deploy.js';
import type { TeamQuotaMap } from '../extensions/extension.js';
import type { TermExtensions } from '../extensions/term-extensions.js';
import type { MachineReconciler } from '../reconciliation/machine-reconciler.js';
import type { ExpectedDemand } from './expected-demand.js';
import { requiredConcurrency } from './opportunistic-work.js';
import { openJobs, pipelineSteps, type PipelineSources } from './pipeline-steps.js';
import { CandidateJob, PlacedCandidate } from './placed-candidate.js';
import { teamUsage } from './team-usage.js';
import { UNRECORDED_EXITS_RATIO } from './tracked-tasks-limit.js';

/**
 * Fraction of a boot time for which work without GPUs waits for capacity that other such work frees,
 * unless its slack is short. Such work usually runs for less than a boot time, so a machine
 * provisioned for it would be up too late.
 */
const BACKFILL_WAIT_BOOTS = 0.25;

/** The state from which a snapshot is taken. */
export interface SnapshotSources extends PipelineSources {
  readonly runtime: Pick<Runtime, 'clock'>;
  readonly settings: Settings;
  readonly fleet: Pick<Fleet, 'machines' | 'isSchedulable' | 'bootTimes'>;
  readonly provisioner: Pick<MachineProvisioner, 'pendingRequests' | 'isBackedOff'>;
  readonly reconciler: Pick<MachineReconciler, 'idleTimeoutMs'>;
  readonly extensions: Pick<TermExtensions, 'startableTasks' | 'placementLimit' | 'mayMove'>;
  readonly expectedDemand: ExpectedDemand;
  /** Number of tasks that this controller has memory to track. */
  readonly maxTrackedTasks: number;
  /** The current quota of each team. */
  quotas(): TeamQuotaMap;
}

/** Values that are computed once and shared by all parts of one snapshot. */
interface SnapshotContext {
  sources: SnapshotSources;
  /** Monotonic time and time of day, in milliseconds. */
  now: number;
  wall: number;
  urgencies: ReadonlyMap<string, StepUrgency>;
  types: readonly MachineType[];
  /** The shortest boot time if all machine types have GPUs, otherwise null. */
  gpuBootMs: number | null;
  /** The longest boot time of any machine type. */
  longestBootMs: number;
}

/** Takes a snapshot of the leader's state for a scheduling cycle. */
export function takeSnapshot(sources: SnapshotSources, now: number): Snapshot {
  const wall = sources.runtime.clock.wall();
  const urgencies = pipelineUrgency(pipelineSteps(sources, now), wall);
  const types = [...sources.machineTypes().values()];
  const bootMs = types.map((type) => type.bootMs);
  const context = {
    ...{ sources, now, wall, urgencies, types },
    gpuBootMs: gpuBootMs(types),
    longestBootMs: Math.max(0, ...bootMs),
  };
  return {
    machines: machineViews(sources, now),
    jobs: jobViews(context),
    upcomingJobs: upcomingJobs(context),
    expectedTasks: sources.expectedDemand.observe(now, context.longestBootMs),
    cpusFreedSoon: cpusFreedSoon(sources),
    teams: teamViews(sources),
    slots: slotUsage(sources),
    types,
    offers: offers(context),
    preemptionCandidates: preemptionCandidates(context),
    preemptibleJobs: () => preemptibleJobs(context),
    movableReplicas: movableReplicas(sources),
    isGateClosed: [...openJobs(sources.jobs)].some((job) => job.gang?.holdsGate),
  };
}

/** The shortest boot time if all machine types have GPUs, otherwise null. */
function gpuBootMs(types: readonly MachineType[]): number | null {
  if (types.some((type) => type.capacity.gpus === 0)) return null;
  return Math.min(...types.map((type) => type.bootMs));
}

function machineViews(sources: SnapshotSources, now: number): MachineView[] {
  const { workers } = sources.settings;
  const views: MachineView[] = [];
  for (const machine of sources.fleet.machines.values()) {
    if (
      !machine.type ||
      machine.isReleasing ||
      machine.preemptionNoticeAt !== null ||
      machine.isFaulty ||
      machine.isDraining
    )
      continue;
    const up = sources.fleet.isSchedulable(machine, now);
    const booting = machine.isExpected(now, workers.leaseMs, sources.fleet.bootTimes);
    if (!up && !booting) continue;
    views.push(
      machineView(machine, machine.type, up, sources.reconciler.idleTimeoutMs(machine.type)),
    );
  }
  sources.provisioner.pendingRequests(now).forEach((pendingRequest, i) => {
    const type = sources.machineTypes().get(pendingRequest.type);
    if (!type) return;
    const { zone, spot, count } = pendingRequest;
    const idleTimeoutMs = sources.reconciler.idleTimeoutMs(type);
    views.push(provisionedMachines({ type, zone, spot }, count, `order-${i}`, idleTimeoutMs));
  });
  return views;
}

function machineView(
  machine: Machine,
  type: MachineType,
  up: boolean,
  idleTimeoutMs: number,
): MachineView {
  const tasksByJob = new Map<string, number>();
  let replicas = 0;
  let incomingGb = 0;
  for (const image of machine.images.values()) if (!image.isPresent) incomingGb += image.gb;
  for (const placement of machine.placements.values()) {
    tasksByJob.set(placement.job.id, (tasksByJob.get(placement.job.id) ?? 0) + 1);
    if (placement.job.spec.kind === 'service') replicas++;
  }
  return {
    id: machine.id,
    count: 1,
    type,
    zone: machine.zone,
    spot: machine.spot,
    free: machine.freeCapacity(),
    isUp: up,
    images: new Set(machine.images.keys()),
    incomingGb,
    tasksByJob,
    replicas,
    idleTimeoutMs,
  };
}

/** The open jobs whose dependencies are done; others are left out of the snapshot. */
function jobViews(context: SnapshotContext): JobView[] {
  const views: JobView[] = [];
  for (const job of openJobs(context.sources.jobs)) {
    if (job.readyAt !== null) views.push(jobView(context, job, job.readyAt));
  }
  return views;
}

/** Jobs without GPUs that are expected to be ready before a machine provisioned now would be up. */
function upcomingJobs(context: SnapshotContext): JobView[] {
  const { gpuBootMs, urgencies, wall } = context;
  const views: JobView[] = [];
  if (gpuBootMs === null) return views;
  for (const job of openJobs(context.sources.jobs)) {
    if (job.readyAt !== null || job.isUnreadable || job.spec.need.gpus > 0) continue;
    const readyInMs = urgencies.get(job.id)?.readyInMs ?? Infinity;
    if (readyInMs <= gpuBootMs) views.push(jobView(context, job, wall + readyInMs));
  }
  return views;
}

/** CPUs held by tasks without GPUs, which are expected to free them soon. */
function cpusFreedSoon(sources: SnapshotSources): number {
  let cpus = 0;
  for (const { spec, placements } of sources.jobs.values()) {
    if (spec.kind !== 'service' && spec.need.gpus === 0) cpus += spec.need.cpus * placements.size;
  }
  return cpus;
}

function jobView(context: SnapshotContext, job: Job, readyAt: number): JobView {
  const { sources, now, wall, longestBootMs } = context;
  const { spec, gang } = job;
  const zones = new Map<string, number>();
  for (const placement of job.placements.values())
    zones.set(placement.zone, (zones.get(placement.zone) ?? 0) + 1);
  const urgency = context.urgencies.get(job.id);
  const waitedMs = wall - readyAt;
  return {
    id: job.id,
    spec,
    priority: urgency?.priority ?? spec.priority,
    readyAt,
    dueAt: urgency?.dueAt ?? readyAt,
    isBackfill: isBackfill(context, job, waitedMs),
    opportunisticConcurrency: requiredConcurrency(
      sources.settings,
      job,
      waitedMs,
      longestBootMs,
      sources.quotas(),
    ),
    waitingTasks: sources.extensions.startableTasks(job),
    unfinishedTasks: unfinishedTasks(sources, job),
    tasksByZone: zones,
    avoidedMachines: job.failures.avoidedMachines(now),
    gang: gang ? { holdsGate: gang.holdsGate, suspensions: gang.suspensions } : null,
    isAdmissible: isAdmissible(job, now),
    isLastResortRetry: job.failures.isSuspected,
  };
}

/** Whether a job without GPUs should still wait for capacity that other such work frees. */
function isBackfill(
  { gpuBootMs, urgencies }: SnapshotContext,
  { id, spec }: Job,
  waitedMs: number,
): boolean {
  if (spec.kind === 'service' || spec.need.gpus > 0 || gpuBootMs === null) return false;
  const hasLowSlack = urgencies.get(id)?.hasLowSlack ?? false;
  return !hasLowSlack && waitedMs < gpuBootMs * BACKFILL_WAIT_BOOTS;
}

function isAdmissible(job: Job, now: number): boolean {
  if (job.isUnreadable || job.failures.retryAt > now) return false;
  // A gang is placed again only once no task of its last attempt can be left.
  return !job.gang || (job.placements.size === 0 && job.gang.phase !== 'suspended');
}

/**
 * Unfinished tasks that count towards the team's guarantee. Waiting tasks of a job that fails on every
 * machine do not count, so that they take nothing from the team's other jobs.
 */
function unfinishedTasks(sources: SnapshotSources, job: Job): number {
  if (job.failures.isSuspected) return job.placements.size;
  return Math.min(job.spec.tasks - job.doneCount, sources.extensions.placementLimit(job.id));
}

function teamViews(sources: SnapshotSources): Map<string, TeamView> {
  const usage = teamUsage(sources.jobs.values());
  const teams = new Map<string, TeamView>();
  for (const [name, { guarantee, limit }] of sources.quotas()) {
    teams.set(name, { guarantee, limit, used: usage.get(name) ?? { cpus: 0, gpus: 0 } });
  }
  return teams;
}

/** The placement slots in use: by placements, and by more exits that are not stored than usual. */
function slotUsage({ jobs, maxTrackedTasks: limit }: SnapshotSources): SlotUsage {
  let used = 0;
  let stopping = 0;
  let replicas = 0;
  let exits = 0;
  for (const { spec, phase, placements, unrecordedExits } of jobs.values()) {
    used += placements.size;
    stopping += phase === 'open' ? placements.stoppingCount : placements.size;
    exits += unrecordedExits.size;
    if (spec.kind === 'service') replicas += placements.size;
  }
  const excessExits = Math.max(0, exits - limit * UNRECORDED_EXITS_RATIO);
  used += excessExits;
  stopping += excessExits;
  return { limit, used, stopping, replicas };
}

function offers({ sources, types }: SnapshotContext): InstanceOffer[] {
  const list: InstanceOffer[] = [];
  for (const type of types) {
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        if (sources.provisioner.isBackedOff(type.name, zone, spot)) continue;
        list.push({ type, zone, spot, price: spot ? type.spotPrice : type.price });
      }
    }
  }
  return list;
}

function preemptionCandidates(context: SnapshotContext): PreemptionCandidate[] {
  const list: PreemptionCandidate[] = [];
  for (const job of context.sources.jobs.values()) {
    if (job.spec.kind === 'service') continue;
    for (const candidate of candidatesOf(context, job)) list.push(candidate);
  }
  return list;
}

function preemptibleJobs(context: SnapshotContext): PreemptibleJob[] {
  const list: PreemptibleJob[] = [];
  for (const job of openJobs(context.sources.jobs)) {
    if (job.spec.kind === 'array' || job.placements.size === 0) continue;
    list.push({ isGang: job.gang !== null, tasks: [...candidatesOf(context, job)] });
  }
  return list;
}

function* candidatesOf(
  { now, urgencies }: SnapshotContext,
  job: Job,
): Iterable<PreemptionCandidate> {
  const priority = urgencies.get(job.id)?.priority ?? job.spec.priority;
  const candidateJob = new CandidateJob(job, priority, now);
  for (const placement of job.placements.values())
    yield new PlacedCandidate(candidateJob, placement);
}

/** Replicas that consolidation may move; none while one of any open service is stopping. */
function movableReplicas(sources: SnapshotSources): ReplicaView[] {
  const list: ReplicaView[] = [];
  for (const job of openJobs(sources.jobs)) {
    if (job.spec.kind !== 'service') continue;
    for (const placement of job.placements.values()) {
      if (placement.stop) return [];
      if (placement.state !== 'running' || !sources.extensions.mayMove(job.id)) continue;
      list.push({ job: job.id, task: placement.task, machine: placement.machine, spec: job.spec });
    }
  }
  return list;
}
