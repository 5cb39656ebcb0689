import type { Machine } from './machine.js';
import type { MachineType } from './types.js';

/** After how many boot times a machine is late: it is not counted on, and another takes its place. */
const LATE_BOOTS = 1.8;

/** After how many boot times a late machine is given up without further evidence. */
const DEAD_BOOTS = 3;

/** The same while several machines of its type are late: then the whole cloud boots slowly. */
const DEAD_BOOTS_OF_SLOW_CLOUD = 6;

/** How many late machines of a type tell a slow cloud from a machine that never comes up. */
const LATE_MACHINES_OF_SLOW_CLOUD = 2;

/** The machine of a type that was rented last among those that have come up. */
interface Boot {
  /** Steady time, in milliseconds. */
  rentedAt: number;
  /** From its rental to its first report, in milliseconds. */
  tookMs: number;
}

/**
 * How long machines take to boot, as those that have come up in this term show. Once one that was
 * rented no earlier has come up, a late machine will hardly come at all. Without such evidence it
 * may be the cloud that is slow: if its machines were given back then, none would ever come up.
 */
export class BootTimes {
  private readonly latest = new Map<string, Boot>();

  /** The first report of a machine that was booting has come. */
  cameUp(type: string, rentedAt: number, now: number): void {
    const before = this.latest.get(type);
    if (before && before.rentedAt > rentedAt) return;
    this.latest.set(type, { rentedAt, tookMs: now - rentedAt });
  }

  /** How long a machine of this type should take to boot. */
  expectedMs(type: MachineType): number {
    return Math.max(type.bootMs, this.latest.get(type.name)?.tookMs ?? 0);
  }

  /** It has been booting for longer than usual. */
  late(m: Machine, now: number): boolean {
    return m.booting && m.type !== null && now - m.rentedAt > this.expectedMs(m.type) * LATE_BOOTS;
  }

  /** It is late, and nothing shows yet that others come up sooner. */
  mayStillCome(m: Machine, now: number, machines: Iterable<Machine>): boolean {
    return this.late(m, now) && !this.dead(m, now, machines);
  }

  /** It is paid for and will not come up. */
  dead(m: Machine, now: number, machines: Iterable<Machine>): boolean {
    if (m.type === null || !this.late(m, now)) return false;
    if (this.overtaken(m, m.type)) return true;
    const slow = this.isCloudSlow(m.type, now, machines);
    const patience = slow ? DEAD_BOOTS_OF_SLOW_CLOUD : DEAD_BOOTS;
    return now - m.rentedAt > this.expectedMs(m.type) * patience;
  }

  /** One that was rented no earlier has come up. */
  private overtaken(m: Machine, type: MachineType): boolean {
    return (this.latest.get(type.name)?.rentedAt ?? -Infinity) >= m.rentedAt;
  }

  private isCloudSlow(type: MachineType, now: number, machines: Iterable<Machine>): boolean {
    let count = 0;
    for (const m of machines) {
      if (m.type?.name !== type.name || m.returning || !this.late(m, now)) continue;
      if (!this.overtaken(m, type)) count++;
    }
    return count >= LATE_MACHINES_OF_SLOW_CLOUD;
  }
}
