// A stand-in for the cloud, written from the section "Controller nodes -> cloud" of PROTOCOL.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

export class Cloud {
  /** @param capacity machines by type, zone and kind that may exist in addition to the first ones */
  constructor({ hulls, bootMs = 2000, latencyMs = 50 }) {
    this.hulls = hulls;
    this.bootMs = bootMs;
    this.latencyMs = latencyMs;
    this.hosts = new Map();
    this.charters = new Map();
    this.capacity = 0;
    this.next = 1;
    this.log = [];
    /** Called with a host once it is up, and when it is gone. */
    this.onUp = () => undefined;
    this.onGone = () => undefined;
    /** (method, path, body) => 'serve' | 'refuse' | 'silent' | {lateMs}. */
    this.fate = () => 'serve';
  }

  async listen(host, port) {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('error', () => undefined);
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        const body = text === '' ? null : JSON.parse(text);
        const fate = this.fate(request.method, request.url, body);
        if (fate === 'silent') return;
        const execute = () =>
          fate === 'refuse' ? [503, { error: 'trouble' }] : this.execute(request, body);
        if (typeof fate === 'object') return void setTimeout(execute, fate.lateMs);
        setTimeout(() => {
          const [status, reply] = execute();
          if (response.destroyed) return;
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(JSON.stringify(reply));
        }, this.latencyMs);
      });
    });
    this.server.keepAliveTimeout = 120_000;
    await new Promise((resolve) => this.server.listen(port, host, resolve));
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  add({ hull, yard, driftwood = false, bootMs = 0 }) {
    const ref = `host-${String(this.next++).padStart(6, '0')}`;
    const now = performance.now();
    const host = { ref, hull, yard, driftwood, rentedAt: now, upAt: now + bootMs, address: '' };
    this.hosts.set(ref, host);
    return host;
  }

  execute({ method, url: path }, body) {
    const url = new URL(path, 'http://cloud');
    if (url.pathname === '/flavors') return [200, { hulls: this.hulls }];
    if (url.pathname === '/hosts/return') {
      this.log.push({ return: body.rigs });
      for (const ref of body.rigs) {
        if (this.hosts.delete(ref)) this.onGone(ref);
      }
      return [200, {}];
    }
    if (method === 'POST') return this.rent(body);
    const since = url.searchParams.get('since') ?? '';
    const page = Math.min(500, Number(url.searchParams.get('page') ?? 500));
    const now = performance.now();
    const after = [...this.hosts.values()].filter(({ ref }) => ref > since);
    const rigs = after.slice(0, page).map((host) => ({
      ref: host.ref,
      address: host.address,
      hull: host.hull,
      yard: host.yard,
      driftwood: host.driftwood,
      phase: now >= host.upAt ? 'running' : 'starting',
      ageS: (now - host.rentedAt) / 1000,
    }));
    return [200, { rigs, more: after.length > rigs.length }];
  }

  rent({ charter, hull, yard, driftwood, number }) {
    const known = this.charters.get(charter);
    if (known) return [200, { rigs: known }];
    const count = Math.min(number, 50, this.capacity);
    this.log.push({ rent: hull, number, count });
    if (count <= 0) return [503, { error: 'no capacity' }];
    this.capacity -= count;
    const rigs = [];
    for (let i = 0; i < count; i++) {
      const host = this.add({ hull, yard, driftwood, bootMs: this.bootMs });
      rigs.push(host.ref);
      setTimeout(() => this.hosts.has(host.ref) && this.onUp(host), this.bootMs);
    }
    this.charters.set(charter, rigs);
    return [200, { rigs }];
  }
}
