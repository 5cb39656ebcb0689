/** Store requests on behalf of users: hedged, and bounded by their timeouts. */

import { RequestPriority } from '@leverhatch/core/store';
import { NoResponseError } from '../http/client.js';
import type { Clock } from '@leverhatch/core/clock';
import type { Change, Condition, Store } from '../state/store.js';

/** Fraction of the query timeout after which a request without an answer is sent again. */
export const HEDGE_RATIO = 0.25;

/** More writes wait for the store's rate than a user should wait for. */
export class OverloadedError extends Error {
  constructor(readonly delayMs: number) {
    super(`the queue of writes is ${Math.round(delayMs)} ms long`);
  }
}

/** How long users' requests to the store may take. */
export interface RequestTimeouts {
  /** How long a transaction may queue for the store's rate before its user is sent away. */
  maxQueueMs: number;
  /** After how long without an answer a request is sent a second time. */
  hedgeMs: number;
}

/**
 * A user's request to the store, sent a second time if it has no answer after `afterMs`, or gets
 * none at all; whichever copy is answered first counts. A lost answer leaves open what became of a
 * transaction: the second copy has the same conditions, so that it tells, or carries it out. A
 * rejection, for an outage or for the rate, is passed on at once: the user learns when to come back
 * instead of being held.
 */
export async function hedged<T>(
  clock: Clock,
  afterMs: number,
  request: () => Promise<T>,
  signal?: AbortSignal,
): Promise<T> {
  const first = request();
  const answered = new AbortController();
  const timeout = clock.sleep(afterMs, answered.signal).then(() => LATE);
  try {
    const outcome = await Promise.race([first, timeout]);
    if (outcome !== LATE) return outcome as T;
  } catch (error) {
    signal?.throwIfAborted();
    if (!(error instanceof NoResponseError)) throw error;
    return request();
  } finally {
    answered.abort();
  }
  signal?.throwIfAborted();
  return firstSuccess(first, request());
}

const LATE = Symbol('late');

/** The first success; if both fail, the first failure. */
async function firstSuccess<T>(first: Promise<T>, second: Promise<T>): Promise<T> {
  try {
    return await Promise.any([first, second]);
  } catch {
    // Both copies failed: the caller gets the reason of the first.
    return first;
  }
}

/** Writes a user's transaction, unless more writes wait than the user should wait for. */
export async function commitForUser(
  store: Store,
  clock: Clock,
  timeouts: RequestTimeouts,
  conditions: Condition[],
  changes: Change[],
  signal: AbortSignal,
): ReturnType<Store['tryCommit']> {
  store.assertResponsive();
  const delayMs = store.writeDelayMs(changes.length, RequestPriority.Critical);
  if (delayMs > timeouts.maxQueueMs) throw new OverloadedError(delayMs);
  // What still queues here is not without an answer yet.
  const afterMs = timeouts.hedgeMs + delayMs;
  return hedged(
    clock,
    afterMs,
    () => store.tryCommit(conditions, changes, RequestPriority.Critical, signal),
    signal,
  );
}
