import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GangGate, isGangJob } from '../src/control/admission/gang-gate.js';
import { Job } from '../src/jobs/tracked-job.js';
import { OPERATOR_DEFAULTS } from '../src/settings/operator.js';
import { SPEC } from './fakes/samples.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

interface Run {
  gang?: { phase: string };
  placed: unknown[];
}

const gangOf = (cluster: SimulatedCluster, ref: string): string =>
  (cluster.store.get(`runs/${ref}/0`) as Run | undefined)?.gang?.phase ?? 'queued';

test('a gang whose room is free passes at once and starts as a whole', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }]);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'gang', pieces: 2, gpus: 8, samePlace: true });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'both run');
  await simulatedCluster.until(() => gangOf(simulatedCluster, job) === 'started', 2, 'ready');
  await simulatedCluster.pass(30);
  assert.equal(await simulatedCluster.phase(job), 'done');
  await simulatedCluster.close();
});

test('the gate admits one gang at a time to wait for room; room for the next is rented ahead', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const first = await simulatedCluster.submit({
    shape: 'gang',
    pieces: 2,
    gpus: 8,
    runMs: 100_000,
  });
  const second = await simulatedCluster.submit({
    shape: 'gang',
    pieces: 2,
    gpus: 8,
    crew: 'speech',
  });
  await simulatedCluster.until(
    () => gangOf(simulatedCluster, first) === 'admitted',
    10,
    'the first is admitted',
  );
  const admittedAt = simulatedCluster.clock.now();
  while (simulatedCluster.running(first) < 2) {
    assert.notEqual(gangOf(simulatedCluster, second), 'admitted');
    await simulatedCluster.pass(1);
    assert.ok(simulatedCluster.clock.now() < 100_000);
  }
  // Both had to wait for machines, but for the same boot.
  await simulatedCluster.until(() => simulatedCluster.running(second) === 2, 20, 'the second runs');
  assert.ok(simulatedCluster.clock.now() - admittedAt < 80_000);
  await simulatedCluster.close();
});

test('an array passes while the gate is shut', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const gang = await simulatedCluster.submit({ shape: 'gang', pieces: 3, gpus: 8 });
  await simulatedCluster.until(() => gangOf(simulatedCluster, gang) === 'admitted', 10, 'admitted');
  const array = await simulatedCluster.submit({ pieces: 4, crew: 'speech', urgency: 'urgent' });
  await simulatedCluster.until(() => simulatedCluster.running(array) === 4, 60, 'the array runs');
  await simulatedCluster.close();
});

test('a gang past its timeout is stopped whole, waits, and is tried again', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }]);
  await simulatedCluster.start();
  // One of the machines never gets the image, so that the gang is never ready.
  const job = await simulatedCluster.submit({
    shape: 'gang',
    pieces: 2,
    gpus: 8,
    fetchMs: 10_000_000,
  });
  await simulatedCluster.until(() => gangOf(simulatedCluster, job) === 'placed', 10, 'placed');
  await simulatedCluster.until(
    () => gangOf(simulatedCluster, job) === 'suspended',
    80,
    'suspended',
  );
  await simulatedCluster.until(
    () => simulatedCluster.on(job).length === 0,
    5,
    'nothing of it is left',
  );
  simulatedCluster.facts.get(job)!.fetchMs = 1000;
  await simulatedCluster.pass(20);
  assert.equal(simulatedCluster.on(job).length, 0);
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 2,
    20,
    'placed again after its wait',
  );
  await simulatedCluster.close();
});

test('however often a gang is suspended, it does not wait for minutes beside free room', () => {
  const gate = new GangGate(OPERATOR_DEFAULTS);
  const job = new Job('req-1', { ...SPEC, kind: 'gang' }, 0, 1, 100);
  assert.ok(isGangJob(job));
  const waits = Array.from({ length: 5 }, () => {
    gate.admit(job, 1000);
    gate.suspend(job, 1000);
    return (job.gang.suspendedUntil - 1000) / 1000;
  });
  assert.deepEqual(waits, [30, 60, 60, 60, 60]);
});

test('a silent cloud does not cost a gang its admission', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  simulatedCluster.cloud.down = true;
  await simulatedCluster.pass(6);
  const job = await simulatedCluster.submit({ shape: 'gang', pieces: 2, gpus: 8 });
  await simulatedCluster.until(() => gangOf(simulatedCluster, job) === 'admitted', 10, 'admitted');
  await simulatedCluster.pass(120);
  assert.equal(gangOf(simulatedCluster, job), 'admitted');
  simulatedCluster.cloud.down = false;
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 70, 'runs');
  await simulatedCluster.close();
});

test('a gang that loses a machine starts again as a whole and only when its rest is gone', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }, { yard: 'a' }]);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'gang', pieces: 2, gpus: 8, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'runs');
  [...simulatedCluster.workers.values()].find((x) => x.pieces.length > 0)!.dead = true;
  await simulatedCluster.until(() => simulatedCluster.starts.length === 4, 25, 'both start again');
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 5, 'runs again');
  const attempts = new Set(simulatedCluster.on(job).map((piece) => piece.attempt));
  assert.equal(attempts.size, 1);
  await simulatedCluster.close();
});

test('a takeover in the middle of an admission keeps the gate shut for others', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const first = await simulatedCluster.submit({ shape: 'gang', pieces: 2, gpus: 8 });
  await simulatedCluster.until(
    () => gangOf(simulatedCluster, first) === 'admitted',
    10,
    'admitted',
  );
  const rented = simulatedCluster.cloud.hosts.size;
  const old = simulatedCluster.leader;
  simulatedCluster.crash(old);
  const second = await simulatedCluster.submit(
    { shape: 'gang', pieces: 2, gpus: 8, crew: 'speech' },
    1 - old,
  );
  while (simulatedCluster.running(first) < 2) {
    assert.notEqual(gangOf(simulatedCluster, second), 'admitted');
    assert.ok(simulatedCluster.cloud.hosts.size <= Math.max(4, rented));
    await simulatedCluster.pass(1);
    assert.ok(simulatedCluster.clock.now() < 150_000);
  }
  await simulatedCluster.until(() => simulatedCluster.running(second) === 2, 90, 'the second runs');
  await simulatedCluster.close();
});
