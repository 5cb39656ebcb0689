/** Time as the rest of the program sees it; tests bring their own. */
export interface Clock {
  /** Steady time in milliseconds. */
  now(): number;
  /** Time of day in milliseconds, within the bound that the settings give. */
  wall(): number;
  /** Resolves after `ms`, or as soon as `signal` is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

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

/** Steady clocks drift apart by up to 0.05 % each way; bounds on others' clocks add this twice. */
export const MAX_CLOCK_DRIFT = 0.001;
