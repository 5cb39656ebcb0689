import { NoAnswer } from '../http/client.js';
import type { Clock } from '@leverhatch/core/clock';

/**
 * So many requests in a row without any answer, over this share of a request's time, are more than
 * answers that were lost one by one; users are sent away then.
 */
const SILENT_REQUESTS = 3;
const SILENT_SHARE = 0.5;

/** Whether the store serves this controller, as told by the outcome of each request. */
export class StoreContact {
  private servedAt = -Infinity;
  private failedSince: number | null = null;
  private noAnswerSince: number | null = null;
  private withoutAnswer = 0;

  /** `timeoutMs`: how long a request may take. */
  constructor(
    private readonly clock: Clock,
    private readonly timeoutMs: number,
  ) {}

  /** When the store last answered anything but a refusal. */
  get answeredAt(): number {
    return this.servedAt;
  }

  /** Since when every request has failed; null while the store serves. */
  get failingSince(): number | null {
    return this.failedSince;
  }

  /** Requests get no answer at all, not even a refusal. */
  get silent(): boolean {
    if (this.withoutAnswer < SILENT_REQUESTS) return false;
    const silentMs = this.clock.now() - (this.noAnswerSince ?? Infinity);
    return silentMs >= this.timeoutMs * SILENT_SHARE;
  }

  /** An answer has come, be it a refusal. */
  answered(): void {
    this.noAnswerSince = null;
    this.withoutAnswer = 0;
  }

  /** The store executed a request, or refused it for its rate alone. */
  served(): void {
    this.servedAt = this.clock.now();
    this.failedSince = null;
  }

  /** A request was not executed, or got no answer. */
  failed(error: unknown): void {
    const now = this.clock.now();
    this.failedSince ??= now;
    if (!(error instanceof NoAnswer)) return;
    this.noAnswerSince ??= now;
    this.withoutAnswer++;
  }
}
