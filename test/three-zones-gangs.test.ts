import assert from 'node:assert/strict';
import { test } from 'node:test';
import { THREE_ZONES } from './fakes/deployment-shape.js';
import { machines } from './fakes/fault-scenario.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

// Five controllers in three zones; 3 machines with 8 GPUs, all used by replicas, and 20 that can be
// provisioned.

const MACHINES = machines('abc');
const PAIRS = 6;
const PAIRS_PER_ZONE = PAIRS / THREE_ZONES.zones.length;

/** Number of pairs that run in each zone. */
function pairsByZone(cluster: SimulatedCluster, pairs: readonly string[]): Map<string, number> {
  const zones = new Map<string, number>();
  for (const pair of pairs) {
    const yards = new Set(cluster.machinesWith(pair).map(({ yard }) => yard));
    assert.equal(yards.size, 1, 'a pair runs in one zone');
    for (const yard of yards) zones.set(yard, (zones.get(yard) ?? 0) + 1);
  }
  return zones;
}

// Guards against gangs that all go to the first of several equal zones until it has no capacity
// left: they must choose the zone with the fewest machines.
test(`${PAIRS} gangs of two whole machines that need scale-out are spread over the zones, also when the leader crashes`, async () => {
  const simulatedCluster = new SimulatedCluster(MACHINES, THREE_ZONES, 1, {}, 8);
  simulatedCluster.cloud.capacity = MACHINES.length + 20;
  await simulatedCluster.start();
  const serviceTemplate = {
    shape: 'service',
    pieces: 3,
    gpus: 8,
    runMs: 0,
    crew: 'speech',
  } as const;
  const service = await simulatedCluster.accept({
    ...serviceTemplate,
    apart: true,
    urgency: 'production',
  });
  await simulatedCluster.until(
    () => simulatedCluster.running(service) === 3,
    30,
    'every machine is used',
  );
  const pairs: string[] = [];
  for (let i = 0; i < PAIRS; i++) {
    const pairTemplate = { shape: 'gang', pieces: 2, gpus: 8, vcpus: 40, runMs: 900_000 } as const;
    pairs.push(
      await simulatedCluster.accept({ ...pairTemplate, samePlace: true, urgency: 'urgent' }),
    );
    if (i === PAIRS / 2) simulatedCluster.crash(simulatedCluster.leader);
    const all = (): boolean => pairs.every((job) => simulatedCluster.running(job) === 2);
    await simulatedCluster.until(all, 90, `pair ${i} runs`);
  }
  for (const [zone, count] of pairsByZone(simulatedCluster, pairs)) {
    assert.ok(count <= PAIRS_PER_ZONE + 1, `${count} pairs in zone ${zone}`);
  }
  simulatedCluster.restartAll();
  for (const job of [service, ...pairs]) void simulatedCluster.cancelInBackground(job);
  await simulatedCluster.waitUntilSettled(150);
  await simulatedCluster.close();
});
