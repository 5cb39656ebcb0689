import { NoAnswer } from '../http/client.js';
import type { Runtime } from '../runtime/duty.js';
import { jitter } from '../runtime/random.js';
import { Refused } from './store.js';

/** How long to wait between two tries: the first wait and the longest, in milliseconds. */
export interface RetryWaits {
  firstMs: number;
  mostMs: number;
}

/** Whether a request got no answer, or was refused for the rate alone. */
export const isWorthAnotherTry = (error: unknown): boolean =>
  error instanceof NoAnswer || (error instanceof Refused && error.status === 429);

/**
 * Repeats a request of a user's node to the store until it is answered or `signal` is aborted. Only
 * a refusal for the rate and a lost answer are worth another try; a refusal for an outage is thrown
 * at once, so that the user can be told when to come back.
 */
export async function retryWhileServed<T>(
  runtime: Runtime,
  waits: RetryWaits,
  signal: AbortSignal,
  request: () => Promise<T>,
): Promise<T> {
  const { clock, random } = runtime;
  let waitMs = waits.firstMs;
  for (;;) {
    try {
      return await request();
    } catch (error) {
      signal.throwIfAborted();
      if (!isWorthAnotherTry(error)) throw error;
    }
    await clock.sleep(jitter(waitMs, random), signal);
    waitMs = Math.min(waitMs * 2, waits.mostMs);
  }
}
