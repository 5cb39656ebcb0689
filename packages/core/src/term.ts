/** The interface to a leader's term. */
import type { Condition } from './store.js';

/** The period in which one controller is leader, as seen by the writes of an extension. */
export interface TermPort {
  /** Prefix of this term's write ids. */
  id: string;
  /** Aborted when the term ends. */
  signal: AbortSignal;
  /** Condition of every write of the leader: it still holds leadership. */
  leaderCondition(): Condition;
  /** Whether the leader lease is valid now. */
  holdsLease(): boolean;
  /** Ends the term because another controller has become leader. */
  end(): void;
}
