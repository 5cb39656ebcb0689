import assert from 'node:assert/strict';
import { test } from 'node:test';
import { THREE_ZONES, type DeploymentShape } from './fakes/deployment-shape.js';
import { machines } from './fakes/fault-scenario.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

// Five controllers in three zones; 6 machines of 8 GPUs and 100 more that can be rented and boot in 40 s.
// Every 10 s a service of three replicas with 2 GPUs each comes, which should run within 15 s.

const MACHINES = machines('aabbcc');
const RENTABLE = 100;
const EVERY_S = 10;
const WITHIN_S = 15;
const REPLICAS = 3;

const SHAPE: DeploymentShape = {
  ...THREE_ZONES,
  objectives: [
    { kind: 'wait', jobClass: 'train', withinMs: WITHIN_S * 1000, share: 0.9, deadlineMultiple: 1 },
  ],
};

/** Lets services come for a while; answers the share of them that ran in time. */
async function grow(cluster: SimulatedCluster, services: number): Promise<number> {
  let inTime = 0;
  for (let i = 0; i < services; i++) {
    const wish = { pieces: REPLICAS, gpus: 2, runMs: 0, crew: 'speech', urgency: 'production' };
    const job = await cluster.accept({ ...wish, shape: 'service', apart: true });
    for (let second = 0; second < EVERY_S; second++) await cluster.pass(1);
    if (cluster.running(job) === REPLICAS) inTime++;
  }
  return inTime / services;
}

// Guards the room that is rented ahead: without it each service waits for the boot of a machine, and
// takes the one that was rented for the service before it.
test(`a fleet that grows from ${MACHINES.length} machines: services run in time, also after a change of leader`, async () => {
  const simulatedCluster = new SimulatedCluster(MACHINES, SHAPE, 1, {}, 24);
  simulatedCluster.cloud.capacity = MACHINES.length + RENTABLE;
  await simulatedCluster.start();
  await grow(simulatedCluster, 18);
  assert.ok((await grow(simulatedCluster, 18)) >= 0.9, 'most run within their first ten seconds');
  const former = simulatedCluster.leader;
  simulatedCluster.crash(former);
  await simulatedCluster.pass(3);
  simulatedCluster.restart(former);
  await grow(simulatedCluster, 12);
  assert.ok((await grow(simulatedCluster, 18)) >= 0.9, 'also under the next leader');
  await simulatedCluster.settle(150);
  await simulatedCluster.close();
});
