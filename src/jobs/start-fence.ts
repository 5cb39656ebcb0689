import type { Condition } from '@leverhatch/core/store';

/**
 * What transactions that start work are conditioned on beside the leader key: the table that their
 * starts were decided on. When it has changed they are decided anew.
 */
export interface StartFence {
  condition(): Condition;
  /** A transaction failed on this condition; resolves once the present one is known. */
  conditionFailed(condition: Condition): Promise<void>;
}
