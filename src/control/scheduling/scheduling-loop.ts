import type { Job, Placement } from '../../jobs/tracked-job.js';
import type { SchedulingPlan, Snapshot } from '../../scheduler/scheduling-model.js';
import { schedule } from '../../scheduler/scheduling-cycle.js';
import { checkTimeout, gateBootMs } from '../admission/gang-gate.js';
import type { Leader } from '../leader.js';
import { CycleSizer } from './cycle-sizer.js';
import { takeSnapshot } from './snapshot.js';

/** Rounds of decisions: what starts, what makes way, what is rented and given back. */
export class SchedulingLoop {
  private isRequested = true;
  private wakeUp: (() => void) | null = null;
  /** When the round before this one began. */
  private lastCycleAt = -Infinity;

  private readonly cycleSizer = new CycleSizer(() => this.leader.leaderLeaseMs);

  constructor(private readonly leader: Leader) {}

  /** Something changed that the next round of decisions should see. */
  request(): void {
    this.isRequested = true;
    this.wakeUp?.();
  }

  async run(signal: AbortSignal): Promise<void> {
    const { runtime, settings } = this.leader.context;
    const { clock } = runtime;
    const base = settings.workers.heartbeatIntervalMs / 10;
    let dueAt = clock.now();
    while (!signal.aborted) {
      const startedAt = clock.now();
      // Who stood still has heard nobody, and has not read yet what came meanwhile; and who turns
      // workers away hears less of them.
      const stoodStill = startedAt - dueAt > settings.workers.heartbeatIntervalMs / 2;
      if (stoodStill || !this.leader.mayRenewWorkerLeases(startedAt))
        this.leader.workerLiveness.restartTimeout(startedAt);
      if (this.leader.term.isActive(startedAt)) this.runCycle();
      // The longer a round takes, or the more writes of earlier ones still wait for their share of
      // the store's rate, the longer the next one collects work: each write then carries more.
      // But never for longer than a report interval: a controller that stood still in the middle of a
      // round took long for another reason.
      const took = clock.now() - startedAt;
      const behind = base * this.leader.context.store.queuedWrites;
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
    const now = this.leader.now;
    this.isRequested = false;
    const rested =
      now - this.lastCycleAt > this.leader.context.settings.workers.heartbeatIntervalMs / 2;
    this.lastCycleAt = now;
    this.leader.machineLivenessLog.observe(this.leader.fleet.machines, now);
    if (this.leader.fleet.expireLeases(now)) void this.refreshZoneDelegates();
    if (!this.leader.term.holdsLease(now)) return;
    if (this.isUnreachableByWorkers(now)) {
      // Who rested may have stood still for a part of it, unnoticed: what came meanwhile is read first.
      if (rested) return this.request();
      this.leader.context.runtime.log.warn({}, 'no worker reports any more, resigning');
      this.leader.context.workerlessTerms.recordResignation(
        !this.leader.context.isStoreAvailableToOthers(),
      );
      this.leader.resign();
      return;
    }
    this.drainMachines(now);
    for (const job of this.leader.jobs.values()) {
      this.leader.taskLifecycle.reviewFailures(job, now);
      if (job.gang) {
        checkTimeout(this.leader, job, now);
      }
      if (job.phase !== 'open' && job.placements.size > 0) this.leader.taskStopper.stopAll(job, 0);
    }
    if (this.leader.machineTypes.size === 0) return;
    // Before the first reports and the list are in, free machines look missing.
    const settled =
      now - this.leader.term.startedAt >
      this.leader.context.settings.workers.heartbeatIntervalMs * 3;
    const whole = takeSnapshot(this.leader, now);
    const snapshot = this.cycleSizer.limit(whole);
    // Of these the round keeps its own count, which goes on while it decides.
    const used = new Map(
      [...snapshot.teams].map(([name, team]) => [name, { ...team, used: { ...team.used } }]),
    );
    const plannedAt = this.leader.now;
    const result = schedule(snapshot);
    this.leader.quotaWaitLog.observe(result.quotaLimited, used, now);
    // What was left out may need them.
    if (snapshot !== whole) {
      result.idleMachines = [];
      result.drainableMachines = [];
    }
    this.applyPlan(result, now, settled && this.leader.hasListedMachines);
    this.leader.extensions.afterSchedulingCycle(result.quotaLimited);
    this.cycleSizer.recordDuration(this.leader.now - plannedAt);
    this.logCycle(snapshot, result, this.leader.now - now);
  }

  /** What the round saw and did: where a fleet stalls can be read from these lines. */
  private logCycle(snapshot: Snapshot, result: SchedulingPlan, tookMs: number): void {
    const waiting: Record<string, number> = {};
    for (const { spec, waitingTasks: tasks } of snapshot.jobs) {
      if (tasks > 0) waiting[spec.jobClass] = (waiting[spec.jobClass] ?? 0) + tasks;
    }
    const up = snapshot.machines.filter((machine) => machine.isUp).length;
    this.leader.context.runtime.log.debug(
      {
        up,
        coming: snapshot.machines.length - up,
        waiting,
        started: result.starts.reduce(
          (sum, start) =>
            sum + start.assignments.reduce((k, assignment) => k + assignment.count, 0),
          0,
        ),
        stops: result.stops.length,
        rents: result.scaleOut,
        spare: result.idleMachines.length,
        gate: snapshot.isGateClosed,
        teams: Object.fromEntries(
          [...snapshot.teams].map(([name, team]) => [name, team.used.gpus]),
        ),
        heldBack: Object.fromEntries(result.quotaLimited),
        writesWaiting: this.leader.context.store.queuedWrites,
        tookMs,
      },
      'round',
    );
  }

  private async refreshZoneDelegates(): Promise<void> {
    try {
      await this.leader.zoneDelegates.refresh(this.leader.term.signal);
      this.leader.requestSchedule();
    } catch {
      // The next round asks again.
    }
  }

  /** No worker reaches us though there are some: they may reach another controller instead. */
  private isUnreachableByWorkers(now: number): boolean {
    const {
      workerLiveness: workerLiveness,
      fleet,
      machineTypes: machineTypes,
      hasListedMachines: listed,
      context: context,
    } = this.leader;
    if (context.settings.size === 1) return false;
    const bootMs = Math.max(0, ...[...machineTypes.values()].map((type) => type.bootMs));
    const alone = !context.isStoreAvailableToOthers();
    const { workerFailoverMs: workerFailoverMs } = context.successorPolicy;
    return workerLiveness.hasTimedOut(now, fleet.machines.values(), {
      bootMs,
      areMachinesListed: listed,
      isAlone: alone,
      workerFailoverMs,
    });
  }

  /** Work leaves a machine that the cloud takes back, has proven faulty or is to go back. */
  private drainMachines(now: number): void {
    this.leader.reconciler.releaseFailed(now);
    for (const machine of this.leader.fleet.machines.values()) {
      if (machine.preemptionNoticeAt === null && !machine.isFaulty && !machine.isDraining) continue;
      for (const placement of machine.placements.values()) {
        if (placement.stop || placement.job.phase !== 'open') continue;
        const grace = this.leader.taskStopper.checkpointGraceMs(placement.job);
        if (placement.job.gang) this.leader.taskStopper.stopAll(placement.job, grace);
        else this.leader.taskStopper.stop(placement, grace);
      }
      if ((machine.isFaulty || machine.isDraining) && machine.placements.size === 0)
        this.leader.reconciler.release(machine);
    }
  }

  private applyPlan(result: SchedulingPlan, now: number, mayScaleOut: boolean): void {
    const touched = new Set<Job>();
    for (const start of result.starts) {
      const job = this.leader.jobs.get(start.job)!;
      // Such a job is in no snapshot; should it ever get here, its tasks still must not start.
      if (job.readyAt === null) continue;
      this.place(job, start.assignments, now);
      touched.add(job);
    }
    if (result.admittedGang !== null) {
      const job = this.leader.jobs.get(result.admittedGang)!;
      this.leader.gangGate.admit(job, now);
      touched.add(job);
    }
    for (const { job, task } of result.stops) {
      const placement = this.leader.jobs.get(job)?.placements.get(task);
      if (placement)
        this.leader.taskStopper.stop(
          placement,
          this.leader.taskStopper.preemptionGraceMs(placement.job),
        );
    }
    for (const job of touched) this.leader.recordWriter.flush(job);
    if (!mayScaleOut) return;
    for (const rent of result.scaleOut) this.leader.provisioner.provision(rent);
    this.leader.reconciler.scaleIn(result, now);
  }

  private place(job: Job, on: { machine: string; count: number }[], now: number): void {
    const total = on.reduce((sum, o) => sum + o.count, 0);
    const tasks = job.waitingTasks(total);
    job.attempt++;
    let next = 0;
    for (const { machine, count } of on) {
      const host = this.leader.fleet.machines.get(machine)!;
      for (let i = 0; i < count; i++) {
        const task = tasks[next++]!;
        const placement: Placement = {
          job,
          task,
          attempt: job.attempt,
          machine,
          agentEpoch: host.agentEpoch,
          zone: host.zone,
          stage: 'recording',
          state: null,
          placedAt: now,
          runningSince: null,
          stop: null,
        };
        job.placements.set(task, placement);
        this.leader.fleet.addPlacement(placement, now);
        job.markDirty(task);
      }
    }
    const { clock, log } = this.leader.context.runtime;
    log.debug(
      {
        job: job.id,
        class: job.spec.jobClass,
        attempt: job.attempt,
        waitedMs: Math.round(clock.wall() - (job.readyAt ?? job.submittedAt)),
        on,
      },
      'placed',
    );
    if (job.gang) this.leader.gangGate.onPlaced(job, now, gateBootMs(this.leader, job));
  }
}
