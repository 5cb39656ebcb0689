/** Resignation of a leader that no worker reaches. Times are monotonic, in milliseconds. */
import type { Machine } from '../../fleet/machine.js';
import type { Settings } from '../../settings/deploy.js';

/**
 * How long a new leader waits for its first worker heartbeat before its first resignation, as a
 * fraction of the workers' lease. Workers spend 0.4 of the lease on a controller that does not answer
 * before they try the next one.
 */
const FIRST_HEARTBEAT_RATIO = 0.5;

/**
 * The same for a leader that hears no other controller that could lead. If it is partitioned from
 * all of them, it should resign quickly. If it is the only one left, it leads again before the
 * workers arrive that tried two others first.
 */
const LONE_FIRST_HEARTBEAT_RATIO = 0.3;

/**
 * Timeout after the first resignation, in worker leases in addition to a boot; doubled with each
 * further resignation. One lease without a heartbeat proves that nothing runs any more; then machines
 * are provisioned, and have another lease to send their first heartbeat.
 */
const REPEATED_TIMEOUT_LEASES = 2;

/**
 * Heartbeat intervals after which the silence of all of many workers cannot be a coincidence; with few
 * workers, more intervals are needed. The timeout must be short, as the workers' leases keep running
 * and have to last until the workers have found the next leader.
 */
const MISSED_HEARTBEATS = 1.5;

/**
 * Counts consecutive resignations of this controller because no worker reached it. It outlives terms:
 * if the machines are gone no leader hears a worker, and if each resigned as early as the one before,
 * none would lead long enough to prove the machines gone and provision new ones.
 */
export class WorkerlessTerms {
  private count = 0;
  /** Whether, at the last resignation, no other controller that could lead was heard. */
  private wasAlone = false;

  /** Counts a resignation. `isAlone`: no other controller that could lead was heard. */
  recordResignation(isAlone: boolean): void {
    this.count++;
    this.wasAlone = isAlone;
  }

  /** Resets the count, after workers have reached this controller or another leader. */
  reset(): void {
    this.count = 0;
  }

  /**
   * How long a leader waits for the first worker heartbeat of its term before it resigns. `isAlone`:
   * it hears no other controller that could lead.
   */
  timeoutMs(leaseMs: number, bootMs: number, isAlone: boolean): number {
    if (this.count === 0)
      return leaseMs * (isAlone ? LONE_FIRST_HEARTBEAT_RATIO : FIRST_HEARTBEAT_RATIO);
    // The last resignation had no effect, as no other controller could lead; now one can.
    if (this.wasAlone && !isAlone) return leaseMs * FIRST_HEARTBEAT_RATIO;
    return (leaseMs * REPEATED_TIMEOUT_LEASES + bootMs) * 2 ** (this.count - 1);
  }
}

/** Conditions that determine a leader's timeout for worker heartbeats. */
interface LivenessConditions {
  /** How long the slowest machine takes to boot, in milliseconds. */
  bootMs: number;
  /** The cloud has listed its machines in this term. */
  areMachinesListed: boolean;
  /** No other controller that could lead is heard. */
  isAlone: boolean;
  /** How long workers may take to reach this controller past unresponsive ones, in milliseconds. */
  workerFailoverMs: number;
}

/** Detects that no worker reaches this leader although workers may reach other controllers. */
export class WorkerLiveness {
  private hasHeardAny = false;
  /** When the last worker heartbeat arrived or the timeout was restarted. */
  private since: number;

  constructor(
    termStartedAt: number,
    private readonly workers: Settings['workers'],
    private readonly workerlessTerms: WorkerlessTerms,
  ) {
    this.since = termStartedAt;
  }

  /** Records a worker heartbeat. */
  recordHeartbeat(now: number): void {
    this.since = now;
    this.hasHeardAny = true;
    this.workerlessTerms.reset();
  }

  /** Restarts the timeout because this controller itself could not receive heartbeats until now. */
  restartTimeout(now: number): void {
    this.since = now;
  }

  /** Whether no worker heartbeat has arrived within the timeout although workers may be alive. */
  hasTimedOut(
    now: number,
    machines: Iterable<Machine>,
    { bootMs, areMachinesListed, isAlone, workerFailoverMs }: LivenessConditions,
  ): boolean {
    const all = [...machines];
    const firstMs = this.firstHeartbeatTimeoutMs(bootMs, isAlone, workerFailoverMs);
    const timeoutCutoff = now - (this.hasHeardAny ? this.heartbeatTimeoutMs(all) : firstMs);
    if (this.since > timeoutCutoff) return false;
    return all.some((machine) =>
      this.mayBeServedElsewhere(machine, timeoutCutoff, areMachinesListed),
    );
  }

  /**
   * The timeout until the first worker heartbeat of the term. If the leader resigned while workers
   * still wait for unresponsive controllers, it would turn them away when they arrive. If it hears no
   * other controller either, it may be partitioned from all of them and resigns earlier; if it is the
   * only one left, it leads again before the workers arrive.
   */
  private firstHeartbeatTimeoutMs(
    bootMs: number,
    isAlone: boolean,
    workerFailoverMs: number,
  ): number {
    const timeoutMs = this.workerlessTerms.timeoutMs(this.workers.leaseMs, bootMs, isAlone);
    return isAlone ? timeoutMs : Math.max(workerFailoverMs, timeoutMs);
  }

  /** The timeout after the first worker heartbeat of the term. */
  private heartbeatTimeoutMs(machines: Machine[]): number {
    const heardCount = machines.filter(({ lastHeartbeatAt }) => lastHeartbeatAt !== null).length;
    return this.workers.heartbeatIntervalMs * (MISSED_HEARTBEATS + 2 / Math.max(1, heardCount));
  }

  /**
   * Whether a machine may send its heartbeats to another controller. A machine that is missing from
   * the listing is gone, even if starts on it are recorded. One that has only just booted has not had
   * time to send any.
   */
  private mayBeServedElsewhere(
    machine: Machine,
    timeoutCutoff: number,
    areMachinesListed: boolean,
  ): boolean {
    if (machine.isReleasing || machine.cloudState === 'failed') return false;
    if (machine.cloudState === 'running') {
      const upSince = machine.cloudRunningSince ?? Infinity;
      if (machine.missedListings > 0 || upSince > timeoutCutoff) return false;
      return !this.hasHeardAny || machine.lastHeartbeatAt !== null;
    }
    return !this.hasHeardAny && !areMachinesListed && machine.placements.size > 0;
  }
}
