/** Whether an extension may begin something that every controller has to know of. */
import type { Logger } from './log.js';

/** After how many steps a positive answer is looked up again. */
const STEPS_PER_LOOKUP = 10;

/** Whether every controller has an extension enabled, as it was last looked up. */
export class FeatureWatch {
  private cachedResult = false;
  private queryCount = 0;

  constructor(
    private readonly feature: string,
    private readonly log: Logger,
    private readonly queryControllers: (signal: AbortSignal) => Promise<boolean>,
  ) {}

  /** A positive answer is kept for a few steps only: a controller without the extension may join. */
  async isEnabledEverywhere(signal: AbortSignal): Promise<boolean> {
    if (this.queryCount++ % STEPS_PER_LOOKUP !== 0 && this.cachedResult) return true;
    const wasEnabled = this.cachedResult;
    this.cachedResult = await this.queryControllers(signal);
    if (this.cachedResult === wasEnabled) return this.cachedResult;
    const { feature } = this;
    if (this.cachedResult) this.log.info({ feature }, 'extension enabled on all controllers');
    else this.log.warn({ feature }, 'extension not enabled on all controllers');
    return this.cachedResult;
  }
}
