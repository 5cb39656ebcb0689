import type { FailureAttribution, FailureHistory } from '../jobs/failure-history.js';
import type { Placement } from '../jobs/tracked-job.js';
import { dropOldest } from '../runtime/drop-oldest.js';
import type { BootTimes } from './boot-times.js';
import type { MachineType, Resources } from './resources.js';
import { subtract } from './resources.js';

export const taskKey = (job: string, task: number): string => `${job}/${task}`;
export const startKey = (job: string, task: number, attempt: number): string =>
  `${job}/${task}/${attempt}`;

/** So many jobs that run well elsewhere have to fail on a machine before it is taken for faulty. */
const FAULTY_JOBS = 2;

/** So many jobs that failed on a machine are remembered; where more fail they prove no less. */
const MAX_FAILED_JOBS = 16;

/** So many images are remembered on a machine, whatever their sizes say. */
const MAX_IMAGES = 200;

/** What is known of one machine, and what may be on it. */
export class Machine {
  type: MachineType | null = null;
  zone = '';
  spot = false;
  /** Session and sequence number of the newest report; -1: none yet. */
  agentEpoch = -1;
  sequence = -1;
  /** Of the newest ordinary report, which the answer to a direct command may have overtaken. */
  lastHeartbeat = { agentEpoch: -1, sequence: -1 };
  /** Its worker has reported with our token: our answers reach it. */
  isTokenConfirmed = false;
  firstHeartbeatAt: number | null = null;
  /** When the last report came, and when one was last answered; null: not in this term. */
  lastHeartbeatAt: number | null = null;
  lastAnsweredAt: number | null = null;
  /** Since when its reports have come without a gap. */
  steadySince = 0;
  /** Where its worker takes direct commands; null: it has not reported. */
  address: string | null = null;
  cloudState: 'booting' | 'running' | 'failed' | null = null;
  /** When the list first said that it runs. */
  cloudRunningSince: number | null = null;
  provisionedAt: number;
  missedListings = 0;
  preemptionNoticeAt: number | null = null;
  isReleasing = false;
  /** What is on it is being stopped, so that it can go back. */
  isDraining = false;
  /** Sessions that ended although we answered: its worker does not get the answers. */
  unansweredEpochs = 0;
  /** What is known of each job that failed here lately. */
  private readonly failedJobs = new Set<FailureHistory>();
  readonly placements = new Map<string, Placement>();
  /** Exited starts that must not be forgotten yet, since their end is not in the store. */
  readonly unrecordedExits = new Set<string>();
  /** Images on the machine or on their way, least recently used first. */
  readonly images = new Map<string, { gb: number; isPresent: boolean }>();
  idleSince: number;

  constructor(
    readonly id: string,
    now: number,
  ) {
    this.provisionedAt = now;
    this.idleSince = now;
  }

  /** A task of the job failed here. */
  recordFailure(job: FailureHistory): void {
    this.failedJobs.delete(job);
    this.failedJobs.add(job);
    dropOldest(this.failedJobs, MAX_FAILED_JOBS);
  }

  /** It may get new work: it answers, is not on its way out and has not proven faulty. */
  isSchedulable(now: number, maxHeartbeatAgeMs: number): boolean {
    return (
      this.type !== null &&
      // Heard while the records were being read only: its session is not known yet.
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

  /** Nothing on it changes by itself: it is empty, or holds replicas that run. */
  get isIdleOrServing(): boolean {
    if (this.preemptionNoticeAt !== null || this.isReleasing) return false;
    for (const placement of this.placements.values()) {
      if (placement.stage === 'recording' || placement.stage === 'recorded') continue;
      if (placement.job.spec.kind !== 'service' || placement.state !== 'running' || placement.stop)
        return false;
    }
    return true;
  }

  /** A start there is being written down. */
  get hasStartBeingRecorded(): boolean {
    for (const placement of this.placements.values())
      if (placement.stage === 'recording') return true;
    return false;
  }

  /** Our answers reach it, or it has only just begun to report. */
  private isReachable(now: number, patienceMs: number): boolean {
    return (
      this.isTokenConfirmed ||
      (this.firstHeartbeatAt !== null && now - this.firstHeartbeatAt < patienceMs)
    );
  }

  get isFaulty(): boolean {
    return this.unansweredEpochs > 0 || this.countFailedJobs(['sound'], 0) >= FAULTY_JOBS;
  }

  /**
   * Jobs have failed here of which nothing shows yet whether they fail everywhere. It gets no work
   * meanwhile; tried elsewhere, they soon clear it or prove it faulty.
   */
  private isSuspect(now: number): boolean {
    return this.countFailedJobs(['sound', 'open'], now) >= FAULTY_JOBS;
  }

  private countFailedJobs(blames: FailureAttribution[], now: number): number {
    let jobs = 0;
    for (const job of this.failedJobs) if (blames.includes(job.attribution(this.id, now))) jobs++;
    return jobs;
  }

  /**
   * Not heard of yet, but expected: it boots, or is said to run and its worker should report soon.
   * One that is late is not counted on any more, so that another is rented in its place.
   */
  isExpected(now: number, patienceMs: number, boots: BootTimes): boolean {
    if (this.lastHeartbeatAt !== null || this.placements.size > 0 || this.type === null)
      return false;
    if (this.cloudState === 'booting') return !boots.isLate(this, now);
    return this.cloudRunningSince !== null && now - this.cloudRunningSince < patienceMs;
  }

  /** The cloud says that it boots, and its worker has not reported. */
  get isBooting(): boolean {
    return this.lastHeartbeatAt === null && this.cloudState === 'booting';
  }

  freeCapacity(): Resources {
    const capacity: Resources = this.type
      ? { ...this.type.capacity }
      : { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const placement of this.placements.values()) subtract(capacity, placement.job.spec.need);
    return capacity;
  }

  /** Notes that a task needs the image; `here` once one has begun to run with it. */
  noteImage(image: string, gb: number, isPresent: boolean): void {
    const known = this.images.get(image);
    this.images.delete(image);
    this.images.set(image, { gb, isPresent: isPresent || (known?.isPresent ?? false) });
    let sum = 0;
    for (const entry of this.images.values()) sum += entry.gb;
    for (const [name, entry] of this.images) {
      if (sum <= (this.type?.cacheGb ?? Infinity) && this.images.size <= MAX_IMAGES) break;
      if (name === image || this.usesImage(name)) continue;
      this.images.delete(name);
      sum -= entry.gb;
    }
  }

  /** A fetch is given up when no task waits for it any more. */
  cancelFetch(image: string): void {
    if (!this.images.get(image)?.isPresent && !this.usesImage(image)) this.images.delete(image);
  }

  private usesImage(image: string): boolean {
    for (const placement of this.placements.values())
      if (placement.job.spec.image === image) return true;
    return false;
  }

  isNewer(agentEpoch: number, sequence: number): boolean {
    return (
      agentEpoch > this.agentEpoch || (agentEpoch === this.agentEpoch && sequence > this.sequence)
    );
  }

  /** Whether an ordinary report was sent after the newest one that has come. */
  isNewerHeartbeat(agentEpoch: number, sequence: number): boolean {
    const { lastHeartbeat } = this;
    return (
      agentEpoch > lastHeartbeat.agentEpoch ||
      (agentEpoch === lastHeartbeat.agentEpoch && sequence > lastHeartbeat.sequence)
    );
  }
}
