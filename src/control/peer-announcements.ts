/** Messages between controllers other than votes: leader heartbeats, cancellations, store status. */
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Role } from '../election/leader-election.js';
import type { CancellationLog } from '../jobs/cancellation-log.js';
import { leaderHeartbeats, type JobProgress, type PeerMessage } from '../peer/frames.js';
import type { PeerTransport } from '../peer/peer-transport.js';
import type { StoreReachability } from '../peer/store-reachability.js';
import type { Settings } from '../settings/deploy.js';
import type { Store } from '../state/store.js';
import type { HeartbeatRouter } from './heartbeat-router.js';
import type { SelfMonitor } from './leadership/self-monitor.js';
import type { WorkerlessTerms } from './leadership/worker-liveness.js';
import type { PartitionedWorkers } from './partition/partitioned-workers.js';
import type { ReplicatedProgress } from './replicated-progress.js';

/** The operations of this controller's own leader that announcements use. */
export interface AnnouncingLeader {
  onCancellationAnnounced(id: string): void;
  progressOfOpenJobs(): JobProgress[];
}

/** Dependencies of `PeerAnnouncements`. */
export interface PeerAnnouncementsContext {
  readonly settings: Pick<Settings, 'workers'>;
  readonly runtime: Pick<Runtime, 'clock' | 'log'>;
  readonly store: Pick<Store, 'unavailableSince' | 'lastServedAt'>;
  readonly peerTransport: PeerTransport;
  readonly storeReachability: Pick<StoreReachability, 'recordStatement'>;
  readonly heartbeatRouter: Pick<HeartbeatRouter, 'recordLeaderHeard'>;
  readonly partitionedWorkers: Pick<PartitionedWorkers, 'clear'>;
  readonly workerlessTerms: Pick<WorkerlessTerms, 'reset'>;
  readonly replicatedProgress: Pick<ReplicatedProgress, 'apply'>;
  readonly cancellationLog: Pick<CancellationLog, 'add'>;
  readonly selfMonitor: Pick<SelfMonitor, 'observe'>;
  role(): Role;
  /** This controller's own leader; null while it does not lead. */
  leader(): AnnouncingLeader | null;
  isReady(): boolean;
}

/** Sends this controller's announcements to its peers and processes theirs. */
export class PeerAnnouncements {
  constructor(private readonly context: PeerAnnouncementsContext) {}

  /**
   * Called before a user is told that a job is cancelled. Adds the job to the cancellation log, then
   * notifies the leader. That message is best effort: correctness does not depend on it.
   */
  announceCancellation(id: string): void {
    const isNew = this.context.cancellationLog.add(id);
    const leader = this.context.leader();
    if (leader) leader.onCancellationAnnounced(id);
    else if (isNew) this.sendToAll({ kind: 'jobCancelled', id });
  }

  /** Handles a message of a peer; votes, queries and connection frames are handled elsewhere. */
  receive(from: string, message: PeerMessage): void {
    if (message.kind === 'storeStatus')
      this.context.storeReachability.recordStatement(from, message.available);
    else if (message.kind === 'jobCancelled')
      this.context.leader()?.onCancellationAnnounced(message.id);
    else if (message.kind === 'leaderHeartbeat') this.onLeaderHeartbeat(message);
  }

  /** Sends leader heartbeats with job progress, and this controller's store status, every interval. */
  async broadcast(signal: AbortSignal): Promise<void> {
    const { runtime, settings, store, selfMonitor } = this.context;
    const { heartbeatIntervalMs } = settings.workers;
    while (!signal.aborted) {
      selfMonitor.observe(this.context.isReady());
      this.sendLeaderHeartbeats();
      const available =
        store.unavailableSince === null &&
        runtime.clock.now() - store.lastServedAt < heartbeatIntervalMs * 2;
      this.sendToAll({ kind: 'storeStatus', available });
      await runtime.clock.sleep(heartbeatIntervalMs, signal);
    }
  }

  private sendLeaderHeartbeats(): void {
    const role = this.context.role();
    const leader = this.context.leader();
    if (!leader || role.kind !== 'leader') return;
    // A leader that stalled may have been replaced: its heartbeats would hide that the next leader is
    // unresponsive.
    if (!role.term.isActive(this.context.runtime.clock.now())) return;
    for (const message of leaderHeartbeats(role.term.fencingToken, leader.progressOfOpenJobs()))
      this.sendToAll(message);
  }

  private sendToAll(message: PeerMessage): void {
    const { peerTransport } = this.context;
    for (const peer of peerTransport.peers) peerTransport.send(peer, message);
  }

  private onLeaderHeartbeat(message: Extract<PeerMessage, { kind: 'leaderHeartbeat' }>): void {
    // From an earlier leader that stalled, or whose messages were delayed.
    if (message.fencingToken < this.currentToken) return;
    this.endDeposedTerm(message.fencingToken);
    this.context.heartbeatRouter.recordLeaderHeard();
    // The leader is reachable again, so partitioned workers return to it.
    this.context.partitionedWorkers.clear();
    if (message.progress.some((job) => job.running > 0)) this.context.workerlessTerms.reset();
    this.context.replicatedProgress.apply(message.first, message.progress);
  }

  /**
   * Ends this controller's term if another one leads a later term. A leader that alone cannot reach
   * the store learns of it only this way. As long as it kept its own term, it could not vote for the
   * other leader during a store outage.
   */
  private endDeposedTerm(laterToken: number): void {
    const role = this.context.role();
    if (role.kind !== 'leader' || role.term.fencingToken >= laterToken) return;
    const { fencingToken } = role.term;
    this.context.runtime.log.warn({ fencingToken, later: laterToken }, 'deposed by a later term');
    role.term.end();
  }

  /** The fencing token of the latest term that this controller knows of. */
  private get currentToken(): number {
    const role = this.context.role();
    return role.kind === 'leader' ? role.term.fencingToken : role.fencingToken;
  }
}
