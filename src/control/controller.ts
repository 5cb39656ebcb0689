import { setMaxListeners } from 'node:events';
import { LeaderElection } from '../election/leader-election.js';
import { SuccessorPolicy } from '../election/successor-policy.js';
import { ZoneDelegate, zoneDelegationMs } from '../election/zone-delegate.js';
import { MachineTypeCatalog } from '../fleet/machine-type-catalog.js';
import type { WorkerTransports } from '../fleet/stop-commands.js';
import type { Transport } from '../http/client.js';
import type { ControllerService } from '../http/server.js';
import type { HeartbeatOutcome } from '../http/heartbeat-reader.js';
import { CancellationLog } from '../jobs/cancellation-log.js';
import { JobApi, OPEN_JOBS_PER_MB, type ControllerStatus } from '../jobs/job-api.js';
import { CancellationQuery } from '../peer/cancellation-query.js';
import {
  leaderHeartbeats,
  MAX_CANCELLATIONS,
  CANCELLATIONS_VERSION,
  REINSTATEMENT_VERSION,
  type PeerMessage,
} from '../peer/frames.js';
import { Membership, OWN_FORMATS, type Formats } from '../membership/membership.js';
import type { PeerTransport } from '../peer/peer-transport.js';
import { supervise, untilAborted, type Runtime } from '@leverhatch/core/duty';
import { EventLoopLag } from '../runtime/event-loop-lag.js';
import { StoreReachability } from '../peer/store-reachability.js';
import type { Settings } from '../settings/deploy.js';
import type { OperatorSettings } from '../settings/operator.js';
import { probeStore } from '../state/store-probe.js';
import { Store } from '../state/store.js';
import type { WorkerCommand, WorkerHeartbeat } from '../wire/worker-heartbeat.js';
import { cancellationViewLimitMs } from './partition/cancellation-view.js';
import type { CreateExtension, Extension, TeamQuotaMap } from './extensions/extension.js';
import { Leader } from './leader.js';
import { MAX_HOLD_MS } from './reconciliation/heartbeat-handler.js';
import { SelfMonitor } from './leadership/self-monitor.js';
import { PartitionedWorkers } from './partition/partitioned-workers.js';
import { ReplicatedProgress } from './replicated-progress.js';
import { UnreadableTerms } from './leadership/record-read-monitor.js';
import { WorkerlessTerms } from './leadership/worker-liveness.js';

export interface ControllerDependencies {
  peerTransport: PeerTransport;
  store: Transport;
  cloud: Transport;
  workers: WorkerTransports;
  /** Optional parts that are switched on. */
  extensions?: readonly CreateExtension[];
}

/** The leader speaks once a report interval; after so many of them without a word it is mute. */
const MISSED_HEARTBEATS = 1.2;

/** For how many times `cancel_s` it is remembered which jobs users were told to be cancelled. */
const CANCELLATION_LOG_WINDOWS = 3;

/** How long a report waits here for a leader to be known; no longer than a worker would pause. */
const UNKNOWN_LEADER_WAIT_MS = 1000;

/** Users wait 5 s for a submission and 2 s for a poll; what they are told has to reach them by then. */
const SUBMIT_TIMEOUT_MS = 4000;
const QUERY_TIMEOUT_MS = 1600;

/** How often it is measured how late timers are, as a share of a poll's time. */
const LAG_INTERVAL_RATIO = 1 / 8;

/** Jobs accepted before all controllers know that there are too many are shown as well. */
const REPLICATED_JOBS_FACTOR = 2;

/** How many report intervals pass between two checks of who has been upgraded. */
const HEARTBEATS_PER_REFRESH = 2;

/** For a signal that any number of reports wait for. */
function awaitedByMany(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

/** One controller: answers users at all times, and leads while it holds the leader key. */
export class Controller implements ControllerService {
  readonly jobApi: JobApi;
  private readonly store: Store;
  private readonly election: LeaderElection;
  private readonly successorPolicy: SuccessorPolicy;
  private readonly storeReachability: StoreReachability;
  private readonly machineTypes: MachineTypeCatalog;
  readonly membership: Membership;
  /** Optional parts that are switched on. */
  readonly extensions: readonly Extension[];
  private leader: Leader | null = null;
  private readonly workerlessTerms = new WorkerlessTerms();
  private readonly unreadableTerms = new UnreadableTerms();
  private readonly partitionedWorkers: PartitionedWorkers;
  private readonly cancellationLog: CancellationLog;
  private readonly selfMonitor: SelfMonitor;
  private readonly cancellationQuery: CancellationQuery;
  /** When the leader was last heard; a controller that has just started may find none alive. */
  private leaderHeardAt = -Infinity;
  /** To whom this controller has handed office over, until a leader is known. */
  private successor: string | null = null;
  /** Ends the waits of reports that came while no leader was known. */
  private waitingForLeader = awaitedByMany();
  private readonly replicatedProgress: ReplicatedProgress;
  private readonly eventLoopLag: EventLoopLag;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly runtime: Runtime,
    private readonly dependencies: ControllerDependencies,
  ) {
    const { workers } = settings;
    const leaderLeaseMs = workers.leaseMs * operator.election.lifetime;
    this.store = new Store(dependencies.store, runtime, settings, leaderLeaseMs / 4);
    this.machineTypes = new MachineTypeCatalog(
      this.store,
      dependencies.cloud,
      runtime,
      this.cloudTimeoutMs,
    );
    this.successorPolicy = new SuccessorPolicy(runtime.clock, dependencies.peerTransport, {
      self: settings.member,
      zones: new Map(
        [settings, ...settings.peers].map(({ member, zone }) => [member, zone] as const),
      ),
      heartbeatIntervalMs: workers.heartbeatIntervalMs,
      leaseMs: workers.leaseMs,
    });
    this.election = new LeaderElection(
      this.store,
      dependencies.peerTransport,
      runtime,
      settings.member,
      leaderLeaseMs,
      this.successorPolicy,
      (peer) => this.membership.readsFrames(peer, REINSTATEMENT_VERSION),
    );
    this.extensions = this.createExtensions();
    this.membership = new Membership(
      this.store,
      runtime,
      {
        self: settings.member,
        peers: settings.peers.map((peer) => peer.member),
        size: settings.size,
      },
      workers.heartbeatIntervalMs * HEARTBEATS_PER_REFRESH,
      this.formats,
    );
    this.replicatedProgress = new ReplicatedProgress(
      settings.machine.memoryMb * OPEN_JOBS_PER_MB * REPLICATED_JOBS_FACTOR,
    );
    this.eventLoopLag = new EventLoopLag(runtime.clock, QUERY_TIMEOUT_MS * LAG_INTERVAL_RATIO);
    this.storeReachability = new StoreReachability(
      runtime.clock,
      settings.workers.heartbeatIntervalMs,
    );
    this.selfMonitor = new SelfMonitor(runtime.clock, runtime.log, workers.heartbeatIntervalMs);
    this.cancellationLog = new CancellationLog(
      runtime.clock,
      runtime.startedAt,
      workers.cancelMs * CANCELLATION_LOG_WINDOWS,
      MAX_CANCELLATIONS,
    );
    this.cancellationQuery = new CancellationQuery(
      dependencies.peerTransport,
      runtime,
      this.cancellationLog,
      (peer) => this.membership.readsFrames(peer, CANCELLATIONS_VERSION),
    );
    this.jobApi = new JobApi(
      this.store,
      this.machineTypes,
      settings,
      runtime,
      this.statusForUsers(),
      {
        submitMs: SUBMIT_TIMEOUT_MS,
        pollMs: QUERY_TIMEOUT_MS,
      },
    );
    this.partitionedWorkers = new PartitionedWorkers(
      new ZoneDelegate(
        this.store,
        runtime,
        settings.member,
        settings.zone,
        zoneDelegationMs(leaderLeaseMs),
      ),
      (job) => this.jobApi.phaseOf(job),
      runtime.clock,
      {
        refreshMs: workers.cancelMs / 8,
        viewMs: cancellationViewLimitMs(workers, leaderLeaseMs),
        waitMs: MAX_HOLD_MS,
        maxJobs: settings.machine.memoryMb * OPEN_JOBS_PER_MB,
      },
    );
  }

  private createExtensions(): Extension[] {
    const { store, runtime, settings } = this;
    const isLeading = (): boolean => this.leader?.jobRecords.isRecovered ?? false;
    const haveAllEnabled = (feature: string, signal: AbortSignal): Promise<boolean> =>
      this.membership.haveAllEnabled(feature, signal);
    const promisedQuotas = async (): Promise<TeamQuotaMap> =>
      (await this.quotaExtension?.promisedQuotas!()) ?? settings.teams;
    const host = {
      ...{ store, runtime, settings, isLeading, haveAllEnabled, promisedQuotas },
    };
    return (this.dependencies.extensions ?? []).map((create) => create(host));
  }

  /** What this controller understands, with the optional parts that it has switched on. */
  private get formats(): Formats {
    const features = this.extensions.map(({ feature }) => feature);
    return features.length > 0 ? { ...OWN_FORMATS, features } : OWN_FORMATS;
  }

  /** The part that says what teams have or will have; undefined: the settings do. */
  private get quotaExtension(): Extension | undefined {
    return this.extensions.find((extension) => extension.promisedQuotas);
  }

  private statusForUsers(): ControllerStatus {
    const shares = this.quotaExtension;
    return {
      progressOf: (id) =>
        this.leader ? this.leader.progressOf(id) : this.replicatedProgress.of(id),
      openJobCount: () => this.leader?.jobs.size ?? this.replicatedProgress.size,
      lagMs: () => this.eventLoopLag.ms,
      onCancellationAnnounced: (id) => this.announceCancellation(id),
      ...(shares ? { promisedQuotas: () => shares.promisedQuotas!() } : {}),
    };
  }

  /**
   * A user is about to be told that a job is cancelled. It is logged first, and the leader hears of it
   * at once if it can; nothing rests on that message.
   */
  private announceCancellation(id: string): void {
    const isNew = this.cancellationLog.add(id);
    if (this.leader) this.leader.announceCancelled(id);
    else if (isNew) {
      for (const peer of this.dependencies.peerTransport.peers) {
        this.dependencies.peerTransport.send(peer, { kind: 'jobCancelled', id });
      }
    }
  }

  private onPeerMessage(message: PeerMessage): void {
    if (message.kind === 'jobCancelled') this.leader?.announceCancelled(message.id);
    else if (message.kind === 'leaderHeartbeat') {
      // Left over from an earlier leader, which stood still or whose messages were held up.
      if (message.fencingToken < this.currentToken) return;
      this.endDeposedTerm(message.fencingToken);
      this.leaderHeardAt = this.runtime.clock.now();
      // The leader is within reach again: the workers go back to it.
      this.partitionedWorkers.clear();
      if (message.progress.some((c) => c.running > 0)) this.workerlessTerms.reset();
      this.replicatedProgress.apply(message.first, message.progress);
    }
  }

  /**
   * Another controller leads a later term. A leader whom the store refuses alone learns of it only in
   * this way; while it held on to its own term it could promise the other nothing in an outage.
   */
  private endDeposedTerm(fencingToken: number): void {
    const role = this.election.role.value;
    if (role.kind !== 'leader' || role.term.fencingToken >= fencingToken) return;
    this.runtime.log.warn(
      { fencingToken: role.term.fencingToken, later: fencingToken },
      'deposed by a later term',
    );
    role.term.end();
  }

  /** The token of the newest term that this controller knows of. */
  private get currentToken(): number {
    const role = this.election.role.value;
    return role.kind === 'leader' ? role.term.fencingToken : role.fencingToken;
  }

  /** The leader tells the others how far jobs are, for display. */
  private async broadcastHeartbeats(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    while (!signal.aborted) {
      this.selfMonitor.observe(this.ready());
      const role = this.election.role.value;
      // One that stood still may lead no more: its word would hide that the next leader is silent.
      if (this.leader && role.kind === 'leader' && role.term.isActive(clock.now())) {
        for (const message of leaderHeartbeats(
          role.term.fencingToken,
          this.leader.progressOfOpenJobs(),
        )) {
          for (const peer of this.dependencies.peerTransport.peers)
            this.dependencies.peerTransport.send(peer, message);
        }
      }
      const { heartbeatIntervalMs: heartbeatIntervalMs } = this.settings.workers;
      const { unavailableSince: unavailableSince, lastServedAt: lastServedAt } = this.store;
      const serves =
        unavailableSince === null && clock.now() - lastServedAt < heartbeatIntervalMs * 2;
      for (const peer of this.dependencies.peerTransport.peers)
        this.dependencies.peerTransport.send(peer, { kind: 'storeStatus', available: serves });
      await clock.sleep(heartbeatIntervalMs, signal);
    }
  }

  private get cloudTimeoutMs(): number {
    return this.settings.workers.leaseMs * 0.4;
  }

  async run(signal: AbortSignal): Promise<void> {
    const restartMs = this.settings.workers.heartbeatIntervalMs;
    const subscription = this.election.role.subscribe((role) => {
      if (role.kind !== 'leader') {
        // A new leader has time to be heard before its workers count as partitioned.
        if (role.leader !== null) {
          this.leaderHeardAt = this.runtime.clock.now();
          this.onLeaderKnown();
        }
        return;
      }
      const leader = new Leader(
        {
          store: this.store,
          cloud: this.dependencies.cloud,
          workers: this.dependencies.workers,
          machineTypes: this.machineTypes,
          membership: this.membership,
          settings: this.settings,
          operator: this.operator,
          runtime: this.runtime,
          cloudTimeoutMs: this.cloudTimeoutMs,
          cancellationQuery: this.cancellationQuery,
          workerlessTerms: this.workerlessTerms,
          successorPolicy: this.successorPolicy,
          unreadableTerms: this.unreadableTerms,
          extensions: this.extensions,
          isStoreAvailableToOthers: () => this.storeReachability.isAvailableToOthers,
          preferredSuccessor: () =>
            this.successorPolicy.preferredSuccessor((peer) =>
              this.storeReachability.isAvailableTo(peer),
            ),
        },
        role.term,
        (successor) => {
          this.successor = successor ?? null;
          this.election.resign(role.term, this.storeReachability.isAvailableToOthers);
        },
      );
      this.leader = leader;
      this.onLeaderKnown();
      void leader
        .run()
        .catch((error: unknown) => {
          if (!role.term.signal.aborted) {
            this.runtime.log.error({ error: String(error) }, 'leader failed');
          }
          role.term.end();
        })
        .finally(() => {
          if (this.leader === leader) this.leader = null;
        });
    });
    const peers = this.dependencies.peerTransport.messages.subscribe(({ from, message }) => {
      if (message.kind === 'storeStatus')
        this.storeReachability.recordStatement(from, message.available);
      else this.onPeerMessage(message);
    });
    const cancellationQuery = this.cancellationQuery.listen();
    try {
      await Promise.all([
        supervise(this.runtime, 'heartbeat', signal, restartMs, (signal) =>
          this.broadcastHeartbeats(signal),
        ),
        supervise(this.runtime, 'event loop', signal, restartMs, (signal) =>
          this.eventLoopLag.run(signal),
        ),
        supervise(this.runtime, 'store probe', signal, restartMs, (signal) =>
          probeStore(this.store, this.runtime.clock, restartMs, signal),
        ),
        supervise(this.runtime, 'catalogue', signal, restartMs, async (signal) => {
          await this.machineTypes.load(signal);
          await untilAborted(signal);
        }),
        supervise(this.runtime, 'membership', signal, restartMs, async (signal) => {
          await this.membership.run(signal);
          await untilAborted(signal);
        }),
        supervise(this.runtime, 'election', signal, restartMs, (signal) =>
          this.election.run(signal),
        ),
      ]);
    } finally {
      subscription.unsubscribe();
      peers.unsubscribe();
      cancellationQuery.unsubscribe();
    }
  }

  /** `mayWait`: the worker has not waited yet for a leader to be known. */
  receiveHeartbeat(
    heartbeat: WorkerHeartbeat,
    mayWait = true,
  ): HeartbeatOutcome | Promise<HeartbeatOutcome> {
    const role = this.election.role.value;
    const now = this.runtime.clock.now();
    if (role.kind === 'follower') {
      const leader = role.leader === this.settings.member ? null : role.leader;
      if (this.isFromPartitionedZone(heartbeat, role.fencingToken, now)) {
        return this.partitionedWorkers.receiveHeartbeat(heartbeat, role.fencingToken, leader);
      }
      if (leader !== null && !this.isLeaderUnresponsive(now)) return { kind: 'redirect', leader };
      const unknown = leader === null && this.successor === null;
      return unknown && mayWait ? this.whenLeaderKnown(heartbeat) : this.redirect();
    }
    const { term } = role;
    // A worker that has seen a higher token would drop our answer, and wait for another in vain.
    if (!this.leader || !term.isActive(now) || heartbeat.fencingToken > term.fencingToken) {
      return this.redirect();
    }
    const commands = this.leader.receiveHeartbeat(heartbeat);
    if (commands instanceof Promise) return this.answerHeld(this.leader, commands);
    return commands
      ? { kind: 'commands', fencingToken: term.fencingToken, commands }
      : this.redirect();
  }

  /**
   * A worker that is sent away without a name tries the next controller after a second, which may be
   * silent: it waits that second here, in case office is just being handed over.
   */
  private async whenLeaderKnown(heartbeat: WorkerHeartbeat): Promise<HeartbeatOutcome> {
    await this.runtime.clock.sleep(UNKNOWN_LEADER_WAIT_MS, this.waitingForLeader.signal);
    return this.receiveHeartbeat(heartbeat, false);
  }

  private onLeaderKnown(): void {
    this.successor = null;
    this.waitingForLeader.abort();
    this.waitingForLeader = awaitedByMany();
  }

  private redirect(): HeartbeatOutcome {
    return { kind: 'redirect', leader: this.successor };
  }

  /** The right to answer is looked at again when the answer is given. */
  private async answerHeld(
    leader: Leader,
    later: Promise<WorkerCommand[] | null>,
  ): Promise<HeartbeatOutcome> {
    const commands = await later;
    const entitled = leader.mayRenewWorkerLeases(this.runtime.clock.now());
    if (!commands || !entitled) return this.redirect();
    return { kind: 'commands', fencingToken: leader.term.fencingToken, commands };
  }

  /**
   * A leader that was heard and no longer is: a worker sent to one that stands still waits 4 s for
   * nothing, of a lease that may just last until the next takes office. If the leader's key outlives
   * that, it is only we who do not hear it.
   */
  private isLeaderUnresponsive(now: number): boolean {
    const unresponsiveMs =
      now - this.leaderHeardAt - this.settings.workers.heartbeatIntervalMs * MISSED_HEARTBEATS;
    return (
      unresponsiveMs > 0 &&
      unresponsiveMs < this.settings.workers.leaseMs * this.operator.election.lifetime
    );
  }

  /**
   * A worker of our zone that comes while we are cut off from the leader. It may know only the token
   * of the one before: where office changes hands during the cut, no other node tells it.
   */
  private isFromPartitionedZone(
    heartbeat: WorkerHeartbeat,
    fencingToken: number,
    now: number,
  ): boolean {
    return (
      fencingToken > 0 &&
      heartbeat.fencingToken <= fencingToken &&
      heartbeat.zone === this.settings.zone &&
      now - this.leaderHeardAt > this.settings.workers.heartbeatIntervalMs * 2.5
    );
  }

  ready(): boolean {
    return (
      this.machineTypes.types.value !== null &&
      !this.storeReachability.isIsolated(this.store.unavailableSince)
    );
  }
}
