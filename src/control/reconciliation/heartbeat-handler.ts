/** What a recovered leader answers to workers' heartbeats, and when. */
import type { Runtime } from '@leverhatch/core/duty';
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
 * How long the answer to a heartbeat may be held, as a share of the time between two, so that the
 * next one is not late; and well within the 4 s after which workers give an answer up.
 */
const HOLD_RATIO = 0.75;
/** How long an answer is held at most, whatever the heartbeat interval. */
export const MAX_HOLD_MS = 2200;

/** How long the answer to a heartbeat is held at most, for a fleet with this heartbeat interval. */
export const longestHoldMs = (heartbeatIntervalMs: number): number =>
  Math.min(heartbeatIntervalMs * HOLD_RATIO, MAX_HOLD_MS);

/** What of a machine a scheduling cycle sees change with a heartbeat. */
function schedulingState({ isTokenConfirmed, preemptionNoticeAt }: Machine): string {
  return `${isTokenConfirmed}, ${preemptionNoticeAt !== null}`;
}

/** What a `HeartbeatHandler` works with. */
export interface HeartbeatHandlerContext {
  readonly runtime: Pick<Runtime, 'clock'>;
  readonly settings: Pick<Settings, 'workers'>;
  readonly term: Pick<Term, 'holdsLease'>;
  readonly fleet: Fleet;
  readonly longPoll: LongPoll;
  readonly workerLiveness: Pick<WorkerLiveness, 'recordHeartbeat'>;
  readonly jobRecords: Pick<JobRecordWatcher, 'isRecovered' | 'recoveredSignal'>;
  machineTypes(): ReadonlyMap<string, MachineType>;
  mayRenewWorkerLeases(now: number): boolean;
  requestSchedule(): void;
}

/** Takes workers' heartbeats, and says what to answer and when. */
export class HeartbeatHandler {
  constructor(private readonly context: HeartbeatHandlerContext) {}

  /** What to answer; null if the worker's lease must not be renewed now. */
  receive(heartbeat: WorkerHeartbeat): WorkerCommand[] | null | Promise<WorkerCommand[] | null> {
    // A copy that comes late tells of no worker that reaches us now.
    const known = this.context.fleet.machines.get(heartbeat.machine);
    if (known?.isNewerHeartbeat(heartbeat.agentEpoch, heartbeat.sequence) ?? true)
      this.context.workerLiveness.recordHeartbeat(this.context.runtime.clock.now());
    if (!this.context.jobRecords.isRecovered) return this.afterRecovery(heartbeat);
    return this.context.mayRenewWorkerLeases(this.context.runtime.clock.now())
      ? this.apply(heartbeat, true)
      : null;
  }

  /**
   * Before the records are read nobody knows what on that machine is cancelled. They mostly are
   * within the time that a worker waits for its answer.
   */
  private async afterRecovery(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
    const { jobRecords, runtime } = this.context;
    await runtime.clock.sleep(MAX_HOLD_MS, jobRecords.recoveredSignal);
    return jobRecords.isRecovered &&
      this.context.mayRenewWorkerLeases(this.context.runtime.clock.now())
      ? this.apply(heartbeat, false)
      : null;
  }

  /** `mayHold`: the worker still has time to wait for commands that come up. */
  private apply(
    heartbeat: WorkerHeartbeat,
    mayHold: boolean,
  ): WorkerCommand[] | Promise<WorkerCommand[]> {
    const type = this.context.machineTypes().get(heartbeat.type) ?? null;
    const machine = this.context.fleet.machines.get(heartbeat.machine);
    const before = machine ? schedulingState(machine) : null;
    const isNews = this.isNews(heartbeat, machine);
    if (isNews) this.context.longPoll.supersede(heartbeat.machine);
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
    // On others' votes alone running work is kept, but nothing is begun.
    if (!this.context.term.holdsLease(this.context.runtime.clock.now()))
      return commands.filter((command) => command.kind !== 'start');
    const holdMs = mayHold && isNews && commands.length === 0 ? this.holdMs(after) : 0;
    return holdMs === 0 ? commands : this.heldCommands(after, holdMs);
  }

  private isNews({ agentEpoch, sequence }: WorkerHeartbeat, known: Machine | undefined): boolean {
    return this.context.jobRecords.isRecovered && (known?.isNewer(agentEpoch, sequence) ?? true);
  }

  /** How long an answer without commands is held for what may come up. */
  private holdMs(machine: Machine): number {
    if (machine.isIdleOrServing) return this.longestHoldMs;
    // Ends on it are news that must not wait long behind the answer.
    return machine.hasStartBeingRecorded ? this.longestHoldMs / 5 : 0;
  }

  private async heldCommands(machine: Machine, holdMs: number): Promise<WorkerCommand[]> {
    const newest = await this.context.longPoll.wait(machine.id, holdMs);
    if (this.context.fleet.machines.get(machine.id) !== machine) return [];
    const mayStart = newest && this.context.term.holdsLease(this.context.runtime.clock.now());
    return mayStart
      ? this.context.fleet.pendingCommands(machine)
      : this.context.fleet.pendingStopCommands(machine);
  }

  private get longestHoldMs(): number {
    return longestHoldMs(this.context.settings.workers.heartbeatIntervalMs);
  }
}
