/**
 * Client of the consensus-backed key-value store, with rate limits and retries. The names on the wire
 * are in `src/wire/store.ts`.
 */
import { RevisionCompactedError, type CommitResult, type StorePort } from '@leverhatch/core/store';
import { NoResponseError, type Reply, type Transport } from '../http/client.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
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
  /** An earlier attempt at the same transaction got no response and may have been applied. */
  ambiguous = false;

  /** `status`: the HTTP status; `subject`: the target of the request, such as its key or path. */
  constructor(
    readonly status: number,
    readonly subject: string,
  ) {
    super(`${subject}: rejected with ${status}`);
  }
}

/** A lease has expired or has been revoked. */
export class LeaseNotFoundError extends Error {
  override readonly name = 'LeaseNotFoundError';

  /** `lease`: the number of the lease; null if the request named none. */
  constructor(readonly lease: number | null) {
    super(lease === null ? 'no such lease' : `no such lease: ${lease}`);
  }
}

/**
 * Coinciding bursts of several controllers cause occasional rate rejections. If more than one
 * transaction in six is rejected for some time, the store must have lowered its rate limit. To detect
 * this, each rejection adds one to a count and each success subtracts `SUCCESS_OFFSETS`; the announced
 * limits apply once the count reaches `PERSISTENT_RATE_REJECTIONS`.
 */
const PERSISTENT_RATE_REJECTIONS = 8;
const SUCCESS_OFFSETS = 0.2;

/**
 * The request timeout is divided by these for the minimum and the maximum wait between two attempts of
 * a commit, and for the wait between two attempts of a read.
 */
const MIN_COMMIT_WAIT_DIVISOR = 20;
const MAX_COMMIT_WAIT_DIVISOR = 2;
const READ_RETRY_DIVISOR = 10;

/**
 * The store client of one controller. Requests reject with `NoResponseError` if no response arrives.
 */
export class Store implements StorePort {
  private readonly rates: StoreRateLimiter;
  private readonly health: StoreHealth;
  /** Recent rate rejections, less a fraction of the transactions that were applied. */
  private rateRejections = 0;
  /** The limits of the store, as far as this controller knows them. */
  readonly limits: StoreLimits;

  /** `timeoutMs`: the request timeout, in milliseconds. */
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

  /** The number of callers that wait to write, except those of background priority. */
  get queuedWrites(): number {
    return this.rates.queuedWrites;
  }

  /**
   * How long the rate limits would delay a transaction of `changes` puts and deletes, in milliseconds.
   */
  writeDelayMs(changes: number, priority: RequestPriority): number {
    return this.rates.writeDelayMs(changes, priority);
  }

  /** How long the rate limits would delay the last of `requests` query requests, in milliseconds. */
  queryDelayMs(requests: number): number {
    return this.rates.queryDelayMs(requests);
  }

  /**
   * Throws if requests currently get no response at all, so that a user gets an error at once instead
   * of waiting for another timeout. The controller's own requests detect when the store responds again.
   */
  assertResponsive(): void {
    if (this.health.isUnresponsive) throw new RequestRejectedError(503, 'unresponsive store');
  }

  /** When the store last gave a response other than a 503 (monotonic, ms). */
  get lastServedAt(): number {
    return this.health.lastServedAt;
  }

  /** Since when every request has failed (monotonic, ms); null while the store is available. */
  get unavailableSince(): number | null {
    return this.health.unavailableSince;
  }

  /** Reads one entry; null if the key does not exist. */
  async get(
    key: string,
    requestClass: RequestClass,
    signal?: AbortSignal,
  ): Promise<wire.Entry | null> {
    const reply = await this.call('GET', wire.STORE_PATHS.key(key), null, requestClass, signal);
    if (reply.status === 404) return null;
    return wire.parseEntry(expectStatus(reply, 200, key));
  }

  /** Reads a key, with retries until the read succeeds; rejects if `signal` is aborted. */
  async readWithRetry(key: string, signal: AbortSignal): Promise<wire.Entry | null> {
    for (;;) {
      try {
        return await this.get(key, RequestPriority.High, signal);
      } catch {
        // The health state records the failure; every kind of failure is retried.
        signal.throwIfAborted();
        const waitMs = this.timeoutMs / READ_RETRY_DIVISOR;
        await this.runtime.clock.sleep(jitter(waitMs, this.runtime.random), signal);
      }
    }
  }

  /** Reads all entries below `prefix`, and the revision from which to watch them. */
  async range(
    prefix: string,
    signal?: AbortSignal,
  ): Promise<{ items: wire.Entry[]; revision: number }> {
    const items: wire.Entry[] = [];
    const revision = await this.forEachPage(prefix, (page) => void items.push(...page), signal);
    return { items, revision };
  }

  /**
   * Passes the entries below `prefix` to `onPage` page by page, so that only one page is in memory at a
   * time; resolves to the revision from which to watch them.
   */
  async forEachPage(
    prefix: string,
    onPage: (items: wire.Entry[]) => void,
    signal?: AbortSignal,
  ): Promise<number> {
    let after: string | null = null;
    // A watch has to start at the first page's revision, to include changes made during later reads.
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

  /**
   * Reads up to `limit` entries below `prefix`, starting with the first key that sorts after `after`.
   */
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
   * Attempts a transaction once. Rejects with `RequestRejectedError` if it was not executed, with
   * `LeaseNotFoundError` if its lease has ended, and with `NoResponseError` if the result is ambiguous.
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
      throw new LeaseNotFoundError(findLease(changes));
    if (reply.status === 400) this.onSizeRejected(changes.length);
    return { ok: true, revision: wire.parseCommitted(expectStatus(reply, 200, 'txn')) };
  }

  /** Checks versions; resolves to the keys whose versions differ from those in `conditions`. */
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

  /**
   * A transaction had too large a value or too many operations. The store must already apply the
   * announced limits, so this controller applies them too.
   */
  private onSizeRejected(changes: number): void {
    if (!this.limits.applyAnnounced()) return;
    this.runtime.log.warn(
      { changes },
      'store rejected a request as too large, announced limits applied',
    );
  }

  private onRateRejected(): void {
    this.rateRejections++;
    if (this.rateRejections < PERSISTENT_RATE_REJECTIONS || !this.limits.applyAnnounced()) return;
    this.runtime.log.warn(
      {},
      'store keeps rejecting requests over the rate limit, announced limits applied',
    );
  }

  /**
   * Retries a transaction until its outcome is known. An attempt without a response may still be
   * applied later; since all attempts have the same conditions on the keys they write, at most one is
   * applied.
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

  /** Requests a lease of `ttlMs` milliseconds; resolves to its number. */
  async grantLease(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const body = wire.leaseBody(ttlMs);
    const reply = await this.call('POST', wire.STORE_PATHS.leases, body, null, signal);
    return wire.parseGranted(expectStatus(reply, 200, 'lease'));
  }

  /**
   * Renews a lease; rejects with `LeaseNotFoundError` if it has ended. Renewals bypass the rate limit.
   * `timeoutMs` is the timeout of this request, in milliseconds.
   */
  async renewLease(lease: number, timeoutMs: number, signal?: AbortSignal): Promise<void> {
    const path = wire.STORE_PATHS.renew(lease);
    const reply = await this.call('POST', path, {}, null, signal, timeoutMs);
    if (reply.status === 404) throw new LeaseNotFoundError(lease);
    expectStatus(reply, 200, 'renewal');
  }

  /** Revokes a lease; the store deletes the keys bound to it. */
  async revokeLease(lease: number): Promise<void> {
    await this.call('DELETE', wire.STORE_PATHS.lease(lease), null, null);
  }

  /**
   * Waits up to `waitMs` milliseconds for changes below `prefix` since revision `after`; rejects with
   * `RevisionCompactedError` if the store no longer has all of them.
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

/**
 * Whether the store rejected a transaction as too large: a value, or the number of changes or
 * conditions.
 */
export const isSizeRejection = (error: unknown): boolean =>
  error instanceof RequestRejectedError && error.status === 400;

const isRetryable = (status: number): boolean => status === 429 || status === 503;

/** Returns the lease to which a transaction binds keys; null if it binds none. */
function findLease(changes: wire.Change[]): number | null {
  for (const change of changes) {
    if ('put' in change && change.lease !== undefined) return change.lease;
  }
  return null;
}
