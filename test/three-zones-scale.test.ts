import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  allReplicasRun,
  startInThreeZones,
  type ScenarioSize,
  loseZoneAndLeader,
} from './fakes/three-zones.js';

// The deployment of `three-zones.test.ts` at the size at which operators run it.

const SIZE: ScenarioSize = {
  machinesPerZone: 59,
  rentable: 40,
  services: 80,
  gangs: 12,
  arrays: 10,
  teamScale: 24,
};
const MACHINES = SIZE.machinesPerZone * 3;

test(`${MACHINES} machines: all work continues when a zone fails with its controllers and the leader crashes`, async () => {
  const { w: cluster, work } = await startInThreeZones(1, SIZE);
  await loseZoneAndLeader(cluster, work, 'a');
});

test(`${MACHINES} machines: no replica starts again when all controllers crash and restart at once`, async () => {
  const { w: cluster, work } = await startInThreeZones(2, SIZE);
  await cluster.until(() => allReplicasRun(cluster, work), 40, 'all replicas run');
  const replicaStarts = (): number =>
    cluster.starts.filter((start) => work.replicas.some((job) => start.startsWith(job))).length;
  const before = replicaStarts();
  for (const i of cluster.nodes.keys()) cluster.crash(i);
  await cluster.advance(3);
  for (const i of cluster.nodes.keys()) cluster.restart(i);
  await cluster.advance(20);
  assert.ok(allReplicasRun(cluster, work));
  assert.equal(replicaStarts(), before);
  await cluster.waitUntilSettled(200);
  await cluster.close();
});
