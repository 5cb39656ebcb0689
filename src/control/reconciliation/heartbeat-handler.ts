import type { Machine } from '../../fleet/machine.js';
import type { WorkerCommand, WorkerHeartbeat } from '../../wire/worker-heartbeat.js';
import type { Leader } from '../leader.js';

/**
 * How long the answer to a report may be kept back, as a share of the time between two, so that the
 * next one is not late; and well within the 4 s after which workers give an answer up.
 */
const HOLD_RATIO = 0.75;
export const MAX_HOLD_MS = 2200;

/** How long the answer to a report is kept back at most, for a fleet that reports this often. */
export const longestHoldMs = (heartbeatIntervalMs: number): number =>
  Math.min(heartbeatIntervalMs * HOLD_RATIO, MAX_HOLD_MS);

/** Takes workers' reports, and says what to answer and when. */
export class HeartbeatHandler {
  constructor(private readonly leader: Leader) {}

  /** What to answer; null if the worker's lease must not be renewed now. */
  receive(heartbeat: WorkerHeartbeat): WorkerCommand[] | null | Promise<WorkerCommand[] | null> {
    // A copy that comes late tells of no worker that reaches us now.
    const known = this.leader.fleet.machines.get(heartbeat.machine);
    if (known?.isNewerHeartbeat(heartbeat.agentEpoch, heartbeat.sequence) ?? true)
      this.leader.workerLiveness.recordHeartbeat(this.leader.now);
    if (!this.leader.jobRecords.isRecovered) return this.afterRecovery(heartbeat);
    return this.leader.mayRenewWorkerLeases(this.leader.now) ? this.apply(heartbeat, true) : null;
  }

  /**
   * Before the records are read nobody knows what on that machine is cancelled. They mostly are
   * within the time that a worker waits for its answer.
   */
  private async afterRecovery(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
    const { jobRecords: jobRecords, context: context } = this.leader;
    await context.runtime.clock.sleep(MAX_HOLD_MS, jobRecords.recoveredSignal);
    return jobRecords.isRecovered && this.leader.mayRenewWorkerLeases(this.leader.now)
      ? this.apply(heartbeat, false)
      : null;
  }

  /** `mayHold`: the worker still has time to wait for orders that come up. */
  private apply(
    heartbeat: WorkerHeartbeat,
    mayHold: boolean,
  ): WorkerCommand[] | Promise<WorkerCommand[]> {
    const type = this.leader.machineTypes.get(heartbeat.type) ?? null;
    const machine = this.leader.fleet.machines.get(heartbeat.machine);
    const before = machine
      ? Number(machine.isTokenConfirmed) + (machine.preemptionNoticeAt === null ? 0 : 2)
      : -1;
    const fresh =
      this.leader.jobRecords.isRecovered &&
      (machine?.isNewer(heartbeat.agentEpoch, heartbeat.sequence) ?? true);
    if (fresh) this.leader.longPoll.supersede(heartbeat.machine);
    const commands = this.leader.fleet.applyHeartbeat(
      heartbeat,
      type,
      this.leader.now,
      this.leader.jobRecords.isRecovered,
    );
    const after = this.leader.fleet.machines.get(heartbeat.machine)!;
    if (Number(after.isTokenConfirmed) + (after.preemptionNoticeAt === null ? 0 : 2) !== before)
      this.leader.requestSchedule();
    // On others' votes alone running work is kept, but nothing is begun.
    if (!this.leader.term.holdsLease(this.leader.now))
      return commands.filter((command) => command.kind !== 'start');
    const holdMs = mayHold && fresh && commands.length === 0 ? this.holdMs(after) : 0;
    return holdMs === 0 ? commands : this.heldCommands(after, holdMs);
  }

  /** How long an answer without orders is kept back for what may come up. */
  private holdMs(machine: Machine): number {
    if (machine.isIdleOrServing) return this.longestHoldMs;
    // Ends on it are news that must not wait long behind the answer.
    return machine.hasStartBeingRecorded ? this.longestHoldMs / 5 : 0;
  }

  private async heldCommands(machine: Machine, holdMs: number): Promise<WorkerCommand[]> {
    const newest = await this.leader.longPoll.wait(machine.id, holdMs);
    if (this.leader.fleet.machines.get(machine.id) !== machine) return [];
    const mayStart = newest && this.leader.term.holdsLease(this.leader.now);
    return mayStart
      ? this.leader.fleet.pendingCommands(machine)
      : this.leader.fleet.pendingStopCommands(machine);
  }

  private get longestHoldMs(): number {
    return longestHoldMs(this.leader.context.settings.workers.heartbeatIntervalMs);
  }
}
