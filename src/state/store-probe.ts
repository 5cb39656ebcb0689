import { RequestPriority } from '@leverhatch/core/store';
import type { Clock } from '@leverhatch/core/clock';
import { KEYS } from './keys.js';
import type { Store } from './store.js';

/** How soon a probe that failed is repeated, as a share of the time for which the store may be silent. */
const RETRY_RATIO = 0.25;

/** How much later than it falls due a probe may come: most often another request is answered first. */
const SLACK_RATIO = 0.2;

/**
 * Asks the store something whenever nothing else had an answer from it for `everyMs`, so that this
 * controller knows whether it reaches the store: for health checks, for what it tells its peers, and
 * to learn at once when a store that was out of reach is back. It sleeps until a probe can fall due: a
 * controller has little processor time, and looking every now and then costs some of it for nothing.
 */
export async function probeStore(
  store: Pick<Store, 'lastServedAt' | 'get'>,
  clock: Clock,
  everyMs: number,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const silentMs = clock.now() - store.lastServedAt;
    const dueMs = everyMs * (1 + SLACK_RATIO) - silentMs;
    await clock.sleep(Math.max(everyMs * RETRY_RATIO, dueMs), signal);
    if (signal.aborted || clock.now() - store.lastServedAt < everyMs) continue;
    await store.get(KEYS.leader, RequestPriority.High, signal).catch(() => undefined);
  }
}
