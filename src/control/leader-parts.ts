/**
 * Constructs and connects the components of a leader for one term. Above 300 lines because this is the
 * only place where components are wired together: each gets named dependencies, and components that
 * depend on each other are connected by callbacks. leader.ts runs them.
 */
import { ZoneDelegateWatch, zoneDelegationMs } from '../election/zone-delegate.js';
import type { SuccessorPolicy } from '../election/successor-policy.js';
import type { Term } from '../election/term.js';
import type { MachineTypeCatalog } from '../fleet/machine-type-catalog.js';
import { Fleet } from '../fleet/fleet.js';
import { MachineProvisioner } from '../fleet/machine-provisioner.js';
import { StopCommandSender, type WorkerTransportFactory } from '../fleet/stop-command-sender.js';
import type { MachineType } from '../fleet/resources.js';
import type { ScaleOutRequest } from '../scheduler/scheduling-model.js';
import type { Transport } from '../http/client.js';
import { markRecorded } from '../jobs/placement-stage.js';
import { JobRecordWriter } from '../jobs/job-record-writer.js';
import type { Job } from '../jobs/tracked-job.js';
import type { LayoutPolicy } from '../jobs/run-layout.js';
import { RunRewriter } from '../jobs/run-rewriter.js';
import { RECORD_FORMATS, type Membership } from '../membership/membership.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Settings } from '../settings/deploy.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Store } from '../state/store.js';
import type { CancellationQuery } from '../peer/cancellation-query.js';
import { CancellationView, cancellationViewLimitMs } from './partition/cancellation-view.js';
import { DependencyTracker } from './dependencies/dependency-tracker.js';
import { ExpectedDemand } from './scheduling/expected-demand.js';
import { SchedulingLoop } from './scheduling/scheduling-loop.js';
import { trackedTasksLimit } from './scheduling/tracked-tasks-limit.js';
import type { Extension, TeamQuotaMap } from './extensions/extension.js';
import { GangGate } from './admission/gang-gate.js';
import { GangTimeouts } from './admission/gang-timeouts.js';
import { JobRecordWatcher } from './reconciliation/job-record-watcher.js';
import { LongPoll } from './reconciliation/long-poll.js';
import { MachineReconciler } from './reconciliation/machine-reconciler.js';
import { longestHoldMs, HeartbeatHandler } from './reconciliation/heartbeat-handler.js';
import { MachineLivenessLog } from './reconciliation/machine-liveness-log.js';
import { TaskLifecycle } from './reconciliation/task-lifecycle.js';
import { TaskStopper } from './reconciliation/task-stopper.js';
import { QuotaWaitLog } from './scheduling/quota-wait-log.js';
import { TermExtensions } from './extensions/term-extensions.js';
import type { MessageErrors } from '../runtime/message-errors.js';
import { MessageGuard } from './leadership/message-guard.js';
import { RecordReadMonitor, type UnreadableTerms } from './leadership/record-read-monitor.js';
import { WorkerLiveness, type WorkerlessTerms } from './leadership/worker-liveness.js';

/** Dependencies that a leader gets from its controller. */
export interface LeaderDependencies {
  store: Store;
  cloud: Transport;
  workers: WorkerTransportFactory;
  machineTypes: MachineTypeCatalog;
  membership: Membership;
  messageErrors: MessageErrors;
  settings: Settings;
  operator: OperatorSettings;
  runtime: Runtime;
  cloudTimeoutMs: number;
  cancellationQuery: CancellationQuery;
  workerlessTerms: WorkerlessTerms;
  successorPolicy: SuccessorPolicy;
  unreadableTerms: UnreadableTerms;
  /** Whether the store serves another controller, which could lead. */
  isStoreAvailableToOthers(): boolean;
  /** The controller that should lead instead of this one; null: none. */
  preferredSuccessor(): string | null;
  /** The enabled extensions. */
  extensions: readonly Extension[];
}

/** The components of a leader, constructed in dependency order. */
export class LeaderParts {
  readonly jobs = new Map<string, Job>();
  readonly messageGuard: MessageGuard;
  readonly fleet: Fleet;
  readonly provisioner: MachineProvisioner;
  readonly gangGate: GangGate;
  readonly reconciler: MachineReconciler;
  /** Duration of the leader lease, in milliseconds. */
  readonly leaderLeaseMs: number;
  readonly cancellationView: CancellationView;
  readonly workerLiveness: WorkerLiveness;
  readonly recordReadMonitor: RecordReadMonitor;
  readonly machineLivenessLog: MachineLivenessLog;
  readonly quotaWaitLog: QuotaWaitLog;
  /** The enabled extensions, for this term. */
  readonly extensions: TermExtensions;
  readonly recordWriter: JobRecordWriter;
  readonly rewriter: RunRewriter;
  readonly zoneDelegates: ZoneDelegateWatch;
  readonly longPoll: LongPoll;
  readonly stopCommands: StopCommandSender;
  readonly taskStopper: TaskStopper;
  readonly jobRecords: JobRecordWatcher;
  readonly dependencies: DependencyTracker;
  readonly heartbeatHandler: HeartbeatHandler;
  readonly taskLifecycle: TaskLifecycle;
  readonly schedulingLoop: SchedulingLoop;
  readonly expectedDemand: ExpectedDemand;
  /** True once the cloud has listed its machines in this term. */
  hasListedMachines = false;

  constructor(
    private readonly context: LeaderDependencies,
    private readonly term: Term,
    /** `successor`: the controller to which workers are redirected until the next leader is known. */
    private readonly resign: (successor?: string) => void,
  ) {
    const { settings, runtime, store } = context;
    this.leaderLeaseMs = settings.workers.leaseMs * context.operator.election.lifetime;
    this.messageGuard = new MessageGuard(context.messageErrors, () => this.resign());
    this.cancellationView = new CancellationView(
      cancellationViewLimitMs(settings.workers, this.leaderLeaseMs),
    );
    this.workerLiveness = new WorkerLiveness(
      term.startedAt,
      settings.workers,
      context.workerlessTerms,
    );
    this.recordReadMonitor = new RecordReadMonitor(
      term.startedAt,
      this.leaderLeaseMs,
      context.unreadableTerms,
    );
    this.zoneDelegates = new ZoneDelegateWatch(
      store,
      runtime,
      zoneDelegationMs(this.leaderLeaseMs),
    );
    this.fleet = this.createFleet();
    this.machineLivenessLog = new MachineLivenessLog(
      runtime.log,
      settings.workers.leaseMs,
      (machine, now) => this.fleet.isLeaseExpired(machine, now),
    );
    this.quotaWaitLog = new QuotaWaitLog(runtime.log, settings.workers.heartbeatIntervalMs);
    this.longPoll = new LongPoll(runtime, longestHoldMs(settings.workers.heartbeatIntervalMs));
    this.stopCommands = this.createStopCommands();
    this.taskStopper = this.createTaskStopper();
    this.extensions = this.createTermExtensions();
    const layouts = this.layoutPolicy();
    this.recordWriter = this.createRecordWriter(layouts);
    this.rewriter = new RunRewriter(store, runtime, this.recordWriter, this.jobs, layouts);
    this.provisioner = this.createProvisioner();
    this.expectedDemand = new ExpectedDemand(this.jobs, settings);
    this.gangGate = new GangGate(context.operator);
    this.reconciler = this.createReconciler();
    this.dependencies = this.createDependencyTracker();
    this.jobRecords = this.createJobRecordWatcher();
    this.heartbeatHandler = this.createHeartbeatHandler();
    this.taskLifecycle = this.createTaskLifecycle();
    this.schedulingLoop = this.createSchedulingLoop();
  }

  private createFleet(): Fleet {
    const { settings } = this.context;
    return new Fleet(
      {
        running: (placement) => this.taskLifecycle.onRunning(placement),
        exited: (placement, exitReason, checkpointed) =>
          this.taskLifecycle.onExited(placement, exitReason, checkpointed),
        lost: (placement) => this.taskLifecycle.onLost(placement),
      },
      this.term.fencingToken,
      this.term.startedAt,
      settings.workers.leaseMs,
      this.zoneDelegates,
    );
  }

  private createStopCommands(): StopCommandSender {
    const { runtime, settings, workers } = this.context;
    return new StopCommandSender(
      workers,
      runtime,
      this.term,
      settings.workers.heartbeatIntervalMs,
      settings.machine.sockets,
      (heartbeat) => {
        const message = { message: 'direct command response', machine: heartbeat.machine };
        void this.messageGuard.run(message, () => this.fleet.applyDirectResponse(heartbeat));
      },
    );
  }

  private createReconciler(): MachineReconciler {
    const { operator, settings } = this.context;
    return new MachineReconciler(
      this.fleet,
      this.provisioner,
      settings,
      operator,
      () => this.machineTypes,
      this.term.startedAt,
    );
  }

  private createDependencyTracker(): DependencyTracker {
    const { runtime, store, settings } = this.context;
    return new DependencyTracker({
      runtime,
      store,
      term: this.term,
      memoryMb: settings.machine.memoryMb,
      retryMs: this.retryMs,
      jobs: this.jobs,
      recordWriter: this.recordWriter,
      onJobEntry: (entry) => this.jobRecords.onJobEntry(entry),
      requestSchedule: () => this.requestSchedule(),
    });
  }

  private createJobRecordWatcher(): JobRecordWatcher {
    const { runtime, store, settings, membership } = this.context;
    return new JobRecordWatcher({
      runtime,
      store,
      settings,
      membership,
      leaderLeaseMs: this.leaderLeaseMs,
      retryMs: this.retryMs,
      jobs: this.jobs,
      fleet: this.fleet,
      provisioner: this.provisioner,
      reconciler: this.reconciler,
      zoneDelegates: this.zoneDelegates,
      extensions: this.extensions,
      recordWriter: this.recordWriter,
      dependencies: this.dependencies,
      taskStopper: this.taskStopper,
      cancellationView: this.cancellationView,
      recordReadMonitor: this.recordReadMonitor,
      messageGuard: this.messageGuard,
      requestSchedule: () => this.requestSchedule(),
    });
  }

  private createHeartbeatHandler(): HeartbeatHandler {
    const { runtime, settings } = this.context;
    return new HeartbeatHandler({
      maxTrackedTasks: this.maxTrackedTasks,
      runtime,
      settings,
      term: this.term,
      fleet: this.fleet,
      longPoll: this.longPoll,
      workerLiveness: this.workerLiveness,
      jobRecords: this.jobRecords,
      machineTypes: () => this.machineTypes,
      mayRenewWorkerLeases: (now) => this.mayRenewWorkerLeases(now),
      requestSchedule: () => this.requestSchedule(),
    });
  }

  private createTaskLifecycle(): TaskLifecycle {
    return new TaskLifecycle({
      runtime: this.context.runtime,
      fleet: this.fleet,
      recordWriter: this.recordWriter,
      gangGate: this.gangGate,
      taskStopper: this.taskStopper,
      requestSchedule: () => this.requestSchedule(),
    });
  }

  private createGangTimeouts(): GangTimeouts {
    const { runtime, operator } = this.context;
    return new GangTimeouts({
      runtime,
      operator,
      fleet: this.fleet,
      provisioner: this.provisioner,
      gangGate: this.gangGate,
      taskStopper: this.taskStopper,
      recordWriter: this.recordWriter,
      machineTypes: () => this.machineTypes,
    });
  }

  private createSchedulingLoop(): SchedulingLoop {
    const { runtime, settings, store, workerlessTerms, successorPolicy } = this.context;
    return new SchedulingLoop({
      runtime,
      settings,
      store,
      term: this.term,
      leaderLeaseMs: this.leaderLeaseMs,
      jobs: this.jobs,
      fleet: this.fleet,
      provisioner: this.provisioner,
      reconciler: this.reconciler,
      extensions: this.extensions,
      expectedDemand: this.expectedDemand,
      maxTrackedTasks: this.maxTrackedTasks,
      gangGate: this.gangGate,
      gangTimeouts: this.createGangTimeouts(),
      taskLifecycle: this.taskLifecycle,
      taskStopper: this.taskStopper,
      recordWriter: this.recordWriter,
      machineLivenessLog: this.machineLivenessLog,
      quotaWaitLog: this.quotaWaitLog,
      workerLiveness: this.workerLiveness,
      workerlessTerms,
      successorPolicy,
      zoneDelegates: this.zoneDelegates,
      machineTypes: () => this.machineTypes,
      quotas: () => this.quotas(),
      mayRenewWorkerLeases: (now) => this.mayRenewWorkerLeases(now),
      hasListedMachines: () => this.hasListedMachines,
      isStoreAvailableToOthers: () => this.context.isStoreAvailableToOthers(),
      resign: () => this.resign(),
    });
  }

  private createTaskStopper(): TaskStopper {
    const { settings, runtime } = this.context;
    const { fleet, longPoll, stopCommands } = this;
    return new TaskStopper(fleet, longPoll, stopCommands, settings.workers, runtime.clock);
  }

  private layoutPolicy(): LayoutPolicy {
    const { membership, store } = this.context;
    return {
      rangesReadable: () => membership.allRead(RECORD_FORMATS.rangedRuns),
      leftoversKnown: () => membership.allRead(RECORD_FORMATS.leftoverRuns),
      rangesWanted: () => store.limits.recordsMustShrink,
    };
  }

  private createRecordWriter(layouts: LayoutPolicy): JobRecordWriter {
    const { store, runtime, settings } = this.context;
    const { term } = this;
    return new JobRecordWriter({
      ...{ store, runtime, term, limits: store.limits, layoutPolicy: layouts },
      exitBatchMs: settings.workers.leaseMs,
      memoryMb: settings.machine.memoryMb,
      startFences: this.extensions.startFences,
      events: {
        jobChanged: (job, version, record) => this.jobRecords.onJobRecord(job.id, version, record),
        startsRecorded: (placements) => {
          placements.forEach(markRecorded);
          for (const placement of placements) this.longPoll.release(placement.machine);
        },
        exitsRecorded: (placements) => {
          for (const placement of placements) this.fleet.acknowledgeExit(placement);
        },
        inconsistencyDetected: (what) => {
          runtime.log.error({ what }, 'giving up leadership');
          term.end();
        },
        endRecorded: (job, phase) => this.dependencies.onJobEnded(job.id, phase, job.doneAt),
        archived: (job) => {
          job.failures.close();
          this.jobs.delete(job.id);
        },
      },
    });
  }

  private createProvisioner(): MachineProvisioner {
    const { cloud, store, runtime, settings, cloudTimeoutMs } = this.context;
    const onAnswer = (message: string, handler: () => void): void => {
      void this.messageGuard.run({ message }, handler);
      this.requestSchedule();
    };
    return new MachineProvisioner(cloud, store, runtime, settings, this.term, cloudTimeoutMs, {
      provisioned: (ids, request) =>
        onAnswer('machines provisioned', () => this.addProvisioned(ids, request)),
      listed: (machines) =>
        onAnswer('machine listing', () => this.reconciler.applyListing(machines, this.now)),
      released: (ids) =>
        onAnswer('machines released', () => this.reconciler.confirmReleased(ids, this.now)),
    });
  }

  private addProvisioned(ids: readonly string[], { type, zone, spot }: ScaleOutRequest): void {
    for (const id of ids) {
      const machine = this.fleet.getOrCreate(id, this.now);
      machine.type ??= this.machineTypes.get(type) ?? null;
      machine.zone = zone;
      machine.spot = spot;
      machine.cloudState ??= 'booting';
    }
  }

  private createTermExtensions(): TermExtensions {
    const { runtime, settings, extensions } = this.context;
    return new TermExtensions(extensions, {
      ...{ runtime, settings, term: this.term, jobs: this.jobs, taskStopper: this.taskStopper },
      now: () => this.now,
      isReady: () => this.jobRecords.isRecovered,
      machine: (id) => this.fleet.machines.get(id),
      isSchedulable: (id) => {
        const machine = this.fleet.machines.get(id);
        return machine !== undefined && this.fleet.isSchedulable(machine, this.now);
      },
      startableTasks: (job) => this.extensions.startableTasks(job),
      requestSchedule: () => this.requestSchedule(),
    });
  }

  /** Number of tasks that this controller has memory to track. */
  private get maxTrackedTasks(): number {
    return trackedTasksLimit(this.context.settings.machine.memoryMb);
  }

  get now(): number {
    return this.context.runtime.clock.now();
  }

  /** Whether a worker's lease may be renewed now. */
  mayRenewWorkerLeases(now: number): boolean {
    return this.term.isActive(now) && this.cancellationView.mayRenewLeases(now);
  }

  /** Delay before a failed request is retried, in milliseconds. */
  get retryMs(): number {
    return this.context.settings.workers.leaseMs / 50;
  }

  get machineTypes(): ReadonlyMap<string, MachineType> {
    return this.context.machineTypes.types.value ?? new Map();
  }

  /** The current quota of each team. */
  quotas(): TeamQuotaMap {
    return this.extensions.quotas() ?? this.context.settings.teams;
  }

  /** Requests a scheduling cycle, after a change that it should take into account. */
  requestSchedule(): void {
    this.schedulingLoop.request();
  }
}
