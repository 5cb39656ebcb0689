import type { PeerTransport } from '../peer/peer-transport.js';
import type { Clock } from '@leverhatch/core/clock';

/** What a worker spends on a controller that says nothing: the wait for an answer, and a pause. */
const WORKER_TIMEOUT_MS = 4000;
const WORKER_RETRY_DELAY_MS = 1000;

/** Reports come at their interval give or take a quarter. */
const MAX_HEARTBEAT_JITTER = 1.25;

/** A controller speaks to the others once a report interval; after so many it counts as silent. */
const UNRESPONSIVE_INTERVALS = 1.5;

/** For what share of the workers' lease the controllers behind the leader are silent before it hands over. */
const TRANSFER_RATIO = 0.5;

/** What is needed to tell which controllers a worker passes, and for how long it may. */
export interface SuccessorPolicyOptions {
  self: string;
  /** The zone of each controller, this one included. */
  zones: ReadonlyMap<string, string>;
  heartbeatIntervalMs: number;
  leaseMs: number;
}

/**
 * Which controllers a worker tries after another, and whether it finds one that speaks before its
 * lease ends. A worker whose controller says nothing tries the next one of its list, and waits for
 * each silent one in full: two in a row can take a whole lease. No controller can shorten that walk
 * once it has begun, so it counts who leads before: one behind which a controller speaks.
 *
 * The order is taken to be that of the controllers' names. Nothing but a short wait rests on it.
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

  /** A controller that has ended, so that connections to it are refused at once, is not silent. */
  private isUnresponsive(
    member: string,
    forMs = this.options.heartbeatIntervalMs * UNRESPONSIVE_INTERVALS,
  ): boolean {
    if (member === this.options.self) return false;
    const heardAt = this.peerTransport.lastHeardAt(member);
    return heardAt !== null && this.clock.now() - heardAt > forMs;
  }

  /** Whether it is heard now; one whose connection was closed neither speaks nor is silent. */
  private isResponsive(member: string): boolean {
    return this.peerTransport.lastHeardAt(member) !== null && !this.isUnresponsive(member);
  }

  /** How long a worker takes at most to pass so many silent controllers, from its last answered report. */
  private failoverMs(unresponsive: number): number {
    return (
      this.options.heartbeatIntervalMs * MAX_HEARTBEAT_JITTER +
      unresponsive * (WORKER_TIMEOUT_MS + WORKER_RETRY_DELAY_MS)
    );
  }

  /**
   * How long workers may take to come here, past every controller that is silent now. The leader
   * before may speak to us and be silent to them alone; those that speak cost them a pause each.
   */
  get workerFailoverMs(): number {
    const others = this.order.length - 1;
    const unresponsive = Math.max(
      1,
      this.order.filter((member) => this.isUnresponsive(member)).length,
    );
    return (
      this.failoverMs(unresponsive) + Math.max(0, others - unresponsive) * WORKER_RETRY_DELAY_MS
    );
  }

  /** The other controllers in the order in which workers try them after this one. */
  private failoverOrder(member: string): string[] {
    const at = this.order.indexOf(member);
    return [...this.order.slice(at + 1), ...this.order.slice(0, at)];
  }

  /** Whether a worker comes in time to the controller at this place of its walk; -1: there is none. */
  private isWithinLease(place: number): boolean {
    return place >= 0 && this.failoverMs(place + 1) < this.options.leaseMs;
  }

  /** Whether the workers of this controller would find the next in time if it fell silent. */
  private hasBackup(member: string): boolean {
    return this.isWithinLease(
      this.failoverOrder(member).findIndex((member) => !this.isUnresponsive(member)),
    );
  }

  /**
   * The same for this controller, with those alone for silent that have been so for long and are not
   * behind a cut between zones: workers there are kept by a delegate of their zone, which would lose
   * them with a change of leader.
   */
  private hasBackupForNow(): boolean {
    const { self, leaseMs } = this.options;
    const forMs = leaseMs * TRANSFER_RATIO;
    const next = this.failoverOrder(self).findIndex(
      (member) => !this.isUnresponsive(member, forMs) || this.isPartitioned(member),
    );
    return this.isWithinLease(next);
  }

  /** Whether nobody in the zone of this controller is heard: another zone, perhaps behind a cut. */
  private isPartitioned(member: string): boolean {
    const { zones } = this.options;
    return this.order.every(
      (method) => zones.get(method) !== zones.get(member) || this.isUnresponsive(method),
    );
  }

  /**
   * Whether the workers of each other zone, if they could reach none but their own, would find a
   * controller there in time. All others are silent to them then, those beside this one as well.
   */
  private hasBackupInEveryZone(member: string): boolean {
    const { zones } = this.options;
    const after = this.failoverOrder(member);
    const others = new Set(
      after.map((member) => zones.get(member)).filter((z) => z !== zones.get(member)),
    );
    return [...others].every((zone) =>
      this.isWithinLease(after.findIndex((member) => zones.get(member) === zone)),
    );
  }

  /**
   * To whom the leader should hand over, since its workers would not find the next controller in time
   * if it fell silent and that one's would; null: it should not. `serves`: whether the state service
   * serves a controller.
   */
  preferredSuccessor(isStoreAvailableTo: (member: string) => boolean): string | null {
    const { self } = this.options;
    if (this.hasBackupForNow()) return null;
    const better = (member: string): boolean =>
      member !== self &&
      this.isResponsive(member) &&
      isStoreAvailableTo(member) &&
      this.hasBackup(member);
    return this.order.find(better) ?? null;
  }

  /**
   * Whether another controller should lead rather than this one, since its workers would find the
   * next one in time and ours would not. `except`: the last leader, which does not contest.
   */
  shouldYield(except: string | null): boolean {
    return this.isOutranked((member) => this.hasBackup(member), except);
  }

  /** The same for workers of other zones, if the zones were cut off from each other. */
  shouldYieldAcrossZones(except: string | null): boolean {
    return this.isOutranked((member) => this.hasBackupInEveryZone(member), except);
  }

  private isOutranked(qualifies: (member: string) => boolean, except: string | null): boolean {
    const { self } = this.options;
    if (qualifies(self)) return false;
    return this.order.some(
      (member) =>
        member !== self && member !== except && this.isResponsive(member) && qualifies(member),
    );
  }
}
