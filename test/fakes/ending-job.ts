/** A leader's view of one job of any size whose tasks end, without store and network. */
import { GangGate, isGangJob } from '../../src/control/admission/gang-gate.js';
import {
  GangTimeouts,
  type GangTimeoutsContext,
} from '../../src/control/admission/gang-timeouts.js';
import { withdrawUnrecordedStarts } from '../../src/control/extensions/unrecorded-starts.js';
import {
  JobRecordWatcher,
  type JobRecordWatcherContext,
} from '../../src/control/reconciliation/job-record-watcher.js';
import { LongPoll } from '../../src/control/reconciliation/long-poll.js';
import { MachineReconciler } from '../../src/control/reconciliation/machine-reconciler.js';
import { TaskLifecycle } from '../../src/control/reconciliation/task-lifecycle.js';
import { TaskStopper } from '../../src/control/reconciliation/task-stopper.js';
import { Fleet } from '../../src/fleet/fleet.js';
import type { MachineProvisioner } from '../../src/fleet/machine-provisioner.js';
import type { StopCommandSender } from '../../src/fleet/stop-command-sender.js';
import type { JobKind } from '../../src/jobs/job.js';
import { tasksPerRange, tasksPerRecord, WRITE_ID, type RunRecord } from '../../src/jobs/records.js';
import { JobRestoration } from '../../src/jobs/job-restoration.js';
import { TaskPlacement } from '../../src/jobs/task-placement.js';
import { Job, type Placement } from '../../src/jobs/tracked-job.js';
import { OPERATOR_DEFAULTS } from '../../src/settings/operator.js';
import type { ExitReason, TaskStatus } from '../../src/wire/worker-heartbeat.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { FakeClock } from './clock.js';
import { SPEC, startGroup, TYPE } from './samples.js';
import { settings } from './sample-settings.js';

const JOB_ID = 'req-1';
const FENCING_TOKEN = 7;

/** Limit of a value in the store, in bytes. */
const VALUE_BYTES = 16 * 1024;

/** Number of machines that share the tasks. */
const MACHINES = 200;

/** How far the starts are: recorded and running, not recorded yet, or half of the tasks each. */
export type StartStage = 'running' | 'unrecorded' | 'half unrecorded';

/** One job whose tasks are all placed, with those parts of a leader that handle their ends. */
export class EndingJob {
  readonly job: Job;
  private readonly clock = new FakeClock();
  private readonly jobs = new Map<string, Job>();
  private readonly sequences = new Map<string, number>();
  private readonly fleet: Fleet;
  private readonly taskStopper: TaskStopper;
  private readonly gangTimeouts: GangTimeouts;
  private readonly watcher: JobRecordWatcher;
  private readonly reconciler: MachineReconciler;

  constructor(kind: JobKind, tasks: number, stage: StartStage, restored?: Job) {
    this.job =
      restored ?? new Job(JOB_ID, { ...SPEC, kind, tasks }, 0, 1, tasksPerRecord(VALUE_BYTES));
    this.jobs.set(JOB_ID, this.job);
    const { workers } = settings();
    const runtime = { clock: this.clock, log: { debug() {}, info() {} } } as unknown as Runtime;
    const recordWriter = { flush() {}, flushExits() {} };
    const gangGate = new GangGate(OPERATOR_DEFAULTS);
    const requestSchedule = (): void => undefined;
    this.fleet = new Fleet(
      {
        running: (placement) => lifecycle.onRunning(placement),
        exited: (placement, exitReason, checkpointed) =>
          lifecycle.onExited(placement, exitReason, checkpointed),
        lost: (placement) => lifecycle.onLost(placement),
      },
      FENCING_TOKEN,
      0,
      workers.leaseMs,
      { expiryOf: () => -Infinity, confirmedAsOf: Infinity },
    );
    const { fleet } = this;
    const commands = { add() {} } as unknown as StopCommandSender;
    const longPoll = new LongPoll(runtime, workers.heartbeatIntervalMs);
    const taskStopper = new TaskStopper(fleet, longPoll, commands, workers, this.clock);
    this.taskStopper = taskStopper;
    const shared = { runtime, fleet, gangGate, taskStopper, recordWriter, requestSchedule };
    const lifecycle = new TaskLifecycle(shared);
    const machineTypes = (): Map<string, typeof TYPE> => new Map([[TYPE.name, TYPE]]);
    const provisioner = { unavailableSince: null, release() {} } as unknown as MachineProvisioner;
    this.gangTimeouts = new GangTimeouts({
      ...{ ...shared, provisioner, machineTypes },
      operator: OPERATOR_DEFAULTS,
    } as GangTimeoutsContext);
    this.watcher = new JobRecordWatcher({
      ...shared,
      jobs: this.jobs,
      dependencies: { onJobEnded() {} },
    } as unknown as JobRecordWatcherContext);
    this.reconciler = new MachineReconciler(
      fleet,
      provisioner,
      settings(),
      OPERATOR_DEFAULTS,
      machineTypes,
      0,
    );
    if (restored) this.addRestored();
    else this.placeAll(stage);
  }

  /** Number of tasks that may be on machines, according to the job and to the machines. */
  get remaining(): { ofJob: number; onMachines: number } {
    let onMachines = 0;
    for (const machine of this.fleet.machines.values()) onMachines += machine.placements.size;
    return { ofJob: this.job.placements.size, onMachines };
  }

  // ---- setting up

  private placeAll(stage: StartStage): void {
    const { job, clock } = this;
    const groups = MACHINE_IDS.map((machine) => startGroup(job, { machine }));
    for (let task = 0; task < job.spec.tasks; task++) {
      const isRunning = stage === 'running' || (stage === 'half unrecorded' && task % 2 === 0);
      const placementStage = isRunning ? 'reported' : 'recording';
      const placement = new TaskPlacement(groups[task % MACHINES]!, task, placementStage);
      if (isRunning) placement.state = 'running';
      job.placements.set(task, placement);
      this.fleet.addPlacement(placement, clock.now());
    }
    if (isGangJob(job)) new GangGate(OPERATOR_DEFAULTS).onPlaced(job, clock.now(), 0);
    this.prepareMachines();
  }

  private addRestored(): void {
    for (const placement of this.job.placements.values()) this.fleet.addPlacement(placement, 0);
    this.prepareMachines();
  }

  private prepareMachines(): void {
    for (const machine of this.fleet.machines.values()) {
      Object.assign(machine, { agentEpoch: 1, type: TYPE, isTokenConfirmed: true });
    }
  }

  // ---- events

  /** A heartbeat of every machine, in which `exitReasonOf` tells which of its tasks have exited. */
  report(exitReasonOf: (placement: Placement) => ExitReason | null): void {
    for (const machine of this.fleet.machines.values()) {
      const tasks: TaskStatus[] = [];
      for (const placement of machine.placements.values()) {
        if (placement.stage === 'recording') continue;
        const exitReason = exitReasonOf(placement);
        const { task, attempt } = placement;
        const state = exitReason === null ? 'running' : 'exited';
        tasks.push({ job: JOB_ID, task, attempt, state, exitReason, checkpointed: false });
      }
      this.heartbeat(machine.id, tasks);
    }
  }

  /** A heartbeat of every machine that names no task. */
  reportNothing(agentEpoch = 1): void {
    for (const id of this.fleet.machines.keys()) this.heartbeat(id, [], agentEpoch);
  }

  private heartbeat(machine: string, tasks: TaskStatus[], agentEpoch = 1): void {
    const sequence = (this.sequences.get(machine) ?? 0) + 1;
    this.sequences.set(machine, sequence);
    const place = { machine, address: `${machine}:9000`, type: TYPE.name, zone: 'a', spot: false };
    const heartbeat = { ...place, agentEpoch, sequence, fencingToken: FENCING_TOKEN, tasks };
    this.fleet.applyHeartbeat(
      { ...heartbeat, preemptionNoticeMs: null },
      TYPE,
      this.clock.now(),
      true,
    );
  }

  releaseMachines(): void {
    for (const id of this.fleet.machines.keys()) this.fleet.confirmReleased(id);
  }

  failMachines(): void {
    const listing = [...this.fleet.machines.keys()].map((id) => {
      const place = { id, address: `${id}:9000`, type: TYPE.name, zone: 'a', spot: false };
      return { ...place, state: 'failed' as const, ageMs: 0 };
    });
    this.reconciler.applyListing(listing, this.clock.now());
  }

  expireLeases(): void {
    this.fleet.expireLeases(settings().workers.leaseMs * 2);
  }

  announceCancellation(): void {
    this.watcher.onCancellationAnnounced(JOB_ID);
  }

  recordCancellation(): void {
    const { version, spec } = this.job;
    const record = { [WRITE_ID]: 'w', phase: 'cancelled' as const, tasks: spec.tasks };
    this.watcher.onJobRecord(JOB_ID, version + 1, record);
  }

  /** Stops one task, as a preemption does. */
  stopTask(task: number, graceMs: number): void {
    const placement = this.job.placements.get(task);
    if (placement) this.taskStopper.stop(placement, graceMs);
  }

  timeOut(): void {
    if (isGangJob(this.job)) this.gangTimeouts.check(this.job, Number.MAX_SAFE_INTEGER);
  }

  withdrawStarts(): void {
    withdrawUnrecordedStarts(this.job, this.taskStopper, () => true);
  }

  /** The same job as the next leader restores it from the records. */
  takeOver(): EndingJob {
    const { spec } = this.job;
    const perRecord = tasksPerRecord(VALUE_BYTES);
    const restored = new Job(JOB_ID, spec, 0, 1, perRecord);
    const restoration = new JobRestoration(restored);
    for (let index = 0; index * perRecord < spec.tasks; index++) {
      const section = this.job.layout.indexedSection(index);
      const record = this.job.toRecord(section, 'w', (at) => at) as RunRecord;
      restoration.addIndexed(index, 1, record);
    }
    restoration.finish(tasksPerRange(VALUE_BYTES), 0, 0);
    return new EndingJob(spec.kind, spec.tasks, 'running', restored);
  }
}

const MACHINE_IDS = Array.from({ length: MACHINES }, (_, i) => `host-${i}`);
