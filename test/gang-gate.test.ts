import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GangGate, isGangJob } from '../src/control/admission/gang-gate.js';
import { Job } from '../src/jobs/tracked-job.js';
import { OPERATOR_DEFAULTS } from '../src/settings/operator.js';
import { SPEC } from './fakes/samples.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

interface RunRecord {
  gang?: { phase: string };
  placed: unknown[];
}

const gangPhase = (cluster: SimulatedCluster, ref: string): string =>
  (cluster.store.get(`runs/${ref}/0`) as RunRecord | undefined)?.gang?.phase ?? 'queued';

test('a gang that fits on free capacity passes the gate at once and starts as a whole', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }]);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'gang', pieces: 2, gpus: 8, samePlace: true });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'both run');
  await simulatedCluster.until(() => gangPhase(simulatedCluster, job) === 'started', 2, 'ready');
  await simulatedCluster.advance(30);
  assert.equal(await simulatedCluster.phase(job), 'done');
  await simulatedCluster.close();
});

test('the gate admits one gang at a time to wait for capacity, and machines for the next are provisioned ahead', async () => {
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
    () => gangPhase(simulatedCluster, first) === 'admitted',
    10,
    'the first gang is admitted',
  );
  const admittedAt = simulatedCluster.clock.now();
  while (simulatedCluster.running(first) < 2) {
    assert.notEqual(gangPhase(simulatedCluster, second), 'admitted');
    await simulatedCluster.advance(1);
    assert.ok(simulatedCluster.clock.now() < 100_000);
  }
  // The machines of both gangs booted at the same time, so that they waited for one boot in all.
  await simulatedCluster.until(
    () => simulatedCluster.running(second) === 2,
    20,
    'the second gang runs',
  );
  assert.ok(simulatedCluster.clock.now() - admittedAt < 80_000);
  await simulatedCluster.close();
});

test('an array starts while the gate is closed', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const gang = await simulatedCluster.submit({ shape: 'gang', pieces: 3, gpus: 8 });
  await simulatedCluster.until(
    () => gangPhase(simulatedCluster, gang) === 'admitted',
    10,
    'admitted',
  );
  const array = await simulatedCluster.submit({ pieces: 4, crew: 'speech', urgency: 'urgent' });
  await simulatedCluster.until(() => simulatedCluster.running(array) === 4, 60, 'the array runs');
  await simulatedCluster.close();
});

test('a gang that exceeds its timeout is stopped as a whole, suspended, and placed again', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }]);
  await simulatedCluster.start();
  // The image is never fetched in time, so that the gang does not become ready.
  const job = await simulatedCluster.submit({
    shape: 'gang',
    pieces: 2,
    gpus: 8,
    fetchMs: 10_000_000,
  });
  await simulatedCluster.until(() => gangPhase(simulatedCluster, job) === 'placed', 10, 'placed');
  await simulatedCluster.until(
    () => gangPhase(simulatedCluster, job) === 'suspended',
    80,
    'suspended',
  );
  await simulatedCluster.until(
    () => simulatedCluster.tasksOf(job).length === 0,
    5,
    'all of its tasks are stopped',
  );
  simulatedCluster.facts.get(job)!.fetchMs = 1000;
  await simulatedCluster.advance(20);
  assert.equal(simulatedCluster.tasksOf(job).length, 0);
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 2,
    20,
    'placed again after its suspension',
  );
  await simulatedCluster.close();
});

test('a gang is suspended for one minute at most, so that it does not wait longer beside free capacity', () => {
  const gate = new GangGate(OPERATOR_DEFAULTS);
  const job = new Job('req-1', { ...SPEC, kind: 'gang' }, 0, 1, 100);
  assert.ok(isGangJob(job));
  const suspensionsS = Array.from({ length: 5 }, () => {
    gate.admit(job, 1000);
    gate.suspend(job, 1000);
    return (job.gang.suspendedUntil - 1000) / 1000;
  });
  assert.deepEqual(suspensionsS, [30, 60, 60, 60, 60]);
});

test('a gang keeps its admission while the cloud is unavailable', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  simulatedCluster.cloud.down = true;
  await simulatedCluster.advance(6);
  const job = await simulatedCluster.submit({ shape: 'gang', pieces: 2, gpus: 8 });
  await simulatedCluster.until(
    () => gangPhase(simulatedCluster, job) === 'admitted',
    10,
    'admitted',
  );
  await simulatedCluster.advance(120);
  assert.equal(gangPhase(simulatedCluster, job), 'admitted');
  simulatedCluster.cloud.down = false;
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 70, 'runs');
  await simulatedCluster.close();
});

test('a gang that loses a machine starts again as a whole, after all of its other tasks have stopped', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }, { yard: 'a' }]);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'gang', pieces: 2, gpus: 8, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'runs');
  [...simulatedCluster.workers.values()].find((worker) => worker.pieces.length > 0)!.dead = true;
  await simulatedCluster.until(
    () => simulatedCluster.starts.length === 4,
    25,
    'both tasks start again',
  );
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 5, 'runs again');
  const attempts = new Set(simulatedCluster.tasksOf(job).map((piece) => piece.attempt));
  assert.equal(attempts.size, 1);
  await simulatedCluster.close();
});

test('the gate stays closed for other gangs when the leader changes during an admission', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const first = await simulatedCluster.submit({ shape: 'gang', pieces: 2, gpus: 8 });
  await simulatedCluster.until(
    () => gangPhase(simulatedCluster, first) === 'admitted',
    10,
    'admitted',
  );
  const machinesBefore = simulatedCluster.cloud.hosts.size;
  const oldLeader = simulatedCluster.leader;
  simulatedCluster.crash(oldLeader);
  const second = await simulatedCluster.submit(
    { shape: 'gang', pieces: 2, gpus: 8, crew: 'speech' },
    1 - oldLeader,
  );
  while (simulatedCluster.running(first) < 2) {
    assert.notEqual(gangPhase(simulatedCluster, second), 'admitted');
    assert.ok(simulatedCluster.cloud.hosts.size <= Math.max(4, machinesBefore));
    await simulatedCluster.advance(1);
    assert.ok(simulatedCluster.clock.now() < 150_000);
  }
  await simulatedCluster.until(
    () => simulatedCluster.running(second) === 2,
    90,
    'the second gang runs',
  );
  await simulatedCluster.close();
});
