/** The clock interface: monotonic time, time of day, and sleeping. */

/** Source of time for the whole program; tests inject a simulated clock. */
export interface Clock {
  /** Monotonic time in milliseconds; its origin is arbitrary. */
  now(): number;
  /** Time of day in milliseconds since the Unix epoch, accurate to within the configured clock error. */
  wall(): number;
  /** Resolves after `ms` milliseconds, or as soon as `signal` is aborted; it never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The system clock. */
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
 * Maximum relative drift between two monotonic clocks: each is off by up to 0.05 %, and the two errors add
 * up. Durations that two nodes measure independently are extended or reduced by this fraction.
 */
export const MAX_CLOCK_DRIFT = 0.001;
