/** Stand-in of the state service, written from PROTOCOL ("Controller nodes -> state service"). */

const MAX_TRANSACTION_BYTES = 64 * 1024;
const MAX_PAGE_BYTES = 512 * 1024;
const KEPT_CHANGES = 10_000;

const bytesOf = (value) => Buffer.byteLength(JSON.stringify(value ?? null));

/** A token bucket with a burst of one second's worth. */
class Bucket {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = performance.now();
  }

  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (count > this.tokens) return false;
    this.tokens -= count;
    return true;
  }
}

import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout, clearTimeout } from 'node:timers';
import { URL } from 'node:url';

export class StateService {
  /** @param limits `rps`, `write_rps`, `value_kb` and `txn_ops` as in the settings */
  constructor(limits) {
    this.limits = limits;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.entries = new Map();
    this.history = [];
    this.revision = 0;
    this.leases = new Map();
    this.nextLease = 1;
    this.watches = new Set();
  }

  /** The JSON value of a key, or undefined. */
  value(key) {
    this.expire();
    return this.entries.get(key)?.value;
  }

  /** Answers one request: resolves to `{ status, body }`. */
  async handle(method, path, body) {
    this.expire();
    const url = new URL(path, 'http://state');
    if (!this.requests.take(1)) return { status: 429, body: {} };
    if (url.pathname === '/follow') return this.follow(url);
    if (url.pathname === '/txn' && method === 'POST') return this.transaction(body);
    if (url.pathname === '/grants' && method === 'POST') return this.grant(body);
    const lease = /^\/grants\/(\d+)(\/extend)?$/.exec(url.pathname);
    if (lease) return this.lease(method, Number(lease[1]));
    if (url.pathname === '/store') return this.range(url);
    if (url.pathname.startsWith('/store/')) return this.read(path.slice('/store/'.length));
    return { status: 400, body: {} };
  }

  expire() {
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.until < now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const held = [...this.entries].filter(([, entry]) => entry.hold === id);
    if (held.length === 0) return;
    this.revision++;
    for (const [key] of held) this.remove(key);
    this.wakeWatches();
  }

  remove(key) {
    if (!this.entries.delete(key)) return;
    this.history.push({ key, stamp: this.revision, gone: true });
  }

  grant({ lifeMs }) {
    if (!(lifeMs >= 100 && lifeMs <= 600_000)) return { status: 400, body: {} };
    const id = this.nextLease++;
    this.leases.set(id, { lifeMs, until: performance.now() + lifeMs });
    this.scheduleExpiry(lifeMs);
    return { status: 200, body: { hold: id } };
  }

  lease(method, id) {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(id);
    else {
      lease.until = performance.now() + lease.lifeMs;
      this.scheduleExpiry(lease.lifeMs);
    }
    return { status: 200, body: {} };
  }

  scheduleExpiry(ms) {
    setTimeout(() => this.expire(), ms + 20).unref();
  }

  read(key) {
    const entry = this.entries.get(key);
    if (!entry) return { status: 404, body: { ledgerRev: this.revision } };
    return { status: 200, body: { k: key, ...entry } };
  }

  range(url) {
    const prefix = url.searchParams.get('starts') ?? '';
    const since = url.searchParams.get('since');
    const limit = Math.min(1000, Number(url.searchParams.get('page') ?? 1000));
    const keys = [...this.entries.keys()]
      .filter((key) => key.startsWith(prefix) && (since === null || key > since))
      .sort((a, b) => (a < b ? -1 : 1));
    const entries = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, stamp } = this.entries.get(key);
      bytes += bytesOf(value) + key.length + 40;
      if (entries.length === limit || (entries.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      entries.push({ k: key, value, stamp });
    }
    const more = entries.length < keys.length;
    return { status: 200, body: { entries, more, ledgerRev: this.revision } };
  }

  isMalformed(when, then) {
    const { txn_ops: operations, value_kb: kilobytes } = this.limits;
    const keys = [
      ...when.map(({ k }) => k),
      ...then.map((change) => change.write ?? change.delete),
    ];
    return (
      then.length > operations ||
      when.length > operations * 4 ||
      bytesOf({ when, then }) > MAX_TRANSACTION_BYTES ||
      keys.some((key) => typeof key !== 'string' || key === '' || key.length > 200) ||
      then.some((change) => 'write' in change && bytesOf(change.value) > kilobytes * 1024)
    );
  }

  transaction({ when = [], then = [] }) {
    if (this.isMalformed(when, then)) return { status: 400, body: { error: 'malformed' } };
    if (then.length > 0 && !this.writes.take(then.length)) return { status: 429, body: {} };
    if (then.some(({ hold }) => hold !== undefined && !this.leases.has(hold)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = when
      .filter(({ k, stamp }) => (this.entries.get(k)?.stamp ?? 0) !== stamp)
      .map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.revision } };
    if (then.length === 0) return { status: 200, body: { ledgerRev: this.revision } };
    this.revision++;
    for (const change of then) {
      if ('write' in change) {
        const { write: key, value, hold } = change;
        this.entries.set(key, { value, stamp: this.revision, ...(hold ? { hold } : {}) });
        this.history.push({ key, stamp: this.revision, value });
      } else this.remove(change.delete);
    }
    if (this.history.length > KEPT_CHANGES)
      this.history.splice(0, this.history.length - KEPT_CHANGES);
    this.wakeWatches();
    return { status: 200, body: { ledgerRev: this.revision } };
  }

  follow(url) {
    const prefix = url.searchParams.get('starts') ?? '';
    const since = Number(url.searchParams.get('since'));
    const holdMs = Math.min(60_000, Number(url.searchParams.get('holdMs') ?? 0));
    const oldest = this.history.length === KEPT_CHANGES ? this.history[0].stamp : 0;
    if (since < oldest - 1) return { status: 410, body: {} };
    return new Promise((resolve) => {
      const answer = (isLate) => {
        const news = this.history
          .filter(({ key, stamp }) => stamp > since && key.startsWith(prefix))
          .map(({ key, stamp, value, gone }) =>
            gone ? { delete: key, stamp } : { write: key, value, stamp },
          );
        if (news.length === 0 && !isLate) return;
        this.watches.delete(answer);
        clearTimeout(timer);
        resolve({ status: 200, body: { ledgerRev: this.revision, news } });
      };
      const timer = setTimeout(() => answer(true), holdMs);
      this.watches.add(answer);
      answer(false);
    });
  }

  wakeWatches() {
    for (const answer of [...this.watches]) answer(false);
  }
}
