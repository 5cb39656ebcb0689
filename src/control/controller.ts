/** The controller: its supervised tasks, and the leader that it creates for each of its terms. */
import { supervise, untilAborted, type Runtime } from '@leverhatch/core/supervised-task';
import type { Role } from '../election/leader-election.js';
import type { Term } from '../election/term.js';
import type { HeartbeatOutcome } from '../http/heartbeat-reader.js';
import type { ControllerService } from '../http/server.js';
import type { JobApi } from '../jobs/job-api.js';
import type { Membership } from '../membership/membership.js';
import { subscribeToMessages } from '../peer/message-subscription.js';
import type { Settings } from '../settings/deploy.js';
import type { OperatorSettings } from '../settings/operator.js';
import { probeStore } from '../state/store-probe.js';
import type { WorkerHeartbeat } from '../wire/worker-heartbeat.js';
import {
  cloudTimeoutMs,
  ControllerServices,
  type ControllerDependencies,
  type LeaderView,
} from './controller-services.js';
import type { Extension } from './extensions/extension.js';
import { HeartbeatRouter } from './heartbeat-router.js';
import { Leader } from './leader.js';
import { UnreadableTerms } from './leadership/record-read-monitor.js';
import { WorkerlessTerms } from './leadership/worker-liveness.js';
import { PeerAnnouncements } from './peer-announcements.js';

export type { ControllerDependencies } from './controller-services.js';

/** A controller: serves users at all times, and acts as leader while it holds the leader key. */
export class Controller implements ControllerService {
  private readonly services: ControllerServices;
  private readonly heartbeatRouter: HeartbeatRouter;
  private readonly peerAnnouncements: PeerAnnouncements;
  private leader: Leader | null = null;
  private readonly workerlessTerms = new WorkerlessTerms();
  private readonly unreadableTerms = new UnreadableTerms();

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly runtime: Runtime,
    private readonly dependencies: ControllerDependencies,
  ) {
    this.services = new ControllerServices(settings, operator, runtime, dependencies, {
      leader: () => this.leaderView,
      announceCancellation: (id) => this.peerAnnouncements.announceCancellation(id),
    });
    const { election, partitionedWorkers } = this.services;
    this.heartbeatRouter = new HeartbeatRouter({
      settings,
      operator,
      runtime,
      partitionedWorkers,
      role: () => election.role.value,
      leader: () => this.leader,
    });
    this.peerAnnouncements = new PeerAnnouncements({
      settings,
      runtime,
      store: this.services.store,
      storeReachability: this.services.storeReachability,
      partitionedWorkers,
      replicatedProgress: this.services.replicatedProgress,
      cancellationLog: this.services.cancellationLog,
      selfMonitor: this.services.selfMonitor,
      peerTransport: dependencies.peerTransport,
      heartbeatRouter: this.heartbeatRouter,
      workerlessTerms: this.workerlessTerms,
      role: () => election.role.value,
      leader: () => this.leader,
      isReady: () => this.ready(),
    });
  }

  get jobApi(): JobApi {
    return this.services.jobApi;
  }

  get membership(): Membership {
    return this.services.membership;
  }

  /** The enabled extensions. */
  get extensions(): readonly Extension[] {
    return this.services.extensions;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { cancellationQuery, election, messageErrors } = this.services;
    const subscriptions = [
      election.role.subscribe((role) => this.onRoleChange(role)),
      subscribeToMessages(this.dependencies.peerTransport, messageErrors, (from, message) =>
        this.peerAnnouncements.receive(from, message),
      ),
      cancellationQuery.listen(),
    ];
    try {
      await Promise.all(this.startSupervisedTasks(signal));
    } finally {
      for (const subscription of subscriptions) subscription.unsubscribe();
    }
  }

  receiveHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatOutcome | Promise<HeartbeatOutcome> {
    return this.services.messageErrors.handle<HeartbeatOutcome>(
      { message: 'heartbeat', machine: heartbeat.machine },
      () => this.heartbeatRouter.receive(heartbeat),
      () => ({ kind: 'redirect', leader: null }),
    );
  }

  ready(): boolean {
    const { machineTypes, storeReachability, store } = this.services;
    return (
      machineTypes.types.value !== null && !storeReachability.isIsolated(store.unavailableSince)
    );
  }

  private get leaderView(): LeaderView | null {
    const { leader } = this;
    if (!leader) return null;
    return {
      isRecovered: leader.parts.jobRecords.isRecovered,
      jobCount: leader.parts.jobs.size,
      progressOf: (id) => leader.progressOf(id),
    };
  }

  private startSupervisedTasks(signal: AbortSignal): Promise<void>[] {
    const { runtime } = this;
    const { election, eventLoopLag, machineTypes, membership, store } = this.services;
    const restartMs = this.settings.workers.heartbeatIntervalMs;
    const startTask = (name: string, run: (signal: AbortSignal) => Promise<void>): Promise<void> =>
      supervise(runtime, name, signal, restartMs, run);
    return [
      startTask('heartbeat', (signal) => this.peerAnnouncements.broadcast(signal)),
      startTask('event loop', (signal) => eventLoopLag.run(signal)),
      startTask('store probe', (signal) => probeStore(store, runtime.clock, restartMs, signal)),
      startTask('machine type catalog', async (signal) => {
        await machineTypes.load(signal);
        await untilAborted(signal);
      }),
      startTask('membership', async (signal) => {
        await membership.run(signal);
        await untilAborted(signal);
      }),
      startTask('election', (signal) => election.run(signal)),
    ];
  }

  /** Ends a term that cannot begin. */
  private onRoleChange(role: Role): void {
    void this.services.messageErrors.handle<void>(
      { message: 'role change' },
      () => this.onRole(role),
      () => {
        if (role.kind === 'leader') role.term.end();
      },
    );
  }

  private onRole(role: Role): void {
    if (role.kind === 'leader') this.lead(role.term);
    else if (role.leader !== null) {
      // Gives a new leader time for its first heartbeat before its workers count as partitioned.
      this.heartbeatRouter.recordLeaderHeard();
      this.heartbeatRouter.onLeaderKnown();
    }
  }

  private lead(term: Term): void {
    const leader = this.createLeader(term);
    this.leader = leader;
    this.heartbeatRouter.onLeaderKnown();
    void leader
      .run()
      .catch((error: unknown) => {
        if (!term.signal.aborted) {
          this.runtime.log.error({ error: String(error) }, 'leader failed');
        }
        term.end();
      })
      .finally(() => {
        if (this.leader === leader) this.leader = null;
      });
  }

  private createLeader(term: Term): Leader {
    const { dependencies, runtime, settings, operator } = this;
    const { election, storeReachability, successorPolicy } = this.services;
    return new Leader(
      {
        store: this.services.store,
        cloud: dependencies.cloud,
        workers: dependencies.workers,
        machineTypes: this.services.machineTypes,
        membership: this.services.membership,
        messageErrors: this.services.messageErrors,
        settings,
        operator,
        runtime,
        cloudTimeoutMs: cloudTimeoutMs(settings),
        cancellationQuery: this.services.cancellationQuery,
        workerlessTerms: this.workerlessTerms,
        successorPolicy,
        unreadableTerms: this.unreadableTerms,
        extensions: this.services.extensions,
        isStoreAvailableToOthers: () => storeReachability.isAvailableToOthers,
        preferredSuccessor: () =>
          successorPolicy.preferredSuccessor((peer) => storeReachability.isAvailableTo(peer)),
      },
      term,
      (successor) => {
        this.heartbeatRouter.onResigned(successor ?? null);
        election.resign(term, storeReachability.isAvailableToOthers);
      },
    );
  }
}
