import type { Machine } from '../../fleet/machine.js';
import type { Logger } from '@leverhatch/core/log';

/** A machine that has not reported for this share of the workers' lease counts as silent. */
const UNRESPONSIVE_LEASE_RATIO = 1 / 3;

/** How many machines a log line names at most. */
const MAX_LOGGED_MACHINES = 8;

type Stage = 'reporting' | 'silent' | 'expired';

/**
 * Logs which machines stop reporting, which report again, and on which a lease has run out so that
 * what was on them is given up. One line for all machines that change at once: a rack that hangs or
 * is cut off shows as one event. It decides nothing.
 */
export class MachineLivenessLog {
  private readonly stages = new Map<string, Stage>();

  /**
   * @param leaseMs the workers' lease
   * @param isLeaseExpired whether a silent machine's lease has run out for certain
   */
  constructor(
    private readonly log: Logger,
    private readonly leaseMs: number,
    private readonly isLeaseExpired: (machine: Machine, now: number) => boolean,
  ) {}

  /** To be called before the starts on machines with expired leases are given up. */
  observe(machines: ReadonlyMap<string, Machine>, now: number): void {
    const fellSilent: Machine[] = [];
    const expired: Machine[] = [];
    const backAgain: Machine[] = [];
    for (const machine of machines.values()) {
      const before = this.stages.get(machine.id) ?? 'reporting';
      const stage = this.stageOf(machine, before, now);
      this.stages.set(machine.id, stage);
      if (stage === before) continue;
      if (stage === 'silent') fellSilent.push(machine);
      else if (stage === 'expired') expired.push(machine);
      else backAgain.push(machine);
    }
    for (const id of this.stages.keys()) if (!machines.has(id)) this.stages.delete(id);
    if (fellSilent.length > 0) this.log.info(summary(fellSilent), 'machines fell silent');
    if (expired.length > 0) this.log.warn(summary(expired), 'leases of silent machines ran out');
    if (backAgain.length > 0) this.log.info(summary(backAgain), 'machines report again');
  }

  private stageOf(machine: Machine, before: Stage, now: number): Stage {
    if (machine.isReleasing) return before;
    const silentMs = now - (machine.lastHeartbeatAt ?? now);
    const reporting =
      machine.lastHeartbeatAt !== null && silentMs <= this.leaseMs * UNRESPONSIVE_LEASE_RATIO;
    if (reporting) return 'reporting';
    const occupied = machine.placements.size > 0;
    if (before === 'expired' || (occupied && this.isLeaseExpired(machine, now))) return 'expired';
    // Not heard in this term: it may still be on its way to this leader.
    return machine.lastHeartbeatAt === null ? before : 'silent';
  }
}

interface Summary {
  count: number;
  machines: string[];
  tasks: number;
}

function summary(machines: Machine[]): Summary {
  return {
    count: machines.length,
    machines: machines.slice(0, MAX_LOGGED_MACHINES).map((machine) => machine.id),
    tasks: machines.reduce((sum, machine) => sum + machine.placements.size, 0),
  };
}
