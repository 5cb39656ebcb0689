import assert from 'node:assert/strict';
import { test } from 'node:test';
import { THREE_ZONES } from './fakes/deployment-shape.js';
import { machines } from './fakes/fault-scenario.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

// Five controllers in three zones; 3 machines of 8 GPUs, all taken by replicas, and 20 that can be rented.

const MACHINES = machines('abc');
const PAIRS = 6;
const PAIRS_PER_ZONE = PAIRS / THREE_ZONES.zones.length;

/** How many pairs run in each zone. */
function pairsByZone(cluster: SimulatedCluster, pairs: readonly string[]): Map<string, number> {
  const zones = new Map<string, number>();
  for (const pair of pairs) {
    const yards = new Set(cluster.holding(pair).map(({ yard }) => yard));
    assert.equal(yards.size, 1, 'a pair is in one zone');
    for (const yard of yards) zones.set(yard, (zones.get(yard) ?? 0) + 1);
  }
  return zones;
}

// Guards that of equal zones gangs take the one with the fewest machines: all went to the first zone,
// until it had none left while others did.
test(`${PAIRS} pairs of whole machines that have to be rented spread over the zones, also when the leader ends`, async () => {
  const simulatedCluster = new SimulatedCluster(MACHINES, THREE_ZONES, 1, {}, 8);
  simulatedCluster.cloud.capacity = MACHINES.length + 20;
  await simulatedCluster.start();
  const fill = { shape: 'service', pieces: 3, gpus: 8, runMs: 0, crew: 'speech' } as const;
  const service = await simulatedCluster.accept({ ...fill, apart: true, urgency: 'production' });
  await simulatedCluster.until(
    () => simulatedCluster.running(service) === 3,
    30,
    'every machine is taken',
  );
  const pairs: string[] = [];
  for (let i = 0; i < PAIRS; i++) {
    const pair = { shape: 'gang', pieces: 2, gpus: 8, vcpus: 40, runMs: 900_000 } as const;
    pairs.push(await simulatedCluster.accept({ ...pair, samePlace: true, urgency: 'urgent' }));
    if (i === PAIRS / 2) simulatedCluster.crash(simulatedCluster.leader);
    const all = (): boolean => pairs.every((job) => simulatedCluster.running(job) === 2);
    await simulatedCluster.until(all, 90, `pair ${i} runs`);
  }
  for (const [zone, count] of pairsByZone(simulatedCluster, pairs)) {
    assert.ok(count <= PAIRS_PER_ZONE + 1, `${count} pairs in zone ${zone}`);
  }
  simulatedCluster.restartAll();
  for (const job of [service, ...pairs]) void simulatedCluster.cancelling(job);
  await simulatedCluster.settle(150);
  await simulatedCluster.close();
});
