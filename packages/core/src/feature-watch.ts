/** Whether an extension may begin something that every controller has to know of. */
import type { Logger } from './log.js';

/** After how many steps a positive answer is looked up again. */
const STEPS_PER_LOOKUP = 10;

/** Whether every controller has an extension enabled, as it was last looked up. */
export class FeatureWatch {
  private isEnabled = false;
  private queries = 0;

  constructor(
    private readonly feature: string,
    private readonly log: Logger,
    private readonly lookUp: (signal: AbortSignal) => Promise<boolean>,
  ) {}

  /** A positive answer is kept for a few steps only: a controller without the extension may join. */
  async isEnabledEverywhere(signal: AbortSignal): Promise<boolean> {
    if (this.queries++ % STEPS_PER_LOOKUP !== 0 && this.isEnabled) return true;
    const wasEnabled = this.isEnabled;
    this.isEnabled = await this.lookUp(signal);
    if (this.isEnabled === wasEnabled) return this.isEnabled;
    const { feature } = this;
    if (this.isEnabled) this.log.info({ feature }, 'extension enabled on all controllers');
    else this.log.warn({ feature }, 'extension not enabled on all controllers');
    return this.isEnabled;
  }
}
