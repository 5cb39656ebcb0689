/**
 * The leader's view of one machine: heartbeats, state at the cloud, placements, images and
 * failures.
 */
import type { FailureHistory } from '../jobs/failure-history.js';
import type { Placement } from '../jobs/tracked-job.js';
import type { ListedMachine } from '../wire/cloud.js';
import type { WorkerHeartbeat } from '../wire/worker-heartbeat.js';
import type { BootTimes } from './boot-times.js';
import { FailedJobs } from './failed-jobs.js';
import { ImageCache, type CachedImage } from './image-cache.js';
import { MachinePlacements } from './machine-placements.js';
import type { MachineType, Resources } from './resources.js';
import { subtract } from './resources.js';
import { UnacknowledgedExits } from './unacknowledged-exits.js';

/** A machine is faulty once this many jobs that run well elsewhere have failed on it. */
const FAULTY_MIN_FAILED_JOBS = 2;

/** One machine and the placements that may be on it. Times are monotonic, in milliseconds. */
export class Machine {
  type: MachineType | null = null;
  zone = '';
  spot = false;
  /** Agent epoch and sequence number of the newest heartbeat or direct response; -1 if none. */
  agentEpoch = -1;
  sequence = -1;
  /** The same for ordinary heartbeats only, which a response to a direct command may overtake. */
  lastHeartbeat = { agentEpoch: -1, sequence: -1 };
  /** Whether a heartbeat has carried this term's fencing token, so answers reach the worker. */
  isTokenConfirmed = false;
  firstHeartbeatAt: number | null = null;
  /**
   * When the last heartbeat was applied, and when one was last answered; null if not in this term.
   */
  lastHeartbeatAt: number | null = null;
  lastAnsweredAt: number | null = null;
  /** Time since which heartbeats have arrived without a gap in this agent epoch. */
  steadySince = 0;
  /** Address at which the worker accepts direct commands; null before the first heartbeat. */
  address: string | null = null;
  cloudState: ListedMachine['state'] | null = null;
  /** When a listing first reported the machine as running. */
  cloudRunningSince: number | null = null;
  provisionedAt: number;
  /** Consecutive listings that did not contain the machine. */
  missedListings = 0;
  preemptionNoticeAt: number | null = null;
  isReleasing = false;
  /** The tasks of the machine are being stopped so that it can be released. */
  isDraining = false;
  /** Agent epochs that ended although heartbeats were answered: the worker misses the answers. */
  unansweredEpochs = 0;
  readonly placements = new MachinePlacements<Placement>();
  readonly unacknowledgedExits = new UnacknowledgedExits();
  idleSince: number;
  private readonly failedJobs: FailedJobs;
  private readonly imageCache = new ImageCache((image) => this.placements.usesImage(image));

  constructor(
    readonly id: string,
    now: number,
  ) {
    this.provisionedAt = now;
    this.idleSince = now;
    this.failedJobs = new FailedJobs(id);
  }

  /** Images that the machine has or is fetching, least recently used first. */
  get images(): ReadonlyMap<string, CachedImage> {
    return this.imageCache.images;
  }

  /** Sets zone, price class and age from the first listing that contains the machine. */
  initializeFromListing(listed: ListedMachine, now: number): void {
    this.provisionedAt = now - listed.ageMs;
    this.zone = listed.zone;
    this.spot = listed.spot;
  }

  /**
   * Applies a listing that contains the machine; `type` is null if the catalog does not have it.
   */
  applyListing(state: ListedMachine['state'], type: MachineType | null, now: number): void {
    this.type ??= type;
    this.cloudState = state;
    if (state === 'running') this.cloudRunningSince ??= now;
    this.missedListings = 0;
  }

  /** Counts a listing that does not contain the machine. */
  recordMissedListing(): void {
    this.missedListings++;
  }

  /** Marks the machine for release; it gets no new work. */
  beginRelease(): void {
    this.isReleasing = true;
  }

  /** Marks the machine for draining: its tasks are evicted so that it can be released. */
  beginDrain(): void {
    this.isDraining = true;
  }

  /** Updates the state of the machine itself from a newer heartbeat, except for the agent epoch. */
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
   * Starts a new agent epoch, after the lease of the previous one expired.
   *
   * @param maxSteadyMs a longer time of heartbeats without a gap should have kept that lease alive
   */
  beginEpoch(agentEpoch: number, now: number, maxSteadyMs: number): void {
    // Heartbeats were received and answered, but the lease expired nevertheless: answers get lost.
    if (this.agentEpoch >= 0 && now - this.steadySince > maxSteadyMs) this.unansweredEpochs++;
    this.agentEpoch = agentEpoch;
    this.steadySince = now;
    this.unacknowledgedExits.clear();
  }

  /** Records that a task of the job failed on this machine. */
  recordFailure(job: FailureHistory): void {
    this.failedJobs.record(job);
  }

  /**
   * Whether the machine may get new work: it is responsive, stays in the fleet and is not faulty.
   */
  isSchedulable(now: number, maxHeartbeatAgeMs: number): boolean {
    return (
      this.type !== null &&
      // Heartbeats that arrive while the records are being read do not set the agent epoch.
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

  /**
   * Whether all tasks that may have been sent to the worker are running replicas, so no change
   * is expected on the machine. False while it is to be released or reclaimed.
   */
  get isIdleOrServing(): boolean {
    if (this.preemptionNoticeAt !== null || this.isReleasing) return false;
    for (const placement of this.placements.values()) {
      if (placement.stage === 'recording' || placement.stage === 'recorded') continue;
      if (placement.job.spec.kind !== 'service' || placement.state !== 'running' || placement.stop)
        return false;
    }
    return true;
  }

  /** Whether a start on the machine is being recorded. */
  get hasStartBeingRecorded(): boolean {
    for (const placement of this.placements.values())
      if (placement.stage === 'recording') return true;
    return false;
  }

  /** Whether answers are known to reach the worker, or its first heartbeat is recent. */
  private isReachable(now: number, timeoutMs: number): boolean {
    return (
      this.isTokenConfirmed ||
      (this.firstHeartbeatAt !== null && now - this.firstHeartbeatAt < timeoutMs)
    );
  }

  /**
   * Whether the machine is quarantined: its worker misses answers, or jobs that run well elsewhere
   * fail on it.
   */
  get isFaulty(): boolean {
    return (
      this.unansweredEpochs > 0 || this.failedJobs.count(['sound'], 0) >= FAULTY_MIN_FAILED_JOBS
    );
  }

  /**
   * Whether jobs failed here for which it is not known yet if they fail everywhere. The machine
   * gets no work in the meantime; retries of those jobs elsewhere soon clear it or prove it faulty.
   */
  private isSuspect(now: number): boolean {
    return this.failedJobs.count(['sound', 'open'], now) >= FAULTY_MIN_FAILED_JOBS;
  }

  /**
   * Whether the first heartbeat of the machine is still expected, which is until `timeoutMs` after
   * the cloud first reported it as running. A machine whose boot is late is not expected, so that
   * another is provisioned in its place.
   */
  isExpected(now: number, timeoutMs: number, bootTimes: BootTimes): boolean {
    if (this.lastHeartbeatAt !== null || this.placements.size > 0 || this.type === null)
      return false;
    if (this.cloudState === 'booting') return !bootTimes.isLate(this, now);
    return this.cloudRunningSince !== null && now - this.cloudRunningSince < timeoutMs;
  }

  /** Whether the cloud reports the machine as booting and no heartbeat has arrived. */
  get isBooting(): boolean {
    return this.lastHeartbeatAt === null && this.cloudState === 'booting';
  }

  /** Capacity of the machine minus the requests of its placements. */
  freeCapacity(): Resources {
    const capacity: Resources = this.type
      ? { ...this.type.capacity }
      : { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const placement of this.placements.values()) subtract(capacity, placement.job.spec.need);
    return capacity;
  }

  /** Records that a task needs the image; `isPresent` is true once one has started with it. */
  recordImageUse(image: string, gb: number, isPresent: boolean): void {
    this.imageCache.recordUse(image, gb, isPresent, this.type?.cacheGb ?? Infinity);
  }

  /** Drops an image that is still being fetched if no task needs it any more. */
  cancelFetch(image: string): void {
    this.imageCache.cancelFetch(image);
  }

  /** Whether a heartbeat or direct response is newer than the newest one that has been applied. */
  isNewerReport(agentEpoch: number, sequence: number): boolean {
    return (
      agentEpoch > this.agentEpoch || (agentEpoch === this.agentEpoch && sequence > this.sequence)
    );
  }

  /** Whether an ordinary heartbeat is newer than the newest one that has arrived. */
  isNewerHeartbeat(agentEpoch: number, sequence: number): boolean {
    const { lastHeartbeat } = this;
    return (
      agentEpoch > lastHeartbeat.agentEpoch ||
      (agentEpoch === lastHeartbeat.agentEpoch && sequence > lastHeartbeat.sequence)
    );
  }
}
