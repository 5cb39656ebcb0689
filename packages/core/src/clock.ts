/** The port to time: a monotonic clock, the time of day, and sleeping. */

/** Time as the rest of the program sees it; tests pass in a simulated one. */
export interface Clock {
  /** Monotonic time in milliseconds; its origin is arbitrary. */
  now(): number;
  /** Time of day in milliseconds since the Unix epoch, accurate to the clock error of the settings. */
  wall(): number;
  /** Resolves after `ms` milliseconds, or as soon as `signal` is aborted; it never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of this process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  sleep: (ms, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const done = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const timer = setTimeout(done, Math.max(0, ms));
      signal?.addEventListener('abort', done);
    }),
};

/**
 * By which fraction two monotonic clocks may drift apart: each is off by up to 0.05 %. Bounds on the clocks
 * of other nodes add it twice.
 */
export const MAX_CLOCK_DRIFT = 0.001;
