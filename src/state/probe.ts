import type { Clock } from '../runtime/clock.js';
import { KEYS } from './keys.js';
import type { Store } from './store.js';

/** How often it is looked whether the store has answered lately, within the time it may be silent. */
const LOOKS = 4;

/**
 * Asks the store something whenever nothing else had an answer from it for `everyMs`, so that this
 * controller knows whether it reaches the store: for health checks, for what it tells its peers, and
 * to learn at once when a store that was out of reach is back.
 */
export async function probeStore(
  store: Store,
  clock: Clock,
  everyMs: number,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(everyMs / LOOKS, signal);
    if (signal.aborted || clock.now() - store.answeredAt < everyMs) continue;
    await store.get(KEYS.leader, 1, signal).catch(() => undefined);
  }
}
