import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  allReplicasRun,
  beginInThreeZones,
  LEASE_S,
  type StorySize,
  zoneAndLeaderAreLost,
} from './fakes/three-zones.js';

// Five controllers in three zones, reports every 2 s, leases of 16 s, a store of 30 changes a second and
// values of 32 KiB; 24 machines of 8 GPUs, and 16 more that can be rented. Nearly all of the fleet is
// within a guarantee, and no limit is smaller than it.

const SIZE: StorySize = {
  machinesPerZone: 8,
  rentable: 16,
  services: 8,
  pairs: 1,
  sweeps: 1,
  teamScale: 8,
};

for (const zone of ['a', 'c']) {
  test(`zone ${zone} is lost with its controllers, and the leader ends: all goes on in the others`, async () => {
    const { w: cluster, work } = await beginInThreeZones(1, SIZE);
    await zoneAndLeaderAreLost(cluster, work, zone);
  });
}

test('zones that are cut off from each other for longer than a lease keep their work, also when the leader ends', async () => {
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
  assert.equal(cluster.starts.length, starts, 'nothing had to start again');
  await cluster.settle(150);
  await cluster.close();
});

test('all five controllers end in an outage of the store', async () => {
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

test('all controllers are restarted one after the other while the cloud is out', async () => {
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
