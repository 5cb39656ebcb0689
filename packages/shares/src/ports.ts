/** The ports of this package: everything of the controller that quota transfers need. */
import type { RecordPorts } from '@leverhatch/core/fenced-records';
import type { Amounts } from './amounts.js';
import type { DrainCandidate } from './preemption-choice.js';
import type { TeamQuota } from './quota-table.js';

/** What every controller provides, leading or not. */
export interface QuotaTransferPorts extends RecordPorts {
  /** The quotas of the settings, by team. */
  base: ReadonlyMap<string, TeamQuota>;
  /** By how many milliseconds the time of day may be wrong. */
  clockErrorMs: number;
  /** How many puts and deletes a transaction may hold now. */
  maxTransactionChanges(): number;
  /** Whether the extension is enabled on every controller, as the store says now. */
  isEnabledOnAllControllers(signal: AbortSignal): Promise<boolean>;
}

/** What the leader knows of the teams' work. */
export interface SchedulerPort {
  /** Recorded occupancy by team: what may run on machines counts until it is proven gone. */
  used(): ReadonlyMap<string, Amounts>;
  /** The requests of each team's tasks that could start and have not, for whatever reason. */
  waiting(): ReadonlyMap<string, Amounts>;
  /** Withdraws starts that were planned and never sent, until the teams are within these limits. */
  withdrawStarts(limits: ReadonlyMap<string, TeamQuota>): void;
  /** The quotas have changed: requests a scheduling cycle. */
  onQuotasChanged(): void;
  /** The tasks of a team that could be preempted, for a preview. */
  candidates(team: string): DrainCandidate[];
}
