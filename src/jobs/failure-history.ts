/** Failure attribution: whether the failures of a job are its own fault or its machines'. */

/**
 * The pause after a failure begins with two heartbeat intervals and is doubled at most this often.
 */
const MAX_PAUSE_DOUBLINGS = 4;

/**
 * A machine on which a task failed is avoided for as many heartbeat intervals as the longest pause.
 */
const AVOIDANCE_INTERVALS = 2 ** MAX_PAUSE_DOUBLINGS;

/** On this many machines a job has to fail before the fault is looked for in the job. */
const SUSPICIOUS_MACHINES = 2;

/** A job that fails on more machines than this blames none of them, whatever else of it runs. */
const MAX_BLAMED_MACHINES = 3;

/**
 * Where a suspected job finds no free room for so many heartbeat intervals after its pause, it
 * counts as others do for one attempt, which may wait for gang admission and scale out: it may have
 * met faulty machines only.
 */
const IDLE_INTERVALS = 48;

/**
 * A task runs well once it has run for so many times as long as any that failed, and so many
 * heartbeat intervals more: starts and exits are known no better than that.
 */
const PROOF_RUNS = 2;
const PROOF_INTERVALS = 2;

/** One failure of a task. */
export interface Failure {
  /** Where it failed; null: its machine rejected the start, which says nothing about either. */
  machine: string | null;
  /** How long the task ran, in milliseconds. */
  ranMs: number;
  /** Monotonic time in milliseconds. */
  now: number;
}

/**
 * `sound`: the job runs well elsewhere, so its machine is at fault. `open`: nothing shows yet which
 * of the two is. `none`: the job is, or nothing will show it any more.
 */
export type FailureAttribution = 'sound' | 'open' | 'none';

/**
 * What the failures of one job's tasks show: is it the machines, or a mistake in the job, which
 * then fails everywhere?
 *
 * It lives in the leader's memory alone, so it costs no writes. A new leader knows nothing of it,
 * and tries a job with a mistake as a whole again before it is suspected: once, or twice if all of
 * its tasks were on one machine, for each change of leader. No pause outlives its leader either.
 */
export class FailureHistory {
  /** No task is placed before this monotonic time (ms). */
  retryAt = 0;
  /** Failures in a row; those within one pause count once. */
  private rounds = 0;
  /** When a task last failed on each machine; since a task of the job last ran well, if any did. */
  private readonly failedAt = new Map<string, number>();
  private longestRunMs = 0;
  private ranWell = false;
  private completedSome = false;
  private isAttemptDue = false;
  private isClosed = false;

  constructor(private readonly heartbeatIntervalMs = 1000) {}

  /** It fails wherever it is tried: a mistake of its own, until one of its tasks runs well. */
  get isSuspected(): boolean {
    return this.failsEverywhere && !this.isAttemptDue;
  }

  private get failsEverywhere(): boolean {
    return !this.ranWell && this.failedAt.size >= SUSPICIOUS_MACHINES;
  }

  /** Whether its running tasks may still show that the job is sound. */
  get isUndecided(): boolean {
    return !this.ranWell && this.failedAt.size > 0;
  }

  record({ machine, ranMs, now }: Failure): void {
    // What fails during the pause was started before it, as by tasks that share a faulty machine: it
    // is one failure, or the rest of the job would wait for long beside machines that are sound.
    if (now >= this.retryAt) {
      this.rounds++;
      const doublings = Math.min(this.rounds, MAX_PAUSE_DOUBLINGS);
      this.retryAt = now + this.heartbeatIntervalMs * 2 ** doublings;
    }
    if (machine === null) return;
    this.isAttemptDue = false;
    // A run of this length was taken for a proof, and was none.
    if (ranMs >= this.proofMs && !this.completedSome) this.ranWell = false;
    this.longestRunMs = Math.max(this.longestRunMs, ranMs);
    this.failedAt.set(machine, now);
  }

  /** A task of it is complete. */
  recordCompletion(): void {
    this.completedSome = true;
    this.provenSound();
  }

  /** A task of it runs, and has done so for `ranMs`. */
  recordRunning(ranMs: number): void {
    if (this.failedAt.size === 0) this.rounds = 0;
    else if (ranMs > this.proofMs) this.provenSound();
  }

  /** Nothing of it is on a machine now. */
  recordIdle(now: number): void {
    if (now - this.retryAt > this.heartbeatIntervalMs * IDLE_INTERVALS) this.isAttemptDue = true;
  }

  /** The job is over: what nothing has shown by now stays open for ever. */
  close(): void {
    this.isClosed = true;
  }

  /** Machines to leave alone for a while. Not for good: there may be no others. */
  avoidedMachines(now: number): ReadonlySet<string> {
    const machines = new Set<string>();
    for (const [machine, at] of this.failedAt) if (this.isRecent(at, now)) machines.add(machine);
    return machines;
  }

  /** Failure attribution for a machine on which the job failed. */
  attribution(machine: string, now: number): FailureAttribution {
    const at = this.failedAt.get(machine);
    if (at === undefined || this.failsEverywhere || this.failedAt.size > MAX_BLAMED_MACHINES) {
      return 'none';
    }
    if (this.ranWell) return 'sound';
    return !this.isClosed && this.isRecent(at, now) ? 'open' : 'none';
  }

  private provenSound(): void {
    // Whether those machines were at fault or it was mended meanwhile, nobody knows: they are not
    // blamed. It may soon fail again on what is faulty, and is believed then.
    if (this.failsEverywhere) this.failedAt.clear();
    this.ranWell = true;
    this.rounds = 0;
  }

  private get proofMs(): number {
    return this.longestRunMs * PROOF_RUNS + this.heartbeatIntervalMs * PROOF_INTERVALS;
  }

  private isRecent(at: number, now: number): boolean {
    return now - at < this.heartbeatIntervalMs * AVOIDANCE_INTERVALS;
  }
}
