/** The port to a leader's term. */
import type { Condition } from './store.js';

/** The time of one controller as leader, as far as the writes of an extension need it. */
export interface TermPort {
  /** The prefix of this term's write ids. */
  id: string;
  /** Aborted when the term ends. */
  signal: AbortSignal;
  /** What every write of the leader is conditioned on. */
  leaderCondition(): Condition;
  /** Whether the leader lease holds now. */
  holdsLease(): boolean;
  /** Ends the term: another controller leads. */
  end(): void;
}
