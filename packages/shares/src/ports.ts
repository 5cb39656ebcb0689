/** The interfaces through which quota transfers use the controller. */
import type { RecordPorts } from '@leverhatch/core/fenced-records';
import type { Amounts } from './amounts.js';
import type { DrainCandidate } from './preemption-choice.js';
import type { TeamQuota } from './quota-table.js';

/** Dependencies that every controller provides, whether or not it is the leader. */
export interface QuotaTransferPorts extends RecordPorts {
  /** Configured quotas by team. */
  base: ReadonlyMap<string, TeamQuota>;
  /** Maximum error of the time of day in milliseconds. */
  clockErrorMs: number;
  /** Current maximum number of puts and deletes in a transaction. */
  maxTransactionChanges(): number;
  /** Whether the extension is currently enabled on every controller, according to the store. */
  isEnabledOnAllControllers(signal: AbortSignal): Promise<boolean>;
}

/** The leader's view of the teams' running and waiting tasks. */
export interface SchedulerPort {
  /** Recorded occupancy by team: a task that may be on a machine counts until it is proven gone. */
  used(): ReadonlyMap<string, Amounts>;
  /** Total resource requests by team of tasks that are ready to start but have not started, for any reason. */
  waiting(): ReadonlyMap<string, Amounts>;
  /** Withdraws planned starts that were never sent until the teams are within these limits. */
  withdrawStarts(limits: ReadonlyMap<string, TeamQuota>): void;
  /** Requests a scheduling cycle after the quotas have changed. */
  onQuotasChanged(): void;
  /** The preemptible tasks of a team, for a preview. */
  drainCandidates(team: string): DrainCandidate[];
}
