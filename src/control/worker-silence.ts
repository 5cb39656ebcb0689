import type { Machine } from '../fleet/machine.js';
import type { Settings } from '../settings/deploy.js';

/**
 * How long a new leader waits for its first report before it gives office up for the first time, as
 * a share of the workers' lease: workers give a controller that does not answer 0.4 of it before
 * they try the next.
 */
const NEVER_HEARD_SHARE = 0.5;

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

  resigned(): void {
    this.count++;
  }

  /** Workers have reported to this controller or to another leader since. */
  workersHeard(): void {
    this.count = 0;
  }

  /** How long a leader that has heard nobody in its term waits before it resigns. */
  patienceMs(leaseMs: number, bootMs: number): number {
    if (this.count === 0) return leaseMs * NEVER_HEARD_SHARE;
    return (leaseMs * NEXT_TIME_LEASES + bootMs) * 2 ** (this.count - 1);
  }
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

  /**
   * `bootMs`: how long the slowest machine takes to boot; `listed`: the cloud has listed its machines
   * in this term; `searchMs`: how long workers may take to come here past silent controllers.
   */
  isTooLong(
    now: number,
    machines: Iterable<Machine>,
    { bootMs, listed, searchMs }: { bootMs: number; listed: boolean; searchMs: number },
  ): boolean {
    const all = [...machines];
    const silentFrom = now - this.patienceMs(all, bootMs, searchMs);
    if (this.since > silentFrom) return false;
    return all.some((m) => this.mayReportElsewhere(m, silentFrom, listed));
  }

  private patienceMs(machines: Machine[], bootMs: number, searchMs: number): number {
    // Who gave up while its workers wait on silent controllers would turn them away when they come.
    if (!this.heardAny) {
      return Math.max(searchMs, this.silentTerms.patienceMs(this.workers.leaseMs, bootMs));
    }
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
