/** What the service passes in: everything outside this package that moving shares needs. */
import type { RecordPorts } from '@leverhatch/core/fenced-records';
import type { Amounts } from './amounts.js';
import type { DrainCandidate } from './preemption-choice.js';
import type { TeamQuota } from './quota-table.js';

/** What is the same at every controller, leading or not. */
export interface QuotaTransferPorts extends RecordPorts {
  /** Guarantees and limits as the settings give them. */
  base: ReadonlyMap<string, TeamQuota>;
  /** By how much the time of day may be wrong. */
  clockErrorMs: number;
  /** How many puts and deletes one transaction may hold now. */
  maxTransactionChanges(): number;
  /** Whether every controller knows the share table, as the store says now. */
  isEnabledOnAllControllers(signal: AbortSignal): Promise<boolean>;
}

/** What a leader knows of the work of the teams. */
export interface SchedulerPort {
  /** Recorded occupancy by team: what may be on machines counts until it is proven gone. */
  used(): ReadonlyMap<string, Amounts>;
  /** What could start of each team and has not, for whatever reason. */
  waiting(): ReadonlyMap<string, Amounts>;
  /** Takes back starts that were planned and never sent, until the teams are within these limits. */
  withdrawStarts(limits: ReadonlyMap<string, TeamQuota>): void;
  /** The table has changed: a round of decisions should look at it. */
  onQuotasChanged(): void;
  /** What of a team could be stopped, for a preview. */
  candidates(team: string): DrainCandidate[];
}
