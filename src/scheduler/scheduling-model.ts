import type { MachineType, Resources } from '../fleet/resources.js';
import type { JobSpec, Priority } from '../jobs/job.js';
import type { ExpectedTasks } from './demand-forecast.js';

/** A machine as a round of decisions sees it; the round works on its own copy of `free`. */
export interface MachineView {
  id: string;
  type: MachineType;
  zone: string;
  spot: boolean;
  free: Resources;
  /** False while it boots. */
  isUp: boolean;
  /** Images that are there or on their way, and how much is still to be fetched. */
  images: Set<string>;
  incomingGb: number;
  /** Of which jobs it holds how many tasks. */
  tasksOf: ReadonlyMap<string, number>;
  /** How many replicas of services it holds: they stay longest, and keep it from being given back. */
  replicas: number;
  /** Empty, it would be kept at least this long for what may come. */
  idleTimeoutMs: number;
}

export interface JobView {
  id: string;
  spec: JobSpec;
  /** Its own, or that of a more important job that needs it. */
  priority: Priority;
  /** Since when it could start: its submission, or the end of the last job that it needed. */
  readyAt: number;
  /**
   * By when it should be done: the next time that is asked for and can still be met, of its own or
   * of what needs it; without a deadline, when it was ready.
   */
  dueAt: number;
  /**
   * It takes what is left beside work with GPUs, and waits for room that its like leaves: nothing is
   * stopped for it yet, and no more is rented than its like will not leave.
   */
  isBackfill: boolean;
  /**
   * Of work that may wait and has no claim to a guarantee: how many of its tasks have to run at once
   * for it to be in time. It takes what is left on machines that are up, nothing makes way for it,
   * and nothing is rented for more than these. Null for all other work.
   */
  opportunisticTasks: number | null;
  /** Tasks that are neither done nor possibly on a machine. */
  waitingTasks: number;
  unfinishedTasks: number;
  /** Where its tasks are or may be, by zone. */
  tasksByZone: ReadonlyMap<string, number>;
  /** Machines on which it failed. */
  avoidedMachines: ReadonlySet<string>;
  gang: GangView | null;
  /** False while it waits after a failure or on the inadmissible list. */
  isAdmissible: boolean;
  /**
   * It has failed on every machine so far. It is tried after all else and where there is room anyway:
   * nothing makes way for it, is kept free or rented for it, and it is not admitted at the gate.
   */
  isLastResortRetry: boolean;
}

export interface GangView {
  /** It was admitted to wait for room, and nothing else that waits for room may be. */
  holdsGate: boolean;
  suspensions: number;
}

export interface TeamView {
  guarantee: { cpus: number; gpus: number };
  limit: { cpus: number; gpus: number };
  used: { cpus: number; gpus: number };
}

/** Work that could be stopped. */
export interface PreemptionCandidate {
  job: string;
  task: number;
  machine: string;
  spec: JobSpec;
  /** That of its job, with what needs it. */
  priority: Priority;
  /** Work that would have to be done again, in machine milliseconds. */
  lostWorkMs: number;
  /** How often it was stopped before without being saved. */
  stopsWithoutCheckpoint: number;
  /** For how long it should still run, by its owner's estimate. */
  remainingMs: number;
  /** All tasks of a gang stop together. */
  isGangMember: boolean;
  /** It makes room by itself: it was told to stop, or will most likely fail. */
  isStopping: boolean;
}

/** A replica that runs, and whose image other machines may have. */
export interface ReplicaView {
  job: string;
  task: number;
  machine: string;
  spec: JobSpec;
}

export interface InstanceOffer {
  type: MachineType;
  zone: string;
  spot: boolean;
  price: number;
}

export interface Snapshot {
  machines: MachineView[];
  /** Open jobs that wait for no others. */
  jobs: JobView[];
  /** Work without GPUs that waits for other jobs, but not for longer than a machine boots. */
  upcomingJobs: JobView[];
  /** Work that nobody has submitted yet, but that is expected to need room before a machine could boot. */
  expectedTasks: ExpectedTasks[];
  /** Processors that running work without GPUs holds; most of it ends before a machine could boot. */
  leavingCpus: number;
  teams: ReadonlyMap<string, TeamView>;
  types: MachineType[];
  /** What the cloud may rent out: offers refused lately are left out. */
  offers: InstanceOffer[];
  preemptionCandidates: PreemptionCandidate[];
  /** Replicas that could move; none while some are on the move. */
  movableReplicas: ReplicaView[];
  /** An admitted gang that is placed but not ready keeps the gate shut. */
  isGateClosed: boolean;
}

export interface Start {
  job: string;
  /** How many of its waiting tasks go to which machine. */
  assignments: { machine: string; count: number }[];
}

export interface ScaleOutRequest {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export interface SchedulingPlan {
  starts: Start[];
  /** The gang that passes the gate to wait for room. */
  admittedGang: string | null;
  stops: { job: string; task: number }[];
  scaleOut: ScaleOutRequest[];
  /** Machines that no task in sight needs, but opportunistic ones. */
  idleMachines: string[];
  /** Of these, what holds opportunistic work that finds room elsewhere; the emptiest first. */
  drainableMachines: string[];
  /** Work that would start, or be given room, if its team's limit were higher. */
  quotaLimited: QuotaLimitedTasks;
}

/** By team, how many waiting tasks its limit keeps from getting room; teams without any are left out. */
export type QuotaLimitedTasks = ReadonlyMap<string, number>;
