import assert from 'node:assert/strict';
import { test } from 'node:test';
import { THREE_ZONES } from './fakes/deployment-shape.js';
import { machines } from './fakes/fault-scenario.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

// Five controllers in three zones; 24 machines of 8 GPUs, all taken by one sweep, and none to be rented.

const MACHINES = machines('aaaaaaaabbbbbbbbcccccccc');
const GPUS = MACHINES.length * 8;
const REPLICAS = 6;
const SAVE_S = 6;
const FETCH_S = 2;

/** A sweep whose tasks lose 10 s of work on average when they are not saved. */
const SWEEP = {
  pieces: GPUS,
  runMs: 600_000,
  urgency: 'best_effort',
  snapshotEveryS: 20,
  stowS: SAVE_S,
};

async function replicasRunSoon(cluster: SimulatedCluster): Promise<void> {
  const wish = { shape: 'service', pieces: REPLICAS, gpus: 2, runMs: 0, crew: 'speech' } as const;
  const service = await cluster.accept({ ...wish, fetchMs: FETCH_S * 1000, urgency: 'production' });
  const askedAt = cluster.clock.now();
  await cluster.until(() => cluster.running(service) === REPLICAS, 30, 'the replicas run');
  const tookS = (cluster.clock.now() - askedAt) / 1000;
  assert.ok(tookS < FETCH_S + SAVE_S, `took ${tookS} s`);
}

// Guards that a save is weighed against the work that is lost on average, not at most: replicas with
// seconds to begin waited for saves of tasks that had hardly more to lose.
test(`replicas on ${MACHINES.length} full machines do not wait for a sweep to save, whoever leads`, async () => {
  const simulatedCluster = new SimulatedCluster(MACHINES, THREE_ZONES, 1, {}, 24);
  simulatedCluster.cloud.capacity = MACHINES.length;
  await simulatedCluster.start();
  const sweep = await simulatedCluster.accept(SWEEP);
  await simulatedCluster.until(
    () => simulatedCluster.running(sweep) === GPUS,
    60,
    'the sweep has every machine',
  );
  await simulatedCluster.pass(25);
  await replicasRunSoon(simulatedCluster);
  const former = simulatedCluster.leader;
  simulatedCluster.crash(former);
  await simulatedCluster.pass(10);
  simulatedCluster.restart(former);
  await simulatedCluster.pass(10);
  await replicasRunSoon(simulatedCluster);
  void simulatedCluster.cancelling(sweep);
  await simulatedCluster.settle(150);
  await simulatedCluster.close();
});
