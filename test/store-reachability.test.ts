import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Clock } from '@leverhatch/core/clock';
import { probeStore } from '../src/state/store-probe.js';
import { FakeClock } from './fakes/clock.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const TWO_MACHINES = [{ yard: 'a' }, { yard: 'b' }];

test('a controller refused by the store while others are served becomes unready so that its users are routed to others', async () => {
  const simulatedCluster = new SimulatedCluster(TWO_MACHINES, 3);
  await simulatedCluster.start();
  const ready = (): boolean[] => simulatedCluster.nodes.map((node) => node.controller!.ready());
  assert.deepEqual(ready(), [true, true, true]);
  const refused = (simulatedCluster.leader + 1) % 3;
  simulatedCluster.nodes[refused]!.storeOutcome = () => 'refuse';
  const job = await simulatedCluster.submit({ pieces: 1 }, simulatedCluster.leader);
  void simulatedCluster.user(refused).query(job);
  await simulatedCluster.advance(7);
  assert.deepEqual(
    ready(),
    [0, 1, 2].map((i) => i !== refused),
  );
  simulatedCluster.nodes[refused]!.storeOutcome = () => 'serve';
  await simulatedCluster.advance(4);
  assert.deepEqual(ready(), [true, true, true]);
  await simulatedCluster.close();
});

test('in a store outage for all controllers every controller stays ready and answers users', async () => {
  const simulatedCluster = new SimulatedCluster(TWO_MACHINES, 3);
  await simulatedCluster.start();
  simulatedCluster.store.down = true;
  for (let i = 0; i < 12; i++) {
    await simulatedCluster.advance(1);
    for (const [i, { controller }] of simulatedCluster.nodes.entries()) {
      assert.equal(controller!.ready(), true);
      const answer = await simulatedCluster.ask(simulatedCluster.user(i).query('req-000001'));
      assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    }
  }
  await simulatedCluster.close();
});

for (const fate of ['refuse', 'lose request'] as const) {
  test(`a controller whose store requests all end with '${fate}' becomes unready without user requests and delays no answer`, async () => {
    const simulatedCluster = new SimulatedCluster(TWO_MACHINES, 3);
    await simulatedCluster.start();
    const job = await simulatedCluster.submit(
      { shape: 'service', runMs: 0 },
      simulatedCluster.leader,
    );
    const refused = (simulatedCluster.leader + 1) % 3;
    simulatedCluster.nodes[refused]!.storeOutcome = () => fate;
    // One request has to time out, and its peers report the store's status an interval later.
    await simulatedCluster.advance(4);
    assert.equal(simulatedCluster.nodes[refused]!.controller!.ready(), false);
    for (const request of [
      () => simulatedCluster.user(refused).query(job),
      () => simulatedCluster.user(refused).abort(job),
      () => simulatedCluster.user(refused).submit(simulatedCluster.createSubmission({}).body),
    ]) {
      const startedAt = simulatedCluster.clock.now();
      const answer = request();
      await simulatedCluster.clock.advance(150);
      assert.equal((await simulatedCluster.ask(answer)).status, 503);
      assert.ok(
        simulatedCluster.clock.now() - startedAt <= 400,
        `answered after ${simulatedCluster.clock.now() - startedAt} ms`,
      );
    }
    simulatedCluster.nodes[refused]!.storeOutcome = () => 'serve';
    await simulatedCluster.advance(1.5);
    assert.equal(simulatedCluster.nodes[refused]!.controller!.ready(), true);
    assert.equal(await simulatedCluster.phase(job, refused), 'running');
    await simulatedCluster.close();
  });
}

test('the store probe wakes up no more often than a probe can become due', async () => {
  const clock = new FakeClock();
  let wakeUps = 0;
  const countingClock: Clock = {
    now: () => clock.now(),
    wall: () => clock.wall(),
    sleep: (ms, signal) => {
      wakeUps++;
      return clock.sleep(ms, signal);
    },
  };
  const probedAt: number[] = [];
  const store = {
    lastServedAt: 0,
    get: () => {
      probedAt.push(clock.now());
      store.lastServedAt = clock.now();
      return Promise.resolve(null);
    },
  };
  const stop = new AbortController();
  const probing = probeStore(store, countingClock, 1000, stop.signal);
  await clock.advance(60_000);
  assert.ok(
    probedAt.length >= 45 && probedAt.length <= 60,
    `${probedAt.length} probes in a minute`,
  );
  assert.ok(wakeUps <= 62, `${wakeUps} wake-ups of an idle controller`);
  const before = probedAt.length;
  wakeUps = 0;
  // Other requests are answered continuously, like those of a leader.
  for (let i = 0; i < 600; i++) {
    store.lastServedAt = clock.now();
    await clock.advance(100);
  }
  assert.equal(probedAt.length, before);
  assert.ok(wakeUps <= 62, `${wakeUps} wake-ups of a busy controller`);
  stop.abort();
  await probing;
});
