import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SuccessorPolicy } from '../src/election/successor-policy.js';
import type { PeerTransport } from '../src/peer/peer-transport.js';
import { FakeClock } from './fakes/clock.js';
import { machines } from './fakes/fault-scenario.js';
import { transferLeadership } from './fakes/versions.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const UNRESPONSIVE_MS = 90_000;
const LEASE_S = 10;

/** Starts a cluster with a running service; `lost` counts the workers whose leases have expired. */
async function startWithService(seed: number): Promise<{
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

/** Closes the cluster once unresponsive controllers respond again. */
async function closeAfterStalls(cluster: SimulatedCluster): Promise<void> {
  await cluster.advance(UNRESPONSIVE_MS / 1000);
  await cluster.close();
}

async function waitForAnotherLeader(
  cluster: SimulatedCluster,
  formerLeader: number,
): Promise<number> {
  await cluster.until(
    () => cluster.leader !== formerLeader && cluster.leader >= 0,
    LEASE_S,
    'another leads',
  );
  return cluster.leader;
}

// A worker spends 5 s on each unresponsive controller: two in a row during its failover cost it its
// lease. The successor of an unresponsive leader has to be a controller with a responsive backup.
for (const first of [0, 1]) {
  test(`controller ${first} and the leader after it become unresponsive, and no worker loses its lease`, async () => {
    const { w: cluster, lost } = await startWithService(first);
    if (cluster.leader !== first) {
      cluster.freeze(cluster.leader, LEASE_S * 500);
      await waitForAnotherLeader(cluster, cluster.leader);
      await cluster.advance(LEASE_S);
    }
    assert.equal(cluster.leader, first);
    cluster.freeze(first, UNRESPONSIVE_MS);
    const second = await waitForAnotherLeader(cluster, first);
    await cluster.advance(LEASE_S);
    cluster.freeze(second, UNRESPONSIVE_MS);
    await waitForAnotherLeader(cluster, second);
    await cluster.advance(2 * LEASE_S);
    assert.equal(lost(), 0);
    await closeAfterStalls(cluster);
  });
}

// The remaining leader had resigned before its workers could reach it, and rejected them for a second
// round. A leader that receives nothing from other controllers may itself be isolated: it resigns
// sooner then, but has to lead again when its workers reach it.
test('workers that try two unresponsive controllers first are answered by the third one at once', async () => {
  const { w: cluster, service, lost } = await startWithService(1);
  const first = cluster.leader;
  const [next, third] = [(first + 1) % 3, (first + 2) % 3];
  cluster.freeze(next, UNRESPONSIVE_MS);
  await cluster.advance(LEASE_S);
  cluster.freeze(first, UNRESPONSIVE_MS);
  await cluster.until(() => cluster.leader === third, LEASE_S, 'the third leads');
  // A lease and the heartbeat interval in which it began; a rejected worker retries 11 s later.
  await cluster.advance(1.25 * LEASE_S);
  assert.equal(cluster.leader, third);
  assert.ok([...cluster.workers.values()].every((worker) => worker.shift <= 2));
  await cluster.until(() => cluster.running(service) === 4, 3, 'replicas run again');
  assert.equal(lost(), 4);
  await closeAfterStalls(cluster);
});

// The leader had kept leading although its workers' failover would have met two unresponsive
// controllers in a row, itself and the follower after it.
test('a leader whose next controller is unresponsive transfers leadership, so that no stall costs a lease', async () => {
  const { w: cluster, service, lost } = await startWithService(1);
  // The next controller is not the only one in its zone: unresponsive, but not partitioned.
  const first = 2;
  await transferLeadership(cluster, first);
  const [next, third] = [(first + 1) % 3, (first + 2) % 3];
  // Leadership is transferred only after a term has lasted for a while.
  await cluster.advance(2 * LEASE_S);
  cluster.freeze(next, UNRESPONSIVE_MS);
  await cluster.until(() => cluster.leader === third, LEASE_S, 'the third leads');
  const { stamp } = cluster.store.keys.get('leader')!;
  await cluster.advance(0.2);
  const startsBefore = cluster.starts.length;
  const job = await cluster.submit({ runMs: 1500, fetchMs: 500 }, third);
  await cluster.until(() => cluster.starts.length > startsBefore, 2, 'work starts again');
  await cluster.advance(LEASE_S);
  assert.equal(await cluster.phase(job, third), 'done');
  assert.equal(cluster.store.keys.get('leader')?.stamp, stamp);
  cluster.freeze(third, UNRESPONSIVE_MS);
  await cluster.until(() => cluster.leader === first, LEASE_S, 'the first leads again');
  await cluster.advance(LEASE_S);
  assert.equal(lost(), 0);
  assert.equal(cluster.running(service), 4);
  await closeAfterStalls(cluster);
});

/**
 * Whether the policy of controller `self` of `count`, in zones a, b, a, b, a, yields leadership so
 * that a partition between zones costs no lease.
 */
function yieldsAcrossZones(self: number, count: number, leaseMs: number): boolean {
  const names = Array.from({ length: count }, (_, i) => `berth-${i}`);
  const zones = new Map(names.map((name, i) => [name, i % 2 === 0 ? 'a' : 'b']));
  const peers = names.filter((_, i) => i !== self);
  const transport = { peers, lastHeardAt: () => 0 } as unknown as PeerTransport;
  const options = { self: names[self]!, zones, heartbeatIntervalMs: 1000, leaseMs };
  return new SuccessorPolicy(new FakeClock(), transport, options).shouldYieldAcrossZones(null);
}

// Workers of the other zone wait 5 s for the partitioned leader and 5 s for another one in its zone.
test('a controller whose next one is in its own zone yields leadership, as a partition would cost leases', () => {
  assert.deepEqual(
    [0, 1, 2].map((self) => yieldsAcrossZones(self, 3, 10_000)),
    [false, false, true],
  );
  assert.deepEqual(
    [0, 1, 2, 3, 4].map((self) => yieldsAcrossZones(self, 5, 10_000)),
    [false, false, false, false, true],
  );
  assert.equal(yieldsAcrossZones(4, 5, 15_250), false, 'a longer lease covers the failover');
});

// The leader had transferred leadership because it received nothing from the other zone. The delegate
// there knows only the previous fencing token, and lost all workers that it had kept alive.
test('a partition between zones causes no transfer of leadership', async () => {
  const { w: cluster, service, lost } = await startWithService(1);
  await cluster.advance(3 * LEASE_S);
  const { stamp } = cluster.store.keys.get('leader')!;
  cluster.setPartitioned(true);
  await cluster.advance(3 * LEASE_S);
  assert.equal(cluster.store.keys.get('leader')?.stamp, stamp);
  assert.equal(lost(), 0);
  assert.equal(cluster.running(service), 4);
  cluster.setPartitioned(false);
  await closeAfterStalls(cluster);
});
