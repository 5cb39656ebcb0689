/** Failure attribution: whether the job or a machine causes the failures of a job's tasks. */

/**
 * The backoff after the n-th failure in a row is 2^n heartbeat intervals, with n capped at this
 * value.
 */
const MAX_BACKOFF_DOUBLINGS = 4;

/**
 * Heartbeat intervals for which a machine is avoided after a task failed on it: as long as the
 * longest backoff.
 */
const AVOIDANCE_INTERVALS = 2 ** MAX_BACKOFF_DOUBLINGS;

/** A job that has failed on at least this many machines is suspected to be faulty itself. */
const SUSPECT_AFTER_MACHINES = 2;

/**
 * If a job has failed on more machines than this, its failures are attributed to none of them, even
 * if other tasks of it run.
 */
const MAX_BLAMED_MACHINES = 3;

/**
 * If a suspected job finds no free capacity for this many heartbeat intervals after its backoff, it
 * is treated like any other job for one attempt, which may wait for gang admission and scale out:
 * it may have run on faulty machines only.
 */
const FULL_ATTEMPT_AFTER_INTERVALS = 48;

/**
 * A task counts as healthy once it has run for more than `HEALTHY_RUN_RATIO` times the longest run
 * that failed plus `HEALTHY_EXTRA_INTERVALS` heartbeat intervals: starts and exits are not known
 * more accurately than that.
 */
const HEALTHY_RUN_RATIO = 2;
const HEALTHY_EXTRA_INTERVALS = 2;

/** One failure of a task. */
export interface Failure {
  /**
   * The machine on which it failed. Null if the machine rejected the start, which is evidence
   * neither against the job nor against the machine.
   */
  machine: string | null;
  /** How long the task ran, in milliseconds. */
  ranMs: number;
  /** Monotonic time in milliseconds. */
  now: number;
}

/**
 * `sound`: the job runs on other machines, so the machine is at fault. `open`: it is not yet known
 * whether the job or the machine is at fault. `none`: the job is at fault, or it can no longer be
 * decided.
 */
export type FailureAttribution = 'sound' | 'open' | 'none';

/**
 * Decides from the failures of one job's tasks whether the machines are faulty, or the job itself,
 * which then fails everywhere.
 *
 * The history is kept in the leader's memory only, so it costs no writes. A new leader starts
 * without it: after each change of leader a faulty job is started in full again before it is
 * suspected, once, or twice if all of its tasks were on one machine. Backoffs are lost as well.
 */
export class FailureHistory {
  /** Monotonic time (ms) before which no task of the job is placed. */
  retryAt = 0;
  /** Consecutive failures; all failures within one backoff count once. */
  private consecutiveFailures = 0;
  /**
   * Monotonic time (ms) of the last failure on each machine. Cleared when a task proves to be
   * healthy after the job had been failing everywhere.
   */
  private readonly failedAt = new Map<string, number>();
  private longestRunMs = 0;
  private isProvenHealthy = false;
  private hasCompletedTask = false;
  private isFullAttemptDue = false;
  private isClosed = false;

  constructor(private readonly heartbeatIntervalMs = 1000) {}

  /**
   * The job has failed on several machines, so it counts as faulty until one of its tasks is
   * healthy; false while a full attempt is due, see `FULL_ATTEMPT_AFTER_INTERVALS`.
   */
  get isSuspected(): boolean {
    return this.failsEverywhere && !this.isFullAttemptDue;
  }

  private get failsEverywhere(): boolean {
    return !this.isProvenHealthy && this.failedAt.size >= SUSPECT_AFTER_MACHINES;
  }

  /** True while a running task can still show that the job is healthy. */
  get isUndecided(): boolean {
    return !this.isProvenHealthy && this.failedAt.size > 0;
  }

  record({ machine, ranMs, now }: Failure): void {
    // A task that fails during the backoff was started before it, such as several tasks on one
    // faulty machine. They count as one failure: otherwise the rest of the job would wait too long
    // although healthy machines are available.
    if (now >= this.retryAt) {
      this.consecutiveFailures++;
      const doublings = Math.min(this.consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
      this.retryAt = now + this.heartbeatIntervalMs * 2 ** doublings;
    }
    if (machine === null) return;
    this.isFullAttemptDue = false;
    // A run of this length had counted as healthy, but the task failed after all.
    if (ranMs >= this.healthyAfterMs && !this.hasCompletedTask) this.isProvenHealthy = false;
    this.longestRunMs = Math.max(this.longestRunMs, ranMs);
    this.failedAt.set(machine, now);
  }

  /** A task of the job has completed. */
  recordCompletion(): void {
    this.hasCompletedTask = true;
    this.markHealthy();
  }

  /** A task of the job has been running for `ranMs` and still runs. */
  recordRunning(ranMs: number): void {
    if (this.failedAt.size === 0) this.consecutiveFailures = 0;
    else if (ranMs > this.healthyAfterMs) this.markHealthy();
  }

  /** No task of the job is on a machine. */
  recordIdle(now: number): void {
    if (now - this.retryAt > this.heartbeatIntervalMs * FULL_ATTEMPT_AFTER_INTERVALS)
      this.isFullAttemptDue = true;
  }

  /** The job has ended: an undecided attribution can no longer be resolved. */
  close(): void {
    this.isClosed = true;
  }

  /** Machines to avoid for now; the avoidance expires, since there may be no other machines. */
  avoidedMachines(now: number): ReadonlySet<string> {
    const machines = new Set<string>();
    for (const [machine, at] of this.failedAt) if (this.isRecent(at, now)) machines.add(machine);
    return machines;
  }

  /** Returns the failure attribution for a machine on which the job failed. */
  attribution(machine: string, now: number): FailureAttribution {
    const at = this.failedAt.get(machine);
    if (at === undefined || this.failsEverywhere || this.failedAt.size > MAX_BLAMED_MACHINES) {
      return 'none';
    }
    if (this.isProvenHealthy) return 'sound';
    return !this.isClosed && this.isRecent(at, now) ? 'open' : 'none';
  }

  private markHealthy(): void {
    // It is unknown whether those machines were faulty or the job was fixed in the meantime, so the
    // machines are not blamed. If one of them is faulty, the job soon fails there again, and then
    // the failure counts against the machine.
    if (this.failsEverywhere) this.failedAt.clear();
    this.isProvenHealthy = true;
    this.consecutiveFailures = 0;
  }

  private get healthyAfterMs(): number {
    return (
      this.longestRunMs * HEALTHY_RUN_RATIO + this.heartbeatIntervalMs * HEALTHY_EXTRA_INTERVALS
    );
  }

  private isRecent(at: number, now: number): boolean {
    return now - at < this.heartbeatIntervalMs * AVOIDANCE_INTERVALS;
  }
}
