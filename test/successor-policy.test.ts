import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SuccessorPolicy } from '../src/election/successor-policy.js';
import type { PeerTransport } from '../src/peer/peer-transport.js';
import { FakeClock } from './fakes/clock.js';
import { machines } from './fakes/fault-scenario.js';
import { passOffice } from './fakes/versions.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const SILENT_MS = 90_000;
const LEASE_S = 10;

/** A world in which a service runs, and how many of its workers have lost their leases. */
async function withService(seed: number): Promise<{
  w: SimulatedCluster;
  service: string;
  lost(): number;
}> {
  const simulatedCluster = new SimulatedCluster(machines('aabb'), 3, seed);
  await simulatedCluster.start();
  const service = await simulatedCluster.accept({
    shape: 'service',
    pieces: 4,
    runMs: 0,
    crew: 'speech',
  });
  await simulatedCluster.until(() => simulatedCluster.running(service) === 4, 20, 'all run');
  return {
    w: simulatedCluster,
    service,
    lost: () => [...simulatedCluster.workers.values()].filter((worker) => worker.shift > 1).length,
  };
}

/** Unresponsive controllers respond again before the scenario ends. */
async function end(cluster: SimulatedCluster): Promise<void> {
  await cluster.pass(SILENT_MS / 1000);
  await cluster.close();
}

async function replaced(cluster: SimulatedCluster, old: number): Promise<number> {
  await cluster.until(
    () => cluster.leader !== old && cluster.leader >= 0,
    LEASE_S,
    'another leads',
  );
  return cluster.leader;
}

// A worker gives each unresponsive controller 5 s: two in a row on its failover cost it its lease. Who
// follows an unresponsive leader has to be one with a responsive backup.
for (const first of [0, 1]) {
  test(`controller ${first} and the leader after it become unresponsive, and no worker loses its lease`, async () => {
    const { w: cluster, lost } = await withService(first);
    if (cluster.leader !== first) {
      cluster.freeze(cluster.leader, LEASE_S * 500);
      await replaced(cluster, cluster.leader);
      await cluster.pass(LEASE_S);
    }
    assert.equal(cluster.leader, first);
    cluster.freeze(first, SILENT_MS);
    const second = await replaced(cluster, first);
    await cluster.pass(LEASE_S);
    cluster.freeze(second, SILENT_MS);
    await replaced(cluster, second);
    await cluster.pass(2 * LEASE_S);
    assert.equal(lost(), 0);
    await end(cluster);
  });
}

// The leader that is left had given up before its workers could be there, and turned them away for a
// second round. If it hears no other controller it may also be cut off from all: then it gives up
// sooner, but leads again when they come.
test('workers that have to pass two unresponsive controllers are answered by the third as they come', async () => {
  const { w: cluster, service, lost } = await withService(1);
  const first = cluster.leader;
  const [next, third] = [(first + 1) % 3, (first + 2) % 3];
  cluster.freeze(next, SILENT_MS);
  await cluster.pass(LEASE_S);
  cluster.freeze(first, SILENT_MS);
  await cluster.until(() => cluster.leader === third, LEASE_S, 'the third leads');
  // A lease and the heartbeat interval in which it began; one that is turned away comes 11 s later.
  await cluster.pass(1.25 * LEASE_S);
  assert.equal(cluster.leader, third);
  assert.ok([...cluster.workers.values()].every((worker) => worker.shift <= 2));
  await cluster.until(() => cluster.running(service) === 4, 3, 'replicas run again');
  assert.equal(lost(), 4);
  await end(cluster);
});

// While a follower was unresponsive the leader stayed where its workers would have met two such in a row.
test('a leader before an unresponsive controller hands over, and its end then costs no lease', async () => {
  const { w: cluster, service, lost } = await withService(1);
  // The next after it is not alone in its zone: unresponsive, but not behind a partition.
  const first = 2;
  await passOffice(cluster, first);
  const [next, third] = [(first + 1) % 3, (first + 2) % 3];
  // A term has to have lasted for a while.
  await cluster.pass(2 * LEASE_S);
  cluster.freeze(next, SILENT_MS);
  await cluster.until(() => cluster.leader === third, LEASE_S, 'the third leads');
  const { stamp } = cluster.store.keys.get('leader')!;
  await cluster.pass(0.2);
  const from = cluster.starts.length;
  const job = await cluster.submit({ runMs: 1500, fetchMs: 500 }, third);
  await cluster.until(() => cluster.starts.length > from, 2, 'work starts again');
  await cluster.pass(LEASE_S);
  assert.equal(await cluster.phase(job, third), 'done');
  assert.equal(cluster.store.keys.get('leader')?.stamp, stamp);
  cluster.freeze(third, SILENT_MS);
  await cluster.until(() => cluster.leader === first, LEASE_S, 'the first leads again');
  await cluster.pass(LEASE_S);
  assert.equal(lost(), 0);
  assert.equal(cluster.running(service), 4);
  await end(cluster);
});

/** Whether one of five controllers, in zones a, b, a, b, a, lets others lead so that a cut costs no lease. */
function standsBack(self: number, count: number, leaseMs: number): boolean {
  const names = Array.from({ length: count }, (_, i) => `berth-${i}`);
  const zones = new Map(names.map((name, i) => [name, i % 2 === 0 ? 'a' : 'b']));
  const peers = names.filter((_, i) => i !== self);
  const transport = { peers, lastHeardAt: () => 0 } as unknown as PeerTransport;
  const facts = { self: names[self]!, zones, heartbeatIntervalMs: 1000, leaseMs };
  return new SuccessorPolicy(new FakeClock(), transport, facts).shouldYieldAcrossZones(null);
}

// The workers of the far zone wait 5 s for the leader behind the cut and 5 s for another one there.
test('a controller whose next one is in its own zone leaves leadership to others, as a cut between zones would cost leases', () => {
  assert.deepEqual(
    [0, 1, 2].map((self) => standsBack(self, 3, 10_000)),
    [false, false, true],
  );
  assert.deepEqual(
    [0, 1, 2, 3, 4].map((self) => standsBack(self, 5, 10_000)),
    [false, false, false, false, true],
  );
  assert.equal(standsBack(4, 5, 15_250), false, 'a longer lease lasts');
});

// The leader handed over as it heard no controller of the other zone, and the delegate there, which knows
// the token before alone, lost all workers that it had kept.
test('a cut between zones is no reason to hand over', async () => {
  const { w: cluster, service, lost } = await withService(1);
  await cluster.pass(3 * LEASE_S);
  const { stamp } = cluster.store.keys.get('leader')!;
  cluster.split(true);
  await cluster.pass(3 * LEASE_S);
  assert.equal(cluster.store.keys.get('leader')?.stamp, stamp);
  assert.equal(lost(), 0);
  assert.equal(cluster.running(service), 4);
  cluster.split(false);
  await end(cluster);
});
