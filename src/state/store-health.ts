/** Tracks the availability of the store to this controller. */
import { NoResponseError } from '../http/client.js';
import type { Clock } from '@leverhatch/core/clock';

/**
 * The store counts as unresponsive after this many consecutive requests without a response, over at
 * least this fraction of the request timeout. Fewer may be due to individually lost responses.
 */
const UNRESPONSIVE_REQUESTS = 3;
const UNRESPONSIVE_RATIO = 0.5;

/** Derives the availability of the store to this controller from the outcome of each request. */
export class StoreHealth {
  private availableAt = -Infinity;
  private failedSince: number | null = null;
  private noResponseSince: number | null = null;
  private requestsWithoutResponse = 0;

  /** `timeoutMs`: the request timeout, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly timeoutMs: number,
  ) {}

  /** When the store last gave a response other than a 503 (monotonic, ms). */
  get lastServedAt(): number {
    return this.availableAt;
  }

  /** Since when every request has failed (monotonic, ms); null while the store is available. */
  get unavailableSince(): number | null {
    return this.failedSince;
  }

  /** Whether requests currently get no response at all, not even a rejection. */
  get isUnresponsive(): boolean {
    if (this.requestsWithoutResponse < UNRESPONSIVE_REQUESTS) return false;
    const unansweredMs = this.clock.now() - (this.noResponseSince ?? Infinity);
    return unansweredMs >= this.timeoutMs * UNRESPONSIVE_RATIO;
  }

  /** Records that a response arrived, which may be a rejection. */
  recordResponse(): void {
    this.noResponseSince = null;
    this.requestsWithoutResponse = 0;
  }

  /** Records a response other than a 503: the store is available, even if it rejected the request. */
  recordSuccess(): void {
    this.availableAt = this.clock.now();
    this.failedSince = null;
  }

  /** Records that a request got no response or a 503. */
  recordFailure(error: unknown): void {
    const now = this.clock.now();
    this.failedSince ??= now;
    if (!(error instanceof NoResponseError)) return;
    this.noResponseSince ??= now;
    this.requestsWithoutResponse++;
  }
}
