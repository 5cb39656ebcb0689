/** Store requests on behalf of users: hedged and bounded by timeouts. */

import { RequestPriority } from '@leverhatch/core/store';
import { NoResponseError } from '../http/client.js';
import type { Clock } from '@leverhatch/core/clock';
import type { Change, Condition, Store } from '../state/store.js';

/** Fraction of the query timeout after which a request without a response is sent again. */
export const HEDGE_RATIO = 0.25;

/** The queue for the store's rate limit is longer than a user request may wait. */
export class OverloadedError extends Error {
  constructor(readonly delayMs: number) {
    super(`request would queue for ${Math.round(delayMs)} ms`);
  }
}

/** Timeouts of store requests on behalf of users. */
export interface RequestTimeouts {
  /** How long a transaction may queue for the store's rate limit before it is rejected. */
  maxQueueMs: number;
  /** Time without a response after which a request is sent a second time. */
  hedgeMs: number;
}

/**
 * Hedges a store request on behalf of a user: sends it a second time if there is no response after
 * `hedgeAfterMs`, or if the first attempt ended without one, and uses the first response. After a
 * lost response it is unknown whether a transaction was applied; the second attempt has the same
 * conditions, so it either shows that or applies it. A rejection because of an outage or the rate
 * limit is passed on immediately, so that the user learns when to retry instead of waiting.
 */
export async function hedged<T>(
  clock: Clock,
  hedgeAfterMs: number,
  request: () => Promise<T>,
  signal?: AbortSignal,
): Promise<T> {
  const first = request();
  const timeoutControl = new AbortController();
  const timeout = clock.sleep(hedgeAfterMs, timeoutControl.signal).then(() => TIMED_OUT);
  try {
    const outcome = await Promise.race([first, timeout]);
    if (outcome !== TIMED_OUT) return outcome as T;
  } catch (error) {
    signal?.throwIfAborted();
    if (!(error instanceof NoResponseError)) throw error;
    return request();
  } finally {
    timeoutControl.abort();
  }
  signal?.throwIfAborted();
  return firstSuccess(first, request());
}

const TIMED_OUT = Symbol('timed out');

/** Returns the first success; if both fail, throws the error of `first`. */
async function firstSuccess<T>(first: Promise<T>, second: Promise<T>): Promise<T> {
  try {
    return await Promise.any([first, second]);
  } catch {
    // Both attempts failed: report the error of the first.
    return first;
  }
}

/** Commits a transaction for a user unless the queue of writes is too long. */
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
  // Time in the local queue does not count as time without a response.
  const hedgeAfterMs = timeouts.hedgeMs + delayMs;
  return hedged(
    clock,
    hedgeAfterMs,
    () => store.tryCommit(conditions, changes, RequestPriority.Critical, signal),
    signal,
  );
}
