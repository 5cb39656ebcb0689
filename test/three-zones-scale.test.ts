import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  allReplicasRun,
  beginInThreeZones,
  type StorySize,
  zoneAndLeaderAreLost,
} from './fakes/three-zones.js';

// The shape of `three-zones` at the size at which its operators run it.

const SIZE: StorySize = {
  machinesPerZone: 59,
  rentable: 40,
  services: 80,
  pairs: 12,
  sweeps: 10,
  teamScale: 24,
};
const MACHINES = SIZE.machinesPerZone * 3;

test(`${MACHINES} machines: a zone is lost with its controllers, the leader ends, and all goes on`, async () => {
  const { w, work } = await beginInThreeZones(1, SIZE);
  await zoneAndLeaderAreLost(w, work, 'a');
});

test(`${MACHINES} machines: all controllers end at once and come back, and no replica starts again`, async () => {
  const { w, work } = await beginInThreeZones(2, SIZE);
  await w.until(() => allReplicasRun(w, work), 40, 'all replicas run');
  const replicaStarts = (): number =>
    w.starts.filter((start) => work.replicas.some((job) => start.startsWith(job))).length;
  const before = replicaStarts();
  for (const i of w.nodes.keys()) w.crash(i);
  await w.pass(3);
  for (const i of w.nodes.keys()) w.restart(i);
  await w.pass(20);
  assert.ok(allReplicasRun(w, work));
  assert.equal(replicaStarts(), before);
  await w.settle(200);
  await w.close();
});
