/**
 * Where a worker's heartbeat goes in one controller: to its own leader, to the partitioned workers that
 * it keeps alive, or away to another controller.
 */
import { setMaxListeners } from 'node:events';
import type { Runtime } from '@leverhatch/core/duty';
import type { Role } from '../election/leader-election.js';
import type { Term } from '../election/term.js';
import type { HeartbeatOutcome } from '../http/heartbeat-reader.js';
import type { Settings } from '../settings/deploy.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { WorkerCommand, WorkerHeartbeat } from '../wire/worker-heartbeat.js';
import type { PartitionedWorkers } from './partition/partitioned-workers.js';

/** The leader sends one heartbeat per interval; after so many intervals without one it is unresponsive. */
const MISSED_HEARTBEATS = 1.2;

/** After so many intervals without the leader's heartbeat the zone counts as cut off from it. */
const PARTITION_HEARTBEATS = 2.5;

/** How long a heartbeat waits here for a leader to be known; no longer than a worker would pause. */
const UNKNOWN_LEADER_WAIT_MS = 1000;

/** The part of this controller's own leader that answers workers. */
export interface HeartbeatReceiver {
  readonly term: Pick<Term, 'fencingToken'>;
  /** What to answer; null if the worker's lease must not be renewed now. */
  receiveHeartbeat(
    heartbeat: WorkerHeartbeat,
  ): WorkerCommand[] | null | Promise<WorkerCommand[] | null>;
  mayRenewWorkerLeases(now: number): boolean;
}

/** What a `HeartbeatRouter` works with. */
export interface HeartbeatRouterContext {
  readonly settings: Settings;
  readonly operator: Pick<OperatorSettings, 'election'>;
  readonly runtime: Pick<Runtime, 'clock'>;
  readonly partitionedWorkers: Pick<PartitionedWorkers, 'receiveHeartbeat'>;
  role(): Role;
  /** This controller's own leader while it leads. */
  leader(): HeartbeatReceiver | null;
}

/** For a signal that any number of heartbeats wait for. */
function createSharedAbortController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

/** Decides who answers a heartbeat, and remembers when the leader was last heard. */
export class HeartbeatRouter {
  /** When the leader was last heard; a controller that has just started may find none alive. */
  private leaderHeardAt = -Infinity;
  /** To whom this controller has transferred leadership, until a leader is known. */
  private successor: string | null = null;
  /** Ends the waits of heartbeats that came while no leader was known. */
  private waitingForLeader = createSharedAbortController();

  constructor(private readonly context: HeartbeatRouterContext) {}

  /** `mayWait`: the worker has not waited yet for a leader to be known. */
  receive(
    heartbeat: WorkerHeartbeat,
    mayWait = true,
  ): HeartbeatOutcome | Promise<HeartbeatOutcome> {
    const role = this.context.role();
    const now = this.context.runtime.clock.now();
    return role.kind === 'follower'
      ? this.receiveAsFollower(heartbeat, role, mayWait, now)
      : this.receiveAsLeader(heartbeat, role.term, now);
  }

  /** The leader's heartbeat has come, or a new leader has time to be heard. */
  recordLeaderHeard(): void {
    this.leaderHeardAt = this.context.runtime.clock.now();
  }

  onLeaderKnown(): void {
    this.successor = null;
    this.waitingForLeader.abort();
    this.waitingForLeader = createSharedAbortController();
  }

  /** This controller resigns; until a leader is known workers are sent to `successor`. */
  onResigned(successor: string | null): void {
    this.successor = successor;
  }

  private receiveAsFollower(
    heartbeat: WorkerHeartbeat,
    role: Extract<Role, { kind: 'follower' }>,
    mayWait: boolean,
    now: number,
  ): HeartbeatOutcome | Promise<HeartbeatOutcome> {
    const leader = role.leader === this.context.settings.member ? null : role.leader;
    if (this.isFromPartitionedZone(heartbeat, role.fencingToken, now)) {
      return this.context.partitionedWorkers.receiveHeartbeat(heartbeat, role.fencingToken, leader);
    }
    if (leader !== null && !this.isLeaderUnresponsive(now)) return { kind: 'redirect', leader };
    const isUnknown = leader === null && this.successor === null;
    return isUnknown && mayWait ? this.whenLeaderKnown(heartbeat) : this.redirect();
  }

  private receiveAsLeader(
    heartbeat: WorkerHeartbeat,
    term: Term,
    now: number,
  ): HeartbeatOutcome | Promise<HeartbeatOutcome> {
    const leader = this.context.leader();
    // A worker that has seen a higher token would drop our answer, and wait for another in vain.
    if (!leader || !term.isActive(now) || heartbeat.fencingToken > term.fencingToken) {
      return this.redirect();
    }
    const commands = leader.receiveHeartbeat(heartbeat);
    if (commands instanceof Promise) return this.answerHeld(leader, commands);
    return commands
      ? { kind: 'commands', fencingToken: term.fencingToken, commands }
      : this.redirect();
  }

  /**
   * A worker that is sent away without a name tries the next controller after a second, which may be
   * unresponsive: it waits that second here, in case leadership is just being transferred.
   */
  private async whenLeaderKnown(heartbeat: WorkerHeartbeat): Promise<HeartbeatOutcome> {
    await this.context.runtime.clock.sleep(UNKNOWN_LEADER_WAIT_MS, this.waitingForLeader.signal);
    return this.receive(heartbeat, false);
  }

  private redirect(): HeartbeatOutcome {
    return { kind: 'redirect', leader: this.successor };
  }

  /** The lease may have run out while the answer was held back, so it is checked again. */
  private async answerHeld(
    leader: HeartbeatReceiver,
    heldCommands: Promise<WorkerCommand[] | null>,
  ): Promise<HeartbeatOutcome> {
    const commands = await heldCommands;
    const mayRenew = leader.mayRenewWorkerLeases(this.context.runtime.clock.now());
    if (!commands || !mayRenew) return this.redirect();
    return { kind: 'commands', fencingToken: leader.term.fencingToken, commands };
  }

  /**
   * A leader that was heard and no longer is: a worker sent to one that stands still waits 4 s for
   * nothing, of a lease that may just last until the next leader is elected. If the leader's key
   * outlives that, it is only we who do not hear it.
   */
  private isLeaderUnresponsive(now: number): boolean {
    const { workers } = this.context.settings;
    const unresponsiveMs =
      now - this.leaderHeardAt - workers.heartbeatIntervalMs * MISSED_HEARTBEATS;
    const leaderLeaseMs = workers.leaseMs * this.context.operator.election.lifetime;
    return unresponsiveMs > 0 && unresponsiveMs < leaderLeaseMs;
  }

  /**
   * A worker of our zone that comes while we are cut off from the leader. It may know only the token
   * of the term before: where the leader changes during the partition, no other node tells it.
   */
  private isFromPartitionedZone(
    heartbeat: WorkerHeartbeat,
    fencingToken: number,
    now: number,
  ): boolean {
    const { zone, workers } = this.context.settings;
    return (
      fencingToken > 0 &&
      heartbeat.fencingToken <= fencingToken &&
      heartbeat.zone === zone &&
      now - this.leaderHeardAt > workers.heartbeatIntervalMs * PARTITION_HEARTBEATS
    );
  }
}
