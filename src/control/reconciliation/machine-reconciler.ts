import type { Fleet } from '../../fleet/fleet.js';
import type { Machine } from '../../fleet/machine.js';
import type { MachineProvisioner } from '../../fleet/machine-provisioner.js';
import type { MachineType } from '../../fleet/resources.js';
import { IdleMachines } from '../../scheduler/idle-machines.js';
import type { Settings } from '../../settings/deploy.js';
import type { OperatorSettings } from '../../settings/operator.js';
import type { SchedulingPlan } from '../../scheduler/scheduling-model.js';
import type { ListedMachine } from '../../wire/cloud.js';

/** For how many times the list's lag a machine that went back is not believed to be there again. */
const RELEASED_LIST_LAGS = 6;

/** After how many boot times of silence a machine that runs and holds nothing goes back. */
const UNREACHABLE_BOOTS = 3;

/** Which machines there are, as the cloud lists them, and which of them go back. */
export class MachineReconciler {
  private idleMachines: IdleMachines;
  /** Machines that went back, and when: the list lags, and shows them as running for a while. */
  private readonly releasedAt = new Map<string, number>();

  constructor(
    private readonly fleet: Fleet,
    private readonly provisioner: MachineProvisioner,
    private readonly settings: Settings,
    private readonly operatorSettings: OperatorSettings,
    private readonly machineTypes: () => ReadonlyMap<string, MachineType>,
    private readonly termStartedAt: number,
  ) {
    this.idleMachines = new IdleMachines(termStartedAt, false);
  }

  /** The records of an earlier leader are read; `before`: there were any. */
  recovered(before: boolean): void {
    this.idleMachines = new IdleMachines(this.termStartedAt, before);
  }

  applyListing(listed: ListedMachine[], now: number): void {
    const names = new Set<string>();
    for (const l of listed) {
      names.add(l.id);
      // Taken for new, they would be counted on for what waits, and nothing rented for it.
      if (this.releasedAt.has(l.id)) continue;
      const known = this.fleet.machines.get(l.id);
      const machine = known ?? this.fleet.getOrCreate(l.id, now);
      if (!known) {
        machine.provisionedAt = now - l.ageMs;
        machine.zone = l.zone;
        machine.spot = l.spot;
      }
      machine.type ??= this.machineTypes().get(l.type) ?? null;
      machine.cloudState = l.state;
      if (l.state === 'running') machine.cloudRunningSince ??= now;
      machine.missedListings = 0;
      if (l.state === 'failed') {
        // The cloud says it has stopped: nothing is on it any more.
        for (const placement of [...machine.placements.values()]) this.fleet.withdraw(placement);
        machine.isReleasing = true;
        this.provisioner.release(l.id);
      }
    }
    for (const machine of [...this.fleet.machines.values()]) {
      if (names.has(machine.id)) continue;
      machine.missedListings++;
      // Absence from a list proves nothing; only what is silent as well is given up.
      const silent = now > this.fleet.leaseExpiryOf(machine);
      if (machine.missedListings >= 3 && silent && machine.placements.size === 0)
        this.fleet.removeMachine(machine.id);
    }
  }

  /** The cloud has confirmed that these machines are gone, and all that was on them. */
  confirmReleased(ids: string[], now: number): void {
    for (const id of ids) {
      this.fleet.confirmReleased(id);
      this.releasedAt.set(id, now);
    }
    // No list is older than twice its lag.
    const old = now - this.settings.cloud.listLagMs * RELEASED_LIST_LAGS;
    for (const [id, at] of this.releasedAt) if (at < old) this.releasedAt.delete(id);
  }

  release(machine: Machine): void {
    if (machine.isReleasing) return;
    machine.isReleasing = true;
    this.provisioner.release(machine.id);
  }

  /** Gives back machines that are paid for and will not come up, or are out of reach for good. */
  releaseFailed(now: number): void {
    const { machines, bootTimes: bootTimes } = this.fleet;
    // A machine that is given back here is evidence for the others no more: all are judged first.
    const failed = [...machines.values()].filter(
      (machine) =>
        bootTimes.hasFailed(machine, now, machines.values()) || this.isUnreachable(machine, now),
    );
    for (const machine of failed) this.release(machine);
  }

  /**
   * The cloud says that it runs, and its worker has been silent for so long that another would have
   * been up several times over. Where most machines of its zone are silent too, a cut is the likelier
   * reason: they will be of use once it is over.
   */
  private isUnreachable(machine: Machine, now: number): boolean {
    if (machine.cloudState !== 'running' || machine.type === null || machine.placements.size > 0)
      return false;
    const lastSignAt = Math.max(
      machine.lastHeartbeatAt ?? -Infinity,
      machine.cloudRunningSince ?? Infinity,
    );
    if (now - lastSignAt <= machine.type.bootMs * UNREACHABLE_BOOTS) return false;
    let heard = 0;
    let unresponsive = 0;
    for (const other of this.fleet.machines.values()) {
      if (other.zone !== machine.zone || other.cloudState !== 'running') continue;
      if (now - (other.lastHeartbeatAt ?? -Infinity) <= this.settings.workers.leaseMs) heard++;
      else unresponsive++;
    }
    return heard > unresponsive;
  }

  /**
   * Gives back empty machines that were beyond need for a while: the dearest first, then what has
   * idled longest. Machines that hold opportunistic work alone count as spare beside them, and those
   * that can be are drained. Empty ones are not given back in their place: work with a claim would
   * wait for the guests to leave.
   */
  scaleIn(plan: Pick<SchedulingPlan, 'idleMachines' | 'drainableMachines'>, now: number): void {
    const idle = new Set(plan.idleMachines);
    const byType = new Map<string, Machine[]>();
    for (const name of this.machineTypes().keys()) byType.set(name, []);
    for (const machine of this.fleet.machines.values()) {
      const spare = idle.has(machine.id) && machine.type !== null;
      if (spare) byType.get(machine.type!.name)?.push(machine);
      if (!spare || machine.placements.size > 0) machine.idleSince = now;
    }
    for (const [name, machines] of byType) {
      const idleTimeoutMs = this.idleTimeoutMs(this.machineTypes().get(name)!);
      const empty = machines.filter((machine) => machine.placements.size === 0);
      const surplus = this.idleMachines.surplus(name, empty.length, now, idleTimeoutMs);
      const withGuests = this.idleMachines.surplus(
        `${name} with guests`,
        machines.length,
        now,
        idleTimeoutMs,
      );
      empty.sort((a, b) => Number(a.spot) - Number(b.spot) || a.idleSince - b.idleSince);
      for (const machine of empty.slice(0, surplus)) this.release(machine);
      const drained = this.drain(machines, plan.drainableMachines, withGuests - surplus);
      this.idleMachines.recordReleased(name, surplus);
      this.idleMachines.recordReleased(`${name} with guests`, surplus + drained);
    }
  }

  /** Drains up to `most` of these machines; not while others drain, since all of it takes the same room. */
  private drain(machines: Machine[], clearable: readonly string[], maxMachines: number): number {
    if (maxMachines <= 0 || clearable.length === 0) return 0;
    if (
      [...this.fleet.machines.values()].some(
        (machine) => machine.isDraining && !machine.isReleasing,
      )
    )
      return 0;
    const byId = new Map(machines.map((machine) => [machine.id, machine]));
    const drained = clearable.flatMap((id) => byId.get(id) ?? []).slice(0, maxMachines);
    for (const machine of drained) machine.isDraining = true;
    return drained.length;
  }

  /** How long an idle machine is kept. */
  idleTimeoutMs(type: MachineType): number {
    return type.bootMs * this.operatorSettings.fleet.idleBoots * this.tightness(type);
  }

  /**
   * How much longer than a boot a machine is worth keeping: the shorter the aims to begin are
   * against the time it takes to get another machine, the more an idle one is worth.
   */
  private tightness(type: MachineType): number {
    let ratio = 1;
    for (const objective of this.settings.objectives) {
      if (objective.kind !== 'wait' || objective.withinMs === null) continue;
      ratio = Math.max(ratio, type.bootMs / objective.withinMs / 2);
    }
    return ratio * ratio;
  }
}
