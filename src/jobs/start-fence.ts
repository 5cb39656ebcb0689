/** Further conditions of transactions that record starts. */

import type { Condition } from '@leverhatch/core/store';

/**
 * What transactions that start work are conditioned on beside the leader key: the record that their
 * starts were planned on. When it has changed they are planned anew.
 */
export interface StartFence {
  condition(): Condition;
  /** A transaction failed on this condition; resolves once the present one is known. */
  conditionFailed(condition: Condition): Promise<void>;
}
