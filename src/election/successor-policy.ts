/** Which controller should lead so that workers find a responsive one before their leases expire. */
import type { PeerTransport } from '../peer/peer-transport.js';
import type { Clock } from '@leverhatch/core/clock';

/** What a worker spends on an unresponsive controller: the wait for an answer, and a pause. */
const WORKER_TIMEOUT_MS = 4000;
const WORKER_RETRY_DELAY_MS = 1000;

/** Worker heartbeats come at their interval give or take a quarter. */
const MAX_HEARTBEAT_JITTER = 1.25;

/** A controller sends to the others once a heartbeat interval; after so many it counts as unresponsive. */
const UNRESPONSIVE_INTERVALS = 1.5;

/** For what share of the workers' lease the next controllers are unresponsive before the leader hands over. */
const TRANSFER_RATIO = 0.5;

/** What is needed to tell which controllers a worker passes on failover, and for how long it may. */
export interface SuccessorPolicyOptions {
  self: string;
  /** The zone of each controller, this one included. */
  zones: ReadonlyMap<string, string>;
  heartbeatIntervalMs: number;
  /** How long a worker's lease lasts. */
  leaseMs: number;
}

/**
 * Which controllers a worker tries after another, and whether it finds a responsive one before its
 * lease expires. A worker whose controller is unresponsive tries the next one of its list, and waits
 * for each unresponsive one in full: two in a row can take a whole lease. No controller can shorten
 * that failover once it has begun, so it matters who leads before: one with a responsive backup.
 *
 * The order is assumed to be that of the controllers' names. Only the length of a short wait depends
 * on it.
 */
export class SuccessorPolicy {
  private readonly order: string[];

  constructor(
    private readonly clock: Clock,
    private readonly peerTransport: PeerTransport,
    private readonly options: SuccessorPolicyOptions,
  ) {
    this.order = [options.self, ...peerTransport.peers].sort((a, b) =>
      a.localeCompare(b, 'en', { numeric: true }),
    );
  }

  /** A controller that has ended, so that connections to it are refused at once, is not unresponsive. */
  private isUnresponsive(
    member: string,
    forMs = this.options.heartbeatIntervalMs * UNRESPONSIVE_INTERVALS,
  ): boolean {
    if (member === this.options.self) return false;
    const heardAt = this.peerTransport.lastHeardAt(member);
    return heardAt !== null && this.clock.now() - heardAt > forMs;
  }

  /** Whether it is heard now; one whose connection was closed is neither responsive nor unresponsive. */
  private isResponsive(member: string): boolean {
    return this.peerTransport.lastHeardAt(member) !== null && !this.isUnresponsive(member);
  }

  /** How long a worker takes at most, from its last answered heartbeat, to pass so many unresponsive controllers. */
  private failoverMs(unresponsiveCount: number): number {
    return (
      this.options.heartbeatIntervalMs * MAX_HEARTBEAT_JITTER +
      unresponsiveCount * (WORKER_TIMEOUT_MS + WORKER_RETRY_DELAY_MS)
    );
  }

  /**
   * How long workers may take to come here, past every controller that is unresponsive now, in
   * milliseconds. The last leader may be unresponsive to them alone (an asymmetric partition); each
   * responsive controller costs them a pause.
   */
  get workerFailoverMs(): number {
    const others = this.order.length - 1;
    const unresponsiveCount = Math.max(
      1,
      this.order.filter((member) => this.isUnresponsive(member)).length,
    );
    return (
      this.failoverMs(unresponsiveCount) +
      Math.max(0, others - unresponsiveCount) * WORKER_RETRY_DELAY_MS
    );
  }

  /** The other controllers in the order in which workers try them after this one. */
  private failoverOrder(member: string): string[] {
    const at = this.order.indexOf(member);
    return [...this.order.slice(at + 1), ...this.order.slice(0, at)];
  }

  /** Whether a worker comes in time to the controller at this place of its failover; -1: there is none. */
  private isWithinLease(place: number): boolean {
    return place >= 0 && this.failoverMs(place + 1) < this.options.leaseMs;
  }

  /** Whether the workers of this controller would find the next in time if it became unresponsive. */
  private hasBackup(member: string): boolean {
    return this.isWithinLease(
      this.failoverOrder(member).findIndex((next) => !this.isUnresponsive(next)),
    );
  }

  /**
   * The same for this controller, where only those count as unresponsive that have been so for long
   * and are not behind a partition between zones: workers there are kept alive by a delegate of their
   * zone, which would lose them with a change of leader.
   */
  private hasBackupForNow(): boolean {
    const { self, leaseMs } = this.options;
    const forMs = leaseMs * TRANSFER_RATIO;
    const next = this.failoverOrder(self).findIndex(
      (member) => !this.isUnresponsive(member, forMs) || this.isPartitioned(member),
    );
    return this.isWithinLease(next);
  }

  /** Whether nobody in the zone of this controller is heard: its zone may be partitioned from ours. */
  private isPartitioned(member: string): boolean {
    const { zones } = this.options;
    return this.order.every(
      (other) => zones.get(other) !== zones.get(member) || this.isUnresponsive(other),
    );
  }

  /**
   * Whether the workers of each other zone, if they could reach none but their own, would find a
   * controller there in time. All others are unresponsive to them then, also those in this one's zone.
   */
  private hasBackupInEveryZone(member: string): boolean {
    const { zones } = this.options;
    const after = this.failoverOrder(member);
    const others = new Set(
      after.map((next) => zones.get(next)).filter((zone) => zone !== zones.get(member)),
    );
    return [...others].every((zone) =>
      this.isWithinLease(after.findIndex((next) => zones.get(next) === zone)),
    );
  }

  /**
   * To whom the leader should transfer leadership, since its workers would not find the next controller
   * in time if it became unresponsive and that one's would; null: it should not.
   */
  preferredSuccessor(isStoreAvailableTo: (member: string) => boolean): string | null {
    const { self } = this.options;
    if (this.hasBackupForNow()) return null;
    const isBetter = (member: string): boolean =>
      member !== self &&
      this.isResponsive(member) &&
      isStoreAvailableTo(member) &&
      this.hasBackup(member);
    return this.order.find(isBetter) ?? null;
  }

  /**
   * Whether another controller should lead rather than this one, since its workers would find the
   * next one in time and ours would not. `lastLeader` does not campaign for a while.
   */
  shouldYield(lastLeader: string | null): boolean {
    return this.isOutranked((member) => this.hasBackup(member), lastLeader);
  }

  /** The same for workers of other zones, if the zones were partitioned from each other. */
  shouldYieldAcrossZones(lastLeader: string | null): boolean {
    return this.isOutranked((member) => this.hasBackupInEveryZone(member), lastLeader);
  }

  private isOutranked(qualifies: (member: string) => boolean, lastLeader: string | null): boolean {
    const { self } = this.options;
    if (qualifies(self)) return false;
    return this.order.some(
      (member) =>
        member !== self && member !== lastLeader && this.isResponsive(member) && qualifies(member),
    );
  }
}
