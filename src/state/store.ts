import { HistoryLost, type Outcome, type StorePort } from '@leverhatch/core/store';
import { NoAnswer, type Reply, type Transport } from '../http/client.js';
import type { Runtime } from '@leverhatch/core/duty';
import { jitter } from '@leverhatch/core/random';
import type { Settings } from '../settings/deploy.js';
import * as wire from '../wire/store.js';
import type { Urgency } from './budget.js';
import { StoreLimits } from './limits.js';
import { StoreContact } from './store-contact.js';
import { StoreRates, type RequestClass } from './store-rates.js';

export type { Change, Condition, Entry, StoreEvent } from '../wire/store.js';

/** The store did not execute the request; `status` says why. */
export class Refused extends Error {
  /** An earlier copy of the same transaction got no answer and may have been applied. */
  doubtful = false;

  constructor(
    readonly status: number,
    what: string,
  ) {
    super(`${what}: refused with ${status}`);
  }
}
export { HistoryLost } from '@leverhatch/core/store';
export class LeaseGone extends Error {}

export type { Outcome } from '@leverhatch/core/store';

export type { Urgency } from './budget.js';

export type { RequestClass } from './store-rates.js';

/**
 * Bursts of several controllers together are refused now and then. Where more than one transaction
 * in six is refused for a while the store allows a lower rate than before: each refusal counts one,
 * each success takes a fifth away, and so many are too many.
 */
const PERSISTENT_RATE_REFUSALS = 8;
const SUCCESS_OFFSETS = 0.2;

/** The state service as one controller uses it: its requests, their rates and their repetitions. */
export class Store implements StorePort {
  private readonly rates: StoreRates;
  private readonly contact: StoreContact;
  /** Transactions refused for the rate lately, less a share of those that were applied. */
  private rateRefusals = 0;
  /** What the store allows, as far as this controller knows. */
  readonly limits: StoreLimits;

  constructor(
    private readonly transport: Transport,
    private readonly runtime: Runtime,
    settings: Settings,
    private readonly timeoutMs: number,
  ) {
    this.limits = new StoreLimits(settings.state, settings.state.next);
    this.rates = new StoreRates(runtime.clock, this.limits, settings.size);
    this.contact = new StoreContact(runtime.clock, timeoutMs);
  }

  /** How many callers wait for their share of the writes. */
  get writesWaiting(): number {
    return this.rates.writesWaiting;
  }

  /** How long a transaction of so many puts and deletes would queue here, in milliseconds. */
  writeDelayMs(changes: number, urgency: Urgency): number {
    return this.rates.writeDelayMs(changes, urgency);
  }

  /** How long the last of so many requests for users' questions would queue here, in milliseconds. */
  questionDelayMs(requests: number): number {
    return this.rates.questionDelayMs(requests);
  }

  /**
   * Throws if requests get no answer at all, not even a refusal, so that a user is told so at once
   * instead of waiting for one more of them. Requests of our own find out when that is over.
   */
  assertAnswers(): void {
    if (this.contact.silent) throw new Refused(503, 'a silent store');
  }

  /** When the store last answered anything but a refusal. */
  get answeredAt(): number {
    return this.contact.answeredAt;
  }

  /** Since when every request has failed; null while the store serves. */
  get failingSince(): number | null {
    return this.contact.failingSince;
  }

  async get(key: string, from: RequestClass, signal?: AbortSignal): Promise<wire.Entry | null> {
    const reply = await this.call('GET', wire.STORE_PATHS.key(key), null, from, signal);
    if (reply.status === 404) return null;
    return wire.parseEntry(expect(reply, 200, key));
  }

  /** Reads a key however long it takes. */
  async read(key: string, signal: AbortSignal): Promise<wire.Entry | null> {
    for (;;) {
      try {
        return await this.get(key, 1, signal);
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
    const revision = await this.eachPage(prefix, (page) => void items.push(...page), signal);
    return { items, revision };
  }

  /**
   * Hands over the entries below `prefix` page by page, so that no more than one page is in memory;
   * answers the revision from which to follow them.
   */
  async eachPage(
    prefix: string,
    take: (items: wire.Entry[]) => void,
    signal?: AbortSignal,
  ): Promise<number> {
    let after: string | null = null;
    // Changes made while later pages are read are seen again by following from the first page on.
    let revision: number | null = null;
    for (;;) {
      const page: wire.RangePage = await this.page(prefix, after, wire.RANGE_PAGE, signal);
      revision ??= page.revision;
      take(page.items);
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
    from: RequestClass = 0,
  ): Promise<wire.RangePage> {
    const path = wire.STORE_PATHS.range(prefix, after, limit);
    const reply = await this.call('GET', path, null, from, signal);
    return wire.parseRange(expect(reply, 200, prefix));
  }

  /** One try. Throws `Refused` if it was not executed, `NoAnswer` if that cannot be told. */
  async txn(
    when: wire.Condition[],
    then: wire.Change[],
    urgency: Urgency,
    signal?: AbortSignal,
  ): Promise<{ ok: true; revision: number } | { ok: false; failed: string[] }> {
    if (then.length > 0) await this.rates.admitWrites(then.length, urgency, signal);
    const body = wire.txnBody(when, then);
    const reply = await this.sendTxn(body, then.length > 0, urgency, signal);
    if (reply.status === 409) return { ok: false, failed: wire.parseConflict(reply.body) };
    if (reply.status === 400 && isLeaseGone(reply.body)) throw new LeaseGone('no such lease');
    if (reply.status === 400) this.noteSizeRefusal(then.length);
    return { ok: true, revision: wire.parseCommitted(expect(reply, 200, 'txn')) };
  }

  /** Which of these keys have other versions than these, without any change. */
  async differing(when: wire.Condition[], from: RequestClass): Promise<string[]> {
    const body = wire.txnBody(when, []);
    const reply = await this.call('POST', wire.STORE_PATHS.txn, body, from);
    if (reply.status === 409) return wire.parseConflict(reply.body);
    if (reply.status === 400) this.noteSizeRefusal(0);
    expect(reply, 200, 'comparison');
    return [];
  }

  private async sendTxn(
    body: object,
    changes: boolean,
    urgency: Urgency,
    signal?: AbortSignal,
  ): Promise<Reply> {
    try {
      const reply = await this.call('POST', wire.STORE_PATHS.txn, body, urgency, signal);
      if (changes && reply.status === 200) {
        this.rateRefusals = Math.max(0, this.rateRefusals - SUCCESS_OFFSETS);
      }
      return reply;
    } catch (error) {
      if (changes && error instanceof Refused && error.status === 429) this.noteRateRefusal();
      throw error;
    }
  }

  /** Too large a value or too many operations: the announced limits hold by now, for everybody. */
  private noteSizeRefusal(changes: number): void {
    if (!this.limits.lower()) return;
    this.runtime.log.warn({ changes }, 'store refused a size, lower limits in force');
  }

  private noteRateRefusal(): void {
    this.rateRefusals++;
    if (this.rateRefusals < PERSISTENT_RATE_REFUSALS || !this.limits.lower()) return;
    this.runtime.log.warn({}, 'store refuses the rate again and again, lower limits in force');
  }

  /**
   * Repeats one transaction until the store gives a definite answer. A copy that got no answer may
   * still be applied later; since all copies carry the same conditions on the keys they write,
   * at most one of them ever is.
   */
  async commit(
    when: wire.Condition[],
    then: wire.Change[],
    urgency: Urgency,
    signal: AbortSignal,
  ): Promise<Outcome> {
    let doubtful = false;
    let wait = this.timeoutMs / 20;
    for (;;) {
      signal.throwIfAborted();
      try {
        const result = await this.txn(when, then, urgency, signal);
        return { ...result, doubtful };
      } catch (error) {
        if (error instanceof NoAnswer) doubtful = true;
        else if (!(error instanceof Refused)) throw error;
        else if (!isRetryable(error.status)) {
          error.doubtful = doubtful;
          throw error;
        }
      }
      await this.runtime.clock.sleep(jitter(wait, this.runtime.random), signal);
      wait = Math.min(wait * 2, this.timeoutMs / 2);
    }
  }

  async grant(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const body = wire.grantBody(ttlMs);
    const reply = await this.call('POST', wire.STORE_PATHS.leases, body, null, signal);
    return wire.parseGranted(expect(reply, 200, 'lease'));
  }

  /** Throws `LeaseGone` if the lease has ended. Renewals never queue behind other requests. */
  async renew(lease: number, timeoutMs: number, signal?: AbortSignal): Promise<void> {
    const path = wire.STORE_PATHS.renew(lease);
    const reply = await this.call('POST', path, {}, null, signal, timeoutMs);
    if (reply.status === 404) throw new LeaseGone('the lease has ended');
    expect(reply, 200, 'renewal');
  }

  async revoke(lease: number): Promise<void> {
    await this.call('DELETE', wire.STORE_PATHS.lease(lease), null, null);
  }

  async watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<{ revision: number; events: wire.StoreEvent[] }> {
    const path = wire.STORE_PATHS.watch(prefix, after, waitMs);
    const reply = await this.call('GET', path, null, 1, signal, waitMs + this.timeoutMs);
    if (reply.status === 410) throw new HistoryLost(prefix);
    return wire.parseFollow(expect(reply, 200, 'watch'));
  }

  private async call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: object | null,
    from: RequestClass | null,
    signal?: AbortSignal,
    timeoutMs = this.timeoutMs,
  ): Promise<Reply> {
    if (from !== null) await this.rates.admit(from, signal);
    try {
      const reply = await this.transport.request(method, path, body, timeoutMs, signal);
      this.contact.answered();
      if (reply.status === 503) throw new Refused(503, path);
      this.contact.served();
      if (reply.status === 429) throw new Refused(429, path);
      return reply;
    } catch (error) {
      const rateAlone = error instanceof Refused && error.status === 429;
      if (!signal?.aborted && !rateAlone) this.contact.failed(error);
      throw error;
    }
  }
}

function expect(reply: Reply, status: number, what: string): unknown {
  if (reply.status !== status) throw new Refused(reply.status, what);
  return reply.body;
}

/** The store called a transaction too large: a value of it, or the number of its changes or conditions. */
export const isRefusedSize = (error: unknown): boolean =>
  error instanceof Refused && error.status === 400;

const isRetryable = (status: number): boolean => status === 429 || status === 503;

const isLeaseGone = (body: unknown): boolean =>
  typeof body === 'object' &&
  body !== null &&
  (body as { error?: unknown }).error === 'no such lease';
