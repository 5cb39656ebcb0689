import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GangGate } from '../src/control/gang-gate.js';
import { Job } from '../src/jobs/tracked-job.js';
import { OPERATOR_DEFAULTS } from '../src/settings/operator.js';
import { SPEC } from './fakes/samples.js';
import { World } from './fakes/world.js';

interface Run {
  gang?: { phase: string };
  placed: unknown[];
}

const gangOf = (w: World, ref: string): string =>
  (w.store.get(`runs/${ref}/0`) as Run | undefined)?.gang?.phase ?? 'queued';

test('a gang whose room is free passes at once and starts as a whole', async () => {
  const w = new World([{ yard: 'a' }, { yard: 'a' }]);
  await w.start();
  const job = await w.submit({ shape: 'gang', pieces: 2, gpus: 8, samePlace: true });
  await w.until(() => w.running(job) === 2, 10, 'both run');
  await w.until(() => gangOf(w, job) === 'started', 2, 'ready');
  await w.pass(30);
  assert.equal(await w.phase(job), 'done');
  await w.close();
});

test('the gate admits one gang at a time to wait for room; room for the next is rented ahead', async () => {
  const w = new World([{ yard: 'a' }]);
  await w.start();
  const first = await w.submit({ shape: 'gang', pieces: 2, gpus: 8, runMs: 100_000 });
  const second = await w.submit({ shape: 'gang', pieces: 2, gpus: 8, crew: 'speech' });
  await w.until(() => gangOf(w, first) === 'admitted', 10, 'the first is admitted');
  const admittedAt = w.clock.now();
  while (w.running(first) < 2) {
    assert.notEqual(gangOf(w, second), 'admitted');
    await w.pass(1);
    assert.ok(w.clock.now() < 100_000);
  }
  // Both had to wait for machines, but for the same boot.
  await w.until(() => w.running(second) === 2, 20, 'the second runs');
  assert.ok(w.clock.now() - admittedAt < 80_000);
  await w.close();
});

test('an array passes while the gate is shut', async () => {
  const w = new World([{ yard: 'a' }]);
  await w.start();
  const gang = await w.submit({ shape: 'gang', pieces: 3, gpus: 8 });
  await w.until(() => gangOf(w, gang) === 'admitted', 10, 'admitted');
  const array = await w.submit({ pieces: 4, crew: 'speech', urgency: 'urgent' });
  await w.until(() => w.running(array) === 4, 60, 'the array runs');
  await w.close();
});

test('a gang past its timeout is stopped whole, waits, and is tried again', async () => {
  const w = new World([{ yard: 'a' }, { yard: 'a' }]);
  await w.start();
  // One of the machines never gets the image, so that the gang is never ready.
  const job = await w.submit({ shape: 'gang', pieces: 2, gpus: 8, fetchMs: 10_000_000 });
  await w.until(() => gangOf(w, job) === 'placed', 10, 'placed');
  await w.until(() => gangOf(w, job) === 'suspended', 80, 'suspended');
  await w.until(() => w.on(job).length === 0, 5, 'nothing of it is left');
  w.facts.get(job)!.fetchMs = 1000;
  await w.pass(20);
  assert.equal(w.on(job).length, 0);
  await w.until(() => w.running(job) === 2, 20, 'placed again after its wait');
  await w.close();
});

test('however often a gang is suspended, it does not wait for minutes beside free room', () => {
  const gate = new GangGate(OPERATOR_DEFAULTS);
  const job = new Job('req-1', { ...SPEC, kind: 'gang' }, 0, 1, 100);
  const waits = Array.from({ length: 5 }, () => {
    gate.admit(job, 1000);
    gate.suspend(job, 1000);
    return (job.gang!.until - 1000) / 1000;
  });
  assert.deepEqual(waits, [30, 60, 60, 60, 60]);
});

test('a silent cloud does not cost a gang its admission', async () => {
  const w = new World([{ yard: 'a' }]);
  await w.start();
  w.cloud.down = true;
  await w.pass(6);
  const job = await w.submit({ shape: 'gang', pieces: 2, gpus: 8 });
  await w.until(() => gangOf(w, job) === 'admitted', 10, 'admitted');
  await w.pass(120);
  assert.equal(gangOf(w, job), 'admitted');
  w.cloud.down = false;
  await w.until(() => w.running(job) === 2, 70, 'runs');
  await w.close();
});

test('a gang that loses a machine starts again as a whole and only when its rest is gone', async () => {
  const w = new World([{ yard: 'a' }, { yard: 'a' }, { yard: 'a' }]);
  await w.start();
  const job = await w.submit({ shape: 'gang', pieces: 2, gpus: 8, runMs: 60_000 });
  await w.until(() => w.running(job) === 2, 10, 'runs');
  [...w.workers.values()].find((x) => x.pieces.length > 0)!.dead = true;
  await w.until(() => w.starts.length === 4, 25, 'both start again');
  await w.until(() => w.running(job) === 2, 5, 'runs again');
  const attempts = new Set(w.on(job).map((p) => p.attempt));
  assert.equal(attempts.size, 1);
  await w.close();
});

test('a takeover in the middle of an admission keeps the gate shut for others', async () => {
  const w = new World([{ yard: 'a' }]);
  await w.start();
  const first = await w.submit({ shape: 'gang', pieces: 2, gpus: 8 });
  await w.until(() => gangOf(w, first) === 'admitted', 10, 'admitted');
  const rented = w.cloud.hosts.size;
  const old = w.leader;
  w.crash(old);
  const second = await w.submit({ shape: 'gang', pieces: 2, gpus: 8, crew: 'speech' }, 1 - old);
  while (w.running(first) < 2) {
    assert.notEqual(gangOf(w, second), 'admitted');
    assert.ok(w.cloud.hosts.size <= Math.max(4, rented));
    await w.pass(1);
    assert.ok(w.clock.now() < 150_000);
  }
  await w.until(() => w.running(second) === 2, 90, 'the second runs');
  await w.close();
});
