/** The fleet as the leader sees it: placements per machine, reconciled with heartbeats. */
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
import { Machine, startKey, taskKey } from './machine.js';
import type { MachineType } from './resources.js';
import { startCommand, stopCommand } from './worker-commands.js';

/** Released machines that are remembered, at some 100 bytes each. */
const MAX_RELEASED_REMEMBERED = 5000;

/** A machine without a heartbeat for the lease divided by this gets no new work. */
const SCHEDULABLE_LEASE_DIVISOR = 3;

/** A pause between heartbeats of more than this share of the lease counts as a gap. */
const HEARTBEAT_GAP_LEASE_RATIO = 1 / 2;

/** An agent epoch that ends after this share of the lease without a gap shows that answers get lost. */
const STEADY_LEASE_RATIO = 1.1;

/** Added to every lease before it counts as expired. */
const LEASE_MARGIN_MS = 50;

/** What heartbeats prove about placements. */
interface FleetEvents {
  running(placement: Placement): void;
  exited(placement: Placement, exitReason: ExitReason, checkpointed: boolean): void;
  /** Proven gone without a reported exit. */
  lost(placement: Placement): void;
}

/** Until when zone delegates may have renewed a zone's leases, and when that was last looked up. */
interface ZoneDelegateExpiries {
  /** Monotonic time in milliseconds. */
  expiryOf(zone: string): number;
  /** Monotonic time in milliseconds. */
  readonly confirmedAsOf: number;
}

/**
 * Machines and their placements. A recorded placement stays on its machine until one of these proofs:
 * a newer heartbeat of the same agent epoch that carries our fencing token and does not report it, a
 * later agent epoch, a confirmed release, a failed machine, or lease expiry.
 */
export class Fleet {
  readonly machines = new Map<string, Machine>();
  readonly bootTimes = new BootTimes();
  /** Machines released lately: delayed copies of their heartbeats may still arrive. */
  private readonly releasedIds = new Set<string>();

  constructor(
    private readonly events: FleetEvents,
    private readonly fencingToken: number,
    /** Since when no other controller could answer a worker; monotonic milliseconds. */
    private readonly exclusiveSince: number,
    private readonly leaseMs: number,
    private readonly zoneDelegates: ZoneDelegateExpiries,
  ) {}

  /** Number of machines with a heartbeat in this term. */
  get heard(): number {
    let count = 0;
    for (const machine of this.machines.values()) if (machine.lastHeartbeatAt !== null) count++;
    return count;
  }

  /** The machine of this name, created if unknown. */
  getOrCreate(id: string, now: number): Machine {
    let machine = this.machines.get(id);
    if (!machine) {
      machine = new Machine(id, now);
      // The cloud never reuses a name, so a released machine must get no work.
      if (this.releasedIds.has(id)) machine.beginRelease();
      this.machines.set(id, machine);
    }
    return machine;
  }

  /** Whether a machine may get new work, which requires a recent heartbeat. */
  isSchedulable(machine: Machine, now: number): boolean {
    return machine.isSchedulable(now, this.leaseMs / SCHEDULABLE_LEASE_DIVISOR);
  }

  /** Adds a placement to its machine. */
  addPlacement(placement: Placement, now: number): void {
    const machine = this.getOrCreate(placement.machine, now);
    if (machine.zone === '') machine.zone = placement.zone;
    machine.placements.set(taskKey(placement.job.id, placement.task), placement);
  }

  /**
   * Applies one heartbeat and returns the commands for its answer. While records are still being read
   * `mayAct` is false: then nothing is concluded or commanded, but the lease is renewed.
   */
  applyHeartbeat(
    heartbeat: WorkerHeartbeat,
    type: MachineType | null,
    now: number,
    mayAct: boolean,
  ): WorkerCommand[] {
    const machine = this.getOrCreate(heartbeat.machine, now);
    const { agentEpoch, sequence } = heartbeat;
    // A delayed copy does not show that the machine is reachable: work placed on a partitioned one
    // would wait for its lease, whose expiry would then look as if the worker missed our answers. Nor
    // does its answer renew a lease, which counts from when the newest heartbeat was sent.
    if (!machine.isNewerHeartbeat(agentEpoch, sequence)) return [];
    machine.lastHeartbeat = { agentEpoch, sequence };
    machine.lastAnsweredAt = now;
    // Overtaken by the response to a direct command. Its answer still renews the lease, and then must
    // not lack a stop.
    if (!machine.isNewer(agentEpoch, sequence))
      return agentEpoch === machine.agentEpoch ? this.pendingStopCommands(machine) : [];
    if (machine.isBooting && machine.type)
      this.bootTimes.recordBoot(machine.type.name, machine.provisionedAt, now);
    machine.recordHeartbeat(heartbeat, type, now, this.leaseMs * HEARTBEAT_GAP_LEASE_RATIO);
    if (!mayAct) return [];
    if (agentEpoch > machine.agentEpoch) this.beginEpoch(machine, agentEpoch, now);
    if (heartbeat.fencingToken >= this.fencingToken) machine.isTokenConfirmed = true;
    return this.reconcileHeartbeat(machine, heartbeat);
  }

  private beginEpoch(machine: Machine, agentEpoch: number, now: number): void {
    machine.beginEpoch(agentEpoch, now, this.leaseMs * STEADY_LEASE_RATIO);
    for (const placement of [...machine.placements.values()]) {
      if (placement.agentEpoch < agentEpoch) this.markLost(machine, placement);
    }
  }

  private reconcileHeartbeat(machine: Machine, heartbeat: WorkerHeartbeat): WorkerCommand[] {
    const stops: WorkerCommand[] = [];
    const forgets: WorkerCommand[] = [];
    const reported = new Set<string>();
    for (const status of heartbeat.tasks) {
      if (this.applyTaskStatus(machine, heartbeat, status))
        reported.add(taskKey(status.job, status.task));
      else this.addOrphanCommands(machine, status, stops, forgets);
    }
    const starts: WorkerCommand[] = [];
    for (const [key, placement] of [...machine.placements]) {
      if (placement.agentEpoch !== heartbeat.agentEpoch) continue;
      if (!reported.has(key) && placement.stage !== 'recording')
        this.handleMissing(machine, placement, heartbeat, starts);
      else if (placement.stop && placement.stage === 'reported') {
        stops.push(stopCommand(placement, placement.stop.graceMs));
      }
    }
    return [...stops, ...forgets, ...starts];
  }

  /**
   * Applies the heartbeat in the response to a direct command. It proves nothing lost: a command in
   * the answer to an ordinary heartbeat may not have been carried out yet. Nor does it renew the lease.
   */
  applyDirectResponse(heartbeat: WorkerHeartbeat): void {
    const machine = this.machines.get(heartbeat.machine);
    if (
      machine?.agentEpoch !== heartbeat.agentEpoch ||
      !machine.isNewer(heartbeat.agentEpoch, heartbeat.sequence)
    )
      return;
    machine.sequence = heartbeat.sequence;
    for (const status of heartbeat.tasks) this.applyTaskStatus(machine, heartbeat, status);
  }

  /** Applies the status of one task; false if it belongs to no recorded placement. */
  private applyTaskStatus(
    machine: Machine,
    heartbeat: WorkerHeartbeat,
    status: TaskStatus,
  ): boolean {
    const key = taskKey(status.job, status.task);
    const placement = machine.placements.get(key);
    if (placement?.attempt !== status.attempt || placement.agentEpoch !== heartbeat.agentEpoch)
      return false;
    if (status.state === 'exited') {
      machine.placements.delete(key);
      machine.unrecordedExits.add(startKey(status.job, status.task, status.attempt));
      machine.cancelFetch(placement.job.spec.image);
      this.events.exited(placement, status.exitReason ?? 'error', status.checkpointed);
      return true;
    }
    markReported(placement);
    const before = placement.state;
    placement.state = status.state;
    if (status.state !== before) {
      machine.noteImage(
        placement.job.spec.image,
        placement.job.spec.imageGb,
        status.state !== 'fetching',
      );
    }
    if (status.state === 'running' && before !== 'running') this.events.running(placement);
    return true;
  }

  /**
   * Commands that have come up since the newest heartbeat was applied, whose answer is still held
   * back. What it reported is still the latest that is known.
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

  /** Stops of tasks that the newest heartbeat reported. */
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
    machine.noteImage(placement.job.spec.image, placement.job.spec.imageGb, false);
    return startCommand(placement);
  }

  /** On the machine but not in our records, or an exited start whose exit is recorded. */
  private addOrphanCommands(
    machine: Machine,
    status: TaskStatus,
    stops: WorkerCommand[],
    forgets: WorkerCommand[],
  ): void {
    const { job, task, attempt } = status;
    if (status.state !== 'exited') stops.push({ kind: 'stop', job, task, attempt, graceMs: 0 });
    else if (!machine.unrecordedExits.has(startKey(job, task, attempt))) {
      forgets.push({ kind: 'forget', job, task, attempt });
    }
  }

  /** A recorded placement that its worker does not report. */
  private handleMissing(
    machine: Machine,
    placement: Placement,
    heartbeat: WorkerHeartbeat,
    starts: WorkerCommand[],
  ): void {
    // A heartbeat from before our term may have been delayed while an earlier leader had the start
    // executed; only one that carries our token proves that it never will be. For a start of our own
    // term the next newer heartbeat proves it, whatever its token: the worker had by then taken or
    // dropped the answer with the command.
    if (placement.stage === 'recovered' && heartbeat.fencingToken < this.fencingToken) return;
    if (placement.stage === 'reported' || placement.stop) {
      // Reported before and now missing, or never executed and no longer wanted.
      this.markLost(machine, placement);
      return;
    }
    starts.push(this.dispatch(machine, placement));
  }

  private markLost(machine: Machine, placement: Placement): void {
    machine.placements.delete(taskKey(placement.job.id, placement.task));
    machine.cancelFetch(placement.job.spec.image);
    this.events.lost(placement);
  }

  /** Withdraws a start that was recorded in this term and never dispatched. */
  withdraw(placement: Placement): void {
    const machine = this.machines.get(placement.machine);
    if (machine) this.markLost(machine, placement);
  }

  /** The exit of a start is in the store: its worker may forget it. */
  acknowledgeExit(placement: Placement): void {
    this.machines
      .get(placement.machine)
      ?.unrecordedExits.delete(startKey(placement.job.id, placement.task, placement.attempt));
  }

  /** The cloud has confirmed the release of the machine. */
  confirmReleased(id: string): void {
    this.releasedIds.add(id);
    // A heartbeat of one dropped here creates a machine that no listing has, which is soon removed.
    dropOldest(this.releasedIds, MAX_RELEASED_REMEMBERED);
    this.removeMachine(id);
  }

  /** The machine no longer exists, nor do the placements on it. */
  removeMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    for (const placement of [...machine.placements.values()]) this.markLost(machine, placement);
    this.machines.delete(id);
  }

  /** From when on a machine without heartbeats has an expired lease, if no zone delegate renewed it. */
  leaseExpiryOf(machine: Machine): number {
    const renewedAt = Math.max(
      machine.lastAnsweredAt ?? -Infinity,
      this.exclusiveSince,
      this.zoneDelegates.expiryOf(machine.zone),
    );
    return renewedAt + this.leaseMs * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;
  }

  /**
   * Marks placements on machines with expired leases as lost. Returns true if zone delegates have to
   * be looked up first: one that came after the last lookup may have renewed a lease.
   */
  expireLeases(now: number): boolean {
    let needsLookup = false;
    for (const machine of this.machines.values()) {
      if (machine.placements.size === 0 || now <= this.leaseExpiryOf(machine)) continue;
      if (!this.isLeaseExpired(machine, now)) {
        needsLookup = true;
        continue;
      }
      for (const placement of [...machine.placements.values()]) this.markLost(machine, placement);
    }
    return needsLookup;
  }

  /**
   * The lease of an unresponsive machine has certainly expired: zone delegates were looked up after
   * its expiry, so that none can have renewed it unknown to us.
   */
  isLeaseExpired(machine: Machine, now: number): boolean {
    const expiry = this.leaseExpiryOf(machine);
    return now > expiry && this.zoneDelegates.confirmedAsOf >= expiry;
  }
}
