import type { Machine } from '../../fleet/machine.js';
import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { MachineType } from '../../fleet/resources.js';
import type {
  JobView,
  MachineView,
  InstanceOffer,
  ReplicaView,
  Snapshot,
  TeamView,
  PreemptionCandidate,
} from '../../scheduler/scheduling-model.js';
import { pipelineUrgency, type StepUrgency } from '../../scheduler/pipelines.js';
import type { Leader } from '../leader.js';
import { tasksAtOnce } from './opportunistic-work.js';
import { openJobs, pipelineSteps } from './pipeline-steps.js';
import { teamUsage } from './team-usage.js';

/**
 * For what share of a boot work without GPUs waits for what its like leaves, unless it is pressed.
 * Such work runs for less than a machine boots: one that is rented for it comes too late.
 */
const BACKFILL_WAIT_BOOTS = 0.25;

/** What runs for longer than estimated is expected to go on for this share of its estimate. */
const MIN_REMAINING_RATIO = 0.25;

/** What all parts of one snapshot share, worked out once. */
interface SnapshotContext {
  leader: Leader;
  /** Steady time, and time of day. */
  now: number;
  wall: number;
  urgencies: ReadonlyMap<string, StepUrgency>;
  types: readonly MachineType[];
  /** The shortest boot where all machines have GPUs; null where some have none. */
  gpuBootMs: number | null;
  /** The longest boot of any type. */
  longestBootMs: number;
}

/** What the leader believes at one moment, for a round of decisions. */
export function takeSnapshot(leader: Leader, now: number): Snapshot {
  const wall = leader.context.runtime.clock.wall();
  const urgencies = pipelineUrgency(pipelineSteps(leader, now), wall);
  const types = [...leader.machineTypes.values()];
  const bootMs = types.map((type) => type.bootMs);
  const context = {
    ...{ leader, now, wall, urgencies, types },
    gpuBootMs: gpuBootMs(types),
    longestBootMs: Math.max(0, ...bootMs),
  };
  return {
    machines: machineViews(leader, now),
    jobs: jobViews(context),
    upcomingJobs: upcoming(context),
    expectedTasks: leader.expectedDemand.observe(now, context.longestBootMs),
    leavingCpus: leavingCpus(leader),
    teams: teamViews(leader),
    types,
    offers: offers(context),
    preemptionCandidates: victims(context),
    movableReplicas: movable(leader),
    isGateClosed: [...openJobs(leader)].some((job) => job.gang?.holdsGate),
  };
}

/** The shortest boot where all machines have GPUs; null where some have none. */
function gpuBootMs(types: readonly MachineType[]): number | null {
  if (types.some((type) => type.capacity.gpus === 0)) return null;
  return Math.min(...types.map((type) => type.bootMs));
}

function machineViews(leader: Leader, now: number): MachineView[] {
  const { workers } = leader.context.settings;
  const views: MachineView[] = [];
  for (const machine of leader.fleet.machines.values()) {
    if (
      !machine.type ||
      machine.isReleasing ||
      machine.preemptionNoticeAt !== null ||
      machine.isFaulty ||
      machine.isDraining
    )
      continue;
    const up = leader.fleet.isSchedulable(machine, now);
    const booting = machine.isExpected(now, workers.leaseMs, leader.fleet.bootTimes);
    if (!up && !booting) continue;
    views.push(
      machineView(machine, machine.type, up, leader.reconciler.idleTimeoutMs(machine.type)),
    );
  }
  leader.provisioner.pendingRequests(now).forEach((pendingRequest, i) => {
    const type = leader.machineTypes.get(pendingRequest.type);
    if (!type) return;
    for (let count = 0; count < pendingRequest.count; count++) {
      views.push({
        id: `order-${i}-${count}`,
        type,
        zone: pendingRequest.zone,
        spot: pendingRequest.spot,
        free: { ...type.capacity },
        isUp: false,
        images: new Set(),
        incomingGb: 0,
        tasksOf: new Map(),
        replicas: 0,
        idleTimeoutMs: leader.reconciler.idleTimeoutMs(type),
      });
    }
  });
  return views;
}

function machineView(
  machine: Machine,
  type: MachineType,
  up: boolean,
  idleTimeoutMs: number,
): MachineView {
  const tasksOf = new Map<string, number>();
  let replicas = 0;
  let incomingGb = 0;
  for (const image of machine.images.values()) if (!image.isPresent) incomingGb += image.gb;
  for (const placement of machine.placements.values()) {
    tasksOf.set(placement.job.id, (tasksOf.get(placement.job.id) ?? 0) + 1);
    if (placement.job.spec.kind === 'service') replicas++;
  }
  return {
    id: machine.id,
    type,
    zone: machine.zone,
    spot: machine.spot,
    free: machine.freeCapacity(),
    isUp: up,
    images: new Set(machine.images.keys()),
    incomingGb,
    tasksOf,
    replicas,
    idleTimeoutMs,
  };
}

/** Jobs that wait for others take no part in the decisions. */
function jobViews(context: SnapshotContext): JobView[] {
  const views: JobView[] = [];
  for (const job of openJobs(context.leader)) {
    if (job.readyAt !== null) views.push(jobView(context, job, job.readyAt));
  }
  return views;
}

/** Work without GPUs that is expected to be ready before a machine that is rented now is up. */
function upcoming(context: SnapshotContext): JobView[] {
  const { gpuBootMs, urgencies, wall } = context;
  const views: JobView[] = [];
  if (gpuBootMs === null) return views;
  for (const job of openJobs(context.leader)) {
    if (job.readyAt !== null || job.isUnreadable || job.spec.need.gpus > 0) continue;
    const readyInMs = urgencies.get(job.id)?.readyInMs ?? Infinity;
    if (readyInMs <= gpuBootMs) views.push(jobView(context, job, wall + readyInMs));
  }
  return views;
}

function leavingCpus(leader: Leader): number {
  let cpus = 0;
  for (const { spec, placements } of leader.jobs.values()) {
    if (spec.kind !== 'service' && spec.need.gpus === 0) cpus += spec.need.cpus * placements.size;
  }
  return cpus;
}

function jobView(context: SnapshotContext, job: Job, readyAt: number): JobView {
  const { leader, now, wall, gpuBootMs, longestBootMs } = context;
  const { spec, gang } = job;
  const zones = new Map<string, number>();
  for (const placement of job.placements.values())
    zones.set(placement.zone, (zones.get(placement.zone) ?? 0) + 1);
  // A gang is placed anew only when nothing of its last attempt can be left.
  const gangMay = !gang || (job.placements.size === 0 && gang.phase !== 'suspended');
  const priority = context.urgencies.get(job.id);
  const waitedMs = wall - readyAt;
  return {
    id: job.id,
    spec,
    priority: priority?.priority ?? spec.priority,
    readyAt,
    dueAt: priority?.dueAt ?? readyAt,
    isBackfill:
      spec.kind !== 'service' &&
      spec.need.gpus === 0 &&
      gpuBootMs !== null &&
      !(priority?.isPressed ?? false) &&
      waitedMs < gpuBootMs * BACKFILL_WAIT_BOOTS,
    opportunisticTasks: tasksAtOnce(
      leader.context.settings,
      job,
      waitedMs,
      longestBootMs,
      leader.quotas(),
    ),
    waitingTasks: leader.extensions.startableTasks(job),
    // What waits of a job that fails everywhere takes nothing of its team's guarantee from the rest.
    unfinishedTasks: job.failures.isSuspected
      ? job.placements.size
      : Math.min(spec.tasks - job.doneCount, leader.extensions.placementLimit(job.id)),
    tasksByZone: zones,
    avoidedMachines: job.failures.avoidedMachines(now),
    gang: gang ? { holdsGate: gang.holdsGate, suspensions: gang.suspensions } : null,
    isAdmissible: gangMay && !job.isUnreadable && job.failures.retryAt <= now,
    isLastResortRetry: job.failures.isSuspected,
  };
}

function teamViews(leader: Leader): Map<string, TeamView> {
  const use = teamUsage(leader.jobs.values());
  const teams = new Map<string, TeamView>();
  for (const [name, { guarantee, limit }] of leader.quotas()) {
    teams.set(name, { guarantee, limit, used: use.get(name) ?? { cpus: 0, gpus: 0 } });
  }
  return teams;
}

/** How much work of a task would have to be done again if it were stopped now without being saved. */
export function lostWorkMs({ job, runningSince }: Placement, now: number): number {
  const ran = runningSince === null ? 0 : now - runningSince;
  const { checkpointMs } = job.spec;
  return checkpointMs > 0 ? Math.min(ran, checkpointMs) : ran;
}

function offers({ leader, types }: SnapshotContext): InstanceOffer[] {
  const list: InstanceOffer[] = [];
  for (const type of types) {
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        if (leader.provisioner.isBackedOff(type.name, zone, spot)) continue;
        list.push({ type, zone, spot, price: spot ? type.spotPrice : type.price });
      }
    }
  }
  return list;
}

function victims({ leader, now, urgencies }: SnapshotContext): PreemptionCandidate[] {
  const list: PreemptionCandidate[] = [];
  for (const job of leader.jobs.values()) {
    if (job.spec.kind === 'service') continue;
    const priority = urgencies.get(job.id)?.priority ?? job.spec.priority;
    for (const placement of job.placements.values()) {
      const ran = placement.runningSince === null ? 0 : now - placement.runningSince;
      const { estimateMs } = job.spec;
      list.push({
        job: job.id,
        task: placement.task,
        machine: placement.machine,
        spec: job.spec,
        priority,
        lostWorkMs: lostWorkMs(placement, now),
        stopsWithoutCheckpoint: job.stopsWithoutCheckpoint.get(placement.task) ?? 0,
        remainingMs: Math.max(estimateMs - ran, estimateMs * MIN_REMAINING_RATIO),
        isGangMember: job.gang !== null,
        // A trial of what fails everywhere is over soon: nothing is rented instead of its room.
        isStopping: placement.stop !== null || job.phase !== 'open' || job.failures.isSuspected,
      });
    }
  }
  return list;
}

function movable(leader: Leader): ReplicaView[] {
  const list: ReplicaView[] = [];
  for (const job of openJobs(leader)) {
    if (job.spec.kind !== 'service') continue;
    for (const placement of job.placements.values()) {
      if (placement.stop) return [];
      if (placement.state !== 'running' || !leader.extensions.mayMove(job.id)) continue;
      list.push({ job: job.id, task: placement.task, machine: placement.machine, spec: job.spec });
    }
  }
  return list;
}
