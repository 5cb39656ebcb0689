import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

test('a leader that stood still for longer than its lease orders nothing when it goes on', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 4, runMs: 0, urgency: 'production' });
  await w.until(() => w.running(job) === 4, 10, 'replicas run');
  const old = w.leader;
  w.freeze(old, 12_000);
  await w.until(() => w.leader === 1 - old, 10, 'another leads');
  const more = await w.submit({ pieces: 6, runMs: 8000 }, 1 - old);
  await w.pass(40);
  assert.equal(w.running(job), 4);
  assert.equal(await w.phase(more, 1 - old), 'done');
  assert.equal(await w.phase(more, old), 'done');
  assert.equal(w.starts.length, 10, 'nothing was started twice');
  await w.close();
});

test('a leader that stood still between a record and its launch leaves the start to the next', async () => {
  const w = new World(FOUR);
  await w.start();
  const old = w.leader;
  const job = await w.submit({ pieces: 3, runMs: 8000 }, 1 - old);
  while (w.store.get(`runs/${job}/0`) === undefined) await w.clock.advance(1);
  w.freeze(old, 9000);
  await w.until(() => w.running(job) === 3, 25, 'it runs all the same');
  await w.pass(25);
  assert.equal(await w.phase(job, 1 - old), 'done');
  assert.equal(w.starts.length, 3);
  await w.close();
});

test('a leader that stood still within its lease keeps office, though it heard nobody meanwhile', async () => {
  const w = new World(FOUR);
  await w.start();
  const old = w.leader;
  const token = w.store.keys.get('leader')!.stamp;
  // Its lease lasts 3 s and is renewed every 0.6 s.
  w.freeze(old, 2000);
  await w.pass(10);
  assert.equal(w.store.keys.get('leader')!.stamp, token);
  const job = await w.submit({ pieces: 3 }, old);
  await w.until(() => w.running(job) === 3, 5, 'it decides soon after');
  await w.close();
});

test('a follower that stood still after a pledge contests nothing on the strength of old answers', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 2, runMs: 60_000 });
  await w.until(() => w.running(job) === 2, 10, 'runs');
  const old = w.leader;
  w.store.down = true;
  await w.pass(2);
  w.freeze(1 - old, 6000);
  await w.pass(3);
  w.store.restore();
  await w.pass(30);
  assert.equal(w.starts.filter((s) => s.startsWith(job)).length <= 4, true);
  await w.until(() => w.running(job) === 2, 10, 'it runs, once');
  await w.close();
});

test('workers are not sent to a leader that has fallen silent, until it is known to hold office', async () => {
  const w = new World(FOUR);
  await w.start();
  const leader = w.leader;
  // Of the leader's zone: those of the follower's own it would keep alive itself.
  const worker = [...w.workers.values()].find((x) => x.yard === (leader === 1 ? 'b' : 'a'));
  const named = async (): Promise<unknown> => {
    const answer = w.deliver(1 - leader, worker!.body());
    await w.clock.advance(20);
    return ((await answer).body as { foreman?: string }).foreman ?? null;
  };
  const name = w.nodes[leader]!.name;
  assert.equal(await named(), name);
  w.wire.cut.add(name);
  await w.pass(2.5);
  assert.equal(await named(), null);
  await w.pass(3);
  assert.equal(w.leader, leader);
  assert.equal(await named(), name);
  await w.close();
});
