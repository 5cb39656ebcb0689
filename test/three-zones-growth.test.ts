import assert from 'node:assert/strict';
import { test } from 'node:test';
import { THREE_ZONES, type DeploymentShape } from './fakes/deployment-shape.js';
import { machines } from './fakes/fault-scenario.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

// Five controllers in three zones; 6 machines with 8 GPUs and 100 more that can be provisioned and
// boot in 40 s. Every 10 s a service of three replicas with 2 GPUs each is submitted, which should
// run within 15 s.

const MACHINES = machines('aabbcc');
const PROVISIONABLE = 100;
const INTERVAL_S = 10;
const WITHIN_S = 15;
const REPLICAS = 3;

const SHAPE: DeploymentShape = {
  ...THREE_ZONES,
  objectives: [
    { kind: 'wait', jobClass: 'train', withinMs: WITHIN_S * 1000, share: 0.9, deadlineMultiple: 1 },
  ],
};

/** Submits services at a fixed interval; returns the share of them that ran before the next one. */
async function shareRunInTime(cluster: SimulatedCluster, services: number): Promise<number> {
  let inTime = 0;
  for (let i = 0; i < services; i++) {
    const template = { pieces: REPLICAS, gpus: 2, runMs: 0, crew: 'speech', urgency: 'production' };
    const job = await cluster.accept({ ...template, shape: 'service', apart: true });
    for (let second = 0; second < INTERVAL_S; second++) await cluster.advance(1);
    if (cluster.running(job) === REPLICAS) inTime++;
  }
  return inTime / services;
}

// Guards the provisioning ahead of demand: without it each service waits for a machine to boot, and
// then takes the machine that was provisioned for the service before it.
test(`a fleet that grows from ${MACHINES.length} machines: services run in time, also after a change of leader`, async () => {
  const simulatedCluster = new SimulatedCluster(MACHINES, SHAPE, 1, {}, 24);
  simulatedCluster.cloud.capacity = MACHINES.length + PROVISIONABLE;
  await simulatedCluster.start();
  await shareRunInTime(simulatedCluster, 18);
  assert.ok(
    (await shareRunInTime(simulatedCluster, 18)) >= 0.9,
    'most run within their first ten seconds',
  );
  const formerLeader = simulatedCluster.leader;
  simulatedCluster.crash(formerLeader);
  await simulatedCluster.advance(3);
  simulatedCluster.restart(formerLeader);
  await shareRunInTime(simulatedCluster, 12);
  assert.ok((await shareRunInTime(simulatedCluster, 18)) >= 0.9, 'also under the next leader');
  await simulatedCluster.waitUntilSettled(150);
  await simulatedCluster.close();
});
