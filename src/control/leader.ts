import { ZoneDelegateWatch, zoneDelegationMs } from '../election/zone-delegate.js';
import type { SuccessorPolicy } from '../election/successor-policy.js';
import type { Term } from '../election/term.js';
import type { MachineTypeCatalog } from '../fleet/machine-type-catalog.js';
import { Fleet } from '../fleet/fleet.js';
import { MachineProvisioner } from '../fleet/machine-provisioner.js';
import { StopCommands, type WorkerTransports } from '../fleet/stop-commands.js';
import type { MachineType } from '../fleet/resources.js';
import type { Transport } from '../http/client.js';
import type { TaskCounts } from '../jobs/job-api.js';
import { JobRecordWriter } from '../jobs/job-record-writer.js';
import type { Job } from '../jobs/tracked-job.js';
import type { LayoutPolicy } from '../jobs/run-layout.js';
import { RunRewriter } from '../jobs/run-rewriter.js';
import { RECORD_FORMATS, type Membership } from '../membership/membership.js';
import { supervise, type Runtime } from '@leverhatch/core/duty';
import type { Settings } from '../settings/deploy.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Store } from '../state/store.js';
import type { WorkerCommand, WorkerHeartbeat } from '../wire/worker-heartbeat.js';
import type { CancellationQuery } from '../peer/cancellation-query.js';
import { CancellationView, cancellationViewLimitMs } from './partition/cancellation-view.js';
import { DependencyTracker } from './dependencies/dependency-tracker.js';
import { ExpectedDemand } from './scheduling/expected-demand.js';
import { SchedulingLoop } from './scheduling/scheduling-loop.js';
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
import { RecordReadMonitor, type UnreadableTerms } from './leadership/record-read-monitor.js';
import { WorkerLiveness, type WorkerlessTerms } from './leadership/worker-liveness.js';

export interface LeaderDependencies {
  store: Store;
  cloud: Transport;
  workers: WorkerTransports;
  machineTypes: MachineTypeCatalog;
  membership: Membership;
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
  /** Whom workers should report to rather than to this leader; null: nobody. */
  preferredSuccessor(): string | null;
  /** Optional parts that are switched on. */
  extensions: readonly Extension[];
}

/** After what share of the leader lease without news of the job records the others are asked. */
const UNRESPONSIVE_STORE_RATIO = 0.5;

/** How many workers' leases a term lasts at least before office is handed over only to be safer. */
const SETTLED_LEASES = 2;

/** Prices move by up to a third and slowly; a call each half minute does not weigh on any cloud. */
const PRICE_REFRESH_MS = 30_000;

/**
 * All that a controller does while it leads. It lives for one term and is thrown away after it. This
 * module puts the parts together; each part has a module of its own.
 */
export class Leader {
  readonly jobs = new Map<string, Job>();
  readonly fleet: Fleet;
  readonly provisioner: MachineProvisioner;
  readonly gangGate: GangGate;
  readonly reconciler: MachineReconciler;
  /** How long the leader lease lasts. */
  readonly leaderLeaseMs: number;
  readonly cancellationView: CancellationView;
  readonly workerLiveness: WorkerLiveness;
  readonly recordReadMonitor: RecordReadMonitor;
  readonly machineLivenessLog: MachineLivenessLog;
  readonly quotaWaitLog: QuotaWaitLog;
  /** Optional parts that are switched on, in this term. */
  readonly extensions: TermExtensions;
  readonly recordWriter: JobRecordWriter;
  private readonly rewriter: RunRewriter;
  readonly zoneDelegates: ZoneDelegateWatch;
  readonly longPoll: LongPoll;
  readonly stopCommands: StopCommands;
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
    readonly context: LeaderDependencies,
    readonly term: Term,
    /** `successor`: whom the workers are sent to until the next leader is known. */
    readonly resign: (successor?: string) => void,
  ) {
    const { settings, runtime, store } = context;
    this.leaderLeaseMs = settings.workers.leaseMs * context.operator.election.lifetime;
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
    this.fleet = new Fleet(
      {
        running: (placement) => this.taskLifecycle.onRunning(placement),
        exited: (placement, exitReason, checkpointed) =>
          this.taskLifecycle.onExited(placement, exitReason, checkpointed),
        lost: (placement) => this.taskLifecycle.onLost(placement),
      },
      term.fencingToken,
      term.startedAt,
      settings.workers.leaseMs,
      this.zoneDelegates,
    );
    this.machineLivenessLog = new MachineLivenessLog(
      runtime.log,
      settings.workers.leaseMs,
      (machine, now) => this.fleet.isLeaseExpired(machine, now),
    );
    this.quotaWaitLog = new QuotaWaitLog(runtime.log, settings.workers.heartbeatIntervalMs);
    this.longPoll = new LongPoll(runtime, longestHoldMs(settings.workers.heartbeatIntervalMs));
    this.stopCommands = new StopCommands(
      context.workers,
      runtime,
      term,
      settings.workers.heartbeatIntervalMs,
      settings.machine.sockets,
      (heartbeat) => {
        this.fleet.applyDirectResponse(heartbeat);
      },
    );
    this.taskStopper = this.createTaskStopper();
    this.extensions = this.beginExtensions();
    const layouts = this.layoutPolicy();
    this.recordWriter = this.createRecordWriter(layouts);
    this.rewriter = new RunRewriter(store, runtime, this.recordWriter, this.jobs, layouts);
    this.provisioner = this.createProvisioner();
    this.expectedDemand = new ExpectedDemand(this.jobs, settings);
    this.gangGate = new GangGate(context.operator);
    this.reconciler = new MachineReconciler(
      this.fleet,
      this.provisioner,
      settings,
      context.operator,
      () => this.machineTypes,
      term.startedAt,
    );
    this.dependencies = this.createDependencyTracker();
    this.jobRecords = this.createJobRecordWatcher();
    this.heartbeatHandler = this.createHeartbeatHandler();
    this.taskLifecycle = this.createTaskLifecycle();
    this.schedulingLoop = this.createSchedulingLoop();
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
      requestSchedule: () => this.requestSchedule(),
    });
  }

  private createHeartbeatHandler(): HeartbeatHandler {
    const { runtime, settings } = this.context;
    return new HeartbeatHandler({
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
    const endsWaitMs = settings.workers.leaseMs;
    return new JobRecordWriter(
      store,
      runtime,
      term,
      store.limits,
      layouts,
      endsWaitMs,
      {
        jobChanged: (job, version, record) => this.jobRecords.onJobRecord(job.id, version, record),
        startsRecorded: (placements) => {
          for (const placement of placements)
            if (placement.stage === 'recording') placement.stage = 'recorded';
          for (const placement of placements) this.longPoll.release(placement.machine);
        },
        exitsRecorded: (placements) => {
          for (const placement of placements) this.fleet.acknowledgeExit(placement);
        },
        contradiction: (what) => {
          runtime.log.error({ what }, 'giving up leadership');
          term.end();
        },
        endRecorded: (job, phase) => this.dependencies.onJobEnded(job.id, phase, job.doneAt),
        archived: (job) => {
          job.failures.close();
          this.jobs.delete(job.id);
        },
      },
      this.extensions.startFences,
    );
  }

  private createProvisioner(): MachineProvisioner {
    const { cloud, store, runtime, settings, cloudTimeoutMs } = this.context;
    return new MachineProvisioner(cloud, store, runtime, settings, this.term, cloudTimeoutMs, {
      provisioned: (ids, rent) => {
        for (const id of ids) {
          const machine = this.fleet.getOrCreate(id, runtime.clock.now());
          machine.type ??= this.machineTypes.get(rent.type) ?? null;
          machine.zone = rent.zone;
          machine.spot = rent.spot;
          machine.cloudState ??= 'booting';
        }
        this.requestSchedule();
      },
      listed: (machines) => {
        this.reconciler.applyListing(machines, this.now);
        this.requestSchedule();
      },
      released: (ids) => {
        this.reconciler.confirmReleased(ids, this.now);
        this.requestSchedule();
      },
    });
  }

  private beginExtensions(): TermExtensions {
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

  get now(): number {
    return this.context.runtime.clock.now();
  }

  /** Whether a worker's lease may be renewed now. */
  mayRenewWorkerLeases(now: number): boolean {
    return this.term.isActive(now) && this.cancellationView.mayRenewLeases(now);
  }

  /** How soon a request that failed is made again. */
  get retryMs(): number {
    return this.context.settings.workers.leaseMs / 50;
  }

  get machineTypes(): ReadonlyMap<string, MachineType> {
    return this.context.machineTypes.types.value ?? new Map();
  }

  /** What each team may have now. */
  quotas(): TeamQuotaMap {
    return this.extensions.quotas() ?? this.context.settings.teams;
  }

  /** Something changed that the next round of decisions should see. */
  requestSchedule(): void {
    this.schedulingLoop.request();
  }

  async run(): Promise<void> {
    const { runtime } = this.context;
    const { signal } = this.term;
    const restartMs = this.context.settings.workers.heartbeatIntervalMs;
    const office = supervise(runtime, 'office', signal, restartMs, (signal) =>
      this.watchLeadership(signal),
    );
    await this.jobRecords.recover(signal);
    if (signal.aborted) return;
    await Promise.all([
      office,
      supervise(runtime, 'held reports', signal, restartMs, (signal) => this.longPoll.run(signal)),
      supervise(runtime, 'follow jobs', signal, restartMs, (signal) =>
        this.jobRecords.watch(signal),
      ),
      supervise(runtime, 'cancellation query', signal, restartMs, (signal) =>
        this.queryCancellations(signal),
      ),
      supervise(runtime, 'rounds', signal, restartMs, (signal) => this.schedulingLoop.run(signal)),
      supervise(runtime, 'rewrite runs', signal, restartMs, (signal) =>
        this.rewriter.run(restartMs, signal),
      ),
      supervise(runtime, 'leftover records', signal, restartMs, (signal) =>
        this.recordWriter.leftovers.run(restartMs / 4, signal),
      ),
      supervise(runtime, 'machine list', signal, restartMs, (signal) => this.listMachines(signal)),
      supervise(runtime, 'prices', signal, restartMs, (signal) => this.refreshPrices(signal)),
      this.extensions.run(signal),
    ]);
  }

  /** What to answer a worker's report; null if its lease must not be renewed now. */
  receiveHeartbeat(
    heartbeat: WorkerHeartbeat,
  ): WorkerCommand[] | null | Promise<WorkerCommand[] | null> {
    return this.heartbeatHandler.receive(heartbeat);
  }

  /** A user was told that the job is cancelled; the store's own news of it may take longer. */
  announceCancelled(id: string): void {
    this.jobRecords.announceCancelled(id);
  }

  progressOf(id: string): TaskCounts | null {
    const job = this.jobs.get(id);
    return job ? { done: job.doneCount, running: job.runningCount } : null;
  }

  progressOfOpenJobs(): (TaskCounts & { id: string })[] {
    const list: (TaskCounts & { id: string })[] = [];
    for (const job of this.jobs.values()) {
      if (job.phase === 'open')
        list.push({ id: job.id, done: job.doneCount, running: job.runningCount });
    }
    return list;
  }

  /**
   * While the store brings no news of the job records, the other controllers can tell which of them
   * their users know to be cancelled.
   */
  private async queryCancellations(signal: AbortSignal): Promise<void> {
    const { clock } = this.context.runtime;
    while (!signal.aborted) {
      const silent =
        this.cancellationView.ageMs(this.now) > this.leaderLeaseMs * UNRESPONSIVE_STORE_RATIO;
      if (silent && this.term.isActive(this.now)) await this.collectCancellations();
      await clock.sleep(this.leaderLeaseMs / 8, signal);
    }
  }

  private async collectCancellations(): Promise<void> {
    const known = await this.context.cancellationQuery.collect(
      this.cancellationView.completeAsOf,
      this.leaderLeaseMs / 8,
    );
    this.context.runtime.log.debug(
      { jobs: known?.cancelled.size ?? null },
      'asked for cancellations',
    );
    if (!known) return;
    for (const id of known.cancelled) this.announceCancelled(id);
    this.cancellationView.completeAt(known.asOf);
  }

  /** Gives office up if another controller can do what this one cannot, or is better placed. */
  private async watchLeadership(signal: AbortSignal): Promise<void> {
    const {
      runtime,
      isStoreAvailableToOthers: isStoreAvailableToOthers,
      unreadableTerms: unreadableTerms,
    } = this.context;
    while (!signal.aborted) {
      const unread = this.term.holdsLease(this.now) && this.recordReadMonitor.hasTimedOut(this.now);
      if (unread && isStoreAvailableToOthers()) {
        runtime.log.warn({}, 'the records cannot be read, resigning');
        unreadableTerms.recordResignation();
        this.resign();
      }
      this.transferLeadership();
      await runtime.clock.sleep(this.leaderLeaseMs / 10, signal);
    }
  }

  /** Hands office over where silent controllers would cost the workers their leases if this one fell silent. */
  private transferLeadership(): void {
    const { settings, runtime } = this.context;
    const settled = this.now - this.term.startedAt > settings.workers.leaseMs * SETTLED_LEASES;
    if (!settled || !this.jobRecords.isRecovered || !this.term.holdsLease(this.now)) return;
    const successor = this.context.preferredSuccessor();
    if (successor === null) return;
    runtime.log.info({ successor }, 'handing over, the next controllers are silent');
    this.resign(successor);
  }

  private async listMachines(signal: AbortSignal): Promise<void> {
    const { settings, runtime } = this.context;
    while (!signal.aborted) {
      if (await this.provisioner.listMachines()) this.hasListedMachines = true;
      await runtime.clock.sleep(
        this.hasListedMachines ? settings.cloud.listLagMs : settings.cloud.listLagMs / 10,
        signal,
      );
    }
  }

  private async refreshPrices(signal: AbortSignal): Promise<void> {
    const { machineTypes: machineTypes, runtime } = this.context;
    while (!signal.aborted) {
      await machineTypes.refresh(signal).catch(() => false);
      await runtime.clock.sleep(PRICE_REFRESH_MS, signal);
    }
  }
}
