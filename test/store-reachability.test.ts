import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Clock } from '@leverhatch/core/clock';
import { probeStore } from '../src/state/store-probe.js';
import { FakeClock } from './fakes/clock.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const TWO = [{ yard: 'a' }, { yard: 'b' }];

test('a controller that the store refuses alone lets its users go to others', async () => {
  const simulatedCluster = new SimulatedCluster(TWO, 3);
  await simulatedCluster.start();
  const ready = (): boolean[] => simulatedCluster.nodes.map((node) => node.controller!.ready());
  assert.deepEqual(ready(), [true, true, true]);
  const cut = (simulatedCluster.leader + 1) % 3;
  simulatedCluster.nodes[cut]!.fate = () => 'refuse';
  const job = await simulatedCluster.submit({ pieces: 1 }, simulatedCluster.leader);
  void simulatedCluster.user(cut).query(job);
  await simulatedCluster.pass(7);
  assert.deepEqual(
    ready(),
    [0, 1, 2].map((i) => i !== cut),
  );
  simulatedCluster.nodes[cut]!.fate = () => 'serve';
  await simulatedCluster.pass(4);
  assert.deepEqual(ready(), [true, true, true]);
  await simulatedCluster.close();
});

test('in an outage that all meet every controller goes on answering users', async () => {
  const simulatedCluster = new SimulatedCluster(TWO, 3);
  await simulatedCluster.start();
  simulatedCluster.store.down = true;
  for (let i = 0; i < 12; i++) {
    await simulatedCluster.pass(1);
    for (const [i, { controller }] of simulatedCluster.nodes.entries()) {
      assert.equal(controller!.ready(), true);
      const answer = await simulatedCluster.ask(simulatedCluster.user(i).query('req-000001'));
      assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    }
  }
  await simulatedCluster.close();
});

for (const how of ['refuse', 'lose request'] as const) {
  test(`a controller for which the store does nothing but ${how} knows it without a question, and holds nobody`, async () => {
    const simulatedCluster = new SimulatedCluster(TWO, 3);
    await simulatedCluster.start();
    const job = await simulatedCluster.submit(
      { shape: 'service', runMs: 0 },
      simulatedCluster.leader,
    );
    const cut = (simulatedCluster.leader + 1) % 3;
    simulatedCluster.nodes[cut]!.fate = () => how;
    // One request without an answer, and what its peers say after another heartbeat interval.
    await simulatedCluster.pass(4);
    assert.equal(simulatedCluster.nodes[cut]!.controller!.ready(), false);
    for (const ask of [
      () => simulatedCluster.user(cut).query(job),
      () => simulatedCluster.user(cut).abort(job),
      () => simulatedCluster.user(cut).submit(simulatedCluster.wish({}).body),
    ]) {
      const from = simulatedCluster.clock.now();
      const answer = ask();
      await simulatedCluster.clock.advance(150);
      assert.equal((await simulatedCluster.ask(answer)).status, 503);
      assert.ok(
        simulatedCluster.clock.now() - from <= 400,
        `held for ${simulatedCluster.clock.now() - from} ms`,
      );
    }
    simulatedCluster.nodes[cut]!.fate = () => 'serve';
    await simulatedCluster.pass(1.5);
    assert.equal(simulatedCluster.nodes[cut]!.controller!.ready(), true);
    assert.equal(await simulatedCluster.phase(job, cut), 'running');
    await simulatedCluster.close();
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
    lastServedAt: 0,
    get: () => {
      asked.push(clock.now());
      store.lastServedAt = clock.now();
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
    store.lastServedAt = clock.now();
    await clock.advance(100);
  }
  assert.equal(asked.length, before);
  assert.ok(wakes <= 62, `${wakes} times awake for a busy controller`);
  stop.abort();
  await probing;
});
