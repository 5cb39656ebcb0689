import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import type { Rentals } from '../fleet/rentals.js';
import type { MachineType } from '../fleet/types.js';
import { Spares } from '../scheduler/spares.js';
import type { Settings } from '../settings/deploy.js';
import type { Operator } from '../settings/operator.js';
import type { Plan } from '../scheduler/model.js';
import type { Listed } from '../wire/cloud.js';

/** For how many times the list's lag a machine that went back is not believed to be there again. */
const GONE_LAGS = 6;

/** After how many boot times of silence a machine that runs and holds nothing goes back. */
const SILENT_BOOTS = 3;

/** Which machines there are, as the cloud lists them, and which of them go back. */
export class MachineReconciler {
  private spares: Spares;
  /** Machines that went back, and when: the list lags, and shows them as running for a while. */
  private readonly wentBack = new Map<string, number>();

  constructor(
    private readonly fleet: Fleet,
    private readonly rentals: Rentals,
    private readonly settings: Settings,
    private readonly operator: Operator,
    private readonly types: () => ReadonlyMap<string, MachineType>,
    private readonly termStartedAt: number,
  ) {
    this.spares = new Spares(termStartedAt, false);
  }

  /** The records of an earlier leader are read; `before`: there were any. */
  recovered(before: boolean): void {
    this.spares = new Spares(this.termStartedAt, before);
  }

  listed(listed: Listed[], now: number): void {
    const names = new Set<string>();
    for (const l of listed) {
      names.add(l.id);
      // Taken for new, they would be counted on for what waits, and nothing rented for it.
      if (this.wentBack.has(l.id)) continue;
      const known = this.fleet.machines.get(l.id);
      const m = known ?? this.fleet.machine(l.id, now);
      if (!known) {
        m.rentedAt = now - l.ageMs;
        m.zone = l.zone;
        m.spot = l.spot;
      }
      m.type ??= this.types().get(l.type) ?? null;
      m.listedState = l.state;
      if (l.state === 'running') m.runningAt ??= now;
      m.missedLists = 0;
      if (l.state === 'failed') {
        // The cloud says it has stopped: nothing is on it any more.
        for (const p of [...m.placements.values()]) this.fleet.withdraw(p);
        m.returning = true;
        this.rentals.giveBack(l.id);
      }
    }
    for (const m of [...this.fleet.machines.values()]) {
      if (names.has(m.id)) continue;
      m.missedLists++;
      // Absence from a list proves nothing; only what is silent as well is given up.
      const silent = now > this.fleet.silentFrom(m);
      if (m.missedLists >= 3 && silent && m.placements.size === 0) this.fleet.gone(m.id);
    }
  }

  /** The cloud has confirmed that these machines are gone, and all that was on them. */
  returned(ids: string[], now: number): void {
    for (const id of ids) {
      this.fleet.returnConfirmed(id);
      this.wentBack.set(id, now);
    }
    // No list is older than twice its lag.
    const old = now - this.settings.cloud.listLagMs * GONE_LAGS;
    for (const [id, at] of this.wentBack) if (at < old) this.wentBack.delete(id);
  }

  giveBack(m: Machine): void {
    if (m.returning) return;
    m.returning = true;
    this.rentals.giveBack(m.id);
  }

  /** Gives back machines that are paid for and will not come up, or are out of reach for good. */
  giveUpDead(now: number): void {
    const { machines, boots } = this.fleet;
    // A machine that is given back here is evidence for the others no more: all are judged first.
    const dead = [...machines.values()].filter(
      (m) => boots.dead(m, now, machines.values()) || this.outOfReach(m, now),
    );
    for (const m of dead) this.giveBack(m);
  }

  /**
   * The cloud says that it runs, and its worker has been silent for so long that another would have
   * been up several times over. Where most machines of its zone are silent too, a cut is the likelier
   * reason: they will be of use once it is over.
   */
  private outOfReach(m: Machine, now: number): boolean {
    if (m.listedState !== 'running' || m.type === null || m.placements.size > 0) return false;
    const lastSignAt = Math.max(m.heardAt ?? -Infinity, m.runningAt ?? Infinity);
    if (now - lastSignAt <= m.type.bootMs * SILENT_BOOTS) return false;
    let heard = 0;
    let silent = 0;
    for (const other of this.fleet.machines.values()) {
      if (other.zone !== m.zone || other.listedState !== 'running') continue;
      if (now - (other.heardAt ?? -Infinity) <= this.settings.workers.leaseMs) heard++;
      else silent++;
    }
    return heard > silent;
  }

  /**
   * Gives back empty machines that were beyond need for a while: the dearest first, then what has
   * idled longest. Machines that hold opportunistic work alone count as spare beside them, and those
   * that can be are drained. Empty ones are not given back in their place: work with a claim would
   * wait for the guests to leave.
   */
  giveBackSurplus(plan: Pick<Plan, 'spare' | 'clearable'>, now: number): void {
    const idle = new Set(plan.spare);
    const byType = new Map<string, Machine[]>();
    for (const name of this.types().keys()) byType.set(name, []);
    for (const m of this.fleet.machines.values()) {
      const spare = idle.has(m.id) && m.type !== null;
      if (spare) byType.get(m.type!.name)?.push(m);
      if (!spare || m.placements.size > 0) m.idleSince = now;
    }
    for (const [name, machines] of byType) {
      const keepMs = this.keepMs(this.types().get(name)!);
      const empty = machines.filter((m) => m.placements.size === 0);
      const surplus = this.spares.surplus(name, empty.length, now, keepMs);
      const withGuests = this.spares.surplus(`${name} with guests`, machines.length, now, keepMs);
      empty.sort((a, b) => Number(a.spot) - Number(b.spot) || a.idleSince - b.idleSince);
      for (const m of empty.slice(0, surplus)) this.giveBack(m);
      const drained = this.drain(machines, plan.clearable, withGuests - surplus);
      this.spares.returned(name, surplus);
      this.spares.returned(`${name} with guests`, surplus + drained);
    }
  }

  /** Drains up to `most` of these machines; not while others drain, since all of it takes the same room. */
  private drain(machines: Machine[], clearable: readonly string[], most: number): number {
    if (most <= 0 || clearable.length === 0) return 0;
    if ([...this.fleet.machines.values()].some((m) => m.draining && !m.returning)) return 0;
    const byId = new Map(machines.map((m) => [m.id, m]));
    const drained = clearable.flatMap((id) => byId.get(id) ?? []).slice(0, most);
    for (const m of drained) m.draining = true;
    return drained.length;
  }

  /** How long an idle machine is kept. */
  keepMs(type: MachineType): number {
    return type.bootMs * this.operator.fleet.idleBoots * this.tightness(type);
  }

  /**
   * How much longer than a boot a machine is worth keeping: the shorter the aims to begin are
   * against the time it takes to get another machine, the more an idle one is worth.
   */
  private tightness(type: MachineType): number {
    let ratio = 1;
    for (const o of this.settings.objectives) {
      if (o.kind !== 'wait' || o.withinMs === null) continue;
      ratio = Math.max(ratio, type.bootMs / o.withinMs / 2);
    }
    return ratio * ratio;
  }
}
