/**
 * Routing of worker heartbeats within a controller: to its own leader, to the handler for partitioned
 * workers, or by redirect to another controller.
 */
import { setMaxListeners } from 'node:events';
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Role } from '../election/leader-election.js';
import type { Term } from '../election/term.js';
import type { HeartbeatOutcome } from '../http/heartbeat-reader.js';
import type { Settings } from '../settings/deploy.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { WorkerCommand, WorkerHeartbeat } from '../wire/worker-heartbeat.js';
import type { PartitionedWorkers } from './partition/partitioned-workers.js';

/** Heartbeat intervals without a leader heartbeat after which the leader counts as unresponsive. */
const MISSED_HEARTBEATS = 1.2;

/** Heartbeat intervals without a leader heartbeat after which the zone counts as partitioned. */
const PARTITION_HEARTBEATS = 2.5;

/** How long a heartbeat is held until a leader is known; at most a worker's own retry delay. */
const UNKNOWN_LEADER_WAIT_MS = 1000;

/** The part of this controller's own leader that handles worker heartbeats. */
export interface HeartbeatReceiver {
  readonly term: Pick<Term, 'fencingToken'>;
  /** The commands to answer; null if the worker's lease must not be renewed now. */
  receiveHeartbeat(
    heartbeat: WorkerHeartbeat,
  ): WorkerCommand[] | null | Promise<WorkerCommand[] | null>;
  mayRenewWorkerLeases(now: number): boolean;
}

/** Dependencies of `HeartbeatRouter`. */
export interface HeartbeatRouterContext {
  readonly settings: Settings;
  readonly operator: Pick<OperatorSettings, 'election'>;
  readonly runtime: Pick<Runtime, 'clock'>;
  readonly partitionedWorkers: Pick<PartitionedWorkers, 'receiveHeartbeat'>;
  role(): Role;
  /** This controller's own leader; null while it does not lead. */
  leader(): HeartbeatReceiver | null;
}

/** Creates an abort controller whose signal may have any number of listeners. */
function createSharedAbortController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

/** Decides who answers a worker heartbeat, and tracks when the leader was last heard. */
export class HeartbeatRouter {
  /** When the leader was last heard; -Infinity after a start, as there may be no live leader. */
  private leaderHeardAt = -Infinity;
  /** The controller to which leadership was transferred, until a leader is known. */
  private successor: string | null = null;
  /** Releases heartbeats that are held until a leader is known. */
  private leaderKnownAbort = createSharedAbortController();

  constructor(private readonly context: HeartbeatRouterContext) {}

  /** `mayWait`: the heartbeat has not yet been held for a leader to be known. */
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

  /** Records a leader heartbeat, or the election of a leader that has not sent one yet. */
  recordLeaderHeard(): void {
    this.leaderHeardAt = this.context.runtime.clock.now();
  }

  /** Ends a transfer of leadership, and releases the held heartbeats. */
  onLeaderKnown(): void {
    this.successor = null;
    this.leaderKnownAbort.abort();
    this.leaderKnownAbort = createSharedAbortController();
  }

  /** Handles the resignation of this controller: redirects to `successor` until a leader is known. */
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
    return isUnknown && mayWait ? this.waitForLeader(heartbeat) : this.redirect();
  }

  private receiveAsLeader(
    heartbeat: WorkerHeartbeat,
    term: Term,
    now: number,
  ): HeartbeatOutcome | Promise<HeartbeatOutcome> {
    const leader = this.context.leader();
    // A worker that has seen a higher token would drop our answer and wait in vain for another one.
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
   * Holds a heartbeat until a leader is known. A worker that is redirected without a leader's name
   * tries the next controller after a second, and that one may be unresponsive; it spends that second
   * here instead, in case leadership is being transferred.
   */
  private async waitForLeader(heartbeat: WorkerHeartbeat): Promise<HeartbeatOutcome> {
    await this.context.runtime.clock.sleep(UNKNOWN_LEADER_WAIT_MS, this.leaderKnownAbort.signal);
    return this.receive(heartbeat, false);
  }

  private redirect(): HeartbeatOutcome {
    return { kind: 'redirect', leader: this.successor };
  }

  /** Answers a held heartbeat; the lease may have expired meanwhile, so it is checked again. */
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
   * Whether the leader's heartbeats have stopped recently. A worker redirected to a stalled leader
   * loses 4 s waiting for an answer, and its lease may barely last until the next leader is elected.
   * If the leader key still exists after a whole leader lease, only this controller does not hear the
   * leader, and redirects resume.
   */
  private isLeaderUnresponsive(now: number): boolean {
    const { workers } = this.context.settings;
    const unresponsiveMs =
      now - this.leaderHeardAt - workers.heartbeatIntervalMs * MISSED_HEARTBEATS;
    const leaderLeaseMs = workers.leaseMs * this.context.operator.election.lifetime;
    return unresponsiveMs > 0 && unresponsiveMs < leaderLeaseMs;
  }

  /**
   * Whether a worker of our zone contacts us while we are partitioned from the leader. It may know
   * only the token of the previous term: if the leader changes during the partition, no other node
   * tells the worker.
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
