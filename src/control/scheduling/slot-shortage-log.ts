/** Logs when tasks begin and cease to wait for placement slots. */
import type { Logger } from '@leverhatch/core/log';
import type { SlotUsage } from '../../scheduler/scheduling-model.js';

/** Slots are short from this share of the limit on; below the other share they are not any more. */
const SHORT_RATIO = 0.75;
const SUFFICIENT_RATIO = 0.6;

/** Reports a shortage of placement slots once, and its end. */
export class SlotShortageLog {
  private isShort = false;

  constructor(private readonly log: Logger) {}

  /** Called in every scheduling cycle. */
  observe({ used, limit }: SlotUsage): void {
    const isShort = used > limit * (this.isShort ? SUFFICIENT_RATIO : SHORT_RATIO);
    if (isShort === this.isShort) return;
    this.isShort = isShort;
    const message = isShort ? 'placement slots are short' : 'placement slots suffice again';
    this.log.info({ used, limit }, message);
  }
}
