import type { Machine } from '../../fleet/machine.js';
import type { Settings } from '../../settings/deploy.js';

/**
 * How long a new leader waits for its first report before it gives office up for the first time, as
 * a share of the workers' lease: workers give a controller that does not answer 0.4 of it before
 * they try the next.
 */
const FIRST_HEARTBEAT_RATIO = 0.5;

/**
 * The same for one that hears no other controller either. If it is cut off from all, each second counts.
 * If it is the only one left, it is back in office before workers that tried two others come.
 */
const LONE_FIRST_HEARTBEAT_RATIO = 0.3;

/**
 * How many leases beyond a boot it waits the next time, doubled with every time after that. One lease
 * of silence proves that nothing runs any more; then others are rented, and have a lease to report.
 */
const REPEATED_TIMEOUT_LEASES = 2;

/**
 * For how many report intervals all of many workers are silent by no chance; with few it takes more.
 * Their leases run meanwhile, and have to last until they have found the next leader.
 */
const MISSED_HEARTBEATS = 1.5;

/**
 * How often in a row this controller has given office up because no worker reached it. It outlives
 * terms: where the machines are gone every leader hears nobody, and if each gave office up as soon
 * as the one before, none would ever prove them gone and rent others.
 */
export class WorkerlessTerms {
  private count = 0;
  /** The last time it heard no other controller that could have led instead. */
  private wasAlone = false;

  /** `alone`: no other controller that could lead was heard. */
  recordResignation(alone: boolean): void {
    this.count++;
    this.wasAlone = alone;
  }

  /** Workers have reported to this controller or to another leader since. */
  reset(): void {
    this.count = 0;
  }

  /**
   * How long a leader that has heard nobody in its term waits before it resigns. `alone`: it hears no
   * other controller that could lead.
   */
  timeoutMs(leaseMs: number, bootMs: number, alone: boolean): number {
    if (this.count === 0)
      return leaseMs * (alone ? LONE_FIRST_HEARTBEAT_RATIO : FIRST_HEARTBEAT_RATIO);
    // Giving up office was in vain, as nobody was there to take it; now somebody is.
    if (this.wasAlone && !alone) return leaseMs * FIRST_HEARTBEAT_RATIO;
    return (leaseMs * REPEATED_TIMEOUT_LEASES + bootMs) * 2 ** (this.count - 1);
  }
}

/** What a leader's patience with silent workers depends on. */
interface LivenessConditions {
  /** How long the slowest machine takes to boot, in milliseconds. */
  bootMs: number;
  /** The cloud has listed its machines in this term. */
  areMachinesListed: boolean;
  /** No other controller that could lead is heard. */
  isAlone: boolean;
  /** How long workers may take to come here past silent controllers, in milliseconds. */
  workerFailoverMs: number;
}

/** Tells when a leader should resign since workers may reach other controllers, but do not reach it. */
export class WorkerLiveness {
  private hasHeardAny = false;
  /** From when on silence counts. */
  private since: number;

  constructor(
    termStartedAt: number,
    private readonly workers: Settings['workers'],
    private readonly workerlessTerms: WorkerlessTerms,
  ) {
    this.since = termStartedAt;
  }

  /** A report has come. */
  recordHeartbeat(now: number): void {
    this.since = now;
    this.hasHeardAny = true;
    this.workerlessTerms.reset();
  }

  /** Until now nobody could be heard for a reason of this controller's own. */
  restartTimeout(now: number): void {
    this.since = now;
  }

  /** Whether its workers have been silent for longer than it should wait for them. */
  hasTimedOut(
    now: number,
    machines: Iterable<Machine>,
    {
      bootMs,
      areMachinesListed: areMachinesListed,
      isAlone: isAlone,
      workerFailoverMs: workerFailoverMs,
    }: LivenessConditions,
  ): boolean {
    const all = [...machines];
    const firstMs = this.firstHeartbeatTimeoutMs(bootMs, isAlone, workerFailoverMs);
    const leaseExpiry = now - (this.hasHeardAny ? this.heartbeatTimeoutMs(all) : firstMs);
    if (this.since > leaseExpiry) return false;
    return all.some((machine) => this.mayReportElsewhere(machine, leaseExpiry, areMachinesListed));
  }

  /**
   * While it has heard nobody in its term. Who gave up while its workers wait on silent controllers
   * would turn them away when they come; but if it hears no controller either, it may be cut off from
   * all, or the only one left, and then it is back in office before they come.
   */
  private firstHeartbeatTimeoutMs(bootMs: number, alone: boolean, searchMs: number): number {
    const patienceMs = this.workerlessTerms.timeoutMs(this.workers.leaseMs, bootMs, alone);
    return alone ? patienceMs : Math.max(searchMs, patienceMs);
  }

  /** Once it has heard some. */
  private heartbeatTimeoutMs(machines: Machine[]): number {
    const heard = machines.reduce(
      (sum, machine) => sum + (machine.lastHeartbeatAt === null ? 0 : 1),
      0,
    );
    return this.workers.heartbeatIntervalMs * (MISSED_HEARTBEATS + 2 / Math.max(1, heard));
  }

  /**
   * What is not listed any more is gone, even if starts on it are recorded; and a machine that has
   * only just come up has had no time to report.
   */
  private mayReportElsewhere(machine: Machine, leaseExpiry: number, listed: boolean): boolean {
    if (machine.isReleasing || machine.cloudState === 'failed') return false;
    if (machine.cloudState === 'running') {
      const upSince = machine.cloudRunningSince ?? Infinity;
      if (machine.missedListings > 0 || upSince > leaseExpiry) return false;
      return !this.hasHeardAny || machine.lastHeartbeatAt !== null;
    }
    return !this.hasHeardAny && !listed && machine.placements.size > 0;
  }
}
