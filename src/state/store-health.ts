import { NoResponseError } from '../http/client.js';
import type { Clock } from '@leverhatch/core/clock';

/**
 * So many requests in a row without any answer, over this share of a request's time, are more than
 * answers that were lost one by one; users are sent away then.
 */
const UNRESPONSIVE_REQUESTS = 3;
const UNRESPONSIVE_RATIO = 0.5;

/** Whether the store serves this controller, as told by the outcome of each request. */
export class StoreHealth {
  private servedAt = -Infinity;
  private failedSince: number | null = null;
  private noResponseSince: number | null = null;
  private requestsWithoutResponse = 0;

  /** `timeoutMs`: how long a request may take. */
  constructor(
    private readonly clock: Clock,
    private readonly timeoutMs: number,
  ) {}

  /** When the store last answered anything but a refusal. */
  get lastServedAt(): number {
    return this.servedAt;
  }

  /** Since when every request has failed; null while the store serves. */
  get unavailableSince(): number | null {
    return this.failedSince;
  }

  /** Requests get no answer at all, not even a refusal. */
  get isUnresponsive(): boolean {
    if (this.requestsWithoutResponse < UNRESPONSIVE_REQUESTS) return false;
    const silentMs = this.clock.now() - (this.noResponseSince ?? Infinity);
    return silentMs >= this.timeoutMs * UNRESPONSIVE_RATIO;
  }

  /** An answer has come, be it a refusal. */
  recordResponse(): void {
    this.noResponseSince = null;
    this.requestsWithoutResponse = 0;
  }

  /** The store executed a request, or refused it for its rate alone. */
  recordSuccess(): void {
    this.servedAt = this.clock.now();
    this.failedSince = null;
  }

  /** A request was not executed, or got no answer. */
  recordFailure(error: unknown): void {
    const now = this.clock.now();
    this.failedSince ??= now;
    if (!(error instanceof NoResponseError)) return;
    this.noResponseSince ??= now;
    this.requestsWithoutResponse++;
  }
}
