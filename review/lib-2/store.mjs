// A stand-in for the state service, written from the section "Controller nodes -> state service"
// of PROTOCOL. Each controller gets a port of its own, so that a case can disturb one of them.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { URL } from 'node:url';
import { clearTimeout, setInterval, clearInterval, setTimeout } from 'node:timers';

const MAX_TXN_BYTES = 64 * 1024;
const MAX_PAGE_BYTES = 512 * 1024;
const KEPT_CHANGES = 10_000;
const bytes = (value) => Buffer.byteLength(JSON.stringify(value ?? null));

/** A bucket with bursts of one second's worth. */
class Rate {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = performance.now();
  }

  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class StateService {
  constructor({ rps, write_rps, value_kb, txn_ops }) {
    this.limits = { valueBytes: value_kb * 1024, txnOps: txn_ops };
    this.requests = new Rate(rps);
    this.writes = new Rate(write_rps);
    this.keys = new Map();
    this.leases = new Map();
    this.history = [];
    this.revision = 0;
    this.nextLease = 1;
    this.watches = new Set();
    this.servers = [];
    /** Refuses everything with 503, as in an outage. */
    this.down = false;
    /** (controller, method, path, body) => 'serve' | 'refuse' | 'silent' | {lateMs} | {answerMs}. */
    this.fate = () => 'serve';
    this.refusals = { 400: 0, 429: 0 };
    this.timer = setInterval(() => this.expire(), 20);
  }

  async listen(controller, host, port) {
    const server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('error', () => undefined);
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        let body;
        try {
          body = text === '' ? null : JSON.parse(text);
        } catch {
          return this.answer(response, 400, { error: 'not JSON' });
        }
        this.receive(controller, request, response, body);
      });
    });
    server.keepAliveTimeout = 120_000;
    this.servers.push(server);
    await new Promise((resolve) => server.listen(port, host, resolve));
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  answer(response, status, body) {
    if (status === 400 || status === 429) this.refusals[status]++;
    if (response.writableEnded || response.destroyed) return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  receive(controller, request, response, body) {
    const { method, url } = request;
    const isWatch = url.startsWith('/follow');
    const fate = this.fate(controller, method, url, body);
    if (fate === 'silent') return;
    if ((this.down || fate === 'refuse') && !isWatch)
      return this.answer(response, 503, { error: 'trouble' });
    if (!this.requests.take(1)) return this.answer(response, 429, {});
    if (typeof fate === 'object' && fate.lateMs !== undefined) {
      setTimeout(() => this.execute(method, url, body), fate.lateMs);
      return;
    }
    if (isWatch) return this.follow(controller, url, response);
    setTimeout(() => {
      const [status, reply] = this.execute(method, url, body);
      const answerMs = fate.answerMs ?? 0;
      if (answerMs > 0) setTimeout(() => this.answer(response, status, reply), answerMs);
      else this.answer(response, status, reply);
    }, 2);
  }

  execute(method, path, body) {
    this.expire();
    const url = new URL(path, 'http://state');
    if (url.pathname === '/txn') return this.txn(body);
    if (url.pathname === '/grants') {
      const lifeMs = body?.lifeMs;
      if (!(lifeMs >= 100 && lifeMs <= 600_000)) return [400, { error: 'lifeMs' }];
      const hold = this.nextLease++;
      this.leases.set(hold, { lifeMs, until: performance.now() + lifeMs });
      return [200, { hold }];
    }
    const grant = /^\/grants\/(\d+)(\/extend)?$/.exec(url.pathname);
    if (grant) {
      const id = Number(grant[1]);
      const lease = this.leases.get(id);
      if (!lease) return [404, {}];
      if (method === 'DELETE') this.endLease(id);
      else lease.until = performance.now() + lease.lifeMs;
      return [200, {}];
    }
    if (url.pathname === '/store') return this.range(url);
    const key = url.pathname.slice('/store/'.length);
    const stored = this.keys.get(key);
    if (!stored) return [404, { ledgerRev: this.revision }];
    return [200, { k: key, value: stored.value, stamp: stored.stamp, hold: stored.hold }];
  }

  txn({ when = [], then = [] }) {
    const { valueBytes, txnOps } = this.limits;
    if (then.length > txnOps || when.length > txnOps * 4) return [400, { error: 'too many' }];
    if (then.some((change) => change.write !== undefined && bytes(change.value) > valueBytes))
      return [400, { error: 'value too large' }];
    if (bytes({ when, then }) > MAX_TXN_BYTES) return [400, { error: 'too large' }];
    if (!this.writes.take(then.length)) return [429, {}];
    if (then.some(({ hold }) => hold !== undefined && !this.leases.has(hold)))
      return [400, { error: 'no such lease' }];
    const failed = when
      .filter(({ k, stamp }) => (this.keys.get(k)?.stamp ?? 0) !== stamp)
      .map(({ k }) => k);
    if (failed.length > 0) return [409, { failed, ledgerRev: this.revision }];
    if (then.length > 0) this.revision++;
    for (const change of then) {
      if (change.write !== undefined) {
        const { write, value, hold } = change;
        this.keys.set(write, { value, stamp: this.revision, hold });
        this.note({ write, value, stamp: this.revision });
      } else if (this.keys.delete(change.delete))
        this.note({ delete: change.delete, stamp: this.revision });
    }
    if (then.length > 0) this.wake();
    return [200, { ledgerRev: this.revision }];
  }

  note(change) {
    this.history.push(change);
    if (this.history.length > KEPT_CHANGES) this.history.shift();
  }

  range(url) {
    const prefix = url.searchParams.get('starts') ?? '';
    const since = url.searchParams.get('since');
    const page = Math.min(1000, Number(url.searchParams.get('page') ?? 1000));
    const all = [...this.keys]
      .filter(([key]) => key.startsWith(prefix) && (since === null || key > since))
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const entries = [];
    let size = 0;
    for (const [k, { value, stamp }] of all) {
      size += bytes(value) + k.length + 40;
      if (entries.length >= page || (entries.length > 0 && size > MAX_PAGE_BYTES)) break;
      entries.push({ k, value, stamp });
    }
    return [200, { entries, more: all.length > entries.length, ledgerRev: this.revision }];
  }

  expire() {
    if (this.down) return;
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.until < now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const held = [...this.keys].filter(([, { hold }]) => hold === id);
    if (held.length === 0) return;
    this.revision++;
    for (const [key] of held) {
      this.keys.delete(key);
      this.note({ delete: key, stamp: this.revision });
    }
    this.wake();
  }

  /** Ends an outage: every lease has its full time again. */
  restore() {
    this.down = false;
    for (const lease of this.leases.values()) lease.until = performance.now() + lease.lifeMs;
    this.wake();
  }

  get(key) {
    return this.keys.get(key)?.value;
  }

  follow(controller, path, response) {
    const url = new URL(path, 'http://state');
    const prefix = url.searchParams.get('starts') ?? '';
    const since = Number(url.searchParams.get('since'));
    const holdMs = Math.min(60_000, Number(url.searchParams.get('holdMs') ?? 0));
    const watch = {
      tryAnswer: (isLast) => {
        if (this.down || this.fate(controller, 'GET', path, null) !== 'serve') return;
        const first = this.history[0]?.stamp ?? 0;
        if (this.history.length >= KEPT_CHANGES && since < first - 1) {
          watch.end();
          return this.answer(response, 410, {});
        }
        const news = this.history.filter(
          (change) => change.stamp > since && (change.write ?? change.delete).startsWith(prefix),
        );
        if (news.length === 0 && !isLast) return;
        watch.end();
        this.answer(response, 200, { ledgerRev: this.revision, news });
      },
      end: () => {
        clearTimeout(watch.timer);
        this.watches.delete(watch);
      },
    };
    const onTime = () => {
      watch.tryAnswer(true);
      if (this.watches.has(watch)) watch.timer = setTimeout(onTime, 100);
    };
    watch.timer = setTimeout(onTime, holdMs);
    this.watches.add(watch);
    response.on('close', watch.end);
    watch.tryAnswer(false);
  }

  wake() {
    for (const watch of [...this.watches]) watch.tryAnswer(false);
  }
}
