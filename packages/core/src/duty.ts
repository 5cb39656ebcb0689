import type { Logger } from './log.js';
import type { Clock } from './clock.js';
import { jitter, type Random } from './random.js';

export interface Runtime {
  clock: Clock;
  random: Random;
  log: Logger;
  /** When this process began, on `clock`; what an earlier one promised is counted from here. */
  startedAt: number;
}

/**
 * Runs a long-lived duty until `signal` is aborted. A duty that throws is a bug or a lost
 * partner: it is logged and started again after a wait.
 */
export async function supervise(
  runtime: Omit<Runtime, 'startedAt'>,
  name: string,
  signal: AbortSignal,
  restartMs: number,
  body: (signal: AbortSignal) => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await body(signal);
    } catch (error) {
      if (signal.aborted) return;
      runtime.log.warn({ duty: name, error: String(error) }, 'duty failed');
    }
    if (!signal.aborted) await runtime.clock.sleep(jitter(restartMs, runtime.random), signal);
  }
}

/**
 * For a duty that has nothing left to do: resolves once `signal` is aborted, at once if it was. A
 * listener alone never hears of an end that came before it.
 */
export function untilAborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
