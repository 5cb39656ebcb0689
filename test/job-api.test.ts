import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Catalogue } from '../src/fleet/catalogue.js';
import type { Reply, Transport } from '../src/http/client.js';
import { JobApi, type Answer } from '../src/jobs/job-api.js';
import { Store } from '../src/state/store.js';
import { SUBMISSION } from './fakes/samples.js';
import { FakeClock } from './fakes/clock.js';
import { FakeStore, type Fate } from './fakes/store.js';
import { fakeRandom, settings } from './fakes/world.js';

const SUBMIT_MS = 4000;
const POLL_MS = 1600;

const FLAVORS = {
  hulls: [
    {
      sku: 'g8',
      vcpus: 96,
      gpus: 8,
      memoryGb: 768,
      cacheGb: 200,
      fetchGbPerS: 1,
      price: 12,
      marketPrice: 4.5,
      readyS: 45,
      yards: ['a', 'b'],
    },
  ],
};

function job(n: number): object {
  return { ref: `req-${n}`, ...SUBMISSION };
}

/** Controllers that answer users from one store; each has its own way to it. */
class Nodes {
  readonly clock = new FakeClock();
  readonly store = new FakeStore(this.clock);
  readonly sent: string[] = [];

  async add(name: string, fate: (path: string) => Fate | 'rate'): Promise<JobApi> {
    const transport: Transport = {
      request: (...args) => {
        this.sent.push(`${name} ${args[0]} ${args[1]}`);
        const what = fate(args[1]);
        if (what === 'rate') return Promise.resolve({ status: 429, body: {} });
        return this.store.link(() => what).request(...args);
      },
    };
    const cloud: Transport = {
      request: () => Promise.resolve<Reply>({ status: 200, body: FLAVORS }),
    };
    const silent = (): void => {};
    const runtime = {
      clock: this.clock,
      random: fakeRandom(name),
      log: { error: silent, warn: silent, info: silent, debug: silent },
      startedAt: 0,
    };
    const store = new Store(transport, runtime, settings(), 700);
    const catalogue = new Catalogue(store, cloud, runtime, 4000);
    await catalogue.ask(new AbortController().signal);
    return new JobApi(
      store,
      catalogue,
      settings(),
      runtime,
      { counts: () => null, openJobs: () => 0, lagMs: () => 0, cancelled: () => {} },
      { submitMs: SUBMIT_MS, pollMs: POLL_MS },
    );
  }

  /** The answer, and after how many milliseconds it came. */
  async timed(asked: Promise<Answer>): Promise<Answer & { afterMs: number }> {
    const from = this.clock.now();
    let got: Answer | null = null;
    void asked.then((a) => (got = a));
    for (let ms = 0; got === null && ms < 10_000; ms += 10) await this.clock.advance(10);
    return { ...got!, afterMs: this.clock.now() - from };
  }
}

test('a submission or cancellation that the store refuses for its rate is answered at once', async () => {
  const nodes = new Nodes();
  let limited = false;
  const api = await nodes.add('berth-0', () => (limited ? 'rate' : 'serve'));
  assert.equal((await nodes.timed(api.submit(job(1)))).status, 201);
  limited = true;
  for (const asked of [api.submit(job(2)), api.abort('req-1')]) {
    const answer = await nodes.timed(asked);
    assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    assert.ok(answer.afterMs <= 50, `held for ${answer.afterMs} ms`);
  }
});

test('a submission behind a long queue of writes is told at once when the queue will be short', async () => {
  const nodes = new Nodes();
  const api = await nodes.add('berth-0', () => 'serve');
  // The node's share of the writes is 21 a second: the last of these would wait nearly 5 s.
  const asked = Array.from({ length: 110 }, (_, n) => api.submit(job(n + 1)));
  const last = await nodes.timed(asked[109]!);
  assert.equal(last.status, 503);
  assert.ok(last.afterMs <= 50, `held for ${last.afterMs} ms`);
  assert.ok(last.retryAfter! >= 1 && last.retryAfter! <= 5, `come back in ${last.retryAfter} s`);
  assert.equal((await nodes.timed(asked[0]!)).status, 201);
});

test('a cancellation is not sent away for a queue of writes behind which it can be confirmed', async () => {
  const nodes = new Nodes();
  const api = await nodes.add('berth-0', () => 'serve');
  await nodes.timed(api.submit(job(1000)));
  // The queue is as long as submissions are let in: a second's writes.
  const asked = Array.from({ length: 50 }, (_, n) => api.submit(job(n + 1)));
  const refused = await nodes.timed(api.submit(job(999)));
  assert.equal(refused.status, 503);
  const answer = await nodes.timed(api.abort('req-1000'));
  assert.match(JSON.stringify(answer), /withdrawn/);
  await nodes.timed(asked[0]!);
});

test('a submission that was carried out, its answer lost, is told as accepted by the second copy', async () => {
  const nodes = new Nodes();
  let lost = 0;
  const api = await nodes.add('berth-0', (path) =>
    path === '/txn' && lost++ === 0 ? 'lose answer' : 'serve',
  );
  const answer = await nodes.timed(api.submit(job(1)));
  assert.equal(answer.status, 200);
  assert.ok(answer.afterMs < 600, `after ${answer.afterMs} ms`);
});

test('a cancellation whose answer is lost is told within a second, and only once is it written', async () => {
  const nodes = new Nodes();
  let lost = 0;
  const api = await nodes.add('berth-0', (path) =>
    path === '/txn' && lost-- === 1 ? 'lose answer' : 'serve',
  );
  await nodes.timed(api.submit(job(1)));
  lost = 1;
  const answer = await nodes.timed(api.abort('req-1'));
  assert.match(JSON.stringify(answer), /withdrawn/);
  assert.ok(answer.afterMs < 600, `after ${answer.afterMs} ms`);
  const { stamp } = nodes.store.keys.get('jobs/req-1')!;
  await nodes.clock.advance(5000);
  assert.equal(nodes.store.keys.get('jobs/req-1')!.stamp, stamp);
});

test('a submission that is answered late, but within a moment, is sent once', async () => {
  const nodes = new Nodes();
  const api = await nodes.add('berth-0', () => 'serve');
  assert.equal((await nodes.timed(api.submit(job(1)))).status, 201);
  assert.equal(nodes.sent.length, 1);
});

test('a submission without any answer gets its final answer after the second copy', async () => {
  const nodes = new Nodes();
  const api = await nodes.add('berth-0', () => 'lose request');
  const answer = await nodes.timed(api.submit(job(1)));
  assert.equal(answer.status, 503);
  assert.ok(answer.afterMs < SUBMIT_MS / 2, `held for ${answer.afterMs} ms`);
});

for (const fate of ['rate', 'refuse'] as const) {
  test(`a question that the store does not answer (${fate}) is not held for its whole time`, async () => {
    const nodes = new Nodes();
    let troubled = false;
    const api = await nodes.add('berth-0', () => (troubled ? fate : 'serve'));
    await nodes.timed(api.submit(job(1)));
    troubled = true;
    const answer = await nodes.timed(api.query('req-1'));
    assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    assert.ok(answer.afterMs <= POLL_MS / 8, `held for ${answer.afterMs} ms`);
    // Nothing is asked any more for those who have their answer.
    const before = nodes.sent.length;
    await nodes.clock.advance(5000);
    assert.equal(nodes.sent.length, before);
    troubled = false;
    assert.equal((await nodes.timed(api.query('req-1'))).status, 200);
  });
}

test('one lost answer of a comparison does not cost the questions that shared it', async () => {
  const nodes = new Nodes();
  let lose = false;
  const api = await nodes.add('berth-0', (path) => {
    if (path !== '/txn' || !lose) return 'serve';
    lose = false;
    return 'lose answer';
  });
  await nodes.timed(api.submit(job(1)));
  lose = true;
  const [known, unknown] = [api.query('req-1'), api.query('req-2')];
  assert.equal((await nodes.timed(known)).status, 200);
  assert.equal((await nodes.timed(unknown)).status, 404);
});

test('one unreadable record costs only the questions about it', async () => {
  const nodes = new Nodes();
  const api = await nodes.add('berth-0', () => 'serve');
  await nodes.timed(api.submit(job(1)));
  nodes.store.keys.set('jobs/req-2', { value: { phase: 'odd' }, stamp: 77, hold: null });
  const [readable, unreadable] = [api.query('req-1'), api.query('req-2')];
  assert.equal((await nodes.timed(unreadable)).status, 503);
  assert.equal((await nodes.timed(readable)).status, 200);
  const before = nodes.sent.length;
  await nodes.clock.advance(5000);
  assert.equal(nodes.sent.length, before);
});

test('a cancellation that lands late is told by every node from the moment one of them tells it', async () => {
  const nodes = new Nodes();
  let late = false;
  const first = await nodes.add('berth-0', (path) =>
    late && path === '/txn' ? 'apply late' : 'serve',
  );
  const second = await nodes.add('berth-1', () => 'serve');
  await nodes.timed(first.submit(job(1)));
  await nodes.timed(second.query('req-1'));
  late = true;
  assert.equal((await nodes.timed(first.abort('req-1'))).status, 503);
  late = false;
  assert.match(JSON.stringify(await nodes.timed(first.query('req-1'))), /pending/);
  for (const apply of nodes.store.late.splice(0)) apply();
  for (const api of [second, first, second]) {
    assert.match(JSON.stringify(await nodes.timed(api.query('req-1'))), /withdrawn/);
    assert.match(JSON.stringify(await nodes.timed(api.submit(job(1)))), /withdrawn/);
  }
});

test('a late copy of a submission does not bring back a job that was cancelled meanwhile', async () => {
  const nodes = new Nodes();
  const first = await nodes.add('berth-0', (path) => (path === '/txn' ? 'apply late' : 'serve'));
  const second = await nodes.add('berth-1', () => 'serve');
  assert.equal((await nodes.timed(first.submit(job(1)))).status, 503);
  assert.equal((await nodes.timed(second.submit(job(1)))).status, 201);
  assert.match(JSON.stringify(await nodes.timed(second.abort('req-1'))), /withdrawn/);
  for (const apply of nodes.store.late.splice(0)) assert.equal(apply().status, 409);
  assert.match(JSON.stringify(await nodes.timed(second.query('req-1'))), /withdrawn/);
});
