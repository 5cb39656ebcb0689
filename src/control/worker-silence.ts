import type { Machine } from '../fleet/machine.js';
import type { Settings } from '../settings/deploy.js';

/**
 * How long a new leader waits for its first report before it gives office up for the first time, as
 * a share of the workers' lease: workers give a controller that does not answer 0.4 of it before
 * they try the next.
 */
const NEVER_HEARD_SHARE = 0.5;

/**
 * The same for one that hears no other controller either. If it is cut off from all, each second counts.
 * If it is the only one left, it is back in office before workers that tried two others come.
 */
const NEVER_HEARD_ALONE_SHARE = 0.3;

/**
 * How many leases beyond a boot it waits the next time, doubled with every time after that. One lease
 * of silence proves that nothing runs any more; then others are rented, and have a lease to report.
 */
const NEXT_TIME_LEASES = 2;

/**
 * For how many report intervals all of many workers are silent by no chance; with few it takes more.
 * Their leases run meanwhile, and have to last until they have found the next leader.
 */
const SILENT_REPORTS = 1.5;

/**
 * How often in a row this controller has given office up because no worker reached it. It outlives
 * terms: where the machines are gone every leader hears nobody, and if each gave office up as soon
 * as the one before, none would ever prove them gone and rent others.
 */
export class SilentTerms {
  private count = 0;
  /** The last time it heard no other controller that could have led instead. */
  private wasAlone = false;

  /** `alone`: no other controller that could lead was heard. */
  resigned(alone: boolean): void {
    this.count++;
    this.wasAlone = alone;
  }

  /** Workers have reported to this controller or to another leader since. */
  workersHeard(): void {
    this.count = 0;
  }

  /**
   * How long a leader that has heard nobody in its term waits before it resigns. `alone`: it hears no
   * other controller that could lead.
   */
  patienceMs(leaseMs: number, bootMs: number, alone: boolean): number {
    if (this.count === 0) return leaseMs * (alone ? NEVER_HEARD_ALONE_SHARE : NEVER_HEARD_SHARE);
    // Giving up office was in vain, as nobody was there to take it; now somebody is.
    if (this.wasAlone && !alone) return leaseMs * NEVER_HEARD_SHARE;
    return (leaseMs * NEXT_TIME_LEASES + bootMs) * 2 ** (this.count - 1);
  }
}

/** What a leader's patience with silent workers depends on. */
interface SilenceFacts {
  /** How long the slowest machine takes to boot, in milliseconds. */
  bootMs: number;
  /** The cloud has listed its machines in this term. */
  listed: boolean;
  /** No other controller that could lead is heard. */
  alone: boolean;
  /** How long workers may take to come here past silent controllers, in milliseconds. */
  searchMs: number;
}

/** Tells when a leader should resign since workers may reach other controllers, but do not reach it. */
export class WorkerSilence {
  private heardAny = false;
  /** From when on silence counts. */
  private since: number;

  constructor(
    termStartedAt: number,
    private readonly workers: Settings['workers'],
    private readonly silentTerms: SilentTerms,
  ) {
    this.since = termStartedAt;
  }

  /** A report has come. */
  heard(now: number): void {
    this.since = now;
    this.heardAny = true;
    this.silentTerms.workersHeard();
  }

  /** Until now nobody could be heard for a reason of this controller's own. */
  excuse(now: number): void {
    this.since = now;
  }

  /** Whether its workers have been silent for longer than it should wait for them. */
  isTooLong(
    now: number,
    machines: Iterable<Machine>,
    { bootMs, listed, alone, searchMs }: SilenceFacts,
  ): boolean {
    const all = [...machines];
    const firstMs = this.firstPatienceMs(bootMs, alone, searchMs);
    const silentFrom = now - (this.heardAny ? this.laterPatienceMs(all) : firstMs);
    if (this.since > silentFrom) return false;
    return all.some((m) => this.mayReportElsewhere(m, silentFrom, listed));
  }

  /**
   * While it has heard nobody in its term. Who gave up while its workers wait on silent controllers
   * would turn them away when they come; but if it hears no controller either, it may be cut off from
   * all, or the only one left, and then it is back in office before they come.
   */
  private firstPatienceMs(bootMs: number, alone: boolean, searchMs: number): number {
    const patienceMs = this.silentTerms.patienceMs(this.workers.leaseMs, bootMs, alone);
    return alone ? patienceMs : Math.max(searchMs, patienceMs);
  }

  /** Once it has heard some. */
  private laterPatienceMs(machines: Machine[]): number {
    const heard = machines.reduce((n, m) => n + (m.heardAt === null ? 0 : 1), 0);
    return this.workers.reportMs * (SILENT_REPORTS + 2 / Math.max(1, heard));
  }

  /**
   * What is not listed any more is gone, even if starts on it are recorded; and a machine that has
   * only just come up has had no time to report.
   */
  private mayReportElsewhere(m: Machine, silentFrom: number, listed: boolean): boolean {
    if (m.returning || m.listedState === 'failed') return false;
    if (m.listedState === 'running') {
      const upSince = m.runningAt ?? Infinity;
      if (m.missedLists > 0 || upSince > silentFrom) return false;
      return !this.heardAny || m.heardAt !== null;
    }
    return !this.heardAny && !listed && m.placements.size > 0;
  }
}
