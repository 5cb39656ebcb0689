import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const far = (w: World): string => (w.leader === 0 ? 'b' : 'a');

test('work in a zone that the leader cannot reach goes on, and the leader knows', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 });
  await w.until(() => w.running(job) === 4, 10, 'replicas run');
  w.split(true);
  await w.pass(30);
  assert.equal(w.running(job), 4);
  assert.equal(w.starts.length, 4);
  w.split(false);
  await w.pass(10);
  assert.equal(w.running(job), 4);
  assert.equal(w.starts.length, 4);
  // The leader commands the zone again.
  await w.ask(w.user(w.leader).abort(job));
  await w.until(() => w.on(job).length === 0, 5, 'gone');
  await w.close();
});

test('a job that is cancelled leaves the cut-off zone too', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 });
  await w.until(() => w.running(job) === 4, 10, 'replicas run');
  w.split(true);
  await w.pass(12);
  await w.ask(w.user(w.leader).abort(job));
  await w.until(() => w.on(job).length === 0, 25, 'gone in both zones');
  await w.close();
});

test('a machine that dies behind the cut is given up only when no zone delegate can have answered it', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 4, gpus: 8, runMs: 100_000 });
  await w.until(() => w.running(job) === 4, 10, 'all run');
  const zone = far(w);
  w.split(true);
  await w.pass(12);
  const lost = [...w.workers.values()].find((x) => x.yard === zone)!;
  lost.dead = true;
  w.cloud.hosts.delete(lost.id);
  await w.pass(10);
  // Both the kept machine and the dead one are silent to the leader: neither is taken for gone.
  assert.equal(w.starts.length, 4);
  w.split(false);
  await w.until(() => w.starts.length === 5, 70, 'the lost task starts again');
  assert.equal(w.running(job), 4);
  await w.close();
});

test('a zone goes on when the leader ends during the cut and another takes office behind it', async () => {
  const w = new World(FOUR, 3);
  await w.start();
  // The leader to end is in zone a, where another controller stays.
  if (w.leader === 1) {
    w.crash(1);
    await w.until(() => w.leader !== 1 && w.leader >= 0, 10, 'another leads');
    w.restart(1);
  }
  const old = w.leader;
  const other = old === 0 ? 2 : 0;
  const job = await w.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 }, other);
  await w.until(() => w.running(job) === 4, 10, 'replicas run');
  const before = w.starts.length;
  w.split(true);
  await w.pass(6);
  w.crash(old);
  await w.until(() => w.leader !== old && w.leader >= 0, 10, 'another leads');
  await w.pass(20);
  assert.equal(w.running(job), 4);
  w.split(false);
  await w.pass(12);
  assert.equal(w.running(job), 4);
  assert.equal(w.starts.length, before);
  await w.ask(w.user(w.leader).abort(job));
  await w.until(() => w.on(job).length === 0, 6, 'gone');
  await w.close();
});
