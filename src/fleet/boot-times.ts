import type { Machine } from './machine.js';
import type { MachineType } from './resources.js';

/** After how many boot times a machine is late: it is not counted on, and another takes its place. */
const LATE_BOOTS = 1.8;

/** After how many boot times a late machine is given up without further evidence. */
const FAILED_BOOTS = 3;

/** The same while several machines of its type are late: then the whole cloud boots slowly. */
const SLOW_CLOUD_FAILED_BOOTS = 6;

/** How many late machines of a type tell a slow cloud from a machine that never comes up. */
const SLOW_CLOUD_LATE_MACHINES = 2;

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
  recordBoot(type: string, rentedAt: number, now: number): void {
    const before = this.latest.get(type);
    if (before && before.rentedAt > rentedAt) return;
    this.latest.set(type, { rentedAt, tookMs: now - rentedAt });
  }

  /** How long a machine of this type should take to boot. */
  expectedMs(type: MachineType): number {
    return Math.max(type.bootMs, this.latest.get(type.name)?.tookMs ?? 0);
  }

  /** It has been booting for longer than usual. */
  isLate(machine: Machine, now: number): boolean {
    return (
      machine.isBooting &&
      machine.type !== null &&
      now - machine.provisionedAt > this.expectedMs(machine.type) * LATE_BOOTS
    );
  }

  /** It is late, and nothing shows yet that others come up sooner. */
  mayStillBoot(machine: Machine, now: number, machines: Iterable<Machine>): boolean {
    return this.isLate(machine, now) && !this.hasFailed(machine, now, machines);
  }

  /** It is paid for and will not come up. */
  hasFailed(machine: Machine, now: number, machines: Iterable<Machine>): boolean {
    if (machine.type === null || !this.isLate(machine, now)) return false;
    if (this.isOvertaken(machine, machine.type)) return true;
    const slow = this.isCloudSlow(machine.type, now, machines);
    const patience = slow ? SLOW_CLOUD_FAILED_BOOTS : FAILED_BOOTS;
    return now - machine.provisionedAt > this.expectedMs(machine.type) * patience;
  }

  /** One that was rented no earlier has come up. */
  private isOvertaken(machine: Machine, type: MachineType): boolean {
    return (this.latest.get(type.name)?.rentedAt ?? -Infinity) >= machine.provisionedAt;
  }

  private isCloudSlow(type: MachineType, now: number, machines: Iterable<Machine>): boolean {
    let count = 0;
    for (const machine of machines) {
      if (machine.type?.name !== type.name || machine.isReleasing || !this.isLate(machine, now))
        continue;
      if (!this.isOvertaken(machine, type) && ++count >= SLOW_CLOUD_LATE_MACHINES) return true;
    }
    return false;
  }
}
