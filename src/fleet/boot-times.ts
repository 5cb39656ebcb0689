/** Observed boot times of machines, and detection of machines whose boot is late or has failed. */
import type { MachineType } from './resources.js';

/**
 * Multiple of the expected boot time after which a machine is late: it no longer counts as expected
 * capacity and may be replaced.
 */
const LATE_BOOT_FACTOR = 1.8;

/**
 * Multiple of the expected boot time after which a late machine has failed, without other evidence.
 */
const FAILED_BOOT_FACTOR = 3;

/** The same while several machines of the type are late, which indicates that the cloud is slow. */
const SLOW_CLOUD_FAILED_BOOT_FACTOR = 6;

/** Number of late machines of one type that indicates a slow cloud, not a failed machine. */
const SLOW_CLOUD_MIN_LATE_MACHINES = 2;

/** The state of a machine that determines whether its boot is late or has failed. */
interface BootingMachine {
  readonly type: MachineType | null;
  /** Monotonic time in milliseconds. */
  readonly provisionedAt: number;
  /** Whether the cloud reports the machine as booting and no heartbeat has arrived. */
  readonly isBooting: boolean;
  readonly isReleasing: boolean;
}

/** Boot of the most recently provisioned machine of a type that has booted. */
interface ObservedBoot {
  /** Monotonic time in milliseconds. */
  provisionedAt: number;
  /** From provisioning to the first heartbeat, in milliseconds. */
  bootMs: number;
}

/**
 * Boot times observed in this term. A late machine is unlikely to boot once a machine that was
 * provisioned at the same time or later has booted. Without such evidence the whole cloud may be
 * slow; if late machines were then released, none would ever finish booting.
 */
export class BootTimes {
  private readonly latestBoots = new Map<string, ObservedBoot>();

  /**
   * Records the boot of a machine whose first heartbeat has arrived; times are monotonic, in
   * milliseconds.
   */
  recordBoot(type: string, provisionedAt: number, now: number): void {
    const previous = this.latestBoots.get(type);
    if (previous && previous.provisionedAt > provisionedAt) return;
    this.latestBoots.set(type, { provisionedAt, bootMs: now - provisionedAt });
  }

  /** Expected boot time of a machine type: the larger of the nominal and the last observed one. */
  expectedMs(type: MachineType): number {
    return Math.max(type.bootMs, this.latestBoots.get(type.name)?.bootMs ?? 0);
  }

  /** Whether the machine has been booting for much longer than expected. */
  isLate(machine: BootingMachine, now: number): boolean {
    return (
      machine.isBooting &&
      machine.type !== null &&
      now - machine.provisionedAt > this.expectedMs(machine.type) * LATE_BOOT_FACTOR
    );
  }

  /** Whether the machine is late, but there is no evidence yet that it has failed. */
  mayStillBoot(machine: BootingMachine, now: number, machines: Iterable<BootingMachine>): boolean {
    return this.isLate(machine, now) && !this.hasFailed(machine, now, machines);
  }

  /** Whether the boot has failed: the machine is unlikely to come up but still costs money. */
  hasFailed(machine: BootingMachine, now: number, machines: Iterable<BootingMachine>): boolean {
    if (machine.type === null || !this.isLate(machine, now)) return false;
    if (this.hasLaterMachineBooted(machine, machine.type)) return true;
    const isCloudSlow = this.isCloudSlow(machine.type, now, machines);
    const factor = isCloudSlow ? SLOW_CLOUD_FAILED_BOOT_FACTOR : FAILED_BOOT_FACTOR;
    return now - machine.provisionedAt > this.expectedMs(machine.type) * factor;
  }

  /** Whether a machine that was provisioned at the same time or later has booted. */
  private hasLaterMachineBooted(machine: BootingMachine, type: MachineType): boolean {
    return (this.latestBoots.get(type.name)?.provisionedAt ?? -Infinity) >= machine.provisionedAt;
  }

  private isCloudSlow(type: MachineType, now: number, machines: Iterable<BootingMachine>): boolean {
    let count = 0;
    for (const machine of machines) {
      if (machine.type?.name !== type.name || machine.isReleasing || !this.isLate(machine, now))
        continue;
      if (!this.hasLaterMachineBooted(machine, type) && ++count >= SLOW_CLOUD_MIN_LATE_MACHINES)
        return true;
    }
    return false;
  }
}
