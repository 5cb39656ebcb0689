/** Runs scheduling cycles; plan-applier.ts applies the plan of each cycle. */
import type { Runtime } from '@leverhatch/core/supervised-task';
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
import { machineCount } from '../../scheduler/machine-view.js';
import { schedule } from '../../scheduler/scheduling-cycle.js';
import { isGangJob } from '../admission/gang-gate.js';
import type { GangTimeouts } from '../admission/gang-timeouts.js';
import { CycleSizer } from './cycle-sizer.js';
import type { QuotaWaitLog } from './quota-wait-log.js';
import { PlanApplier, taskCount, type PlanApplierContext } from './plan-applier.js';
import { SlotShortageLog } from './slot-shortage-log.js';
import { takeSnapshot, type SnapshotSources } from './snapshot.js';

/** Dependencies of `SchedulingLoop`. */
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

/** Runs scheduling cycles on request, and otherwise about once per heartbeat interval. */
export class SchedulingLoop {
  private isRequested = true;
  private wakeUp: (() => void) | null = null;
  /** When the previous cycle began. */
  private lastCycleAt = -Infinity;

  private readonly cycleSizer = new CycleSizer(() => this.context.leaderLeaseMs);

  private readonly planApplier: PlanApplier;
  private readonly slotShortageLog: SlotShortageLog;

  constructor(private readonly context: SchedulingLoopContext) {
    this.planApplier = new PlanApplier(context);
    this.slotShortageLog = new SlotShortageLog(context.runtime.log);
  }

  /** Requests a scheduling cycle, after a change that it should take into account. */
  request(): void {
    this.isRequested = true;
    this.wakeUp?.();
  }

  /** The snapshot that a cycle at `now` would use. */
  takeSnapshot(now: number): Snapshot {
    return takeSnapshot(this.context, now);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { runtime, settings } = this.context;
    const { clock } = runtime;
    const minPauseMs = settings.workers.heartbeatIntervalMs / 10;
    let dueAt = clock.now();
    while (!signal.aborted) {
      const startedAt = clock.now();
      // After a stall, heartbeats that arrived meanwhile have not been read yet; and while workers are
      // turned away, fewer heartbeats arrive. Neither means that workers cannot reach this leader.
      const hasStalled = startedAt - dueAt > settings.workers.heartbeatIntervalMs / 2;
      if (hasStalled || !this.context.mayRenewWorkerLeases(startedAt))
        this.context.workerLiveness.restartTimeout(startedAt);
      if (this.context.term.isActive(startedAt)) this.runCycle();
      // The longer a cycle takes, or the more writes of earlier cycles are queued by the store's rate
      // limit, the longer the pause before the next cycle, so that each write carries more changes.
      // The pause is at most a heartbeat interval: a cycle during which the controller stalled was long
      // for another reason.
      const cycleMs = clock.now() - startedAt;
      const backlogMs = minPauseMs * this.context.store.queuedWrites;
      const maxPauseMs = settings.workers.heartbeatIntervalMs;
      const pauseMs = Math.max(minPauseMs, Math.min(maxPauseMs, Math.max(cycleMs * 3, backlogMs)));
      dueAt = clock.now() + pauseMs;
      await clock.sleep(pauseMs, signal);
      if (!this.isRequested) {
        await new Promise<void>((resolve) => {
          this.wakeUp = resolve;
          dueAt = clock.now() + maxPauseMs;
          void clock.sleep(maxPauseMs, signal).then(resolve);
        });
        this.wakeUp = null;
      }
    }
  }

  private runCycle(): void {
    const now = this.context.runtime.clock.now();
    this.isRequested = false;
    const isAfterPause =
      now - this.lastCycleAt > this.context.settings.workers.heartbeatIntervalMs / 2;
    this.lastCycleAt = now;
    this.context.machineLivenessLog.observe(this.context.fleet.machines, now);
    if (this.context.fleet.expireLeases(now)) void this.refreshZoneDelegates();
    if (!this.context.term.holdsLease(now)) return;
    if (this.isUnreachableByWorkers(now)) {
      // The controller may have stalled unnoticed during part of a long pause: heartbeats that arrived
      // meanwhile are read first, and the next cycle decides.
      if (isAfterPause) return this.request();
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
    // Before the first heartbeats and the machine listing have arrived, existing machines seem missing.
    const isSettled =
      now - this.context.term.startedAt > this.context.settings.workers.heartbeatIntervalMs * 3;
    const fullSnapshot = this.takeSnapshot(now);
    this.slotShortageLog.observe(fullSnapshot.slots);
    const snapshot = this.cycleSizer.limit(fullSnapshot);
    // `schedule` updates the usage in the snapshot, so the teams are copied before the cycle.
    const teamsBefore = new Map(
      [...snapshot.teams].map(([name, team]) => [name, { ...team, used: { ...team.used } }]),
    );
    const plannedAt = this.context.runtime.clock.now();
    const plan = schedule(snapshot);
    this.context.quotaWaitLog.observe(plan.quotaLimited, teamsBefore, now);
    // Jobs that were left out of the limited snapshot may need these machines.
    if (snapshot !== fullSnapshot) {
      plan.idleMachines = [];
      plan.drainableMachines = [];
    }
    this.planApplier.apply(plan, now, isSettled && this.context.hasListedMachines());
    this.context.extensions.afterSchedulingCycle(plan.quotaLimited);
    this.cycleSizer.recordDuration(this.context.runtime.clock.now() - plannedAt);
    this.logCycle(snapshot, plan, this.context.runtime.clock.now() - now);
  }

  /** Logs the input and the result of a cycle, for diagnosing a stalled fleet. */
  private logCycle(snapshot: Snapshot, plan: SchedulingPlan, tookMs: number): void {
    const waiting: Record<string, number> = {};
    for (const { spec, waitingTasks: tasks } of snapshot.jobs) {
      if (tasks > 0) waiting[spec.jobClass] = (waiting[spec.jobClass] ?? 0) + tasks;
    }
    const up = snapshot.machines.filter((machine) => machine.isUp).length;
    this.context.runtime.log.debug(
      {
        up,
        coming: machineCount(snapshot.machines) - up,
        waiting,
        started: plan.starts.reduce((sum, start) => sum + taskCount(start.assignments), 0),
        stops: plan.stops.length,
        scaleOut: plan.scaleOut,
        idleMachines: plan.idleMachines.length,
        gate: snapshot.isGateClosed,
        teams: Object.fromEntries(
          [...snapshot.teams].map(([name, team]) => [name, team.used.gpus]),
        ),
        quotaLimited: Object.fromEntries(plan.quotaLimited),
        slots: snapshot.slots,
        queuedWrites: this.context.store.queuedWrites,
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
      // The next cycle retries.
    }
  }

  /** Whether no worker reaches this leader although there are some, which may reach another one. */
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

  /**
   * Stops tasks on machines that the cloud will preempt, that are faulty or that are draining. Releases
   * faulty and draining machines once they are empty, and machines that failed to boot or are
   * permanently unreachable.
   */
  private drainMachines(now: number): void {
    this.context.reconciler.releaseFailed(now);
    for (const machine of this.context.fleet.machines.values()) {
      if (machine.preemptionNoticeAt === null && !machine.isFaulty && !machine.isDraining) continue;
      for (const placement of machine.placements.values()) {
        if (placement.stop || placement.job.phase !== 'open') continue;
        const graceMs = this.context.taskStopper.checkpointGraceMs(placement.job);
        if (placement.job.gang) this.context.taskStopper.stopAll(placement.job, graceMs);
        else this.context.taskStopper.stop(placement, graceMs);
      }
      if ((machine.isFaulty || machine.isDraining) && machine.placements.size === 0)
        this.context.reconciler.release(machine);
    }
  }
}
