/** What the service passes in: everything outside this package that moving shares needs. */
import type { Clock } from '@leverhatch/core/clock';
import type { Logger } from '@leverhatch/core/log';
import type { Condition, StorePort } from '@leverhatch/core/store';
import type { Random } from '@leverhatch/core/random';
import type { Amounts } from './amounts.js';
import type { DrainCandidate } from './drain.js';
import type { TeamShare } from './table.js';

/** What is the same at every controller, leading or not. */
export interface SharePorts {
  store: StorePort;
  clock: Clock;
  random: Random;
  log: Logger;
  /** Guarantees and limits as the settings give them. */
  base: ReadonlyMap<string, TeamShare>;
  /** By how much the time of day may be wrong. */
  clockErrorMs: number;
  /** How often a leader looks whether a move can go on. */
  stepMs: number;
  /** How many puts and deletes one transaction may hold now. */
  transactionChanges(): number;
  /** Whether every controller knows the share table, as the store says now. */
  allControllersKnowShares(signal: AbortSignal): Promise<boolean>;
}

/** A term of office, as far as writes need it. */
export interface TermPort {
  /** Marks this term's writes. */
  id: string;
  signal: AbortSignal;
  /** What every write of the leader is conditioned on. */
  leaderCondition(): Condition;
  /** Whether the right to lead holds now by the store's lease. */
  leased(): boolean;
  /** Somebody else leads. */
  end(): void;
}

/** What a leader knows of the work of the teams. */
export interface SchedulerPort {
  /** Recorded occupancy by team: what may be on machines counts until it is proven gone. */
  used(): ReadonlyMap<string, Amounts>;
  /** What could start of each team and has not, for whatever reason. */
  waiting(): ReadonlyMap<string, Amounts>;
  /** Takes back starts that were planned and never sent, until the teams are within these limits. */
  withdrawStarts(limits: ReadonlyMap<string, TeamShare>): void;
  /** The table has changed: a round of decisions should look at it. */
  changed(): void;
  /** What of a team could be stopped, for a preview. */
  candidates(team: string): DrainCandidate[];
}
