import type { Condition } from './store.js';

/** A term of office, as far as the writes of a part need it. */
export interface TermPort {
  /** Marks this term's writes. */
  id: string;
  signal: AbortSignal;
  /** What every write of the leader is conditioned on. */
  leaderCondition(): Condition;
  /** Whether the right to lead holds now by the store's lease. */
  holdsLease(): boolean;
  /** Somebody else leads. */
  end(): void;
}
