/** What the leader knows of one machine: heartbeats, state in the cloud, placements, images, failures. */
import type { FailureHistory } from '../jobs/failure-history.js';
import type { Placement } from '../jobs/tracked-job.js';
import type { ListedMachine } from '../wire/cloud.js';
import type { WorkerHeartbeat } from '../wire/worker-heartbeat.js';
import type { BootTimes } from './boot-times.js';
import { FailedJobs } from './failed-jobs.js';
import { ImageCache, type CachedImage } from './image-cache.js';
import type { MachineType, Resources } from './resources.js';
import { subtract } from './resources.js';

/** Jobs that run well elsewhere and failed on a machine, from which on it counts as faulty. */
const FAULTY_JOBS = 2;

/** Key of a task. */
export const taskKey = (job: string, task: number): string => `${job}/${task}`;

/** Key of one start of a task. */
export const startKey = (job: string, task: number, attempt: number): string =>
  `${job}/${task}/${attempt}`;

/** One machine, and the placements that may be on it. Times are monotonic milliseconds. */
export class Machine {
  type: MachineType | null = null;
  zone = '';
  spot = false;
  /** Agent epoch and sequence number of the newest heartbeat; -1: none yet. */
  agentEpoch = -1;
  sequence = -1;
  /** Of the newest ordinary heartbeat, which the response to a direct command may have overtaken. */
  lastHeartbeat = { agentEpoch: -1, sequence: -1 };
  /** A heartbeat has carried our fencing token: our answers reach the worker. */
  isTokenConfirmed = false;
  firstHeartbeatAt: number | null = null;
  /** When the last heartbeat arrived, and when one was last answered; null: not in this term. */
  lastHeartbeatAt: number | null = null;
  lastAnsweredAt: number | null = null;
  /** Since when heartbeats have arrived without a gap. */
  steadySince = 0;
  /** Where the worker takes direct commands; null: no heartbeat yet. */
  address: string | null = null;
  cloudState: ListedMachine['state'] | null = null;
  /** When a listing first reported it as running. */
  cloudRunningSince: number | null = null;
  provisionedAt: number;
  /** Listings in a row that lacked it. */
  missedListings = 0;
  preemptionNoticeAt: number | null = null;
  isReleasing = false;
  /** Its tasks are being stopped so that it can be released. */
  isDraining = false;
  /** Agent epochs that ended although we answered: the worker does not receive our answers. */
  unansweredEpochs = 0;
  readonly placements = new Map<string, Placement>();
  /** Exited starts whose exit is not in the store yet, so that their worker must keep them. */
  readonly unrecordedExits = new Set<string>();
  idleSince: number;
  private readonly failedJobs: FailedJobs;
  private readonly imageCache = new ImageCache((image) => this.usesImage(image));

  constructor(
    readonly id: string,
    now: number,
  ) {
    this.provisionedAt = now;
    this.idleSince = now;
    this.failedJobs = new FailedJobs(id);
  }

  /** Images on the machine or on their way, least recently used first. */
  get images(): ReadonlyMap<string, CachedImage> {
    return this.imageCache.images;
  }

  /** Takes origin and age from the first listing that names the machine. */
  discover(listed: ListedMachine, now: number): void {
    this.provisionedAt = now - listed.ageMs;
    this.zone = listed.zone;
    this.spot = listed.spot;
  }

  /** A listing names the machine; `type` is null where the catalog lacks it. */
  applyListing(state: ListedMachine['state'], type: MachineType | null, now: number): void {
    this.type ??= type;
    this.cloudState = state;
    if (state === 'running') this.cloudRunningSince ??= now;
    this.missedListings = 0;
  }

  /** A listing lacks the machine. */
  recordMissedListing(): void {
    this.missedListings++;
  }

  /** The machine is to be released: it gets no new work. */
  beginRelease(): void {
    this.isReleasing = true;
  }

  /** Its tasks are to be evicted, so that it can be released. */
  beginDrain(): void {
    this.isDraining = true;
  }

  /** Takes what a newer heartbeat says of the machine itself, except for the agent epoch. */
  recordHeartbeat(
    heartbeat: WorkerHeartbeat,
    type: MachineType | null,
    now: number,
    maxGapMs: number,
  ): void {
    if (this.lastHeartbeatAt === null || now - this.lastHeartbeatAt > maxGapMs)
      this.steadySince = now;
    this.firstHeartbeatAt ??= now;
    this.lastHeartbeatAt = now;
    this.sequence = heartbeat.sequence;
    this.address = heartbeat.address;
    this.type = type ?? this.type;
    this.zone = heartbeat.zone;
    this.spot = heartbeat.spot;
    this.preemptionNoticeAt =
      heartbeat.preemptionNoticeMs === null ? null : now + heartbeat.preemptionNoticeMs;
  }

  /**
   * A new agent epoch has begun: the lease of the one before ran out.
   *
   * @param maxSteadyMs heartbeats without a gap for longer than this should have kept that lease alive
   */
  beginEpoch(agentEpoch: number, now: number, maxSteadyMs: number): void {
    // Heartbeats arrive and are answered, and the lease ran out all the same: answers get lost.
    if (this.agentEpoch >= 0 && now - this.steadySince > maxSteadyMs) this.unansweredEpochs++;
    this.agentEpoch = agentEpoch;
    this.steadySince = now;
    this.unrecordedExits.clear();
  }

  /** A task of the job failed here. */
  recordFailure(job: FailureHistory): void {
    this.failedJobs.record(job);
  }

  /** It may get new work: it is responsive, stays in the fleet and has not proven faulty. */
  isSchedulable(now: number, maxHeartbeatAgeMs: number): boolean {
    return (
      this.type !== null &&
      // Heard only while records were being read: its agent epoch is not known yet.
      this.agentEpoch >= 0 &&
      this.isReachable(now, maxHeartbeatAgeMs) &&
      !this.isReleasing &&
      this.preemptionNoticeAt === null &&
      this.cloudState !== 'failed' &&
      this.lastHeartbeatAt !== null &&
      now - this.lastHeartbeatAt <= maxHeartbeatAgeMs &&
      !this.isFaulty &&
      !this.isSuspect(now)
    );
  }

  /** Nothing on it changes by itself: it is idle, or holds running replicas only. */
  get isIdleOrServing(): boolean {
    if (this.preemptionNoticeAt !== null || this.isReleasing) return false;
    for (const placement of this.placements.values()) {
      if (placement.stage === 'recording' || placement.stage === 'recorded') continue;
      if (placement.job.spec.kind !== 'service' || placement.state !== 'running' || placement.stop)
        return false;
    }
    return true;
  }

  /** A start on it is being recorded. */
  get hasStartBeingRecorded(): boolean {
    for (const placement of this.placements.values())
      if (placement.stage === 'recording') return true;
    return false;
  }

  /** Our answers reach the worker, or its first heartbeat is recent. */
  private isReachable(now: number, timeoutMs: number): boolean {
    return (
      this.isTokenConfirmed ||
      (this.firstHeartbeatAt !== null && now - this.firstHeartbeatAt < timeoutMs)
    );
  }

  /** Quarantined: its worker misses our answers, or jobs that run well elsewhere fail here. */
  get isFaulty(): boolean {
    return this.unansweredEpochs > 0 || this.failedJobs.count(['sound'], 0) >= FAULTY_JOBS;
  }

  /**
   * Jobs failed here that may fail everywhere. The machine gets no work meanwhile; the retries of
   * those jobs elsewhere soon clear it or prove it faulty.
   */
  private isSuspect(now: number): boolean {
    return this.failedJobs.count(['sound', 'open'], now) >= FAULTY_JOBS;
  }

  /**
   * No heartbeat yet, but one is expected within `timeoutMs` of when the cloud reported it as running.
   * A machine whose boot is late is not expected, so that another is provisioned in its place.
   */
  isExpected(now: number, timeoutMs: number, boots: BootTimes): boolean {
    if (this.lastHeartbeatAt !== null || this.placements.size > 0 || this.type === null)
      return false;
    if (this.cloudState === 'booting') return !boots.isLate(this, now);
    return this.cloudRunningSince !== null && now - this.cloudRunningSince < timeoutMs;
  }

  /** The cloud reports it as booting, and its worker has not sent a heartbeat. */
  get isBooting(): boolean {
    return this.lastHeartbeatAt === null && this.cloudState === 'booting';
  }

  /** Capacity without what its placements take. */
  freeCapacity(): Resources {
    const capacity: Resources = this.type
      ? { ...this.type.capacity }
      : { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const placement of this.placements.values()) subtract(capacity, placement.job.spec.need);
    return capacity;
  }

  /** Records that a task needs the image; `isPresent` once one has begun to run with it. */
  noteImage(image: string, gb: number, isPresent: boolean): void {
    this.imageCache.note(image, gb, isPresent, this.type?.cacheGb ?? Infinity);
  }

  /** The worker gives up a fetch once no task waits for the image. */
  cancelFetch(image: string): void {
    this.imageCache.cancelFetch(image);
  }

  private usesImage(image: string): boolean {
    for (const placement of this.placements.values())
      if (placement.job.spec.image === image) return true;
    return false;
  }

  /** Whether a heartbeat or direct response was sent after the newest one that has arrived. */
  isNewer(agentEpoch: number, sequence: number): boolean {
    return (
      agentEpoch > this.agentEpoch || (agentEpoch === this.agentEpoch && sequence > this.sequence)
    );
  }

  /** Whether an ordinary heartbeat was sent after the newest one that has arrived. */
  isNewerHeartbeat(agentEpoch: number, sequence: number): boolean {
    const { lastHeartbeat } = this;
    return (
      agentEpoch > lastHeartbeat.agentEpoch ||
      (agentEpoch === lastHeartbeat.agentEpoch && sequence > lastHeartbeat.sequence)
    );
  }
}
