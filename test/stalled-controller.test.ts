import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

test('a leader that stood still for longer than its lease orders nothing when it goes on', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({
    shape: 'service',
    pieces: 4,
    runMs: 0,
    urgency: 'production',
  });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const old = simulatedCluster.leader;
  simulatedCluster.freeze(old, 12_000);
  await simulatedCluster.until(() => simulatedCluster.leader === 1 - old, 10, 'another leads');
  const more = await simulatedCluster.submit({ pieces: 6, runMs: 8000 }, 1 - old);
  await simulatedCluster.pass(40);
  assert.equal(simulatedCluster.running(job), 4);
  assert.equal(await simulatedCluster.phase(more, 1 - old), 'done');
  assert.equal(await simulatedCluster.phase(more, old), 'done');
  assert.equal(simulatedCluster.starts.length, 10, 'nothing was started twice');
  await simulatedCluster.close();
});

test('a leader that stood still between a record and its launch leaves the start to the next', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const old = simulatedCluster.leader;
  const job = await simulatedCluster.submit({ pieces: 3, runMs: 8000 }, 1 - old);
  while (simulatedCluster.store.get(`runs/${job}/0`) === undefined)
    await simulatedCluster.clock.advance(1);
  simulatedCluster.freeze(old, 9000);
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 3,
    25,
    'it runs all the same',
  );
  await simulatedCluster.pass(25);
  assert.equal(await simulatedCluster.phase(job, 1 - old), 'done');
  assert.equal(simulatedCluster.starts.length, 3);
  await simulatedCluster.close();
});

test('a leader that stood still within its lease keeps office, though it heard nobody meanwhile', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const old = simulatedCluster.leader;
  const fencingToken = simulatedCluster.store.keys.get('leader')!.stamp;
  // Its lease lasts 3 s and is renewed every 0.6 s.
  simulatedCluster.freeze(old, 2000);
  await simulatedCluster.pass(10);
  assert.equal(simulatedCluster.store.keys.get('leader')!.stamp, fencingToken);
  const job = await simulatedCluster.submit({ pieces: 3 }, old);
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 3,
    5,
    'it decides soon after',
  );
  await simulatedCluster.close();
});

test('a follower that stood still after a pledge contests nothing on the strength of old answers', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 2, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'runs');
  const old = simulatedCluster.leader;
  simulatedCluster.store.down = true;
  await simulatedCluster.pass(2);
  simulatedCluster.freeze(1 - old, 6000);
  await simulatedCluster.pass(3);
  simulatedCluster.store.restore();
  await simulatedCluster.pass(30);
  assert.equal(simulatedCluster.starts.filter((start) => start.startsWith(job)).length <= 4, true);
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'it runs, once');
  await simulatedCluster.close();
});

test('workers are not sent to a leader that has fallen silent, until it is known to hold office', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const leader = simulatedCluster.leader;
  // Of the leader's zone: those of the follower's own it would keep alive itself.
  const worker = [...simulatedCluster.workers.values()].find(
    (x) => x.yard === (leader === 1 ? 'b' : 'a'),
  );
  const named = async (): Promise<unknown> => {
    const answer = simulatedCluster.deliver(1 - leader, worker!.body());
    await simulatedCluster.clock.advance(20);
    return ((await answer).body as { foreman?: string }).foreman ?? null;
  };
  const name = simulatedCluster.nodes[leader]!.name;
  assert.equal(await named(), name);
  simulatedCluster.wire.cut.add(name);
  await simulatedCluster.pass(2.5);
  assert.equal(await named(), null);
  await simulatedCluster.pass(3);
  assert.equal(simulatedCluster.leader, leader);
  assert.equal(await named(), name);
  await simulatedCluster.close();
});
