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
    const { w, work } = await beginInThreeZones(1, SIZE);
    await zoneAndLeaderAreLost(w, work, zone);
  });
}

test('zones that are cut off from each other for longer than a lease keep their work, also when the leader ends', async () => {
  const { w, work } = await beginInThreeZones(2, SIZE);
  const starts = w.starts.length;
  w.split(true);
  await w.pass(2);
  w.crash(w.leader);
  await w.pass(LEASE_S + 4);
  w.split(false);
  w.restartAll();
  await w.pass(10);
  assert.ok(allReplicasRun(w, work));
  assert.equal(w.starts.length, starts, 'nothing had to start again');
  await w.settle(150);
  await w.close();
});

test('all five controllers end in an outage of the store', async () => {
  const { w } = await beginInThreeZones(3, SIZE);
  w.trouble.outage();
  await w.pass(17);
  for (const i of w.nodes.keys()) w.crash(i);
  await w.pass(3);
  for (const i of w.nodes.keys()) w.restart(i);
  await w.pass(10);
  w.trouble.outageOver();
  await w.settle(200);
  await w.close();
});

test('all controllers are restarted one after the other while the cloud is out', async () => {
  const { w, work } = await beginInThreeZones(4, SIZE);
  w.cloud.down = true;
  for (const i of w.nodes.keys()) {
    w.crash(i);
    await w.pass(3);
    w.restart(i);
    await w.pass(17);
    assert.ok(allReplicasRun(w, work), `after controller ${i}`);
  }
  w.cloud.down = false;
  await w.settle(150);
  await w.close();
});
