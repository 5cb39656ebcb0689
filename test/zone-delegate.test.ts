import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const remoteZone = (cluster: SimulatedCluster): string => (cluster.leader === 0 ? 'b' : 'a');

test('work in a zone that the leader cannot reach goes on, and the leader starts no replacement', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  simulatedCluster.setPartitioned(true);
  await simulatedCluster.advance(30);
  assert.equal(simulatedCluster.running(job), 4);
  assert.equal(simulatedCluster.starts.length, 4);
  simulatedCluster.setPartitioned(false);
  await simulatedCluster.advance(10);
  assert.equal(simulatedCluster.running(job), 4);
  assert.equal(simulatedCluster.starts.length, 4);
  // The leader commands workers of the zone again.
  await simulatedCluster.ask(simulatedCluster.user(simulatedCluster.leader).abort(job));
  await simulatedCluster.until(() => simulatedCluster.tasksOf(job).length === 0, 5, 'gone');
  await simulatedCluster.close();
});

test('a cancelled job is also stopped in the partitioned zone', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  simulatedCluster.setPartitioned(true);
  await simulatedCluster.advance(12);
  await simulatedCluster.ask(simulatedCluster.user(simulatedCluster.leader).abort(job));
  await simulatedCluster.until(
    () => simulatedCluster.tasksOf(job).length === 0,
    25,
    'gone in both zones',
  );
  await simulatedCluster.close();
});

test('a machine that dies in a partitioned zone counts as lost only once no zone delegate can have renewed its lease', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 4, gpus: 8, runMs: 100_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'all run');
  const zone = remoteZone(simulatedCluster);
  simulatedCluster.setPartitioned(true);
  await simulatedCluster.advance(12);
  const deadWorker = [...simulatedCluster.workers.values()].find(
    (candidate) => candidate.yard === zone,
  )!;
  deadWorker.dead = true;
  simulatedCluster.cloud.hosts.delete(deadWorker.id);
  await simulatedCluster.advance(10);
  // The live machine and the dead one are both unresponsive to the leader: neither counts as lost.
  assert.equal(simulatedCluster.starts.length, 4);
  simulatedCluster.setPartitioned(false);
  await simulatedCluster.until(
    () => simulatedCluster.starts.length === 5,
    70,
    'the lost task starts again',
  );
  assert.equal(simulatedCluster.running(job), 4);
  await simulatedCluster.close();
});

test('work in both zones goes on if the leader crashes during a partition and another takes over', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  await simulatedCluster.start();
  // The leader that crashes has to be in zone a, where another controller remains.
  if (simulatedCluster.leader === 1) {
    simulatedCluster.crash(1);
    await simulatedCluster.until(
      () => simulatedCluster.leader !== 1 && simulatedCluster.leader >= 0,
      10,
      'another leads',
    );
    simulatedCluster.restart(1);
  }
  const formerLeader = simulatedCluster.leader;
  const other = formerLeader === 0 ? 2 : 0;
  const job = await simulatedCluster.submit(
    { shape: 'service', pieces: 4, gpus: 4, runMs: 0 },
    other,
  );
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const startsBefore = simulatedCluster.starts.length;
  simulatedCluster.setPartitioned(true);
  await simulatedCluster.advance(6);
  simulatedCluster.crash(formerLeader);
  await simulatedCluster.until(
    () => simulatedCluster.leader !== formerLeader && simulatedCluster.leader >= 0,
    10,
    'another leads',
  );
  await simulatedCluster.advance(20);
  assert.equal(simulatedCluster.running(job), 4);
  simulatedCluster.setPartitioned(false);
  await simulatedCluster.advance(12);
  assert.equal(simulatedCluster.running(job), 4);
  assert.equal(simulatedCluster.starts.length, startsBefore);
  await simulatedCluster.ask(simulatedCluster.user(simulatedCluster.leader).abort(job));
  await simulatedCluster.until(() => simulatedCluster.tasksOf(job).length === 0, 6, 'gone');
  await simulatedCluster.close();
});
