import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const far = (cluster: SimulatedCluster): string => (cluster.leader === 0 ? 'b' : 'a');

test('work in a zone that the leader cannot reach goes on, and the leader knows', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  simulatedCluster.split(true);
  await simulatedCluster.pass(30);
  assert.equal(simulatedCluster.running(job), 4);
  assert.equal(simulatedCluster.starts.length, 4);
  simulatedCluster.split(false);
  await simulatedCluster.pass(10);
  assert.equal(simulatedCluster.running(job), 4);
  assert.equal(simulatedCluster.starts.length, 4);
  // The leader commands the zone again.
  await simulatedCluster.ask(simulatedCluster.user(simulatedCluster.leader).abort(job));
  await simulatedCluster.until(() => simulatedCluster.on(job).length === 0, 5, 'gone');
  await simulatedCluster.close();
});

test('a job that is cancelled leaves the cut-off zone too', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  simulatedCluster.split(true);
  await simulatedCluster.pass(12);
  await simulatedCluster.ask(simulatedCluster.user(simulatedCluster.leader).abort(job));
  await simulatedCluster.until(
    () => simulatedCluster.on(job).length === 0,
    25,
    'gone in both zones',
  );
  await simulatedCluster.close();
});

test('a machine that dies behind the cut is given up only when no zone delegate can have answered it', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 4, gpus: 8, runMs: 100_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'all run');
  const zone = far(simulatedCluster);
  simulatedCluster.split(true);
  await simulatedCluster.pass(12);
  const lost = [...simulatedCluster.workers.values()].find((x) => x.yard === zone)!;
  lost.dead = true;
  simulatedCluster.cloud.hosts.delete(lost.id);
  await simulatedCluster.pass(10);
  // Both the kept machine and the dead one are unresponsive to the leader: neither is taken for gone.
  assert.equal(simulatedCluster.starts.length, 4);
  simulatedCluster.split(false);
  await simulatedCluster.until(
    () => simulatedCluster.starts.length === 5,
    70,
    'the lost task starts again',
  );
  assert.equal(simulatedCluster.running(job), 4);
  await simulatedCluster.close();
});

test('a zone goes on when the leader ends during the cut and another leads behind it', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  await simulatedCluster.start();
  // The leader to end is in zone a, where another controller stays.
  if (simulatedCluster.leader === 1) {
    simulatedCluster.crash(1);
    await simulatedCluster.until(
      () => simulatedCluster.leader !== 1 && simulatedCluster.leader >= 0,
      10,
      'another leads',
    );
    simulatedCluster.restart(1);
  }
  const old = simulatedCluster.leader;
  const other = old === 0 ? 2 : 0;
  const job = await simulatedCluster.submit(
    { shape: 'service', pieces: 4, gpus: 4, runMs: 0 },
    other,
  );
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const before = simulatedCluster.starts.length;
  simulatedCluster.split(true);
  await simulatedCluster.pass(6);
  simulatedCluster.crash(old);
  await simulatedCluster.until(
    () => simulatedCluster.leader !== old && simulatedCluster.leader >= 0,
    10,
    'another leads',
  );
  await simulatedCluster.pass(20);
  assert.equal(simulatedCluster.running(job), 4);
  simulatedCluster.split(false);
  await simulatedCluster.pass(12);
  assert.equal(simulatedCluster.running(job), 4);
  assert.equal(simulatedCluster.starts.length, before);
  await simulatedCluster.ask(simulatedCluster.user(simulatedCluster.leader).abort(job));
  await simulatedCluster.until(() => simulatedCluster.on(job).length === 0, 6, 'gone');
  await simulatedCluster.close();
});
