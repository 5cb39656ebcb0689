/** Probes the store periodically to detect whether it is available. */
import { RequestPriority } from '@leverhatch/core/store';
import type { Clock } from '@leverhatch/core/clock';
import { KEYS } from './keys.js';
import type { Store } from './store.js';

/** The wait before a failed probe is repeated, as a fraction of `everyMs`. */
const RETRY_RATIO = 0.25;

/**
 * How late a probe may be, as a fraction of `everyMs`; usually another request makes it unnecessary.
 */
const SLACK_RATIO = 0.2;

/**
 * Reads from the store whenever it has executed no other request for `everyMs` milliseconds, until
 * `signal` is aborted. Health checks and the status sent to peers depend on the probes, and they detect
 * the end of an outage. It sleeps until the next probe can be due, since polling costs processor time.
 */
export async function probeStore(
  store: Pick<Store, 'lastServedAt' | 'get'>,
  clock: Clock,
  everyMs: number,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const idleMs = clock.now() - store.lastServedAt;
    const dueMs = everyMs * (1 + SLACK_RATIO) - idleMs;
    await clock.sleep(Math.max(everyMs * RETRY_RATIO, dueMs), signal);
    if (signal.aborted || clock.now() - store.lastServedAt < everyMs) continue;
    // The store client records the outcome in its health state; a failure needs no handling here.
    await store.get(KEYS.leader, RequestPriority.High, signal).catch(() => undefined);
  }
}
