/** When scheduling cycles run, and what a cycle consists of; plan-applier.ts carries out its plan. */
import type { Runtime } from '@leverhatch/core/duty';
import type { SuccessorPolicy } from '../../election/successor-policy.js';
import type { Term } from '../../election/term.js';
import type { ZoneDelegateWatch } from '../../election/zone-delegate.js';
import type { Fleet } from '../../fleet/fleet.js';
import type { MachineProvisioner } from '../../fleet/machine-provisioner.js';
import type { Store } from '../../state/store.js';
import type { TermExtensions } from '../extensions/term-extensions.js';
import type { WorkerLiveness, WorkerlessTerms } from '../leadership/worker-liveness.js';
import type { MachineLivenessLog } from '../reconciliation/machine-liveness-log.js';
import type { MachineReconciler } from '../reconciliation/machine-reconciler.js';
import type { TaskLifecycle } from '../reconciliation/task-lifecycle.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';
import type { SchedulingPlan, Snapshot } from '../../scheduler/scheduling-model.js';
import { schedule } from '../../scheduler/scheduling-cycle.js';
import { isGangJob } from '../admission/gang-gate.js';
import type { GangTimeouts } from '../admission/gang-timeouts.js';
import { CycleSizer } from './cycle-sizer.js';
import type { QuotaWaitLog } from './quota-wait-log.js';
import { PlanApplier, taskCount, type PlanApplierContext } from './plan-applier.js';
import { takeSnapshot, type SnapshotSources } from './snapshot.js';

/** What a `SchedulingLoop` works with. */
export interface SchedulingLoopContext extends SnapshotSources, PlanApplierContext {
  readonly runtime: Runtime;
  readonly store: Pick<Store, 'queuedWrites'>;
  readonly term: Pick<Term, 'isActive' | 'holdsLease' | 'startedAt' | 'signal'>;
  readonly leaderLeaseMs: number;
  readonly fleet: Fleet;
  readonly provisioner: MachineProvisioner;
  readonly reconciler: MachineReconciler;
  readonly extensions: TermExtensions;
  readonly gangTimeouts: Pick<GangTimeouts, 'check' | 'bootMs'>;
  readonly taskLifecycle: Pick<TaskLifecycle, 'reviewFailures'>;
  readonly taskStopper: TaskStopper;
  readonly machineLivenessLog: Pick<MachineLivenessLog, 'observe'>;
  readonly quotaWaitLog: Pick<QuotaWaitLog, 'observe'>;
  readonly workerLiveness: Pick<WorkerLiveness, 'hasTimedOut' | 'restartTimeout'>;
  readonly workerlessTerms: Pick<WorkerlessTerms, 'recordResignation'>;
  readonly successorPolicy: Pick<SuccessorPolicy, 'workerFailoverMs'>;
  readonly zoneDelegates: Pick<ZoneDelegateWatch, 'refresh'>;
  mayRenewWorkerLeases(now: number): boolean;
  /** True once the cloud has listed its machines in this term. */
  hasListedMachines(): boolean;
  /** Whether the store serves another controller, which could lead. */
  isStoreAvailableToOthers(): boolean;
  resign(): void;
}

/** Scheduling cycles: what starts, what makes way, what is rented and given back. */
export class SchedulingLoop {
  private isRequested = true;
  private wakeUp: (() => void) | null = null;
  /** When the cycle before this one began. */
  private lastCycleAt = -Infinity;

  private readonly cycleSizer = new CycleSizer(() => this.context.leaderLeaseMs);

  private readonly planApplier: PlanApplier;

  constructor(private readonly context: SchedulingLoopContext) {
    this.planApplier = new PlanApplier(context);
  }

  /** Something changed that the next scheduling cycle should see. */
  request(): void {
    this.isRequested = true;
    this.wakeUp?.();
  }

  /** What the next cycle would see. */
  takeSnapshot(now: number): Snapshot {
    return takeSnapshot(this.context, now);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { runtime, settings } = this.context;
    const { clock } = runtime;
    const base = settings.workers.heartbeatIntervalMs / 10;
    let dueAt = clock.now();
    while (!signal.aborted) {
      const startedAt = clock.now();
      // Who stood still has heard nobody, and has not read yet what came meanwhile; and who turns
      // workers away hears less of them.
      const stoodStill = startedAt - dueAt > settings.workers.heartbeatIntervalMs / 2;
      if (stoodStill || !this.context.mayRenewWorkerLeases(startedAt))
        this.context.workerLiveness.restartTimeout(startedAt);
      if (this.context.term.isActive(startedAt)) this.runCycle();
      // The longer a cycle takes, or the more writes of earlier ones still wait for their share of
      // the store's rate, the longer the next one collects work: each write then carries more.
      // But never for longer than a heartbeat interval: a controller that stood still in the middle of a
      // cycle took long for another reason.
      const took = clock.now() - startedAt;
      const behind = base * this.context.store.queuedWrites;
      const most = settings.workers.heartbeatIntervalMs;
      const pause = Math.max(base, Math.min(most, Math.max(took * 3, behind)));
      dueAt = clock.now() + pause;
      await clock.sleep(pause, signal);
      if (!this.isRequested) {
        await new Promise<void>((resolve) => {
          this.wakeUp = resolve;
          dueAt = clock.now() + most;
          void clock.sleep(most, signal).then(resolve);
        });
        this.wakeUp = null;
      }
    }
  }

  private runCycle(): void {
    const now = this.context.runtime.clock.now();
    this.isRequested = false;
    const rested = now - this.lastCycleAt > this.context.settings.workers.heartbeatIntervalMs / 2;
    this.lastCycleAt = now;
    this.context.machineLivenessLog.observe(this.context.fleet.machines, now);
    if (this.context.fleet.expireLeases(now)) void this.refreshZoneDelegates();
    if (!this.context.term.holdsLease(now)) return;
    if (this.isUnreachableByWorkers(now)) {
      // Who rested may have stood still for a part of it, unnoticed: what came meanwhile is read first.
      if (rested) return this.request();
      this.context.runtime.log.warn({}, 'no worker heartbeats, resigning');
      this.context.workerlessTerms.recordResignation(!this.context.isStoreAvailableToOthers());
      this.context.resign();
      return;
    }
    this.drainMachines(now);
    for (const job of this.context.jobs.values()) {
      this.context.taskLifecycle.reviewFailures(job, now);
      if (isGangJob(job)) this.context.gangTimeouts.check(job, now);
      if (job.phase !== 'open' && job.placements.size > 0) this.context.taskStopper.stopAll(job, 0);
    }
    if (this.context.machineTypes().size === 0) return;
    // Before the first heartbeats and the list are in, free machines look missing.
    const settled =
      now - this.context.term.startedAt > this.context.settings.workers.heartbeatIntervalMs * 3;
    const whole = this.takeSnapshot(now);
    const snapshot = this.cycleSizer.limit(whole);
    // Of these the cycle keeps its own count, which goes on while it decides.
    const used = new Map(
      [...snapshot.teams].map(([name, team]) => [name, { ...team, used: { ...team.used } }]),
    );
    const plannedAt = this.context.runtime.clock.now();
    const result = schedule(snapshot);
    this.context.quotaWaitLog.observe(result.quotaLimited, used, now);
    // What was left out may need them.
    if (snapshot !== whole) {
      result.idleMachines = [];
      result.drainableMachines = [];
    }
    this.planApplier.apply(result, now, settled && this.context.hasListedMachines());
    this.context.extensions.afterSchedulingCycle(result.quotaLimited);
    this.cycleSizer.recordDuration(this.context.runtime.clock.now() - plannedAt);
    this.logCycle(snapshot, result, this.context.runtime.clock.now() - now);
  }

  /** What the cycle saw and did: where a fleet stalls can be read from these lines. */
  private logCycle(snapshot: Snapshot, result: SchedulingPlan, tookMs: number): void {
    const waiting: Record<string, number> = {};
    for (const { spec, waitingTasks: tasks } of snapshot.jobs) {
      if (tasks > 0) waiting[spec.jobClass] = (waiting[spec.jobClass] ?? 0) + tasks;
    }
    const up = snapshot.machines.filter((machine) => machine.isUp).length;
    this.context.runtime.log.debug(
      {
        up,
        coming: snapshot.machines.length - up,
        waiting,
        started: result.starts.reduce((sum, start) => sum + taskCount(start.assignments), 0),
        stops: result.stops.length,
        scaleOut: result.scaleOut,
        idleMachines: result.idleMachines.length,
        gate: snapshot.isGateClosed,
        teams: Object.fromEntries(
          [...snapshot.teams].map(([name, team]) => [name, team.used.gpus]),
        ),
        quotaLimited: Object.fromEntries(result.quotaLimited),
        writesWaiting: this.context.store.queuedWrites,
        tookMs,
      },
      'scheduling cycle',
    );
  }

  private async refreshZoneDelegates(): Promise<void> {
    try {
      await this.context.zoneDelegates.refresh(this.context.term.signal);
      this.request();
    } catch {
      // The next cycle asks again.
    }
  }

  /** No worker reaches us though there are some: they may reach another controller instead. */
  private isUnreachableByWorkers(now: number): boolean {
    const { settings, workerLiveness, fleet, successorPolicy } = this.context;
    if (settings.size === 1) return false;
    const bootMs = Math.max(
      0,
      ...[...this.context.machineTypes().values()].map((type) => type.bootMs),
    );
    const isAlone = !this.context.isStoreAvailableToOthers();
    const { workerFailoverMs } = successorPolicy;
    return workerLiveness.hasTimedOut(now, fleet.machines.values(), {
      bootMs,
      areMachinesListed: this.context.hasListedMachines(),
      isAlone,
      workerFailoverMs,
    });
  }

  /** Work leaves a machine that the cloud takes back, has proven faulty or is to go back. */
  private drainMachines(now: number): void {
    this.context.reconciler.releaseFailed(now);
    for (const machine of this.context.fleet.machines.values()) {
      if (machine.preemptionNoticeAt === null && !machine.isFaulty && !machine.isDraining) continue;
      for (const placement of machine.placements.values()) {
        if (placement.stop || placement.job.phase !== 'open') continue;
        const grace = this.context.taskStopper.checkpointGraceMs(placement.job);
        if (placement.job.gang) this.context.taskStopper.stopAll(placement.job, grace);
        else this.context.taskStopper.stop(placement, grace);
      }
      if ((machine.isFaulty || machine.isDraining) && machine.placements.size === 0)
        this.context.reconciler.release(machine);
    }
  }
}
