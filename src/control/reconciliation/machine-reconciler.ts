/** Reconciliation of the fleet with the cloud's listings, and scale-in. */
import type { Fleet } from '../../fleet/fleet.js';
import type { Machine } from '../../fleet/machine.js';
import type { MachineProvisioner } from '../../fleet/machine-provisioner.js';
import type { MachineType } from '../../fleet/resources.js';
import { IdleMachines } from '../../scheduler/idle-machines.js';
import type { Settings } from '../../settings/deploy.js';
import type { OperatorSettings } from '../../settings/operator.js';
import type { SchedulingPlan } from '../../scheduler/scheduling-model.js';
import type { ListedMachine } from '../../wire/cloud.js';

/** How long listings that still contain a released machine are ignored for it, in listing lags. */
const RELEASED_LIST_LAGS = 6;

/** Boot times without a heartbeat after which a running machine without placements is released. */
const UNREACHABLE_BOOTS = 3;

/** Consecutive listings that must lack a machine before it may be removed. */
const MIN_MISSED_LISTINGS = 3;

/** Idle machines are kept longer if a boot takes more than this many times a wait objective. */
const WAITS_PER_BOOT = 2;

/** Idle machines of one type. */
interface IdleGroup {
  type: MachineType;
  machines: Machine[];
}

/** Key of the count of idle machines that includes those with opportunistic work only. */
const withOpportunisticKey = (type: string): string => `${type} with opportunistic work`;

/** Applies the cloud's listings to the fleet, and decides which machines are released. */
export class MachineReconciler {
  private idleMachines: IdleMachines;
  /** When machines were released: listings lag, and contain them as running for a while. */
  private readonly releasedAt = new Map<string, number>();

  constructor(
    private readonly fleet: Fleet,
    private readonly provisioner: MachineProvisioner,
    private readonly settings: Settings,
    private readonly operatorSettings: OperatorSettings,
    private readonly machineTypes: () => ReadonlyMap<string, MachineType>,
    /** Monotonic time in milliseconds. */
    private readonly termStartedAt: number,
  ) {
    this.idleMachines = new IdleMachines(termStartedAt, false);
  }

  /** Called after recovery; `hasPredecessor`: the records show that there were earlier leaders. */
  recovered(hasPredecessor: boolean): void {
    this.idleMachines = new IdleMachines(this.termStartedAt, hasPredecessor);
  }

  /** Applies a complete listing. */
  applyListing(listing: ListedMachine[], now: number): void {
    const listedIds = new Set<string>();
    for (const listed of listing) {
      listedIds.add(listed.id);
      // If a released machine were added again, pending tasks would be assigned to it and no machine
      // would be provisioned for them.
      if (!this.releasedAt.has(listed.id)) this.applyListed(listed, now);
    }
    for (const machine of [...this.fleet.machines.values()]) {
      if (!listedIds.has(machine.id)) this.applyMissing(machine, now);
    }
  }

  private applyListed(listed: ListedMachine, now: number): void {
    const known = this.fleet.machines.get(listed.id);
    const machine = known ?? this.fleet.getOrCreate(listed.id, now);
    if (!known) machine.initializeFromListing(listed, now);
    machine.applyListing(listed.state, this.machineTypes().get(listed.type) ?? null, now);
    if (listed.state !== 'failed') return;
    // The cloud reports that it has stopped, so nothing runs on it any more.
    for (const placement of machine.placements.values()) this.fleet.withdrawStart(placement);
    machine.beginRelease();
    this.provisioner.release(listed.id);
  }

  private applyMissing(machine: Machine, now: number): void {
    machine.recordMissedListing();
    // Absence from a listing proves nothing: only an unresponsive machine is removed.
    const isUnresponsive = now > this.fleet.leaseExpiryOf(machine);
    if (
      machine.missedListings >= MIN_MISSED_LISTINGS &&
      isUnresponsive &&
      machine.placements.size === 0
    )
      this.fleet.removeMachine(machine.id);
  }

  /** Removes machines whose release the cloud has confirmed. */
  confirmReleased(ids: string[], now: number): void {
    for (const id of ids) {
      this.fleet.confirmReleased(id);
      this.releasedAt.set(id, now);
    }
    // No listing is older than twice its lag.
    const expiredBefore = now - this.settings.cloud.listLagMs * RELEASED_LIST_LAGS;
    for (const [id, at] of this.releasedAt) if (at < expiredBefore) this.releasedAt.delete(id);
  }

  /** Releases a machine, unless its release has already begun. */
  release(machine: Machine): void {
    if (machine.isReleasing) return;
    machine.beginRelease();
    this.provisioner.release(machine.id);
  }

  /** Releases machines that failed to boot, and those that are permanently unreachable. */
  releaseFailed(now: number): void {
    const { machines, bootTimes } = this.fleet;
    // A machine's state is evidence on the others until it is released, so all are evaluated first.
    const failed = [...machines.values()].filter(
      (machine) =>
        bootTimes.hasFailed(machine, now, machines.values()) || this.isUnreachable(machine, now),
    );
    for (const machine of failed) this.release(machine);
  }

  /**
   * Whether the cloud reports a machine as running although its worker has been unresponsive for
   * several boot times. If at least half of the running machines of its zone are unresponsive, a
   * network partition is more likely, and they can be used again once it has healed.
   */
  private isUnreachable(machine: Machine, now: number): boolean {
    if (machine.cloudState !== 'running' || machine.type === null || machine.placements.size > 0)
      return false;
    const lastSeenAt = Math.max(
      machine.lastHeartbeatAt ?? -Infinity,
      machine.cloudRunningSince ?? Infinity,
    );
    if (now - lastSeenAt <= machine.type.bootMs * UNREACHABLE_BOOTS) return false;
    let responsive = 0;
    let unresponsive = 0;
    for (const other of this.fleet.machines.values()) {
      if (other.zone !== machine.zone || other.cloudState !== 'running') continue;
      if (now - (other.lastHeartbeatAt ?? -Infinity) <= this.settings.workers.leaseMs) responsive++;
      else unresponsive++;
    }
    return responsive > unresponsive;
  }

  /**
   * Releases idle machines that have been surplus for their idle timeout: the most expensive first,
   * then the longest idle. A second count also includes machines with opportunistic work only; its
   * additional surplus is drained where possible. Empty machines are not released instead of those:
   * guaranteed work would then have to wait for an eviction.
   */
  scaleIn(plan: Pick<SchedulingPlan, 'idleMachines' | 'drainableMachines'>, now: number): void {
    for (const { type, machines } of this.groupIdle(new Set(plan.idleMachines), now)) {
      const idleTimeoutMs = this.idleTimeoutMs(type);
      const empty = machines.filter((machine) => machine.placements.size === 0);
      const surplus = this.idleMachines.surplus(type.name, empty.length, now, idleTimeoutMs);
      const surplusWithOpportunistic = this.idleMachines.surplus(
        withOpportunisticKey(type.name),
        machines.length,
        now,
        idleTimeoutMs,
      );
      empty.sort((a, b) => Number(a.spot) - Number(b.spot) || a.idleSince - b.idleSince);
      for (const machine of empty.slice(0, surplus)) this.release(machine);
      const drained = this.drain(
        machines,
        plan.drainableMachines,
        surplusWithOpportunistic - surplus,
      );
      this.idleMachines.recordReleased(type.name, surplus);
      this.idleMachines.recordReleased(withOpportunisticKey(type.name), surplus + drained);
    }
  }

  /** Groups idle machines by type, and resets the idle time of all machines in use. */
  private groupIdle(idleIds: ReadonlySet<string>, now: number): Iterable<IdleGroup> {
    const groups = new Map<string, IdleGroup>();
    for (const [name, type] of this.machineTypes()) groups.set(name, { type, machines: [] });
    for (const machine of this.fleet.machines.values()) {
      const type = idleIds.has(machine.id) ? machine.type : null;
      if (type) groups.get(type.name)?.machines.push(machine);
      if (!type || machine.placements.size > 0) machine.idleSince = now;
    }
    return groups.values();
  }

  /**
   * Drains up to `maxMachines` of these machines; none while others are draining, since their tasks
   * need the same capacity.
   */
  private drain(machines: Machine[], drainable: readonly string[], maxMachines: number): number {
    if (maxMachines <= 0 || drainable.length === 0) return 0;
    if (
      [...this.fleet.machines.values()].some(
        (machine) => machine.isDraining && !machine.isReleasing,
      )
    )
      return 0;
    const byId = new Map(machines.map((machine) => [machine.id, machine]));
    const drained = drainable.flatMap((id) => byId.get(id) ?? []).slice(0, maxMachines);
    for (const machine of drained) machine.beginDrain();
    return drained.length;
  }

  /** The idle timeout of machines of this type, in milliseconds. */
  idleTimeoutMs(type: MachineType): number {
    return type.bootMs * this.operatorSettings.fleet.idleBoots * this.idleTimeoutFactor(type);
  }

  /** Factor on the idle timeout, which grows as wait objectives get shorter compared to a boot. */
  private idleTimeoutFactor(type: MachineType): number {
    let ratio = 1;
    for (const objective of this.settings.objectives) {
      if (objective.kind !== 'wait' || objective.withinMs === null) continue;
      ratio = Math.max(ratio, type.bootMs / objective.withinMs / WAITS_PER_BOOT);
    }
    return ratio * ratio;
  }
}
