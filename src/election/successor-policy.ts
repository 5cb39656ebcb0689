/**
 * Successor policy: which controller should lead so that workers can fail over to a responsive
 * controller before their leases expire.
 */
import type { PeerTransport } from '../peer/peer-transport.js';
import type { Clock } from '@leverhatch/core/clock';

/** Time that a worker spends on an unresponsive controller: request time-out and retry delay. */
const WORKER_TIMEOUT_MS = 4000;
const WORKER_RETRY_DELAY_MS = 1000;

/** Upper bound of the jitter on worker heartbeat intervals, which is a quarter either way. */
const MAX_HEARTBEAT_JITTER = 1.25;

/**
 * Heartbeat intervals without a message after which a controller counts as unresponsive.
 * Controllers send to each other once per interval.
 */
const UNRESPONSIVE_INTERVALS = 1.5;

/**
 * How long the next controllers must be unresponsive before the leader transfers leadership, as a
 * share of the workers' lease.
 */
const TRANSFER_LEASE_RATIO = 0.5;

/** Cluster layout and timing that determine how long a worker's failover takes and may take. */
export interface SuccessorPolicyOptions {
  self: string;
  /** The zone of each controller, including this one. */
  zones: ReadonlyMap<string, string>;
  heartbeatIntervalMs: number;
  /** Duration of a worker's lease, in milliseconds. */
  leaseMs: number;
}

/**
 * Models worker failover: in which order workers try the controllers, and whether they reach a
 * responsive one before their lease expires. A worker whose controller is unresponsive tries the
 * next one on its list, and spends a full time-out on each unresponsive controller: two in a row
 * can take a whole lease. No controller can shorten a failover that has begun, so the leader should
 * be a controller with a responsive backup.
 *
 * Workers are assumed to try the controllers in the order of their names. Only the choice of the
 * leader and the delay before a campaign depend on this assumption.
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

  /**
   * Whether a controller has been silent for longer than `silenceMs`. A controller whose process
   * has ended is not unresponsive: connections to it are refused at once.
   */
  private isUnresponsive(
    member: string,
    silenceMs = this.options.heartbeatIntervalMs * UNRESPONSIVE_INTERVALS,
  ): boolean {
    if (member === this.options.self) return false;
    const heardAt = this.peerTransport.lastHeardAt(member);
    return heardAt !== null && this.clock.now() - heardAt > silenceMs;
  }

  /**
   * Whether messages arrive from a controller. One whose connection was closed is neither
   * responsive nor unresponsive.
   */
  private isResponsive(member: string): boolean {
    return this.peerTransport.lastHeardAt(member) !== null && !this.isUnresponsive(member);
  }

  /**
   * Maximum time from a worker's last answered heartbeat until it has passed this many unresponsive
   * controllers, in milliseconds.
   */
  private failoverMs(unresponsiveCount: number): number {
    return (
      this.options.heartbeatIntervalMs * MAX_HEARTBEAT_JITTER +
      unresponsiveCount * (WORKER_TIMEOUT_MS + WORKER_RETRY_DELAY_MS)
    );
  }

  /**
   * Maximum time that workers take to fail over to this controller, past every controller that is
   * unresponsive now, in milliseconds. At least one unresponsive controller is assumed, since the
   * last leader may be unreachable for the workers only (an asymmetric partition). Each responsive
   * controller on the way costs one retry delay.
   */
  get workerFailoverMs(): number {
    const peerCount = this.order.length - 1;
    const unresponsiveCount = Math.max(
      1,
      this.order.filter((member) => this.isUnresponsive(member)).length,
    );
    return (
      this.failoverMs(unresponsiveCount) +
      Math.max(0, peerCount - unresponsiveCount) * WORKER_RETRY_DELAY_MS
    );
  }

  /** The other controllers, in the order in which workers try them after `member`. */
  private failoverOrder(member: string): string[] {
    const index = this.order.indexOf(member);
    return [...this.order.slice(index + 1), ...this.order.slice(0, index)];
  }

  /**
   * Whether a worker reaches the controller at this index of its failover order before its lease
   * expires; -1 means that there is none.
   */
  private isReachedWithinLease(failoverIndex: number): boolean {
    return failoverIndex >= 0 && this.failoverMs(failoverIndex + 1) < this.options.leaseMs;
  }

  /** Whether workers of `member` would fail over within their lease if it became unresponsive. */
  private hasBackup(member: string): boolean {
    return this.isReachedWithinLease(
      this.failoverOrder(member).findIndex((next) => !this.isUnresponsive(next)),
    );
  }

  /**
   * The same for this controller, but a peer counts as unresponsive only if it has been silent for
   * long and its zone is not partitioned. The delegate of a partitioned zone keeps the workers
   * there alive, and could no longer do so after a change of leader.
   */
  private hasBackupIgnoringBriefOutages(): boolean {
    const { self, leaseMs } = this.options;
    const silenceMs = leaseMs * TRANSFER_LEASE_RATIO;
    const next = this.failoverOrder(self).findIndex(
      (member) => !this.isUnresponsive(member, silenceMs) || this.isZonePartitioned(member),
    );
    return this.isReachedWithinLease(next);
  }

  /**
   * Whether all controllers in the zone of `member` are unresponsive: the zone may be partitioned
   * from the zone of this controller.
   */
  private isZonePartitioned(member: string): boolean {
    const { zones } = this.options;
    return this.order.every(
      (other) => zones.get(other) !== zones.get(member) || this.isUnresponsive(other),
    );
  }

  /**
   * Whether workers in each zone other than that of `member` would reach a controller of their own
   * zone within their lease if they could reach no other zone. All controllers of other zones then
   * count as unresponsive, including those in the zone of `member`.
   */
  private hasBackupInEveryZone(member: string): boolean {
    const { zones } = this.options;
    const failoverOrder = this.failoverOrder(member);
    const otherZones = new Set(
      failoverOrder.map((next) => zones.get(next)).filter((zone) => zone !== zones.get(member)),
    );
    return [...otherZones].every((zone) =>
      this.isReachedWithinLease(failoverOrder.findIndex((next) => zones.get(next) === zone)),
    );
  }

  /**
   * The controller to which the leader should transfer leadership, or null if it should stay. A
   * transfer is due if the leader's workers would not fail over within their lease, but those of
   * the successor would.
   */
  preferredSuccessor(isStoreAvailableTo: (member: string) => boolean): string | null {
    const { self } = this.options;
    if (this.hasBackupIgnoringBriefOutages()) return null;
    const isBetter = (member: string): boolean =>
      member !== self &&
      this.isResponsive(member) &&
      isStoreAvailableTo(member) &&
      this.hasBackup(member);
    return this.order.find(isBetter) ?? null;
  }

  /**
   * Whether another controller should lead instead of this one because its workers would fail over
   * within their lease and those of this controller would not. `lastLeader` is not considered,
   * since it does not campaign for a while.
   */
  shouldYield(lastLeader: string | null): boolean {
    return this.isOutranked((member) => this.hasBackup(member), lastLeader);
  }

  /** The same for workers of other zones during a partition between zones. */
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
