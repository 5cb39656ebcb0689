import { NoResponseError, type Reply, type Transport } from '../../src/http/client.js';
import type { Clock } from '@leverhatch/core/clock';

export interface Host {
  ref: string;
  hull: string;
  yard: string;
  driftwood: boolean;
  rentedAt: number;
  upAt: number;
}

export interface MachineTypeEntry {
  sku: string;
  vcpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  marketPrice: number;
  readyS: number;
  yards: string[];
}

const G8: MachineTypeEntry = {
  sku: 'g8',
  vcpus: 48,
  gpus: 8,
  memoryGb: 288,
  cacheGb: 400,
  fetchGbPerS: 2,
  price: 20,
  marketPrice: 7,
  readyS: 40,
  yards: ['a', 'b'],
};

/** A type with half the capacity of g8, for scenarios with jobs that allow only one type. */
export const G4: MachineTypeEntry = {
  ...G8,
  sku: 'g4',
  vcpus: 24,
  gpus: 4,
  memoryGb: 144,
  price: 11,
};

/** A fake cloud that rents out machines, by default of one type in two zones. */
export class FakeCloud {
  readonly hulls: MachineTypeEntry[] = [G8];
  readonly hosts = new Map<string, Host>();
  /** The machines of each rental by its `charter`, which makes repeated requests idempotent. */
  readonly rentals = new Map<string, string[]>();
  down = false;
  capacity = 40;
  /** The boot time of a machine. */
  bootMs = 40_000;
  spotCapacity = 0;
  /** Serves only the first page of a machine list; later pages fail. */
  failLaterPages = false;
  /** Existing machines that are missing from the machine list. */
  readonly unlisted = new Set<string>();
  /** The number of machines in each return and rental request. */
  readonly calls: { path: string; count: number }[] = [];
  private next = 1;

  constructor(
    private readonly clock: Clock,
    private readonly onReturned: (id: string) => void,
  ) {}

  /** Offers the g8 type in these zones. */
  offerUsualTypeIn(zones: readonly string[]): void {
    this.hulls[0] = { ...G8, yards: [...zones] };
  }

  add(yard: string, bootMs: number, driftwood = false, hull = 'g8'): Host {
    const ref = `host-${String(this.next++).padStart(6, '0')}`;
    const now = this.clock.now();
    const host = { ref, hull, yard, driftwood, rentedAt: now, upAt: now + bootMs };
    this.hosts.set(ref, host);
    return host;
  }

  transport(): Transport {
    return {
      request: async (method, path, body, timeoutMs, signal) => {
        await this.clock.sleep(80, signal);
        signal?.throwIfAborted();
        if (timeoutMs < 80) throw new NoResponseError('no response within the timeout');
        if (this.down) return { status: 503, body: { error: 'trouble' } };
        return this.execute(method, path, body);
      },
    };
  }

  private execute(method: string, path: string, body: unknown): Reply {
    if (path === '/flavors') return { status: 200, body: { hulls: this.hulls } };
    if (path === '/hosts/return') {
      this.calls.push({ path, count: (body as { rigs: string[] }).rigs.length });
      for (const id of (body as { rigs: string[] }).rigs) {
        if (this.hosts.delete(id)) this.onReturned(id);
      }
      return { status: 200, body: {} };
    }
    if (method === 'POST') {
      const rent = body as Parameters<FakeCloud['rent']>[0];
      this.calls.push({ path, count: rent.number });
      return this.rent(rent);
    }
    const now = this.clock.now();
    const url = new URL(path, 'http://cloud');
    const since = url.searchParams.get('since') ?? '';
    const page = Number(url.searchParams.get('page'));
    if (since !== '' && this.failLaterPages) return { status: 503, body: { error: 'trouble' } };
    const remaining = [...this.hosts.values()].filter(
      (host) => host.ref > since && !this.unlisted.has(host.ref),
    );
    const rigs = remaining.slice(0, page).map((host) => ({
      ref: host.ref,
      address: 'unused',
      hull: host.hull,
      yard: host.yard,
      driftwood: host.driftwood,
      phase: now >= host.upAt ? 'running' : 'starting',
      ageS: (now - host.rentedAt) / 1000,
    }));
    return { status: 200, body: { rigs, more: remaining.length > rigs.length } };
  }

  private rent(r: {
    charter: string;
    hull: string;
    yard: string;
    driftwood: boolean;
    number: number;
  }): Reply {
    const before = this.rentals.get(r.charter);
    if (before) return { status: 200, body: { rigs: before } };
    const rented = [...this.hosts.values()].filter((host) => host.driftwood === r.driftwood).length;
    const limit = r.driftwood ? this.spotCapacity : this.capacity;
    const count = Math.min(r.number, limit - rented);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const rigs = Array.from(
      { length: count },
      () => this.add(r.yard, this.bootMs, r.driftwood, r.hull).ref,
    );
    this.rentals.set(r.charter, rigs);
    return { status: 200, body: { rigs } };
  }
}
