/** How long machines take to boot, and which of them are late or have failed to. */
import type { MachineType } from './resources.js';

/** Boot times after which a machine is late: it is no longer counted on and may be replaced. */
const LATE_BOOTS = 1.8;

/** Boot times after which a late machine is given up without further evidence. */
const FAILED_BOOTS = 3;

/** The same while several machines of its type are late: then the whole cloud boots slowly. */
const SLOW_CLOUD_FAILED_BOOTS = 6;

/** Late machines of one type that indicate a slow cloud rather than a machine that never comes up. */
const SLOW_CLOUD_LATE_MACHINES = 2;

/** What a boot is judged by. */
interface BootingMachine {
  readonly type: MachineType | null;
  /** Monotonic time in milliseconds. */
  readonly provisionedAt: number;
  /** The cloud reports it as booting, and its worker has not sent a heartbeat. */
  readonly isBooting: boolean;
  readonly isReleasing: boolean;
}

/** The most recently provisioned machine of a type among those that have come up. */
interface Boot {
  /** Monotonic time in milliseconds. */
  provisionedAt: number;
  /** From provisioning to the first heartbeat, in milliseconds. */
  bootMs: number;
}

/**
 * Boot times observed in this term. Once a machine provisioned no earlier has come up, a late one is
 * unlikely to come up at all. Without such evidence the whole cloud may be slow: releasing its late
 * machines would then mean that none ever comes up.
 */
export class BootTimes {
  private readonly latest = new Map<string, Boot>();

  /** The first heartbeat of a booting machine has arrived; times are monotonic milliseconds. */
  recordBoot(type: string, provisionedAt: number, now: number): void {
    const before = this.latest.get(type);
    if (before && before.provisionedAt > provisionedAt) return;
    this.latest.set(type, { provisionedAt, bootMs: now - provisionedAt });
  }

  /** How long a machine of this type should take to boot. */
  expectedMs(type: MachineType): number {
    return Math.max(type.bootMs, this.latest.get(type.name)?.bootMs ?? 0);
  }

  /** The machine has been booting for longer than expected. */
  isLate(machine: BootingMachine, now: number): boolean {
    return (
      machine.isBooting &&
      machine.type !== null &&
      now - machine.provisionedAt > this.expectedMs(machine.type) * LATE_BOOTS
    );
  }

  /** The machine is late, and there is no evidence yet that it has failed. */
  mayStillBoot(machine: BootingMachine, now: number, machines: Iterable<BootingMachine>): boolean {
    return this.isLate(machine, now) && !this.hasFailed(machine, now, machines);
  }

  /** The machine is paid for and will not come up. */
  hasFailed(machine: BootingMachine, now: number, machines: Iterable<BootingMachine>): boolean {
    if (machine.type === null || !this.isLate(machine, now)) return false;
    if (this.isOvertaken(machine, machine.type)) return true;
    const isSlow = this.isCloudSlow(machine.type, now, machines);
    const maxBoots = isSlow ? SLOW_CLOUD_FAILED_BOOTS : FAILED_BOOTS;
    return now - machine.provisionedAt > this.expectedMs(machine.type) * maxBoots;
  }

  /** A machine provisioned no earlier has come up. */
  private isOvertaken(machine: BootingMachine, type: MachineType): boolean {
    return (this.latest.get(type.name)?.provisionedAt ?? -Infinity) >= machine.provisionedAt;
  }

  private isCloudSlow(type: MachineType, now: number, machines: Iterable<BootingMachine>): boolean {
    let count = 0;
    for (const machine of machines) {
      if (machine.type?.name !== type.name || machine.isReleasing || !this.isLate(machine, now))
        continue;
      if (!this.isOvertaken(machine, type) && ++count >= SLOW_CLOUD_LATE_MACHINES) return true;
    }
    return false;
  }
}
