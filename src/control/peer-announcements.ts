/** What controllers tell each other beside votes: leader heartbeats, cancellations, the store's state. */
import type { Runtime } from '@leverhatch/core/duty';
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

/** The part of this controller's own leader that takes part in announcements. */
export interface AnnouncingLeader {
  announceCancelled(id: string): void;
  progressOfOpenJobs(): JobProgress[];
}

/** What `PeerAnnouncements` works with. */
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
  /** This controller's own leader while it leads. */
  leader(): AnnouncingLeader | null;
  isReady(): boolean;
}

/** Sends this controller's announcements to its peers and acts on theirs. */
export class PeerAnnouncements {
  constructor(private readonly context: PeerAnnouncementsContext) {}

  /**
   * A user is about to be told that a job is cancelled. It is logged first, and the leader hears of it
   * at once if it can; nothing rests on that message.
   */
  announceCancellation(id: string): void {
    const isNew = this.context.cancellationLog.add(id);
    const leader = this.context.leader();
    if (leader) leader.announceCancelled(id);
    else if (isNew) this.sendToAll({ kind: 'jobCancelled', id });
  }

  /** Votes, queries and connection frames have receivers of their own. */
  receive(from: string, message: PeerMessage): void {
    if (message.kind === 'storeStatus')
      this.context.storeReachability.recordStatement(from, message.available);
    else if (message.kind === 'jobCancelled') this.context.leader()?.announceCancelled(message.id);
    else if (message.kind === 'leaderHeartbeat') this.onLeaderHeartbeat(message);
  }

  /** Tells the others how far jobs are, for display, and whether the store serves this controller. */
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
    // One that stood still may lead no more: its word would hide that the next leader is unresponsive.
    if (!role.term.isActive(this.context.runtime.clock.now())) return;
    for (const message of leaderHeartbeats(role.term.fencingToken, leader.progressOfOpenJobs()))
      this.sendToAll(message);
  }

  private sendToAll(message: PeerMessage): void {
    const { peerTransport } = this.context;
    for (const peer of peerTransport.peers) peerTransport.send(peer, message);
  }

  private onLeaderHeartbeat(message: Extract<PeerMessage, { kind: 'leaderHeartbeat' }>): void {
    // Left over from an earlier leader, which stood still or whose messages were held up.
    if (message.fencingToken < this.currentToken) return;
    this.endDeposedTerm(message.fencingToken);
    this.context.heartbeatRouter.recordLeaderHeard();
    // The leader is within reach again: the workers go back to it.
    this.context.partitionedWorkers.clear();
    if (message.progress.some((job) => job.running > 0)) this.context.workerlessTerms.reset();
    this.context.replicatedProgress.apply(message.first, message.progress);
  }

  /**
   * Another controller leads a later term. A leader whom the store refuses alone learns of it only in
   * this way; while it held on to its own term it could promise the other nothing in an outage.
   */
  private endDeposedTerm(laterToken: number): void {
    const role = this.context.role();
    if (role.kind !== 'leader' || role.term.fencingToken >= laterToken) return;
    const { fencingToken } = role.term;
    this.context.runtime.log.warn({ fencingToken, later: laterToken }, 'deposed by a later term');
    role.term.end();
  }

  /** The token of the newest term that this controller knows of. */
  private get currentToken(): number {
    const role = this.context.role();
    return role.kind === 'leader' ? role.term.fencingToken : role.fencingToken;
  }
}
