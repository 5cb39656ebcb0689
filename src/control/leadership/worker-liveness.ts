/** When a leader should resign since no worker reaches it. Times are monotonic, in milliseconds. */
import type { Machine } from '../../fleet/machine.js';
import type { Settings } from '../../settings/deploy.js';

/**
 * How long a new leader waits for its first worker heartbeat before it resigns for the first time, as
 * a share of the workers' lease: workers give a controller that does not answer 0.4 of it before
 * they try the next.
 */
const FIRST_HEARTBEAT_RATIO = 0.5;

/**
 * The same for one that hears no other controller either. If it is partitioned from all, each second
 * counts. If it is the only one left, it leads again before workers that tried two others come.
 */
const LONE_FIRST_HEARTBEAT_RATIO = 0.3;

/**
 * How many leases beyond a boot it waits the next time, doubled with every time after that. One lease
 * without a heartbeat proves that nothing runs any more; then machines are provisioned, and have a
 * lease to send their first heartbeat.
 */
const REPEATED_TIMEOUT_LEASES = 2;

/**
 * After how many heartbeat intervals it is no coincidence that all of many workers are unresponsive;
 * with few it takes more. Their leases run meanwhile, and have to last until they have found the next
 * leader.
 */
const MISSED_HEARTBEATS = 1.5;

/**
 * How often in a row this controller has resigned because no worker reached it. It outlives terms:
 * where the machines are gone every leader hears nobody, and if each resigned as soon as the one
 * before, none would ever prove them gone and provision others.
 */
export class WorkerlessTerms {
  private count = 0;
  /** The last time it heard no other controller that could have led instead. */
  private wasAlone = false;

  /** `isAlone`: no other controller that could lead was heard. */
  recordResignation(isAlone: boolean): void {
    this.count++;
    this.wasAlone = isAlone;
  }

  /** Workers have sent heartbeats to this controller or to another leader since. */
  reset(): void {
    this.count = 0;
  }

  /**
   * How long a leader that has heard nobody in its term waits before it resigns. `isAlone`: it hears
   * no other controller that could lead.
   */
  timeoutMs(leaseMs: number, bootMs: number, isAlone: boolean): number {
    if (this.count === 0)
      return leaseMs * (isAlone ? LONE_FIRST_HEARTBEAT_RATIO : FIRST_HEARTBEAT_RATIO);
    // Resigning was in vain, as no other controller could lead; now one can.
    if (this.wasAlone && !isAlone) return leaseMs * FIRST_HEARTBEAT_RATIO;
    return (leaseMs * REPEATED_TIMEOUT_LEASES + bootMs) * 2 ** (this.count - 1);
  }
}

/** What a leader's timeout for unresponsive workers depends on. */
interface LivenessConditions {
  /** How long the slowest machine takes to boot, in milliseconds. */
  bootMs: number;
  /** The cloud has listed its machines in this term. */
  areMachinesListed: boolean;
  /** No other controller that could lead is heard. */
  isAlone: boolean;
  /** How long workers may take to come here past unresponsive controllers, in milliseconds. */
  workerFailoverMs: number;
}

/** Tells when a leader should resign since workers may reach other controllers, but do not reach it. */
export class WorkerLiveness {
  private hasHeardAny = false;
  /** Since when no heartbeat has come. */
  private since: number;

  constructor(
    termStartedAt: number,
    private readonly workers: Settings['workers'],
    private readonly workerlessTerms: WorkerlessTerms,
  ) {
    this.since = termStartedAt;
  }

  /** A worker heartbeat has come. */
  recordHeartbeat(now: number): void {
    this.since = now;
    this.hasHeardAny = true;
    this.workerlessTerms.reset();
  }

  /** Until now no heartbeat could come, for a reason of this controller's own. */
  restartTimeout(now: number): void {
    this.since = now;
  }

  /** Whether its workers have been unresponsive for longer than it should wait for them. */
  hasTimedOut(
    now: number,
    machines: Iterable<Machine>,
    { bootMs, areMachinesListed, isAlone, workerFailoverMs }: LivenessConditions,
  ): boolean {
    const all = [...machines];
    const firstMs = this.firstHeartbeatTimeoutMs(bootMs, isAlone, workerFailoverMs);
    const timeoutBeganAt = now - (this.hasHeardAny ? this.heartbeatTimeoutMs(all) : firstMs);
    if (this.since > timeoutBeganAt) return false;
    return all.some((machine) =>
      this.mayBeServedElsewhere(machine, timeoutBeganAt, areMachinesListed),
    );
  }

  /**
   * While it has heard no worker in its term. If it resigned while its workers wait on unresponsive
   * controllers, it would turn them away when they come; but if it hears no controller either, it may
   * be partitioned from all, or the only one left, and then it leads again before they come.
   */
  private firstHeartbeatTimeoutMs(
    bootMs: number,
    isAlone: boolean,
    workerFailoverMs: number,
  ): number {
    const timeoutMs = this.workerlessTerms.timeoutMs(this.workers.leaseMs, bootMs, isAlone);
    return isAlone ? timeoutMs : Math.max(workerFailoverMs, timeoutMs);
  }

  /** Once it has heard a worker in its term. */
  private heartbeatTimeoutMs(machines: Machine[]): number {
    const heardCount = machines.filter(({ lastHeartbeatAt }) => lastHeartbeatAt !== null).length;
    return this.workers.heartbeatIntervalMs * (MISSED_HEARTBEATS + 2 / Math.max(1, heardCount));
  }

  /**
   * Whether a machine may send its heartbeats to another controller. One that is not listed any more is
   * gone, even if starts on it are recorded; one that has only just come up has had no time to send any.
   */
  private mayBeServedElsewhere(
    machine: Machine,
    timeoutBeganAt: number,
    areMachinesListed: boolean,
  ): boolean {
    if (machine.isReleasing || machine.cloudState === 'failed') return false;
    if (machine.cloudState === 'running') {
      const upSince = machine.cloudRunningSince ?? Infinity;
      if (machine.missedListings > 0 || upSince > timeoutBeganAt) return false;
      return !this.hasHeardAny || machine.lastHeartbeatAt !== null;
    }
    return !this.hasHeardAny && !areMachinesListed && machine.placements.size > 0;
  }
}
