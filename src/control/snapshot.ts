import type { Machine } from '../fleet/machine.js';
import type { Job, Placement } from '../jobs/tracked-job.js';
import type { MachineType } from '../fleet/types.js';
import type {
  JobView,
  MachineView,
  Offer,
  ReplicaView,
  Snapshot,
  TeamView,
  VictimView,
} from '../scheduler/model.js';
import { pipelineUrgency, type StepUrgency } from '../scheduler/pipelines.js';
import type { Leader } from './leader.js';
import { tasksAtOnce } from './opportunistic-work.js';
import { openJobs, pipelineSteps } from './pipeline-steps.js';
import { teamUse } from './team-use.js';

/**
 * For what share of a boot work without GPUs waits for what its like leaves, unless it is pressed.
 * Such work runs for less than a machine boots: one that is rented for it comes too late.
 */
const PATIENCE_BOOTS = 0.25;

/** What runs for longer than estimated is expected to go on for this share of its estimate. */
const LEAST_REMAINING = 0.25;

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
  const wall = leader.parts.runtime.clock.wall();
  const urgencies = pipelineUrgency(pipelineSteps(leader, now), wall);
  const types = [...leader.types.values()];
  const bootMs = types.map((type) => type.bootMs);
  const context = {
    ...{ leader, now, wall, urgencies, types },
    gpuBootMs: gpuBootMs(types),
    longestBootMs: Math.max(0, ...bootMs),
  };
  return {
    machines: machineViews(leader, now),
    jobs: jobViews(context),
    upcoming: upcoming(context),
    expected: leader.expectedDemand.observe(now, context.longestBootMs),
    leavingCpus: leavingCpus(leader),
    teams: teamViews(leader),
    types,
    offers: offers(context),
    victims: victims(context),
    movable: movable(leader),
    gateShut: [...openJobs(leader)].some((job) => job.gang?.holdsGate),
  };
}

/** The shortest boot where all machines have GPUs; null where some have none. */
function gpuBootMs(types: readonly MachineType[]): number | null {
  if (types.some((type) => type.room.gpus === 0)) return null;
  return Math.min(...types.map((type) => type.bootMs));
}

function machineViews(leader: Leader, now: number): MachineView[] {
  const { workers } = leader.parts.settings;
  const views: MachineView[] = [];
  for (const m of leader.fleet.machines.values()) {
    if (!m.type || m.returning || m.noticeAt !== null || m.faulty || m.draining) continue;
    const up = leader.fleet.isUsable(m, now);
    const booting = m.coming(now, workers.leaseMs, leader.fleet.boots);
    if (!up && !booting) continue;
    views.push(machineView(m, m.type, up, leader.reconciler.keepMs(m.type)));
  }
  leader.rentals.onOrder(now).forEach((r, i) => {
    const type = leader.types.get(r.type);
    if (!type) return;
    for (let n = 0; n < r.count; n++) {
      views.push({
        id: `order-${i}-${n}`,
        type,
        zone: r.zone,
        spot: r.spot,
        free: { ...type.room },
        up: false,
        images: new Set(),
        incomingGb: 0,
        tasksOf: new Map(),
        replicas: 0,
        keepMs: leader.reconciler.keepMs(type),
      });
    }
  });
  return views;
}

function machineView(m: Machine, type: MachineType, up: boolean, keepMs: number): MachineView {
  const tasksOf = new Map<string, number>();
  let replicas = 0;
  let incomingGb = 0;
  for (const image of m.images.values()) if (!image.here) incomingGb += image.gb;
  for (const p of m.placements.values()) {
    tasksOf.set(p.job.id, (tasksOf.get(p.job.id) ?? 0) + 1);
    if (p.job.spec.kind === 'service') replicas++;
  }
  return {
    id: m.id,
    type,
    zone: m.zone,
    spot: m.spot,
    free: m.free(),
    up,
    images: new Set(m.images.keys()),
    incomingGb,
    tasksOf,
    replicas,
    keepMs,
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
    if (job.readyAt !== null || job.unreadable || job.spec.need.gpus > 0) continue;
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
  for (const p of job.placements.values()) zones.set(p.zone, (zones.get(p.zone) ?? 0) + 1);
  // A gang is placed anew only when nothing of its last attempt can be left.
  const gangMay = !gang || (job.placements.size === 0 && gang.phase !== 'suspended');
  const urgency = context.urgencies.get(job.id);
  const waitedMs = wall - readyAt;
  return {
    id: job.id,
    spec,
    priority: urgency?.priority ?? spec.priority,
    readyAt,
    dueAt: urgency?.dueAt ?? readyAt,
    patient:
      spec.kind !== 'service' &&
      spec.need.gpus === 0 &&
      gpuBootMs !== null &&
      !(urgency?.pressed ?? false) &&
      waitedMs < gpuBootMs * PATIENCE_BOOTS,
    opportunistic: tasksAtOnce(leader.parts.settings, job, waitedMs, longestBootMs, leader.teams()),
    waiting: leader.extensions.startable(job),
    // What waits of a job that fails everywhere takes nothing of its team's guarantee from the rest.
    unfinished: job.failures.suspected
      ? job.placements.size
      : Math.min(spec.tasks - job.doneCount, leader.extensions.placementLimit(job.id)),
    zones,
    avoid: job.failures.avoided(now),
    gang: gang ? { holdsGate: gang.holdsGate, suspensions: gang.suspensions } : null,
    admissible: gangMay && !job.unreadable && job.failures.retryAt <= now,
    onTrial: job.failures.suspected,
  };
}

function teamViews(leader: Leader): Map<string, TeamView> {
  const use = teamUse(leader.jobs.values());
  const teams = new Map<string, TeamView>();
  for (const [name, { guarantee, limit }] of leader.teams()) {
    teams.set(name, { guarantee, limit, used: use.get(name) ?? { cpus: 0, gpus: 0 } });
  }
  return teams;
}

/** How much work of a task would have to be done again if it were stopped now without being saved. */
export function lossMs({ job, runningSince }: Placement, now: number): number {
  const ran = runningSince === null ? 0 : now - runningSince;
  const { checkpointMs } = job.spec;
  return checkpointMs > 0 ? Math.min(ran, checkpointMs) : ran;
}

function offers({ leader, types }: SnapshotContext): Offer[] {
  const list: Offer[] = [];
  for (const type of types) {
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        if (leader.rentals.refused(type.name, zone, spot)) continue;
        list.push({ type, zone, spot, price: spot ? type.spotPrice : type.price });
      }
    }
  }
  return list;
}

function victims({ leader, now, urgencies }: SnapshotContext): VictimView[] {
  const list: VictimView[] = [];
  for (const job of leader.jobs.values()) {
    if (job.spec.kind === 'service') continue;
    const priority = urgencies.get(job.id)?.priority ?? job.spec.priority;
    for (const p of job.placements.values()) {
      const ran = p.runningSince === null ? 0 : now - p.runningSince;
      const { estimateMs } = job.spec;
      list.push({
        job: job.id,
        task: p.task,
        machine: p.machine,
        spec: job.spec,
        priority,
        lossMs: lossMs(p, now),
        unsavedStops: job.unsavedStops.get(p.task) ?? 0,
        remainingMs: Math.max(estimateMs - ran, estimateMs * LEAST_REMAINING),
        wholeGang: job.gang !== null,
        // A trial of what fails everywhere is over soon: nothing is rented instead of its room.
        stopping: p.stop !== null || job.phase !== 'open' || job.failures.suspected,
      });
    }
  }
  return list;
}

function movable(leader: Leader): ReplicaView[] {
  const list: ReplicaView[] = [];
  for (const job of openJobs(leader)) {
    if (job.spec.kind !== 'service') continue;
    for (const p of job.placements.values()) {
      if (p.stop) return [];
      if (p.state !== 'running' || !leader.extensions.mayMove(job.id)) continue;
      list.push({ job: job.id, task: p.task, machine: p.machine, spec: job.spec });
    }
  }
  return list;
}
