import assert from 'node:assert/strict';
import { test } from 'node:test';
import { THREE_ZONES } from './fakes/deployment-shape.js';
import { machines } from './fakes/fault-scenario.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

// Five controllers in three zones; 24 machines with 8 GPUs, all used by one sweep, and no others to
// provision.

const MACHINES = machines('aaaaaaaabbbbbbbbcccccccc');
const GPUS = MACHINES.length * 8;
const REPLICAS = 6;
const SAVE_S = 6;
const FETCH_S = 2;

/** A sweep whose tasks lose 10 s of work on average when they stop without a checkpoint. */
const SWEEP = {
  pieces: GPUS,
  runMs: 600_000,
  urgency: 'best_effort',
  snapshotEveryS: 20,
  stowS: SAVE_S,
};

async function replicasRunSoon(cluster: SimulatedCluster): Promise<void> {
  const template = {
    shape: 'service',
    pieces: REPLICAS,
    gpus: 2,
    runMs: 0,
    crew: 'speech',
  } as const;
  const service = await cluster.accept({
    ...template,
    fetchMs: FETCH_S * 1000,
    urgency: 'production',
  });
  const askedAt = cluster.clock.now();
  await cluster.until(() => cluster.running(service) === REPLICAS, 30, 'the replicas run');
  const tookS = (cluster.clock.now() - askedAt) / 1000;
  assert.ok(tookS < FETCH_S + SAVE_S, `took ${tookS} s`);
}

// Guards that the time of a save is compared with the average loss of work, not with the maximum:
// replicas that should start within seconds once waited for saves of tasks that had little more to
// lose than the save took.
test(`replicas on ${MACHINES.length} full machines do not wait for a sweep to save, also after a change of leader`, async () => {
  const simulatedCluster = new SimulatedCluster(MACHINES, THREE_ZONES, 1, {}, 24);
  simulatedCluster.cloud.capacity = MACHINES.length;
  await simulatedCluster.start();
  const sweep = await simulatedCluster.accept(SWEEP);
  await simulatedCluster.until(
    () => simulatedCluster.running(sweep) === GPUS,
    60,
    'the sweep uses every machine',
  );
  await simulatedCluster.advance(25);
  await replicasRunSoon(simulatedCluster);
  const formerLeader = simulatedCluster.leader;
  simulatedCluster.crash(formerLeader);
  await simulatedCluster.advance(10);
  simulatedCluster.restart(formerLeader);
  await simulatedCluster.advance(10);
  await replicasRunSoon(simulatedCluster);
  void simulatedCluster.cancelInBackground(sweep);
  await simulatedCluster.waitUntilSettled(150);
  await simulatedCluster.close();
});
