/** Logging of machines that become unresponsive, recover, or lose their leases. */
import type { Machine } from '../../fleet/machine.js';
import type { Logger } from '@leverhatch/core/log';

/** A machine without a heartbeat for this fraction of the workers' lease counts as unresponsive. */
const UNRESPONSIVE_LEASE_RATIO = 1 / 3;

/** Maximum number of machines named in one log line. */
const MAX_LOGGED_MACHINES = 8;

type Liveness = 'responsive' | 'unresponsive' | 'expired';

/**
 * Logs which machines become unresponsive, which are responsive again, and which leases expire with
 * placements on them. Machines that change together share one line, so that a rack that hangs or is
 * partitioned is logged as one event. It only logs and affects no decision.
 */
export class MachineLivenessLog {
  private readonly states = new Map<string, Liveness>();

  /**
   * @param leaseMs the workers' lease in milliseconds
   * @param isLeaseExpired whether the lease of an unresponsive machine has certainly expired
   */
  constructor(
    private readonly log: Logger,
    private readonly leaseMs: number,
    private readonly isLeaseExpired: (machine: Machine, now: number) => boolean,
  ) {}

  /** Must be called before the placements on machines with expired leases are marked as lost. */
  observe(machines: ReadonlyMap<string, Machine>, now: number): void {
    const changed: Record<Liveness, Machine[]> = { responsive: [], unresponsive: [], expired: [] };
    for (const machine of machines.values()) {
      const before = this.states.get(machine.id) ?? 'responsive';
      const state = this.livenessOf(machine, before, now);
      this.states.set(machine.id, state);
      if (state !== before) changed[state].push(machine);
    }
    for (const id of this.states.keys()) if (!machines.has(id)) this.states.delete(id);
    const { responsive, unresponsive, expired } = changed;
    if (unresponsive.length > 0) this.log.info(summary(unresponsive), 'machines unresponsive');
    if (expired.length > 0)
      this.log.warn(summary(expired), 'leases of unresponsive machines expired');
    if (responsive.length > 0) this.log.info(summary(responsive), 'machines responsive again');
  }

  private livenessOf(machine: Machine, before: Liveness, now: number): Liveness {
    const { lastHeartbeatAt } = machine;
    if (machine.isReleasing) return before;
    if (
      lastHeartbeatAt !== null &&
      now - lastHeartbeatAt <= this.leaseMs * UNRESPONSIVE_LEASE_RATIO
    )
      return 'responsive';
    const hasPlacements = machine.placements.size > 0;
    if (before === 'expired' || (hasPlacements && this.isLeaseExpired(machine, now)))
      return 'expired';
    // No heartbeat in this term: its worker may still be searching for this leader.
    return lastHeartbeatAt === null ? before : 'unresponsive';
  }
}

/** Fields of a log line on several machines. */
interface Summary {
  count: number;
  /** Ids of the first `MAX_LOGGED_MACHINES` of them. */
  machines: string[];
  /** Number of placements on all of them. */
  tasks: number;
}

function summary(machines: Machine[]): Summary {
  return {
    count: machines.length,
    machines: machines.slice(0, MAX_LOGGED_MACHINES).map((machine) => machine.id),
    tasks: machines.reduce((sum, machine) => sum + machine.placements.size, 0),
  };
}
