import type { Blame, FailureHistory } from '../jobs/failures.js';
import type { Placement } from '../jobs/tracked-job.js';
import { dropOldest } from '../runtime/drop-oldest.js';
import type { BootTimes } from './boot-times.js';
import type { MachineType, Need } from './types.js';
import { take } from './types.js';

export const taskKey = (job: string, task: number): string => `${job}/${task}`;
export const startKey = (job: string, task: number, attempt: number): string =>
  `${job}/${task}/${attempt}`;

/** So many jobs that run well elsewhere have to fail on a machine before it is taken for faulty. */
const FAULTY_JOBS = 2;

/** So many jobs that failed on a machine are remembered; where more fail they prove no less. */
const MOST_FAILED_JOBS = 16;

/** So many images are remembered on a machine, whatever their sizes say. */
const MOST_IMAGES = 200;

/** What is known of one machine, and what may be on it. */
export class Machine {
  type: MachineType | null = null;
  zone = '';
  spot = false;
  /** Session and sequence number of the newest report; -1: none yet. */
  session = -1;
  seq = -1;
  /** Of the newest ordinary report, which the answer to a direct command may have overtaken. */
  lastReport = { session: -1, seq: -1 };
  /** Its worker has reported with our token: our answers reach it. */
  confirmed = false;
  firstHeardAt: number | null = null;
  /** When the last report came, and when one was last answered; null: not in this term. */
  heardAt: number | null = null;
  answeredAt: number | null = null;
  /** Since when its reports have come without a gap. */
  steadySince = 0;
  /** Where its worker takes direct commands; null: it has not reported. */
  address: string | null = null;
  listedState: 'booting' | 'running' | 'failed' | null = null;
  /** When the list first said that it runs. */
  runningAt: number | null = null;
  rentedAt: number;
  missedLists = 0;
  noticeAt: number | null = null;
  returning = false;
  /** What is on it is being stopped, so that it can go back. */
  draining = false;
  /** Sessions that ended although we answered: its worker does not get the answers. */
  deafSessions = 0;
  /** What is known of each job that failed here lately. */
  private readonly failedJobs = new Set<FailureHistory>();
  readonly placements = new Map<string, Placement>();
  /** Exited starts that must not be forgotten yet, since their end is not in the store. */
  readonly unrecorded = new Set<string>();
  /** Images on the machine or on their way, least recently used first. */
  readonly images = new Map<string, { gb: number; here: boolean }>();
  idleSince: number;

  constructor(
    readonly id: string,
    now: number,
  ) {
    this.rentedAt = now;
    this.idleSince = now;
  }

  /** A task of the job failed here. */
  failed(job: FailureHistory): void {
    this.failedJobs.delete(job);
    this.failedJobs.add(job);
    dropOldest(this.failedJobs, MOST_FAILED_JOBS);
  }

  /** It may get new work: it answers, is not on its way out and has not proven faulty. */
  usable(now: number, silentMs: number): boolean {
    return (
      this.type !== null &&
      // Heard while the records were being read only: its session is not known yet.
      this.session >= 0 &&
      this.reached(now, silentMs) &&
      !this.returning &&
      this.noticeAt === null &&
      this.listedState !== 'failed' &&
      this.heardAt !== null &&
      now - this.heardAt <= silentMs &&
      !this.faulty &&
      !this.doubtful(now)
    );
  }

  /** Nothing on it changes by itself: it is empty, or holds replicas that run. */
  get quiet(): boolean {
    if (this.noticeAt !== null || this.returning) return false;
    for (const p of this.placements.values()) {
      if (p.stage === 'recording' || p.stage === 'recorded') continue;
      if (p.job.spec.kind !== 'service' || p.state !== 'running' || p.stop) return false;
    }
    return true;
  }

  /** A start there is being written down. */
  get expectsStart(): boolean {
    for (const p of this.placements.values()) if (p.stage === 'recording') return true;
    return false;
  }

  /** Our answers reach it, or it has only just begun to report. */
  private reached(now: number, patienceMs: number): boolean {
    return this.confirmed || (this.firstHeardAt !== null && now - this.firstHeardAt < patienceMs);
  }

  get faulty(): boolean {
    return this.deafSessions > 0 || this.blamedBy(['sound'], 0) >= FAULTY_JOBS;
  }

  /**
   * Jobs have failed here of which nothing shows yet whether they fail everywhere. It gets no work
   * meanwhile; tried elsewhere, they soon clear it or prove it faulty.
   */
  private doubtful(now: number): boolean {
    return this.blamedBy(['sound', 'open'], now) >= FAULTY_JOBS;
  }

  private blamedBy(blames: Blame[], now: number): number {
    let jobs = 0;
    for (const job of this.failedJobs) if (blames.includes(job.blames(this.id, now))) jobs++;
    return jobs;
  }

  /**
   * Not heard of yet, but expected: it boots, or is said to run and its worker should report soon.
   * One that is late is not counted on any more, so that another is rented in its place.
   */
  coming(now: number, patienceMs: number, boots: BootTimes): boolean {
    if (this.heardAt !== null || this.placements.size > 0 || this.type === null) return false;
    if (this.listedState === 'booting') return !boots.late(this, now);
    return this.runningAt !== null && now - this.runningAt < patienceMs;
  }

  /** The cloud says that it boots, and its worker has not reported. */
  get booting(): boolean {
    return this.heardAt === null && this.listedState === 'booting';
  }

  free(): Need {
    const room: Need = this.type ? { ...this.type.room } : { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const p of this.placements.values()) take(room, p.job.spec.need);
    return room;
  }

  /** Notes that a task needs the image; `here` once one has begun to run with it. */
  useImage(image: string, gb: number, here: boolean): void {
    const known = this.images.get(image);
    this.images.delete(image);
    this.images.set(image, { gb, here: here || (known?.here ?? false) });
    let sum = 0;
    for (const entry of this.images.values()) sum += entry.gb;
    for (const [name, entry] of this.images) {
      if (sum <= (this.type?.cacheGb ?? Infinity) && this.images.size <= MOST_IMAGES) break;
      if (name === image || this.usesImage(name)) continue;
      this.images.delete(name);
      sum -= entry.gb;
    }
  }

  /** A fetch is given up when no task waits for it any more. */
  dropFetch(image: string): void {
    if (!this.images.get(image)?.here && !this.usesImage(image)) this.images.delete(image);
  }

  private usesImage(image: string): boolean {
    for (const p of this.placements.values()) if (p.job.spec.image === image) return true;
    return false;
  }

  newer(session: number, seq: number): boolean {
    return session > this.session || (session === this.session && seq > this.seq);
  }

  /** Whether an ordinary report was sent after the newest one that has come. */
  newerReport(session: number, seq: number): boolean {
    const { lastReport } = this;
    return session > lastReport.session || (session === lastReport.session && seq > lastReport.seq);
  }
}
