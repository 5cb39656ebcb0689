/** Checks that an extension is enabled on every controller before it starts work that all must support. */
import type { Logger } from './log.js';

/** While the result is positive, the controllers are queried in only one of this many calls. */
const STEPS_PER_LOOKUP = 10;

/** Cached check of whether an extension is enabled on every controller. */
export class FeatureWatch {
  private cachedResult = false;
  private callCount = 0;

  constructor(
    private readonly feature: string,
    private readonly log: Logger,
    private readonly queryControllers: (signal: AbortSignal) => Promise<boolean>,
  ) {}

  /**
   * Whether the extension is enabled on every controller. A positive result is cached for a few steps only,
   * since a controller without the extension may join; a negative one is never cached.
   */
  async isEnabledEverywhere(signal: AbortSignal): Promise<boolean> {
    if (this.callCount++ % STEPS_PER_LOOKUP !== 0 && this.cachedResult) return true;
    const wasEnabled = this.cachedResult;
    this.cachedResult = await this.queryControllers(signal);
    if (this.cachedResult === wasEnabled) return this.cachedResult;
    const { feature } = this;
    if (this.cachedResult) this.log.info({ feature }, 'extension enabled on all controllers');
    else this.log.warn({ feature }, 'extension not enabled on all controllers');
    return this.cachedResult;
  }
}
