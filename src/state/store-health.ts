/** Availability of the store as this controller sees it. */
import { NoResponseError } from '../http/client.js';
import type { Clock } from '@leverhatch/core/clock';

/**
 * The store is unresponsive after this many requests in a row without a response, over this fraction
 * of the request timeout. Fewer may be responses that were lost one by one.
 */
const UNRESPONSIVE_REQUESTS = 3;
const UNRESPONSIVE_RATIO = 0.5;

/** Whether the store is available to this controller, by the outcome of each request. */
export class StoreHealth {
  private availableAt = -Infinity;
  private failedSince: number | null = null;
  private noResponseSince: number | null = null;
  private requestsWithoutResponse = 0;

  /** `timeoutMs`: how long a request may take. */
  constructor(
    private readonly clock: Clock,
    private readonly timeoutMs: number,
  ) {}

  /** When the store last executed a request, or rejected one for its rate alone (monotonic, ms). */
  get lastServedAt(): number {
    return this.availableAt;
  }

  /** Since when every request has failed (monotonic, ms); null while the store is available. */
  get unavailableSince(): number | null {
    return this.failedSince;
  }

  /** Requests get no response at all, not even a rejection. */
  get isUnresponsive(): boolean {
    if (this.requestsWithoutResponse < UNRESPONSIVE_REQUESTS) return false;
    const unansweredMs = this.clock.now() - (this.noResponseSince ?? Infinity);
    return unansweredMs >= this.timeoutMs * UNRESPONSIVE_RATIO;
  }

  /** A response has arrived, possibly a rejection. */
  recordResponse(): void {
    this.noResponseSince = null;
    this.requestsWithoutResponse = 0;
  }

  /** The store executed a request, or rejected it for its rate alone. */
  recordSuccess(): void {
    this.availableAt = this.clock.now();
    this.failedSince = null;
  }

  /** A request was not executed, or got no response. */
  recordFailure(error: unknown): void {
    const now = this.clock.now();
    this.failedSince ??= now;
    if (!(error instanceof NoResponseError)) return;
    this.noResponseSince ??= now;
    this.requestsWithoutResponse++;
  }
}
