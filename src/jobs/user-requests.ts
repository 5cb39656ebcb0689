import { NoAnswer } from '../http/client.js';
import type { Change, Condition, Store } from '../state/store.js';

/** More writes wait for the store's rate than a user should wait for. */
export class Overloaded extends Error {
  constructor(readonly delayMs: number) {
    super(`the queue of writes is ${Math.round(delayMs)} ms long`);
  }
}

/**
 * A user's request to the store. A refusal, for an outage or for the rate, is passed on at once: the
 * user is told when to come back instead of being held. A lost answer leaves open what became of the
 * request; the same request once more tells, or carries it out.
 */
export async function onceMore<T>(signal: AbortSignal, request: () => Promise<T>): Promise<T> {
  try {
    return await request();
  } catch (error) {
    signal.throwIfAborted();
    if (!(error instanceof NoAnswer)) throw error;
    return request();
  }
}

/** Writes a user's transaction, unless more writes wait than the user should wait for. */
export function commitForUser(
  store: Store,
  mostDelayMs: number,
  when: Condition[],
  then: Change[],
  signal: AbortSignal,
): ReturnType<Store['txn']> {
  const delayMs = store.writeDelayMs(then.length, 0);
  if (delayMs > mostDelayMs) return Promise.reject(new Overloaded(delayMs));
  return onceMore(signal, () => store.txn(when, then, 0, signal));
}
