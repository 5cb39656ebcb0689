/** Supervised tasks: long-lived routines that are restarted when they fail. */
import type { Logger } from './log.js';
import type { Clock } from './clock.js';
import { jitter, type Random } from './random.js';

/** Dependencies of every routine of a process: clock, random source and log. */
export interface Runtime {
  clock: Clock;
  random: Random;
  log: Logger;
  /**
   * When this process started, on `clock` in milliseconds. Promises not to campaign for leadership that were made
   * before a restart are assumed to date from here.
   */
  startedAt: number;
}

/**
 * Runs a supervised task until `signal` is aborted. Whenever it ends, it is restarted after a delay; if it
 * threw, because of a bug or a lost peer, the failure is logged first.
 *
 * @param name name of the task in the log
 * @param restartMs delay before a restart in milliseconds, randomized by `jitter`
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
      runtime.log.warn(
        { supervisedTask: name, error: String(error) },
        'supervised task failed, restarting',
      );
    }
    if (!signal.aborted) await runtime.clock.sleep(jitter(restartMs, runtime.random), signal);
  }
}

/**
 * For a supervised task that has nothing left to do: resolves once `signal` is aborted, immediately if it
 * already is. An event listener alone would miss an abort that happened before it was added.
 */
export function untilAborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
