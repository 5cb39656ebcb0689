/** Constructs the services that a controller runs at all times, whether or not it is the leader. */
import type { Runtime } from '@leverhatch/core/supervised-task';
import { LeaderElection } from '../election/leader-election.js';
import { SuccessorPolicy } from '../election/successor-policy.js';
import { ZoneDelegate, zoneDelegationMs } from '../election/zone-delegate.js';
import { MachineTypeCatalog } from '../fleet/machine-type-catalog.js';
import type { WorkerTransportFactory } from '../fleet/stop-command-sender.js';
import type { Transport } from '../http/client.js';
import { CancellationLog } from '../jobs/cancellation-log.js';
import {
  JobApi,
  OPEN_JOBS_PER_MB,
  type ControllerStatus,
  type TaskCounts,
} from '../jobs/job-api.js';
import { Membership, OWN_FORMATS, type SupportedFormats } from '../membership/membership.js';
import { CancellationQuery } from '../peer/cancellation-query.js';
import { CANCELLATIONS_VERSION, MAX_CANCELLATIONS, REINSTATEMENT_VERSION } from '../peer/frames.js';
import type { PeerTransport } from '../peer/peer-transport.js';
import { StoreReachability } from '../peer/store-reachability.js';
import { EventLoopLag } from '../runtime/event-loop-lag.js';
import { MessageErrors } from '../runtime/message-errors.js';
import type { Settings } from '../settings/deploy.js';
import type { OperatorSettings } from '../settings/operator.js';
import { Store } from '../state/store.js';
import type { CreateExtension, Extension, TeamQuotaMap } from './extensions/extension.js';
import { SelfMonitor } from './leadership/self-monitor.js';
import { cancellationViewLimitMs } from './partition/cancellation-view.js';
import { PartitionedWorkers } from './partition/partitioned-workers.js';
import { MAX_HOLD_MS } from './reconciliation/heartbeat-handler.js';
import { ReplicatedProgress } from './replicated-progress.js';

/** Retention of announced cancellations, as a multiple of `cancel_s`. */
const CANCELLATION_LOG_WINDOWS = 3;

/** Clients time out after 5 s for a submission and 2 s for a poll; answers must arrive before that. */
const SUBMIT_TIMEOUT_MS = 4000;
const QUERY_TIMEOUT_MS = 1600;

/** Interval of event loop lag measurements, as a fraction of the poll timeout. */
const LAG_INTERVAL_RATIO = 1 / 8;

/**
 * Capacity for replicated progress, as a multiple of the limit on open jobs: jobs that were accepted
 * before all controllers knew that the limit was reached are shown as well.
 */
const REPLICATED_JOBS_FACTOR = 2;

/** Heartbeat intervals between two checks of which controllers have been upgraded. */
const HEARTBEATS_PER_REFRESH = 2;

/** Timeout of cloud requests, as a fraction of the workers' lease. */
const CLOUD_TIMEOUT_RATIO = 0.4;

/** A controller's connections to other systems, and its extensions. */
export interface ControllerDependencies {
  peerTransport: PeerTransport;
  store: Transport;
  cloud: Transport;
  workers: WorkerTransportFactory;
  /** The enabled extensions. */
  extensions?: readonly CreateExtension[];
}

/** The state of this controller's own leader that the job API and extensions use. */
export interface LeaderView {
  readonly isRecovered: boolean;
  readonly jobCount: number;
  progressOf(id: string): TaskCounts | null;
}

/** Callbacks from the services to the controller that owns them. */
export interface ControllerServicesHost {
  /** This controller's own leader; null while it does not lead. */
  leader(): LeaderView | null;
  /** Called before a user is told that a job is cancelled. */
  announceCancellation(id: string): void;
}

/** An extension that provides the promised quotas of teams. */
type QuotaExtension = Extension & Required<Pick<Extension, 'promisedQuotas'>>;

function hasPromisedQuotas(extension: Extension): extension is QuotaExtension {
  return extension.promisedQuotas !== undefined;
}

/** Timeout of cloud requests, in milliseconds. */
export function cloudTimeoutMs(settings: Settings): number {
  return settings.workers.leaseMs * CLOUD_TIMEOUT_RATIO;
}

/** The services of a controller, constructed in dependency order. */
export class ControllerServices {
  readonly messageErrors: MessageErrors;
  readonly store: Store;
  readonly machineTypes: MachineTypeCatalog;
  readonly successorPolicy: SuccessorPolicy;
  readonly election: LeaderElection;
  /** The enabled extensions. */
  readonly extensions: readonly Extension[];
  readonly membership: Membership;
  readonly replicatedProgress: ReplicatedProgress;
  readonly eventLoopLag: EventLoopLag;
  readonly storeReachability: StoreReachability;
  readonly selfMonitor: SelfMonitor;
  readonly cancellationLog: CancellationLog;
  readonly cancellationQuery: CancellationQuery;
  readonly jobApi: JobApi;
  readonly partitionedWorkers: PartitionedWorkers;
  private readonly leaderLeaseMs: number;

  constructor(
    private readonly settings: Settings,
    operator: OperatorSettings,
    private readonly runtime: Runtime,
    private readonly dependencies: ControllerDependencies,
    private readonly host: ControllerServicesHost,
  ) {
    const { machine, workers } = settings;
    const { clock, log, startedAt } = runtime;
    this.leaderLeaseMs = workers.leaseMs * operator.election.lifetime;
    this.messageErrors = new MessageErrors(log);
    this.store = new Store(dependencies.store, runtime, settings, this.leaderLeaseMs / 4);
    this.machineTypes = new MachineTypeCatalog(
      this.store,
      dependencies.cloud,
      runtime,
      cloudTimeoutMs(settings),
    );
    this.successorPolicy = this.createSuccessorPolicy();
    this.election = this.createElection();
    this.extensions = this.createExtensions();
    this.membership = this.createMembership();
    this.replicatedProgress = new ReplicatedProgress(
      machine.memoryMb * OPEN_JOBS_PER_MB * REPLICATED_JOBS_FACTOR,
    );
    this.eventLoopLag = new EventLoopLag(clock, QUERY_TIMEOUT_MS * LAG_INTERVAL_RATIO);
    this.storeReachability = new StoreReachability(clock, workers.heartbeatIntervalMs);
    this.selfMonitor = new SelfMonitor(clock, log, workers.heartbeatIntervalMs);
    this.cancellationLog = new CancellationLog(
      clock,
      startedAt,
      workers.cancelMs * CANCELLATION_LOG_WINDOWS,
      MAX_CANCELLATIONS,
    );
    this.cancellationQuery = new CancellationQuery(
      dependencies.peerTransport,
      runtime,
      this.cancellationLog,
      (peer) => this.membership.readsFrameVersion(peer, CANCELLATIONS_VERSION),
      this.messageErrors,
    );
    this.jobApi = this.createJobApi();
    this.partitionedWorkers = this.createPartitionedWorkers();
  }

  private createSuccessorPolicy(): SuccessorPolicy {
    const { settings } = this;
    const { heartbeatIntervalMs, leaseMs } = settings.workers;
    const controllers = [settings, ...settings.peers];
    return new SuccessorPolicy(this.runtime.clock, this.dependencies.peerTransport, {
      self: settings.member,
      zones: new Map(controllers.map(({ member, zone }) => [member, zone] as const)),
      heartbeatIntervalMs,
      leaseMs,
    });
  }

  private createElection(): LeaderElection {
    return new LeaderElection({
      store: this.store,
      peerTransport: this.dependencies.peerTransport,
      runtime: this.runtime,
      member: this.settings.member,
      leaderLeaseMs: this.leaderLeaseMs,
      successorPolicy: this.successorPolicy,
      messageErrors: this.messageErrors,
      supportsReinstatement: (peer) =>
        this.membership.readsFrameVersion(peer, REINSTATEMENT_VERSION),
    });
  }

  private createExtensions(): Extension[] {
    const { store, runtime, settings } = this;
    const host = {
      ...{ store, runtime, settings },
      isLeading: (): boolean => this.host.leader()?.isRecovered ?? false,
      haveAllEnabled: (feature: string, signal: AbortSignal): Promise<boolean> =>
        this.membership.isFeatureEnabledByAll(feature, signal),
      promisedQuotas: async (): Promise<TeamQuotaMap> =>
        (await this.quotaExtension?.promisedQuotas()) ?? settings.teams,
    };
    return (this.dependencies.extensions ?? []).map((create) => create(host));
  }

  private createMembership(): Membership {
    const { member, peers, size, workers } = this.settings;
    return new Membership(
      this.store,
      this.runtime,
      { self: member, peers: peers.map((peer) => peer.member), size },
      workers.heartbeatIntervalMs * HEARTBEATS_PER_REFRESH,
      this.formats,
    );
  }

  private createJobApi(): JobApi {
    const { store, machineTypes, settings, runtime } = this;
    return new JobApi(store, machineTypes, settings, runtime, this.createControllerStatus(), {
      submitMs: SUBMIT_TIMEOUT_MS,
      pollMs: QUERY_TIMEOUT_MS,
    });
  }

  private createPartitionedWorkers(): PartitionedWorkers {
    const { store, runtime, settings, leaderLeaseMs } = this;
    const { machine, member, workers, zone } = settings;
    return new PartitionedWorkers(
      new ZoneDelegate(store, runtime, member, zone, zoneDelegationMs(leaderLeaseMs)),
      (job) => this.jobApi.phaseOf(job),
      runtime.clock,
      {
        refreshMs: workers.cancelMs / 8,
        maxViewAgeMs: cancellationViewLimitMs(workers, leaderLeaseMs),
        maxHoldMs: MAX_HOLD_MS,
        maxJobs: machine.memoryMb * OPEN_JOBS_PER_MB,
      },
    );
  }

  /** The formats that this controller supports, including the features of its enabled extensions. */
  private get formats(): SupportedFormats {
    const features = this.extensions.map(({ feature }) => feature);
    return features.length > 0 ? { ...OWN_FORMATS, features } : OWN_FORMATS;
  }

  /** The extension that provides promised quotas; undefined: quotas come from the settings. */
  private get quotaExtension(): QuotaExtension | undefined {
    return this.extensions.find(hasPromisedQuotas);
  }

  private createControllerStatus(): ControllerStatus {
    const { host, quotaExtension } = this;
    return {
      progressOf: (id) => {
        const leader = host.leader();
        return leader ? leader.progressOf(id) : this.replicatedProgress.of(id);
      },
      openJobCount: () => host.leader()?.jobCount ?? this.replicatedProgress.size,
      lagMs: () => this.eventLoopLag.ms,
      onCancellationAnnounced: (id) => host.announceCancellation(id),
      ...(quotaExtension ? { promisedQuotas: () => quotaExtension.promisedQuotas() } : {}),
    };
  }
}
