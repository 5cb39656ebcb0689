/** Regular reads that detect whether the store is reachable. */
import { RequestPriority } from '@leverhatch/core/store';
import type { Clock } from '@leverhatch/core/clock';
import { KEYS } from './keys.js';
import type { Store } from './store.js';

/** How soon a failed probe is repeated, as a fraction of `everyMs`. */
const RETRY_RATIO = 0.25;

/** How late a probe may be, as a fraction of `everyMs`: most often another request makes it needless. */
const SLACK_RATIO = 0.2;

/**
 * Reads from the store whenever no other request was executed for `everyMs` (milliseconds), until
 * `signal` is aborted. Health checks and the status that peers get depend on it, and it detects the end
 * of an outage. It sleeps until a probe can be due, since polling would cost processor time.
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
    // The store's own health record notes the outcome; there is nothing to do about a failure here.
    await store.get(KEYS.leader, RequestPriority.High, signal).catch(() => undefined);
  }
}
