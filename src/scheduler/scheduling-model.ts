/**
 * What a scheduling cycle sees (`Snapshot`) and what it decides (`SchedulingPlan`). Times in milliseconds
 * are monotonic unless stated otherwise; capacity is in processors, GPUs and GB of memory.
 */
import type { MachineType, Resources } from '../fleet/resources.js';
import type { JobSpec, Priority } from '../jobs/job.js';
import type { ExpectedTasks } from './demand-forecast.js';

/** A machine as a scheduling cycle sees it; the cycle works on its own copy of `free`. */
export interface MachineView {
  id: string;
  type: MachineType;
  zone: string;
  spot: boolean;
  free: Resources;
  /** False while it boots. */
  isUp: boolean;
  /** Images that are cached or on their way. */
  images: Set<string>;
  /** How much of them is still to be fetched. */
  incomingGb: number;
  /** How many tasks it holds, by job. */
  tasksOf: ReadonlyMap<string, number>;
  /** How many replicas of services it holds: they run longest, and keep it from scale-in. */
  replicas: number;
  /** Idle, it would be kept at least this long for work to come. */
  idleTimeoutMs: number;
}

/** An open job as a scheduling cycle sees it. */
export interface JobView {
  id: string;
  spec: JobSpec;
  /** Its own, or that of a more important job that depends on it. */
  priority: Priority;
  /** Since when it could start: its submission, or the end of its last dependency (time of day). */
  readyAt: number;
  /**
   * By when it should be done (time of day): the next deadline that can still be met, its own or that
   * of a job that depends on it; without a deadline, when it was ready.
   */
  dueAt: number;
  /**
   * It takes what work with GPUs leaves, and waits for capacity that other backfill frees: nothing is
   * preempted for it yet, and scale-out covers only what other backfill will not free.
   */
  isBackfill: boolean;
  /**
   * Of opportunistic work: how many of its tasks have to run at once for it to be in time. It takes
   * what is left on machines that are up, nothing is preempted for it, and scale-out covers no more
   * than these. Null for all other work.
   */
  opportunisticTasks: number | null;
  /** Tasks that are neither done nor possibly on a machine. */
  waitingTasks: number;
  /** Tasks that are not done. */
  unfinishedTasks: number;
  /** Where its tasks are or may be, by zone. */
  tasksByZone: ReadonlyMap<string, number>;
  /** Machines on which it failed. */
  avoidedMachines: ReadonlySet<string>;
  gang: GangView | null;
  /** False while it waits after a failure or on the inadmissible list. */
  isAdmissible: boolean;
  /**
   * It has failed on every machine so far. It is tried after all other work and on free capacity only:
   * nothing is preempted, reserved or scaled out for it, and it does not pass the gang gate.
   */
  isLastResortRetry: boolean;
}

/** State of a gang at the all-or-nothing gate (KEP-349). */
interface GangView {
  /** It was admitted to wait for capacity; until it starts, no other gang may be. */
  holdsGate: boolean;
  /** How often it was suspended. */
  suspensions: number;
}

/** The resources that quotas count. */
export interface TeamCapacity {
  cpus: number;
  gpus: number;
}

/** A team's quota and what it uses; the cycle adds what it starts or reserves to its own copy. */
export interface TeamView {
  guarantee: TeamCapacity;
  /** Infinity: not limited. */
  limit: TeamCapacity;
  used: TeamCapacity;
}

/** A task on a machine that could be preempted, or is on its way out. */
export interface PreemptionCandidate {
  job: string;
  task: number;
  machine: string;
  spec: JobSpec;
  /** That of its job, raised by jobs that depend on it. */
  priority: Priority;
  /** Work that would have to be done again, in machine milliseconds. */
  lostWorkMs: number;
  /** How often it was stopped before without a checkpoint. */
  stopsWithoutCheckpoint: number;
  /** For how long it should still run, by its owner's estimate. */
  remainingMs: number;
  /** Gangs stop whole, so their tasks are never preempted one by one. */
  isGangMember: boolean;
  /** It frees its capacity by itself: it was told to stop, or will most likely fail. */
  isStopping: boolean;
}

/** A running replica of a service that could move to another machine. */
export interface ReplicaView {
  job: string;
  task: number;
  machine: string;
  spec: JobSpec;
}

/** Machines of one kind that the cloud may provision. */
export interface InstanceOffer {
  type: MachineType;
  zone: string;
  spot: boolean;
  price: number;
}

/** What one scheduling cycle decides on. The cycle changes nothing but this. */
export interface Snapshot {
  machines: MachineView[];
  /** Open jobs without open dependencies. */
  jobs: JobView[];
  /** Jobs without GPUs whose dependencies should be done before a machine could boot. */
  upcomingJobs: JobView[];
  /** Tasks not submitted yet that are expected to need capacity before a machine could boot. */
  expectedTasks: ExpectedTasks[];
  /** Processors of running work without GPUs: most of it ends before a machine could boot. */
  leavingCpus: number;
  teams: ReadonlyMap<string, TeamView>;
  types: MachineType[];
  /** What scale-out may use: offers refused lately are left out. */
  offers: InstanceOffer[];
  preemptionCandidates: PreemptionCandidate[];
  /** Replicas that could move; empty while some are moving. */
  movableReplicas: ReplicaView[];
  /** True while an admitted gang is placed but not ready: no other passes the gate (KEP-349). */
  isGateClosed: boolean;
}

/** Tasks of one job that start. */
export interface Start {
  job: string;
  /** How many of its waiting tasks go to which machine. */
  assignments: { machine: string; count: number }[];
}

/** Machines of one offer to provision. */
export interface ScaleOutRequest {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** A task by its job and index. */
export interface TaskId {
  job: string;
  task: number;
}

/** What one scheduling cycle decides. */
export interface SchedulingPlan {
  starts: Start[];
  /** The gang that passes the gate to wait for capacity. */
  admittedGang: string | null;
  /** Tasks to preempt, or replicas to move. */
  stops: TaskId[];
  scaleOut: ScaleOutRequest[];
  /** Machines that are empty or hold only opportunistic work, and that nothing else needs. */
  idleMachines: string[];
  /** Of these, machines whose opportunistic work fits elsewhere; the emptiest first. */
  drainableMachines: string[];
  /** Work that would start or reserve capacity if its team's limit were higher. */
  quotaLimited: QuotaLimitedTasks;
}

/** Waiting tasks held back by their team's limit, by team; teams without any are left out. */
export type QuotaLimitedTasks = ReadonlyMap<string, number>;
