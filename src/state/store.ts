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

export type { Change, Condition, Entry, StoreEvent } from '../wire/store.js';

/** The store did not execute the request; `status` says why. */
export class RequestRejectedError extends Error {
  /** An earlier copy of the same transaction got no answer and may have been applied. */
  ambiguous = false;

  constructor(
    readonly status: number,
    subject: string,
  ) {
    super(`${subject}: refused with ${status}`);
  }
}
export { RevisionCompactedError } from '@leverhatch/core/store';
export class LeaseNotFoundError extends Error {}

export type { CommitResult } from '@leverhatch/core/store';

export { RequestPriority } from './rate-limiter.js';

export type { RequestClass } from './store-rate-limiter.js';

/**
 * Bursts of several controllers together are refused now and then. Where more than one transaction
 * in six is refused for a while the store allows a lower rate than before: each refusal counts one,
 * each success takes a fifth away, and so many are too many.
 */
const PERSISTENT_RATE_REJECTIONS = 8;
const SUCCESS_OFFSETS = 0.2;

/** The state service as one controller uses it: its requests, their rates and their repetitions. */
export class Store implements StorePort {
  private readonly rates: StoreRateLimiter;
  private readonly health: StoreHealth;
  /** Transactions refused for the rate lately, less a share of those that were applied. */
  private rateRejections = 0;
  /** What the store allows, as far as this controller knows. */
  readonly limits: StoreLimits;

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

  /** How many callers wait for their share of the writes. */
  get queuedWrites(): number {
    return this.rates.queuedWrites;
  }

  /** How long a transaction of so many puts and deletes would queue here, in milliseconds. */
  writeDelayMs(changes: number, priority: RequestPriority): number {
    return this.rates.writeDelayMs(changes, priority);
  }

  /** How long the last of so many requests for users' questions would queue here, in milliseconds. */
  queryDelayMs(requests: number): number {
    return this.rates.queryDelayMs(requests);
  }

  /**
   * Throws if requests get no answer at all, not even a refusal, so that a user is told so at once
   * instead of waiting for one more of them. Requests of our own find out when that is over.
   */
  assertResponsive(): void {
    if (this.health.isUnresponsive) throw new RequestRejectedError(503, 'a silent store');
  }

  /** When the store last answered anything but a refusal. */
  get lastServedAt(): number {
    return this.health.lastServedAt;
  }

  /** Since when every request has failed; null while the store serves. */
  get unavailableSince(): number | null {
    return this.health.unavailableSince;
  }

  async get(
    key: string,
    requestClass: RequestClass,
    signal?: AbortSignal,
  ): Promise<wire.Entry | null> {
    const reply = await this.call('GET', wire.STORE_PATHS.key(key), null, requestClass, signal);
    if (reply.status === 404) return null;
    return wire.parseEntry(expectStatus(reply, 200, key));
  }

  /** Reads a key however long it takes. */
  async readWithRetry(key: string, signal: AbortSignal): Promise<wire.Entry | null> {
    for (;;) {
      try {
        return await this.get(key, RequestPriority.High, signal);
      } catch {
        signal.throwIfAborted();
        await this.runtime.clock.sleep(jitter(this.timeoutMs / 10, this.runtime.random), signal);
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
   * Hands over the entries below `prefix` page by page, so that no more than one page is in memory;
   * answers the revision from which to follow them.
   */
  async forEachPage(
    prefix: string,
    onPage: (items: wire.Entry[]) => void,
    signal?: AbortSignal,
  ): Promise<number> {
    let after: string | null = null;
    // Changes made while later pages are read are seen again by following from the first page on.
    let revision: number | null = null;
    for (;;) {
      const page: wire.RangePage = await this.page(prefix, after, wire.RANGE_PAGE, signal);
      revision ??= page.revision;
      onPage(page.items);
      if (!page.more || page.items.length === 0) return revision;
      after = page.items[page.items.length - 1]!.key;
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

  /** One try. Throws `Refused` if it was not executed, `NoAnswer` if that cannot be told. */
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
    if (reply.status === 400 && isLeaseNotFound(reply.body))
      throw new LeaseNotFoundError('no such lease');
    if (reply.status === 400) this.onSizeRejected(changes.length);
    return { ok: true, revision: wire.parseCommitted(expectStatus(reply, 200, 'txn')) };
  }

  /** Which of these keys have other versions than these, without any change. */
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
    changes: boolean,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<Reply> {
    try {
      const reply = await this.call('POST', wire.STORE_PATHS.transaction, body, priority, signal);
      if (changes && reply.status === 200) {
        this.rateRejections = Math.max(0, this.rateRejections - SUCCESS_OFFSETS);
      }
      return reply;
    } catch (error) {
      if (changes && error instanceof RequestRejectedError && error.status === 429)
        this.onRateRejected();
      throw error;
    }
  }

  /** Too large a value or too many operations: the announced limits hold by now, for everybody. */
  private onSizeRejected(changes: number): void {
    if (!this.limits.applyAnnounced()) return;
    this.runtime.log.warn({ changes }, 'store refused a size, lower limits in force');
  }

  private onRateRejected(): void {
    this.rateRejections++;
    if (this.rateRejections < PERSISTENT_RATE_REJECTIONS || !this.limits.applyAnnounced()) return;
    this.runtime.log.warn({}, 'store refuses the rate again and again, lower limits in force');
  }

  /**
   * Repeats one transaction until the store gives a definite answer. A copy that got no answer may
   * still be applied later; since all copies carry the same conditions on the keys they write,
   * at most one of them ever is.
   */
  async commit(
    conditions: wire.Condition[],
    changes: wire.Change[],
    priority: RequestPriority,
    signal: AbortSignal,
  ): Promise<CommitResult> {
    let ambiguous = false;
    let wait = this.timeoutMs / 20;
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
      await this.runtime.clock.sleep(jitter(wait, this.runtime.random), signal);
      wait = Math.min(wait * 2, this.timeoutMs / 2);
    }
  }

  async grantLease(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const body = wire.leaseBody(ttlMs);
    const reply = await this.call('POST', wire.STORE_PATHS.leases, body, null, signal);
    return wire.parseGranted(expectStatus(reply, 200, 'lease'));
  }

  /** Throws `LeaseGone` if the lease has ended. Renewals never queue behind other requests. */
  async renewLease(lease: number, timeoutMs: number, signal?: AbortSignal): Promise<void> {
    const path = wire.STORE_PATHS.renew(lease);
    const reply = await this.call('POST', path, {}, null, signal, timeoutMs);
    if (reply.status === 404) throw new LeaseNotFoundError('the lease has ended');
    expectStatus(reply, 200, 'renewal');
  }

  async revokeLease(lease: number): Promise<void> {
    await this.call('DELETE', wire.STORE_PATHS.lease(lease), null, null);
  }

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
      const rateAlone = error instanceof RequestRejectedError && error.status === 429;
      if (!signal?.aborted && !rateAlone) this.health.recordFailure(error);
      throw error;
    }
  }
}

function expectStatus(reply: Reply, status: number, what: string): unknown {
  if (reply.status !== status) throw new RequestRejectedError(reply.status, what);
  return reply.body;
}

/** The store called a transaction too large: a value of it, or the number of its changes or conditions. */
export const isSizeRejection = (error: unknown): boolean =>
  error instanceof RequestRejectedError && error.status === 400;

const isRetryable = (status: number): boolean => status === 429 || status === 503;

const isLeaseNotFound = (body: unknown): boolean =>
  typeof body === 'object' &&
  body !== null &&
  (body as { error?: unknown }).error === 'no such lease';
