/**
 * Input (`Snapshot`) and output (`SchedulingPlan`) of a scheduling cycle. Times are in milliseconds
 * and monotonic unless stated otherwise; capacity is in CPUs, GPUs and GB of memory.
 */
import type { MachineType, Resources } from '../fleet/resources.js';
import type { JobSpec, Priority } from '../jobs/job.js';
import type { ExpectedTasks } from './demand-forecast.js';

/**
 * A machine in the snapshot, or several identical ones that are still being provisioned. The cycle
 * modifies `free`, `images`, `incomingGb` and `count`.
 */
export interface MachineView {
  /** Its id; a label if the cloud has not assigned one yet. */
  id: string;
  /** Number of identical machines that it stands for; 1 for a machine with an id. */
  count: number;
  type: MachineType;
  zone: string;
  spot: boolean;
  /** Free capacity of each of its machines. */
  free: Resources;
  /** False while it is being provisioned or boots. */
  isUp: boolean;
  /** Images that are cached or being fetched. */
  images: Set<string>;
  /** Total size of the images that are being fetched. */
  incomingGb: number;
  /** Number of its tasks by job id. */
  tasksByJob: ReadonlyMap<string, number>;
  /** Number of service replicas: they run longest and prevent scale-in. */
  replicas: number;
  /** Minimum time for which the machine is kept when idle, in case new tasks arrive. */
  idleTimeoutMs: number;
}

/** An open job in the snapshot. */
export interface JobView {
  id: string;
  spec: JobSpec;
  /** Its own priority, or the higher priority of a job that depends on it. */
  priority: Priority;
  /** Wall-clock time at which it became ready: its submission or the end of its last dependency. */
  readyAt: number;
  /**
   * Wall-clock time by which it should be done: the next deadline that can still be met, its own or
   * derived from a job that depends on it. Without a deadline, the time at which it became ready.
   */
  dueAt: number;
  /**
   * True for a CPU-only job that uses the capacity that GPU jobs leave, and that waits for capacity
   * that other backfill frees: no task is preempted for it yet, and scale-out covers only what
   * other backfill will not free.
   */
  isBackfill: boolean;
  /**
   * For an opportunistic job: the number of tasks that must run concurrently for it to be in time.
   * It uses leftover capacity on machines that are up, no task is preempted for it, and scale-out
   * covers at most this many tasks. Null for all other jobs.
   */
  opportunisticConcurrency: number | null;
  /** Number of tasks that are not done and neither on a machine nor possibly on one. */
  waitingTasks: number;
  /** Number of tasks that are not done. */
  unfinishedTasks: number;
  /** Number of its tasks that are or may be in each zone. */
  tasksByZone: ReadonlyMap<string, number>;
  /** Ids of machines to avoid because the job failed there. */
  avoidedMachines: ReadonlySet<string>;
  gang: GangView | null;
  /**
   * False while it waits for a retry after a failure, while one of its stored records is unreadable,
   * and for a gang that is suspended or still has placements.
   */
  isAdmissible: boolean;
  /**
   * True if it has failed on several machines and none of its tasks has proven healthy. It is tried
   * after all other jobs and on free capacity only, without preemption, reservations, scale-out or
   * admission at the gang gate.
   */
  isLastResortRetry: boolean;
}

/** State of a gang at the all-or-nothing gate (KEP-349). */
interface GangView {
  /** True once it is admitted to wait for capacity; no other gang is admitted until it starts. */
  holdsGate: boolean;
  /** Number of times it was suspended. */
  suspensions: number;
}

/** The resources that quotas count. */
export interface TeamCapacity {
  cpus: number;
  gpus: number;
}

/**
 * A team's quota and usage; the cycle adds started and reserved tasks to its own copy of `used`.
 */
export interface TeamView {
  guarantee: TeamCapacity;
  /** Infinity means unlimited. */
  limit: TeamCapacity;
  used: TeamCapacity;
}

/** A task on a machine that could be preempted or is already stopping. */
export interface PreemptionCandidate {
  job: string;
  task: number;
  machine: string;
  spec: JobSpec;
  /** Priority of its job, raised by jobs that depend on it. */
  priority: Priority;
  /** Run time of the task that would be lost and repeated, in milliseconds. */
  lostWorkMs: number;
  /** Whether it was stopped without a checkpoint before. */
  wasStoppedWithoutCheckpoint: boolean;
  /** Expected remaining run time, based on the owner's estimate. */
  remainingMs: number;
  /** True for tasks of gangs, which stop as a whole and are never preempted individually. */
  isGangMember: boolean;
  /**
   * True if it will free its capacity without preemption: it was told to stop or will most
   * likely fail.
   */
  isStopping: boolean;
}

/**
 * The tasks of a service or gang on machines. They are preempted only for placement slots, after all
 * `preemptionCandidates`, and those of a gang only together.
 */
export interface PreemptibleJob {
  isGang: boolean;
  tasks: readonly PreemptionCandidate[];
}

/** A running replica of a service that could move to another machine. */
export interface ReplicaView {
  job: string;
  task: number;
  machine: string;
  spec: JobSpec;
}

/** A machine type, zone and spot option that the cloud offers for provisioning. */
export interface InstanceOffer {
  type: MachineType;
  zone: string;
  spot: boolean;
  price: number;
}

/** The placement slots of the leader, see `PlacementSlots`. */
export interface SlotUsage {
  /** Number of tasks that the leader has memory to track. */
  limit: number;
  /** Number of tasks that are tracked; more than `limit` if an earlier leader placed them. */
  used: number;
  /** Those of them that are stopping and soon free their slots. */
  stopping: number;
  /** Those of them that are replicas, which run until their job is cancelled. */
  replicas: number;
}

/** Input of one scheduling cycle. The cycle modifies no other state. */
export interface Snapshot {
  machines: MachineView[];
  /** Open jobs without open dependencies. */
  jobs: JobView[];
  /** CPU-only jobs whose dependencies are expected to finish before a machine could boot. */
  upcomingJobs: JobView[];
  /** Tasks that are not submitted yet but expected to need capacity before a machine could boot. */
  expectedTasks: ExpectedTasks[];
  /** CPUs used by running CPU-only tasks, most of which finish before a machine could boot. */
  cpusFreedSoon: number;
  teams: ReadonlyMap<string, TeamView>;
  slots: SlotUsage;
  types: MachineType[];
  /** Offers available to scale-out, without those that the cloud recently refused. */
  offers: InstanceOffer[];
  preemptionCandidates: PreemptionCandidate[];
  /** Services and gangs on machines; called only if placement slots are short. */
  preemptibleJobs(): PreemptibleJob[];
  /** Replicas that may be moved; empty while a move is in progress. */
  movableReplicas: ReplicaView[];
  /** True while an admitted gang has not started; no other gang is admitted meanwhile (KEP-349). */
  isGateClosed: boolean;
}

/** Tasks of one job to start. */
export interface TaskStarts {
  job: string;
  /** Number of waiting tasks to start on each machine. */
  assignments: { machine: string; count: number }[];
}

/** Number of machines of one offer to provision. */
export interface ScaleOutRequest {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Identifies a task by its job and index. */
export interface TaskId {
  job: string;
  task: number;
}

/** Decisions of one scheduling cycle. */
export interface SchedulingPlan {
  starts: TaskStarts[];
  /** Id of the gang that is admitted at the gate to wait for capacity. */
  admittedGang: string | null;
  /** Tasks to preempt, or replicas to move. */
  stops: TaskId[];
  scaleOut: ScaleOutRequest[];
  /** Ids of machines with no tasks but opportunistic ones that no other job needs. */
  idleMachines: string[];
  /** Subset of `idleMachines` whose opportunistic tasks fit elsewhere, emptiest first. */
  drainableMachines: string[];
  /** Tasks that would start or reserve capacity if their team's limit were higher. */
  quotaLimited: QuotaLimitedTasks;
}

/**
 * Number of waiting tasks blocked by their team's limit, by team; teams without any are omitted.
 */
export type QuotaLimitedTasks = ReadonlyMap<string, number>;
