/** Handling of worker heartbeats by the leader. */
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Term } from '../../election/term.js';
import type { Fleet } from '../../fleet/fleet.js';
import type { Machine } from '../../fleet/machine.js';
import type { MachineType } from '../../fleet/resources.js';
import type { Settings } from '../../settings/deploy.js';
import type { WorkerCommand, WorkerHeartbeat } from '../../wire/worker-heartbeat.js';
import type { WorkerLiveness } from '../leadership/worker-liveness.js';
import type { JobRecordWatcher } from './job-record-watcher.js';
import type { LongPoll } from './long-poll.js';

/**
 * Longest hold of an answer as a fraction of the heartbeat interval, so that the next heartbeat is not
 * late.
 */
const HOLD_RATIO = 0.75;
/** Longest hold for any heartbeat interval; well within the 4 s after which workers time out. */
export const MAX_HOLD_MS = 2200;

/**
 * The share of the tasks that a leader tracks for which it holds heartbeats while it reads the records,
 * which take memory at the same time.
 */
const MAX_HELD_TASKS_RATIO = 1 / 4;

/** The longest hold of an answer for a fleet with this heartbeat interval. */
export const longestHoldMs = (heartbeatIntervalMs: number): number =>
  Math.min(heartbeatIntervalMs * HOLD_RATIO, MAX_HOLD_MS);

/** The state of a machine that a heartbeat can change and that scheduling depends on. */
function schedulingState({ isTokenConfirmed, preemptionNoticeAt }: Machine): string {
  return `${isTokenConfirmed}, ${preemptionNoticeAt !== null}`;
}

/** Dependencies of `HeartbeatHandler`. */
export interface HeartbeatHandlerContext {
  readonly runtime: Pick<Runtime, 'clock'>;
  readonly settings: Pick<Settings, 'workers'>;
  readonly term: Pick<Term, 'holdsLease'>;
  readonly fleet: Fleet;
  readonly longPoll: LongPoll;
  readonly workerLiveness: Pick<WorkerLiveness, 'recordHeartbeat'>;
  readonly jobRecords: Pick<JobRecordWatcher, 'isRecovered' | 'recoveredSignal'>;
  /** Number of tasks that this controller has memory to track. */
  readonly maxTrackedTasks: number;
  machineTypes(): ReadonlyMap<string, MachineType>;
  mayRenewWorkerLeases(now: number): boolean;
  requestSchedule(): void;
}

/** Applies worker heartbeats to the fleet, and decides what to answer and when. */
export class HeartbeatHandler {
  /** Number of tasks in the heartbeats that are held until recovery is complete. */
  private tasksHeldForRecovery = 0;

  constructor(private readonly context: HeartbeatHandlerContext) {}

  /** The commands to answer; null if the worker's lease must not be renewed now. */
  receive(heartbeat: WorkerHeartbeat): WorkerCommand[] | null | Promise<WorkerCommand[] | null> {
    // A delayed duplicate does not prove that the worker reaches this leader now.
    const known = this.context.fleet.machines.get(heartbeat.machine);
    if (known?.isNewerHeartbeat(heartbeat.agentEpoch, heartbeat.sequence) ?? true)
      this.context.workerLiveness.recordHeartbeat(this.context.runtime.clock.now());
    if (!this.context.jobRecords.isRecovered) return this.afterRecovery(heartbeat);
    return this.context.mayRenewWorkerLeases(this.context.runtime.clock.now())
      ? this.apply(heartbeat, true)
      : null;
  }

  /**
   * Holds a heartbeat until recovery is complete: before that it is unknown which tasks on the machine
   * are cancelled. Recovery usually completes within the time that a worker waits for its answer. Beyond
   * a bound on the tasks in them, workers are turned away at once and come back.
   */
  private async afterRecovery(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
    const { jobRecords, runtime, maxTrackedTasks } = this.context;
    const tasks = heartbeat.tasks.length;
    if (this.tasksHeldForRecovery + tasks > maxTrackedTasks * MAX_HELD_TASKS_RATIO) return null;
    this.tasksHeldForRecovery += tasks;
    await runtime.clock.sleep(MAX_HOLD_MS, jobRecords.recoveredSignal);
    this.tasksHeldForRecovery -= tasks;
    return jobRecords.isRecovered &&
      this.context.mayRenewWorkerLeases(this.context.runtime.clock.now())
      ? this.apply(heartbeat, false)
      : null;
  }

  /** Applies a heartbeat. `mayHold`: the answer may still be held until there is a command. */
  private apply(
    heartbeat: WorkerHeartbeat,
    mayHold: boolean,
  ): WorkerCommand[] | Promise<WorkerCommand[]> {
    const type = this.context.machineTypes().get(heartbeat.type) ?? null;
    const machine = this.context.fleet.machines.get(heartbeat.machine);
    const before = machine ? schedulingState(machine) : null;
    const isNewest = this.isNewest(heartbeat, machine);
    if (isNewest) this.context.longPoll.supersede(heartbeat.machine);
    const commands = this.context.fleet.applyHeartbeat(
      heartbeat,
      type,
      this.context.runtime.clock.now(),
      this.context.jobRecords.isRecovered,
    );
    const after = this.context.fleet.getOrCreate(
      heartbeat.machine,
      this.context.runtime.clock.now(),
    );
    if (schedulingState(after) !== before) this.context.requestSchedule();
    // A term that is only extended by votes keeps running tasks alive, but starts nothing.
    if (!this.context.term.holdsLease(this.context.runtime.clock.now()))
      return commands.filter((command) => command.kind !== 'start');
    const holdMs = mayHold && isNewest && commands.length === 0 ? this.holdMs(after) : 0;
    return holdMs === 0 ? commands : this.heldCommands(after, holdMs);
  }

  private isNewest({ agentEpoch, sequence }: WorkerHeartbeat, known: Machine | undefined): boolean {
    return (
      this.context.jobRecords.isRecovered && (known?.isNewerReport(agentEpoch, sequence) ?? true)
    );
  }

  /** How long to hold an answer without commands, in case a command for the worker arises. */
  private holdMs(machine: Machine): number {
    if (machine.isIdleOrServing) return this.longestHoldMs;
    // Reports of exits on this machine must not be delayed for long by the held answer.
    return machine.hasStartBeingRecorded ? this.longestHoldMs / 5 : 0;
  }

  private async heldCommands(machine: Machine, holdMs: number): Promise<WorkerCommand[]> {
    const isNewest = await this.context.longPoll.wait(machine.id, holdMs);
    if (this.context.fleet.machines.get(machine.id) !== machine) return [];
    const mayStart = isNewest && this.context.term.holdsLease(this.context.runtime.clock.now());
    return mayStart
      ? this.context.fleet.pendingCommands(machine)
      : this.context.fleet.pendingStopCommands(machine);
  }

  private get longestHoldMs(): number {
    return longestHoldMs(this.context.settings.workers.heartbeatIntervalMs);
  }
}
