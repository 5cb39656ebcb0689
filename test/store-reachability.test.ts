import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Clock } from '@leverhatch/core/clock';
import { probeStore } from '../src/state/probe.js';
import { FakeClock } from './fakes/clock.js';
import { World } from './fakes/world.js';

const TWO = [{ yard: 'a' }, { yard: 'b' }];

test('a controller that the store refuses alone lets its users go to others', async () => {
  const w = new World(TWO, 3);
  await w.start();
  const ready = (): boolean[] => w.nodes.map((n) => n.controller!.ready());
  assert.deepEqual(ready(), [true, true, true]);
  const cut = (w.leader + 1) % 3;
  w.nodes[cut]!.fate = () => 'refuse';
  const job = await w.submit({ pieces: 1 }, w.leader);
  void w.user(cut).query(job);
  await w.pass(7);
  assert.deepEqual(
    ready(),
    [0, 1, 2].map((i) => i !== cut),
  );
  w.nodes[cut]!.fate = () => 'serve';
  await w.pass(4);
  assert.deepEqual(ready(), [true, true, true]);
  await w.close();
});

test('in an outage that all meet every controller goes on answering users', async () => {
  const w = new World(TWO, 3);
  await w.start();
  w.store.down = true;
  for (let i = 0; i < 12; i++) {
    await w.pass(1);
    for (const [i, { controller }] of w.nodes.entries()) {
      assert.equal(controller!.ready(), true);
      const answer = await w.ask(w.user(i).query('req-000001'));
      assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    }
  }
  await w.close();
});

for (const how of ['refuse', 'lose request'] as const) {
  test(`a controller for which the store does nothing but ${how} knows it without a question, and holds nobody`, async () => {
    const w = new World(TWO, 3);
    await w.start();
    const job = await w.submit({ shape: 'service', runMs: 0 }, w.leader);
    const cut = (w.leader + 1) % 3;
    w.nodes[cut]!.fate = () => how;
    // One request without an answer, and what its peers say after another report interval.
    await w.pass(4);
    assert.equal(w.nodes[cut]!.controller!.ready(), false);
    for (const ask of [
      () => w.user(cut).query(job),
      () => w.user(cut).abort(job),
      () => w.user(cut).submit(w.wish({}).body),
    ]) {
      const from = w.clock.now();
      const answer = ask();
      await w.clock.advance(150);
      assert.equal((await w.ask(answer)).status, 503);
      assert.ok(w.clock.now() - from <= 400, `held for ${w.clock.now() - from} ms`);
    }
    w.nodes[cut]!.fate = () => 'serve';
    await w.pass(1.5);
    assert.equal(w.nodes[cut]!.controller!.ready(), true);
    assert.equal(await w.phase(job, cut), 'running');
    await w.close();
  });
}

test('the probe of the store wakes up no more often than a probe can fall due', async () => {
  const clock = new FakeClock();
  let wakes = 0;
  const counting: Clock = {
    now: () => clock.now(),
    wall: () => clock.wall(),
    sleep: (ms, signal) => {
      wakes++;
      return clock.sleep(ms, signal);
    },
  };
  const asked: number[] = [];
  const store = {
    answeredAt: 0,
    get: () => {
      asked.push(clock.now());
      store.answeredAt = clock.now();
      return Promise.resolve(null);
    },
  };
  const stop = new AbortController();
  const probing = probeStore(store, counting, 1000, stop.signal);
  await clock.advance(60_000);
  assert.ok(asked.length >= 45 && asked.length <= 60, `${asked.length} probes in a minute`);
  assert.ok(wakes <= 62, `${wakes} times awake for an idle controller`);
  const before = asked.length;
  wakes = 0;
  // Other requests are answered all the time, as a leader's are.
  for (let i = 0; i < 600; i++) {
    store.answeredAt = clock.now();
    await clock.advance(100);
  }
  assert.equal(asked.length, before);
  assert.ok(wakes <= 62, `${wakes} times awake for a busy controller`);
  stop.abort();
  await probing;
});
