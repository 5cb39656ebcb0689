import type { Machine } from '../fleet/machine.js';
import type { Job } from '../jobs/tracked-job.js';
import type { JobSpec } from '../jobs/job.js';
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
import { pipelineUrgency, type PipelineStep, type StepUrgency } from '../scheduler/pipelines.js';
import type { Settings } from '../settings/deploy.js';
import type { Leader } from './leader.js';

/** A step's start takes about so many report intervals: an end seen, a start recorded and sent. */
const START_REPORTS = 2;

/**
 * For what share of a boot work without GPUs waits for what its like leaves, unless it is pressed.
 * Such work runs for less than a machine boots: one that is rented for it comes too late.
 */
const PATIENCE_BOOTS = 0.25;

/** What the leader believes at one moment, for a round of decisions. */
export function takeSnapshot(leader: Leader, now: number): Snapshot {
  const urgencies = pipelineUrgency(pipelineSteps(leader, now), leader.parts.runtime.clock.wall());
  return {
    machines: machineViews(leader, now),
    jobs: jobViews(leader, now, urgencies),
    upcoming: upcoming(leader, now, urgencies),
    leavingCpus: leavingCpus(leader),
    teams: teamViews(leader),
    types: [...(leader.parts.catalogue.types.value?.values() ?? [])],
    offers: offers(leader),
    victims: victims(leader, now, urgencies),
    movable: movable(leader),
    gateShut: [...leader.jobs.values()].some((j) => j.gang?.holdsGate && j.phase === 'open'),
  };
}

function machineViews(leader: Leader, now: number): MachineView[] {
  const { workers } = leader.parts.settings;
  const views: MachineView[] = [];
  for (const m of leader.fleet.machines.values()) {
    if (!m.type || m.returning || m.noticeAt !== null || m.faulty) continue;
    const up = m.usable(now, workers.leaseMs / 3);
    const booting = m.coming(now, workers.leaseMs, leader.fleet.boots);
    if (!up && !booting) continue;
    views.push(machineView(m, m.type, up, leader.reconciler.keepMs(m.type)));
  }
  leader.rentals.onOrder(now).forEach((r, i) => {
    const type = leader.parts.catalogue.types.value?.get(r.type);
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
function jobViews(
  leader: Leader,
  now: number,
  urgencies: ReadonlyMap<string, StepUrgency>,
): JobView[] {
  const views: JobView[] = [];
  const bootMs = bootMsWithGpus(leader);
  for (const job of leader.jobs.values()) {
    if (job.phase !== 'open' || job.readyAt === null) continue;
    views.push(jobView(leader, job, job.readyAt, bootMs, now, urgencies));
  }
  return views;
}

/** Work without GPUs that is expected to be ready before a machine that is rented now is up. */
function upcoming(
  leader: Leader,
  now: number,
  urgencies: ReadonlyMap<string, StepUrgency>,
): JobView[] {
  const views: JobView[] = [];
  const bootMs = bootMsWithGpus(leader);
  if (bootMs === null) return views;
  const wall = leader.parts.runtime.clock.wall();
  for (const job of leader.jobs.values()) {
    if (job.phase !== 'open' || job.readyAt !== null || job.unreadable) continue;
    const readyInMs = urgencies.get(job.id)?.readyInMs ?? Infinity;
    if (job.spec.need.gpus > 0 || readyInMs > bootMs) continue;
    views.push(jobView(leader, job, wall + readyInMs, bootMs, now, urgencies));
  }
  return views;
}

/** The shortest boot where all machines have GPUs; null where some have none. */
function bootMsWithGpus(leader: Leader): number | null {
  const types = [...(leader.parts.catalogue.types.value?.values() ?? [])];
  if (types.some((t) => t.room.gpus === 0)) return null;
  return Math.min(...types.map((t) => t.bootMs));
}

function leavingCpus(leader: Leader): number {
  let cpus = 0;
  for (const { spec, placements } of leader.jobs.values()) {
    if (spec.kind !== 'service' && spec.need.gpus === 0) cpus += spec.need.cpus * placements.size;
  }
  return cpus;
}

function jobView(
  leader: Leader,
  job: Job,
  readyAt: number,
  bootMs: number | null,
  now: number,
  urgencies: ReadonlyMap<string, StepUrgency>,
): JobView {
  const { spec, gang } = job;
  const zones = new Map<string, number>();
  for (const p of job.placements.values()) zones.set(p.zone, (zones.get(p.zone) ?? 0) + 1);
  // A gang is placed anew only when nothing of its last attempt can be left.
  const gangMay = !gang || (job.placements.size === 0 && gang.phase !== 'suspended');
  const urgency = urgencies.get(job.id);
  const waitedMs = leader.parts.runtime.clock.wall() - readyAt;
  return {
    id: job.id,
    spec,
    priority: urgency?.priority ?? spec.priority,
    readyAt,
    dueAt: urgency?.dueAt ?? readyAt,
    patient:
      spec.kind !== 'service' &&
      spec.need.gpus === 0 &&
      bootMs !== null &&
      !(urgency?.pressed ?? false) &&
      waitedMs < bootMs * PATIENCE_BOOTS,
    waiting: job.startable,
    // What waits of a job that fails everywhere takes nothing of its team's guarantee from the rest.
    unfinished: job.failures.suspected ? job.placements.size : spec.tasks - job.doneCount,
    zones,
    avoid: job.failures.avoided(now),
    gang: gang ? { holdsGate: gang.holdsGate, suspensions: gang.suspensions } : null,
    admissible: gangMay && !job.unreadable && job.failures.retryAt <= now,
    onTrial: job.failures.suspected,
  };
}

function pipelineSteps(leader: Leader, now: number): PipelineStep[] {
  const aims = deadlineSteps(leader.parts.settings);
  const steps: PipelineStep[] = [];
  for (const job of leader.jobs.values()) {
    if (job.phase !== 'open') continue;
    steps.push({
      id: job.id,
      spec: job.spec,
      submittedAt: job.submittedAt,
      readyAt: job.readyAt,
      dependencies: job.dependencies,
      remainingMs: remainingMs(leader, job, now),
      deadlineSteps: aims.get(job.spec.jobClass) ?? [],
    });
  }
  return steps;
}

/**
 * Expected time until a job is done once it is ready: its estimate and, if some of it is still to
 * be started, the image's fetch and the time to record and send its starts.
 */
function remainingMs(leader: Leader, job: Job, now: number): number {
  const { spec } = job;
  // A service is never done, and nobody may wait for it.
  if (spec.kind === 'service') return 0;
  if (job.waiting > 0) return startMs(leader, spec) + spec.estimateMs;
  let most = 0;
  for (const p of job.placements.values()) {
    const left =
      p.runningSince === null
        ? startMs(leader, spec) + spec.estimateMs
        : spec.estimateMs - (now - p.runningSince);
    most = Math.max(most, left);
  }
  return most;
}

/** From when a job is ready until its tasks run, where there is room for them. */
function startMs(leader: Leader, spec: JobSpec): number {
  let fetchMs = 0;
  for (const type of leader.parts.catalogue.types.value?.values() ?? []) {
    if (spec.types !== null && !spec.types.includes(type.name)) continue;
    fetchMs = Math.max(fetchMs, (spec.imageGb / type.fetchGbPerS) * 1000);
  }
  return fetchMs + leader.parts.settings.workers.reportMs * START_REPORTS;
}

/** By which multiples of their deadline the jobs of a class should be done, smallest first. */
function deadlineSteps(settings: Settings): Map<string, number[]> {
  const steps = new Map<string, number[]>();
  for (const o of settings.objectives) {
    if (o.kind !== 'deadline' || o.jobClass === null) continue;
    steps.set(
      o.jobClass,
      [...(steps.get(o.jobClass) ?? []), o.times].sort((a, b) => a - b),
    );
  }
  return steps;
}

/** What may be on machines counts in full until it is proven gone. */
function teamViews(leader: Leader): Map<string, TeamView> {
  const teams = new Map<string, TeamView>();
  for (const t of leader.parts.settings.teams.values()) {
    teams.set(t.name, { guarantee: t.guarantee, limit: t.limit, used: { cpus: 0, gpus: 0 } });
  }
  for (const job of leader.jobs.values()) {
    const team = teams.get(job.spec.team);
    if (!team) continue;
    const tasks = job.unreadable ? job.spec.tasks : job.placements.size;
    team.used.cpus += job.spec.need.cpus * tasks;
    team.used.gpus += job.spec.need.gpus * tasks;
  }
  return teams;
}

function offers(leader: Leader): Offer[] {
  const list: Offer[] = [];
  for (const type of leader.parts.catalogue.types.value?.values() ?? []) {
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        if (leader.rentals.refused(type.name, zone, spot)) continue;
        list.push({ type, zone, spot, price: spot ? type.spotPrice : type.price });
      }
    }
  }
  return list;
}

function victims(
  leader: Leader,
  now: number,
  urgencies: ReadonlyMap<string, StepUrgency>,
): VictimView[] {
  const list: VictimView[] = [];
  for (const job of leader.jobs.values()) {
    if (job.spec.kind === 'service') continue;
    const priority = urgencies.get(job.id)?.priority ?? job.spec.priority;
    for (const p of job.placements.values()) {
      const ran = p.runningSince === null ? 0 : now - p.runningSince;
      const { checkpointMs } = job.spec;
      list.push({
        job: job.id,
        task: p.task,
        machine: p.machine,
        spec: job.spec,
        priority,
        lossMs: checkpointMs > 0 ? Math.min(ran, checkpointMs) : ran,
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
  for (const job of leader.jobs.values()) {
    if (job.spec.kind !== 'service' || job.phase !== 'open') continue;
    for (const p of job.placements.values()) {
      if (p.stop) return [];
      if (p.state !== 'running') continue;
      list.push({ job: job.id, task: p.task, machine: p.machine, spec: job.spec });
    }
  }
  return list;
}
