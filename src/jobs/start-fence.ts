/** Additional conditions for transactions that store starts. */

import type { Condition } from '@leverhatch/core/store';

/**
 * A condition, in addition to the leader key, for transactions that store starts: the version of
 * the record on which the starts were planned. If the record has changed, they are planned again.
 */
export interface StartFence {
  condition(): Condition;
  /** Called when a transaction failed on this condition; resolves once the new one is known. */
  conditionFailed(condition: Condition): Promise<void>;
}
