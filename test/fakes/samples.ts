import type { MachineType } from '../../src/fleet/resources.js';
import { Priority, type JobSpec } from '../../src/jobs/job.js';
import { TaskPlacement, type StartGroup } from '../../src/jobs/task-placement.js';
import type { Job, Placement } from '../../src/jobs/tracked-job.js';
import type {
  JobView,
  MachineView,
  Snapshot,
  TeamView,
} from '../../src/scheduler/scheduling-model.js';

/** The largest number of tasks of one job. */
export const MAX_TASKS = 100_000;

/** The machine type that scheduler tests use. */
export const TYPE: MachineType = {
  name: 'g8',
  capacity: { cpus: 48, gpus: 8, memoryGb: 288 },
  cacheGb: 400,
  fetchGbPerS: 2,
  price: 20,
  spotPrice: 7,
  bootMs: 40_000,
  zones: ['a', 'b'],
};

/** An empty machine in the view of a scheduling cycle. */
export function machine(id: string, overrides: Partial<MachineView> = {}): MachineView {
  return {
    id,
    count: 1,
    type: TYPE,
    zone: 'a',
    spot: false,
    free: { ...TYPE.capacity },
    isUp: true,
    images: new Set(),
    incomingGb: 0,
    tasksByJob: new Map(),
    replicas: 0,
    idleTimeoutMs: 40_000,
    ...overrides,
  };
}

/** The job that scheduler tests vary. */
export const SPEC: JobSpec = {
  jobClass: 'c',
  team: 'vision',
  kind: 'array',
  priority: Priority.Normal,
  tasks: 4,
  need: { cpus: 1, gpus: 1, memoryGb: 4 },
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  image: 'img-1',
  imageGb: 4,
  estimateMs: 20_000,
  checkpointMs: 10_000,
  saveMs: 1000,
  deadlineMs: null,
};

/** A job in the view of a scheduling cycle, with all of its tasks waiting. */
export function jobView(id: string, spec: JobSpec, overrides: Partial<JobView> = {}): JobView {
  return {
    id,
    spec,
    priority: spec.priority,
    readyAt: 0,
    isBackfill: false,
    dueAt: 0,
    waitingTasks: spec.tasks,
    unfinishedTasks: spec.tasks,
    tasksByZone: new Map(),
    avoidedMachines: new Set(),
    gang: spec.kind === 'gang' ? { holdsGate: false, suspensions: 0 } : null,
    isAdmissible: true,
    isLastResortRetry: false,
    opportunisticConcurrency: null,
    ...overrides,
  };
}

/** The input of a scheduling cycle, empty except for the teams. */
export function snapshotWith(
  teams: ReadonlyMap<string, TeamView>,
  overrides: Partial<Snapshot> = {},
): Snapshot {
  return {
    machines: [],
    jobs: [],
    upcomingJobs: [],
    expectedTasks: [],
    cpusFreedSoon: 0,
    teams,
    slots: { limit: Infinity, used: 0, stopping: 0, replicas: 0 },
    types: [TYPE],
    offers: [],
    preemptionCandidates: [],
    preemptibleJobs: () => [],
    movableReplicas: [],
    isGateClosed: false,
    ...overrides,
  };
}

/** A valid submission except for the missing `ref`; nullable fields are left out. */
export const SUBMISSION = {
  lane: 'train',
  crew: 'vision',
  shape: 'array',
  urgency: 'standard',
  pieces: 1,
  vcpus: 1,
  gpus: 1,
  memoryGb: 4,
  crate: 'img-1',
  sizeGb: 4,
  samePlace: false,
  apart: false,
  driftwood: false,
  guessS: 20,
  snapshotEveryS: 10,
  stowS: 1,
};

/** What the starts of a job on `host-1` have in common. */
export const startGroup = (
  job: Job,
  overrides: Partial<StartGroup<Job>> = {},
): StartGroup<Job> => ({
  ...{ job, attempt: 1, machine: 'host-1', agentEpoch: 1, zone: 'a' },
  ...overrides,
});

/** A start of a task that is not in the store yet. */
export const unrecordedStart = (
  job: Job,
  task: number,
  overrides: Partial<StartGroup<Job>> = {},
): Placement => new TaskPlacement(startGroup(job, overrides), task, 'recording');
