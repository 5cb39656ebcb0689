import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  allReplicasRun,
  beginInThreeZones,
  LEASE_S,
  type StorySize,
  zoneAndLeaderAreLost,
} from './fakes/three-zones.js';

// Five controllers in three zones, heartbeats every 2 s, leases of 16 s, a store with 30 writes a
// second and values of 32 KiB; 24 machines with 8 GPUs, and 16 more that can be provisioned.
// Guarantees cover nearly all of the fleet, and no limit is smaller than the fleet.

const SIZE: StorySize = {
  machinesPerZone: 8,
  rentable: 16,
  services: 8,
  pairs: 1,
  sweeps: 1,
  teamScale: 8,
};

for (const zone of ['a', 'c']) {
  test(`work continues in the other zones when zone ${zone} fails with its controllers and the leader crashes`, async () => {
    const { w: cluster, work } = await beginInThreeZones(1, SIZE);
    await zoneAndLeaderAreLost(cluster, work, zone);
  });
}

test('tasks keep running when zones are partitioned for longer than a lease and the leader crashes', async () => {
  const { w: cluster, work } = await beginInThreeZones(2, SIZE);
  const starts = cluster.starts.length;
  cluster.split(true);
  await cluster.pass(2);
  cluster.crash(cluster.leader);
  await cluster.pass(LEASE_S + 4);
  cluster.split(false);
  cluster.restartAll();
  await cluster.pass(10);
  assert.ok(allReplicasRun(cluster, work));
  assert.equal(cluster.starts.length, starts, 'no task was started again');
  await cluster.settle(150);
  await cluster.close();
});

test('all five controllers crash during an outage of the store', async () => {
  const { w: cluster } = await beginInThreeZones(3, SIZE);
  cluster.faults.outage();
  await cluster.pass(17);
  for (const i of cluster.nodes.keys()) cluster.crash(i);
  await cluster.pass(3);
  for (const i of cluster.nodes.keys()) cluster.restart(i);
  await cluster.pass(10);
  cluster.faults.outageOver();
  await cluster.settle(200);
  await cluster.close();
});

test('all controllers are restarted one after another during an outage of the cloud', async () => {
  const { w: cluster, work } = await beginInThreeZones(4, SIZE);
  cluster.cloud.down = true;
  for (const i of cluster.nodes.keys()) {
    cluster.crash(i);
    await cluster.pass(3);
    cluster.restart(i);
    await cluster.pass(17);
    assert.ok(allReplicasRun(cluster, work), `after controller ${i}`);
  }
  cluster.cloud.down = false;
  await cluster.settle(150);
  await cluster.close();
});
