import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  allReplicasRun,
  startInThreeZones,
  LEASE_S,
  type ScenarioSize,
  loseZoneAndLeader,
} from './fakes/three-zones.js';

// Five controllers in three zones, heartbeats every 2 s, leases of 16 s, a store with 30 writes a
// second and values of 32 KiB; 24 machines with 8 GPUs, and 16 more that can be provisioned.
// Guarantees cover nearly all of the fleet, and no limit is smaller than the fleet.

const SIZE: ScenarioSize = {
  machinesPerZone: 8,
  rentable: 16,
  services: 8,
  gangs: 1,
  arrays: 1,
  teamScale: 8,
};

for (const zone of ['a', 'c']) {
  test(`work continues in the other zones when zone ${zone} fails with its controllers and the leader crashes`, async () => {
    const { w: cluster, work } = await startInThreeZones(1, SIZE);
    await loseZoneAndLeader(cluster, work, zone);
  });
}

test('tasks keep running when zones are partitioned for longer than a lease and the leader crashes', async () => {
  const { w: cluster, work } = await startInThreeZones(2, SIZE);
  const starts = cluster.starts.length;
  cluster.setPartitioned(true);
  await cluster.advance(2);
  cluster.crash(cluster.leader);
  await cluster.advance(LEASE_S + 4);
  cluster.setPartitioned(false);
  cluster.restartAll();
  await cluster.advance(10);
  assert.ok(allReplicasRun(cluster, work));
  assert.equal(cluster.starts.length, starts, 'no task was started again');
  await cluster.waitUntilSettled(150);
  await cluster.close();
});

test('all five controllers crash during an outage of the store', async () => {
  const { w: cluster } = await startInThreeZones(3, SIZE);
  cluster.faults.startStoreOutage();
  await cluster.advance(17);
  for (const i of cluster.nodes.keys()) cluster.crash(i);
  await cluster.advance(3);
  for (const i of cluster.nodes.keys()) cluster.restart(i);
  await cluster.advance(10);
  cluster.faults.endStoreOutage();
  await cluster.waitUntilSettled(200);
  await cluster.close();
});

test('all controllers are restarted one after another during an outage of the cloud', async () => {
  const { w: cluster, work } = await startInThreeZones(4, SIZE);
  cluster.cloud.down = true;
  for (const i of cluster.nodes.keys()) {
    cluster.crash(i);
    await cluster.advance(3);
    cluster.restart(i);
    await cluster.advance(17);
    assert.ok(allReplicasRun(cluster, work), `after controller ${i}`);
  }
  cluster.cloud.down = false;
  await cluster.waitUntilSettled(150);
  await cluster.close();
});
