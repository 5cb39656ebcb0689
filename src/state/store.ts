/**
 * The client of the consensus-backed key-value store: requests, their rate limits and their retries.
 * Names of the store's interface are in `src/wire/store.ts`.
 */
import { RevisionCompactedError, type CommitResult, type StorePort } from '@leverhatch/core/store';
import { NoResponseError, type Reply, type Transport } from '../http/client.js';
import type { Runtime } from '@leverhatch/core/duty';
import { jitter } from '@leverhatch/core/random';
import type { Settings } from '../settings/deploy.js';
import * as wire from '../wire/store.js';
import { RequestPriority } from './rate-limiter.js';
import { StoreLimits } from './store-limits.js';
import { StoreHealth } from './store-health.js';
import { StoreRateLimiter, type RequestClass } from './store-rate-limiter.js';

export { RevisionCompactedError, type CommitResult } from '@leverhatch/core/store';
export type { Change, Condition, Entry, StoreEvent } from '../wire/store.js';
export { RequestPriority } from './rate-limiter.js';
export type { RequestClass } from './store-rate-limiter.js';

/** The store did not execute a request. */
export class RequestRejectedError extends Error {
  override readonly name = 'RequestRejectedError';
  /** An earlier copy of the same transaction got no response and may have been applied. */
  ambiguous = false;

  /** `status`: the HTTP status; `subject`: what the request was about, such as its key or path. */
  constructor(
    readonly status: number,
    readonly subject: string,
  ) {
    super(`${subject}: rejected with ${status}`);
  }
}

/** A lease has expired or was revoked. */
export class LeaseNotFoundError extends Error {
  override readonly name = 'LeaseNotFoundError';

  /** `lease`: its number; null if the request named none. */
  constructor(readonly lease: number | null) {
    super(lease === null ? 'no such lease' : `no such lease: ${lease}`);
  }
}

/**
 * Bursts of several controllers together are rejected now and then. If more than one transaction in
 * six is rejected for a while, the store allows a lower rate than before: each rejection adds one to a
 * count, each success subtracts `SUCCESS_OFFSETS`, and this count is the threshold.
 */
const PERSISTENT_RATE_REJECTIONS = 8;
const SUCCESS_OFFSETS = 0.2;

/** The request timeout divided by these: bounds of the wait between two attempts, and that of a read. */
const MIN_COMMIT_WAIT_DIVISOR = 20;
const MAX_COMMIT_WAIT_DIVISOR = 2;
const READ_RETRY_DIVISOR = 10;

/** The store as one controller uses it. Its requests reject with `NoResponseError` if no response arrives. */
export class Store implements StorePort {
  private readonly rates: StoreRateLimiter;
  private readonly health: StoreHealth;
  /** Transactions rejected for the rate lately, less a fraction of those that were applied. */
  private rateRejections = 0;
  /** What the store allows, as far as this controller knows. */
  readonly limits: StoreLimits;

  /** `timeoutMs`: how long a request may take, in milliseconds. */
  constructor(
    private readonly transport: Transport,
    private readonly runtime: Runtime,
    settings: Settings,
    private readonly timeoutMs: number,
  ) {
    this.limits = new StoreLimits(settings.state, settings.state.next);
    this.rates = new StoreRateLimiter(runtime.clock, this.limits, settings.size);
    this.health = new StoreHealth(runtime.clock, timeoutMs);
  }

  /** Callers that wait to write, without those of background priority. */
  get queuedWrites(): number {
    return this.rates.queuedWrites;
  }

  /** How long a transaction of `changes` puts and deletes would wait here, in milliseconds. */
  writeDelayMs(changes: number, priority: RequestPriority): number {
    return this.rates.writeDelayMs(changes, priority);
  }

  /** How long the last of `requests` requests for users' queries would wait here, in milliseconds. */
  queryDelayMs(requests: number): number {
    return this.rates.queryDelayMs(requests);
  }

  /**
   * Throws if requests get no response at all, so that a user gets an error at once instead of waiting
   * for one more of them. The controller's own requests detect when the store responds again.
   */
  assertResponsive(): void {
    if (this.health.isUnresponsive) throw new RequestRejectedError(503, 'unresponsive store');
  }

  /** When the store last executed a request, or rejected one for its rate alone (monotonic, ms). */
  get lastServedAt(): number {
    return this.health.lastServedAt;
  }

  /** Since when every request has failed (monotonic, ms); null while the store is available. */
  get unavailableSince(): number | null {
    return this.health.unavailableSince;
  }

  /** One entry; null if there is none. */
  async get(
    key: string,
    requestClass: RequestClass,
    signal?: AbortSignal,
  ): Promise<wire.Entry | null> {
    const reply = await this.call('GET', wire.STORE_PATHS.key(key), null, requestClass, signal);
    if (reply.status === 404) return null;
    return wire.parseEntry(expectStatus(reply, 200, key));
  }

  /** Reads a key, and repeats the read until it succeeds; rejects if `signal` is aborted. */
  async readWithRetry(key: string, signal: AbortSignal): Promise<wire.Entry | null> {
    for (;;) {
      try {
        return await this.get(key, RequestPriority.High, signal);
      } catch {
        // The health record notes the failure; whatever it was, only another try helps.
        signal.throwIfAborted();
        const waitMs = this.timeoutMs / READ_RETRY_DIVISOR;
        await this.runtime.clock.sleep(jitter(waitMs, this.runtime.random), signal);
      }
    }
  }

  /** All entries below `prefix`, and the revision from which to follow them. */
  async range(
    prefix: string,
    signal?: AbortSignal,
  ): Promise<{ items: wire.Entry[]; revision: number }> {
    const items: wire.Entry[] = [];
    const revision = await this.forEachPage(prefix, (page) => void items.push(...page), signal);
    return { items, revision };
  }

  /**
   * Passes the entries below `prefix` to `onPage` page by page, so that no more than one page is in
   * memory; resolves to the revision from which to follow them.
   */
  async forEachPage(
    prefix: string,
    onPage: (items: wire.Entry[]) => void,
    signal?: AbortSignal,
  ): Promise<number> {
    let after: string | null = null;
    // Following starts at the first page's revision: it repeats changes made while later ones are read.
    let revision: number | null = null;
    for (;;) {
      const page: wire.RangePage = await this.page(prefix, after, wire.RANGE_PAGE, signal);
      revision ??= page.revision;
      onPage(page.items);
      const last = page.items.at(-1);
      if (!page.more || last === undefined) return revision;
      after = last.key;
    }
  }

  /** The first entries below `prefix` whose key sorts after `after`, at most `limit` of them. */
  async page(
    prefix: string,
    after: string | null,
    limit: number,
    signal?: AbortSignal,
    requestClass: RequestClass = RequestPriority.Critical,
  ): Promise<wire.RangePage> {
    const path = wire.STORE_PATHS.range(prefix, after, limit);
    const reply = await this.call('GET', path, null, requestClass, signal);
    return wire.parseRange(expectStatus(reply, 200, prefix));
  }

  /**
   * One attempt. Rejects with `RequestRejectedError` if the transaction was not executed, with
   * `LeaseNotFoundError` if its lease has ended, with `NoResponseError` if the result is ambiguous.
   */
  async tryCommit(
    conditions: wire.Condition[],
    changes: wire.Change[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<{ ok: true; revision: number } | { ok: false; failed: string[] }> {
    if (changes.length > 0) await this.rates.admitWrites(changes.length, priority, signal);
    const body = wire.transactionBody(conditions, changes);
    const reply = await this.sendTransaction(body, changes.length > 0, priority, signal);
    if (reply.status === 409) return { ok: false, failed: wire.parseConflict(reply.body) };
    if (reply.status === 400 && wire.isLeaseNotFound(reply.body))
      throw new LeaseNotFoundError(leaseOf(changes));
    if (reply.status === 400) this.onSizeRejected(changes.length);
    return { ok: true, revision: wire.parseCommitted(expectStatus(reply, 200, 'txn')) };
  }

  /** A version check: the keys whose versions differ from those in `conditions`. */
  async compareVersions(
    conditions: wire.Condition[],
    requestClass: RequestClass,
  ): Promise<string[]> {
    const body = wire.transactionBody(conditions, []);
    const reply = await this.call('POST', wire.STORE_PATHS.transaction, body, requestClass);
    if (reply.status === 409) return wire.parseConflict(reply.body);
    if (reply.status === 400) this.onSizeRejected(0);
    expectStatus(reply, 200, 'comparison');
    return [];
  }

  private async sendTransaction(
    body: object,
    isWrite: boolean,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<Reply> {
    try {
      const reply = await this.call('POST', wire.STORE_PATHS.transaction, body, priority, signal);
      if (isWrite && reply.status === 200) {
        this.rateRejections = Math.max(0, this.rateRejections - SUCCESS_OFFSETS);
      }
      return reply;
    } catch (error) {
      if (isWrite && error instanceof RequestRejectedError && error.status === 429)
        this.onRateRejected();
      throw error;
    }
  }

  /** A value was too large or its operations too many: the store applies the announced limits. */
  private onSizeRejected(changes: number): void {
    if (!this.limits.applyAnnounced()) return;
    this.runtime.log.warn({ changes }, 'store rejected a size, announced limits in force');
  }

  private onRateRejected(): void {
    this.rateRejections++;
    if (this.rateRejections < PERSISTENT_RATE_REJECTIONS || !this.limits.applyAnnounced()) return;
    this.runtime.log.warn({}, 'store rejects the rate persistently, announced limits in force');
  }

  /**
   * Repeats one transaction until the outcome is known. A copy without a response may still be applied
   * later; all copies have the same conditions on the keys they write, so at most one ever is.
   */
  async commit(
    conditions: wire.Condition[],
    changes: wire.Change[],
    priority: RequestPriority,
    signal: AbortSignal,
  ): Promise<CommitResult> {
    let ambiguous = false;
    let waitMs = this.timeoutMs / MIN_COMMIT_WAIT_DIVISOR;
    for (;;) {
      signal.throwIfAborted();
      try {
        const result = await this.tryCommit(conditions, changes, priority, signal);
        return { ...result, ambiguous };
      } catch (error) {
        if (error instanceof NoResponseError) ambiguous = true;
        else if (!(error instanceof RequestRejectedError)) throw error;
        else if (!isRetryable(error.status)) {
          error.ambiguous = ambiguous;
          throw error;
        }
      }
      await this.runtime.clock.sleep(jitter(waitMs, this.runtime.random), signal);
      waitMs = Math.min(waitMs * 2, this.timeoutMs / MAX_COMMIT_WAIT_DIVISOR);
    }
  }

  /** Grants a lease of `ttlMs` milliseconds; resolves to its number. */
  async grantLease(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const body = wire.leaseBody(ttlMs);
    const reply = await this.call('POST', wire.STORE_PATHS.leases, body, null, signal);
    return wire.parseGranted(expectStatus(reply, 200, 'lease'));
  }

  /**
   * Renews a lease; rejects with `LeaseNotFoundError` if it has ended. Renewals never wait for the rate
   * limit; `timeoutMs` is their own timeout, in milliseconds.
   */
  async renewLease(lease: number, timeoutMs: number, signal?: AbortSignal): Promise<void> {
    const path = wire.STORE_PATHS.renew(lease);
    const reply = await this.call('POST', path, {}, null, signal, timeoutMs);
    if (reply.status === 404) throw new LeaseNotFoundError(lease);
    expectStatus(reply, 200, 'renewal');
  }

  /** Ends a lease; its keys are deleted. */
  async revokeLease(lease: number): Promise<void> {
    await this.call('DELETE', wire.STORE_PATHS.lease(lease), null, null);
  }

  /**
   * Waits up to `waitMs` milliseconds for changes below `prefix` since revision `after`; rejects with
   * `RevisionCompactedError` if some were missed.
   */
  async watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<{ revision: number; events: wire.StoreEvent[] }> {
    const path = wire.STORE_PATHS.watch(prefix, after, waitMs);
    const reply = await this.call(
      'GET',
      path,
      null,
      RequestPriority.High,
      signal,
      waitMs + this.timeoutMs,
    );
    if (reply.status === 410) throw new RevisionCompactedError(prefix);
    return wire.parseWatch(expectStatus(reply, 200, 'watch'));
  }

  private async call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: object | null,
    requestClass: RequestClass | null,
    signal?: AbortSignal,
    timeoutMs = this.timeoutMs,
  ): Promise<Reply> {
    if (requestClass !== null) await this.rates.admit(requestClass, signal);
    try {
      const reply = await this.transport.request(method, path, body, timeoutMs, signal);
      this.health.recordResponse();
      if (reply.status === 503) throw new RequestRejectedError(503, path);
      this.health.recordSuccess();
      if (reply.status === 429) throw new RequestRejectedError(429, path);
      return reply;
    } catch (error) {
      const isRateRejection = error instanceof RequestRejectedError && error.status === 429;
      if (!signal?.aborted && !isRateRejection) this.health.recordFailure(error);
      throw error;
    }
  }
}

function expectStatus(reply: Reply, status: number, subject: string): unknown {
  if (reply.status !== status) throw new RequestRejectedError(reply.status, subject);
  return reply.body;
}

/** The store rejected a transaction as too large: a value, or the number of changes or conditions. */
export const isSizeRejection = (error: unknown): boolean =>
  error instanceof RequestRejectedError && error.status === 400;

const isRetryable = (status: number): boolean => status === 429 || status === 503;

/** The lease that a transaction binds its keys to. */
function leaseOf(changes: wire.Change[]): number | null {
  for (const change of changes) {
    if ('put' in change && change.lease !== undefined) return change.lease;
  }
  return null;
}
