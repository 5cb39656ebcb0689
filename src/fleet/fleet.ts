/** The leader's view of the fleet: machines and their placements, reconciled with heartbeats. */
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import { markDispatched, markReported } from '../jobs/placement-stage.js';
import type { Placement } from '../jobs/tracked-job.js';
import { dropOldest } from '../runtime/drop-oldest.js';
import type {
  ExitReason,
  TaskStatus,
  WorkerCommand,
  WorkerHeartbeat,
} from '../wire/worker-heartbeat.js';
import { BootTimes } from './boot-times.js';
import { Machine } from './machine.js';
import type { MachineType } from './resources.js';
import { startCommand, stopCommand } from './worker-commands.js';

/** Maximum number of ids of released machines that are kept, at about 100 bytes each. */
const MAX_RELEASED_IDS = 5000;

/** A machine gets no new work if its last heartbeat is older than the lease divided by this. */
const SCHEDULABLE_LEASE_DIVISOR = 3;

/** A longer interval between heartbeats than this share of the lease counts as a gap. */
const HEARTBEAT_GAP_LEASE_RATIO = 1 / 2;

/**
 * If an agent epoch ends although heartbeats have arrived without a gap for more than this share of
 * the lease, the worker does not receive the answers.
 */
const STEADY_LEASE_RATIO = 1.1;

/** Safety margin added to every lease before it counts as expired. */
const LEASE_MARGIN_MS = 50;

/** Callbacks for what the fleet has proven about placements. */
interface FleetEvents {
  running(placement: Placement): void;
  exited(placement: Placement, exitReason: ExitReason, checkpointed: boolean): void;
  /** The task is proven to be gone, but no exit was reported. */
  lost(placement: Placement): void;
}

/** Until when zone delegates may have renewed a zone's leases, and as of when this is known. */
interface ZoneDelegateExpiries {
  /** Monotonic time in milliseconds until which leases in the zone may have been renewed. */
  expiryOf(zone: string): number;
  /** Monotonic time in milliseconds at which the last complete lookup began. */
  readonly confirmedAsOf: number;
}

/**
 * Machines and their placements. A recorded placement stays on its machine until one of the
 * following proves that it is gone: a newer heartbeat of the same agent epoch that carries this
 * term's fencing token and does not report it, a later agent epoch, a confirmed release, a failed
 * machine, or lease expiry.
 */
export class Fleet {
  readonly machines = new Map<string, Machine>();
  readonly bootTimes = new BootTimes();
  /** Recently released machines, whose delayed heartbeats may still arrive. */
  private readonly releasedIds = new Set<string>();

  constructor(
    private readonly events: FleetEvents,
    private readonly fencingToken: number,
    /** Time since which no other controller could answer workers; monotonic, in milliseconds. */
    private readonly exclusiveSince: number,
    private readonly leaseMs: number,
    private readonly zoneDelegates: ZoneDelegateExpiries,
  ) {}

  /** Returns the machine with this id, and adds it if it is unknown. */
  getOrCreate(id: string, now: number): Machine {
    let machine = this.machines.get(id);
    if (!machine) {
      machine = new Machine(id, now);
      // The cloud never reuses an id, so a released machine must not get work.
      if (this.releasedIds.has(id)) machine.beginRelease();
      this.machines.set(id, machine);
    }
    return machine;
  }

  /** Whether a machine may get new work; this requires a recent heartbeat. */
  isSchedulable(machine: Machine, now: number): boolean {
    return machine.isSchedulable(now, this.leaseMs / SCHEDULABLE_LEASE_DIVISOR);
  }

  /** Adds a placement to its machine. */
  addPlacement(placement: Placement, now: number): void {
    const machine = this.getOrCreate(placement.machine, now);
    if (machine.zone === '') machine.zone = placement.zone;
    machine.placements.add(placement);
  }

  /**
   * Applies one heartbeat and returns the commands for its answer. While the records are still
   * being read (`areRecordsLoaded` is false), the lease is renewed, but placements are not
   * reconciled and no commands are sent.
   */
  applyHeartbeat(
    heartbeat: WorkerHeartbeat,
    type: MachineType | null,
    now: number,
    areRecordsLoaded: boolean,
  ): WorkerCommand[] {
    const machine = this.getOrCreate(heartbeat.machine, now);
    const { agentEpoch, sequence } = heartbeat;
    // A delayed copy does not prove that the machine is reachable. Work placed on a partitioned
    // machine would have to wait until its lease expires, and the expiry would look as if the
    // worker had not received the answers. Nor does the answer renew the lease, which counts from
    // the time at which the newest heartbeat was sent.
    if (!machine.isNewerHeartbeat(agentEpoch, sequence)) return [];
    machine.lastHeartbeat = { agentEpoch, sequence };
    machine.lastAnsweredAt = now;
    // A response to a direct command has overtaken this heartbeat. The answer still renews the
    // lease, so it must include pending stops.
    if (!machine.isNewerReport(agentEpoch, sequence))
      return agentEpoch === machine.agentEpoch ? this.pendingStopCommands(machine) : [];
    if (machine.isBooting && machine.type)
      this.bootTimes.recordBoot(machine.type.name, machine.provisionedAt, now);
    machine.recordHeartbeat(heartbeat, type, now, this.leaseMs * HEARTBEAT_GAP_LEASE_RATIO);
    if (!areRecordsLoaded) return [];
    if (agentEpoch > machine.agentEpoch) this.beginEpoch(machine, agentEpoch, now);
    if (heartbeat.fencingToken >= this.fencingToken) machine.isTokenConfirmed = true;
    return this.reconcileHeartbeat(machine, heartbeat);
  }

  private beginEpoch(machine: Machine, agentEpoch: number, now: number): void {
    machine.beginEpoch(agentEpoch, now, this.leaseMs * STEADY_LEASE_RATIO);
    for (const placement of machine.placements.values()) {
      if (placement.agentEpoch < agentEpoch) this.markLost(machine, placement);
    }
  }

  private reconcileHeartbeat(machine: Machine, heartbeat: WorkerHeartbeat): WorkerCommand[] {
    const stops: WorkerCommand[] = [];
    const forgets: WorkerCommand[] = [];
    const reported = new Set<Placement>();
    for (const status of heartbeat.tasks) {
      const placement = this.applyTaskStatus(machine, heartbeat, status);
      if (placement) reported.add(placement);
      else this.addOrphanCommands(machine, status, stops, forgets);
    }
    const starts: WorkerCommand[] = [];
    for (const placement of machine.placements) {
      if (placement.agentEpoch !== heartbeat.agentEpoch) continue;
      if (!reported.has(placement) && placement.stage !== 'recording')
        this.handleMissing(machine, placement, heartbeat, starts);
      else if (placement.stop && placement.stage === 'reported') {
        stops.push(stopCommand(placement, placement.stop.graceMs));
      }
    }
    return [...stops, ...forgets, ...starts];
  }

  /**
   * Applies the heartbeat in the response to a direct command. A placement that it does not report
   * is not lost, since the worker may not have executed a command from the answer to an ordinary
   * heartbeat yet. The response does not renew the lease either.
   */
  applyDirectResponse(heartbeat: WorkerHeartbeat): void {
    const machine = this.machines.get(heartbeat.machine);
    if (
      machine?.agentEpoch !== heartbeat.agentEpoch ||
      !machine.isNewerReport(heartbeat.agentEpoch, heartbeat.sequence)
    )
      return;
    machine.sequence = heartbeat.sequence;
    for (const status of heartbeat.tasks) this.applyTaskStatus(machine, heartbeat, status);
  }

  /** Applies the status of one task; returns its recorded placement, or null if there is none. */
  private applyTaskStatus(
    machine: Machine,
    heartbeat: WorkerHeartbeat,
    status: TaskStatus,
  ): Placement | null {
    const placement = machine.placements.find(status.job, status.task);
    if (placement?.attempt !== status.attempt || placement.agentEpoch !== heartbeat.agentEpoch)
      return null;
    if (status.state === 'exited') {
      machine.placements.delete(placement);
      machine.unacknowledgedExits.add(status.job, status.task, status.attempt);
      machine.cancelFetch(placement.job.spec.image);
      this.events.exited(placement, status.exitReason ?? 'error', status.checkpointed);
      return placement;
    }
    markReported(placement);
    const previousState = placement.state;
    placement.job.placements.setState(placement, status.state);
    if (status.state !== previousState) {
      machine.recordImageUse(
        placement.job.spec.image,
        placement.job.spec.imageGb,
        status.state !== 'fetching',
      );
    }
    if (status.state === 'running' && previousState !== 'running') this.events.running(placement);
    return placement;
  }

  /**
   * Commands that became due after the newest heartbeat was applied, while its answer is held back
   * (long polling). The report in that heartbeat is still the latest known state.
   */
  pendingCommands(machine: Machine): WorkerCommand[] {
    const commands = this.pendingStopCommands(machine);
    for (const placement of machine.placements.values()) {
      if (
        placement.agentEpoch === machine.agentEpoch &&
        placement.stage === 'recorded' &&
        !placement.stop
      ) {
        commands.push(this.dispatch(machine, placement));
      }
    }
    return commands;
  }

  /** Stop commands for tasks that the worker has reported. */
  pendingStopCommands(machine: Machine): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const placement of machine.placements.values()) {
      if (
        placement.agentEpoch !== machine.agentEpoch ||
        placement.stage !== 'reported' ||
        !placement.stop
      )
        continue;
      commands.push(stopCommand(placement, placement.stop.graceMs));
    }
    return commands;
  }

  private dispatch(machine: Machine, placement: Placement): WorkerCommand {
    markDispatched(placement);
    machine.recordImageUse(placement.job.spec.image, placement.job.spec.imageGb, false);
    return startCommand(placement);
  }

  /**
   * Adds the command for a reported task without a recorded placement: a stop if it has not exited,
   * else a forget, unless the exit still has to be recorded.
   */
  private addOrphanCommands(
    machine: Machine,
    status: TaskStatus,
    stops: WorkerCommand[],
    forgets: WorkerCommand[],
  ): void {
    const { job, task, attempt } = status;
    if (status.state !== 'exited') stops.push({ kind: 'stop', job, task, attempt, graceMs: 0 });
    else if (!machine.unacknowledgedExits.has(job, task, attempt)) {
      forgets.push({ kind: 'forget', job, task, attempt });
    }
  }

  /**
   * Handles a recorded placement that the worker does not report: dispatches it or marks it lost.
   */
  private handleMissing(
    machine: Machine,
    placement: Placement,
    heartbeat: WorkerHeartbeat,
    starts: WorkerCommand[],
  ): void {
    // A heartbeat from before this term may have been delayed while an earlier leader's start
    // command was executed. Only a heartbeat that carries this term's token proves that the start
    // will not be executed any more. For a start of this term, the next newer heartbeat proves it
    // whatever its token: by then the worker has accepted or dropped the answer with the command.
    if (placement.stage === 'recovered' && heartbeat.fencingToken < this.fencingToken) return;
    if (placement.stage === 'reported' || placement.stop) {
      // Either reported earlier and now missing, or not executed and to be stopped anyway.
      this.markLost(machine, placement);
      return;
    }
    starts.push(this.dispatch(machine, placement));
  }

  /** Marks all placements on a machine as lost; the loss of one may withdraw others. */
  private markAllLost(machine: Machine): void {
    for (const placement of machine.placements.values()) this.markLost(machine, placement);
  }

  private markLost(machine: Machine, placement: Placement): void {
    machine.placements.delete(placement);
    machine.cancelFetch(placement.job.spec.image);
    this.events.lost(placement);
  }

  /** Withdraws a start that was recorded in this term but never dispatched. */
  withdrawStart(placement: Placement): void {
    const machine = this.machines.get(placement.machine);
    if (machine) this.markLost(machine, placement);
  }

  /** Records that the exit of a start is in the store, so that the worker may forget it. */
  acknowledgeExit(placement: Placement): void {
    this.machines
      .get(placement.machine)
      ?.unacknowledgedExits.delete(placement.job.id, placement.task, placement.attempt);
  }

  /** Removes a machine whose release the cloud has confirmed. */
  confirmReleased(id: string): void {
    this.releasedIds.add(id);
    // If an id is dropped here, a late heartbeat adds the machine again. No listing contains it, so
    // it is soon removed.
    dropOldest(this.releasedIds, MAX_RELEASED_IDS);
    this.removeMachine(id);
  }

  /** Removes a machine that no longer exists and marks its placements as lost. */
  removeMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.markAllLost(machine);
    this.machines.delete(id);
  }

  /** Time after which the lease of a machine has expired, as far as zone delegates are known. */
  leaseExpiryOf(machine: Machine): number {
    const renewedAt = Math.max(
      machine.lastAnsweredAt ?? -Infinity,
      this.exclusiveSince,
      this.zoneDelegates.expiryOf(machine.zone),
    );
    return renewedAt + this.leaseMs * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;
  }

  /**
   * Marks placements on machines with expired leases as lost. Returns true if the zone delegates
   * have to be looked up first, since one may have renewed a lease after the last lookup.
   */
  expireLeases(now: number): boolean {
    let needsLookup = false;
    for (const machine of this.machines.values()) {
      if (machine.placements.size === 0 || now <= this.leaseExpiryOf(machine)) continue;
      if (!this.isLeaseExpired(machine, now)) {
        needsLookup = true;
        continue;
      }
      this.markAllLost(machine);
    }
    return needsLookup;
  }

  /**
   * Whether the lease of an unresponsive machine has certainly expired: the zone delegates were
   * looked up after the expiry, so none can have renewed it unnoticed.
   */
  isLeaseExpired(machine: Machine, now: number): boolean {
    const expiry = this.leaseExpiryOf(machine);
    return now > expiry && this.zoneDelegates.confirmedAsOf >= expiry;
  }
}
