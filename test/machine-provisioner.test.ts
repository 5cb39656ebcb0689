import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RELEASES } from './fakes/released.js';
import { changeVersion, transferLeadership } from './fakes/versions.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/** The nominal boot time of the fake cloud's type, in seconds. */
const BOOT_S = 40;

test('an offer that stays out of capacity is requested less often, and obtained once there is capacity', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }]);
  await simulatedCluster.start();
  simulatedCluster.cloud.capacity = 0;
  const filler = await simulatedCluster.submit({
    shape: 'service',
    pieces: 2,
    gpus: 8,
    runMs: 1_000_000,
  });
  await simulatedCluster.until(
    () => simulatedCluster.running(filler) === 2,
    10,
    'the machines are full',
  );
  const job = await simulatedCluster.submit({
    shape: 'service',
    pieces: 1,
    gpus: 8,
    runMs: 1_000_000,
  });
  await simulatedCluster.advance(200);
  const requests = simulatedCluster.cloud.calls.filter((call) => call.path === '/hosts').length;
  // Two zones with ordinary machines, with a pause of 10, 20, 40 and 40 s and so on.
  assert.ok(requests >= 4 && requests <= 16, `${requests} requests`);
  simulatedCluster.cloud.capacity = 40;
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 1,
    50 + BOOT_S + 10,
    'it runs once there is capacity',
  );
  await simulatedCluster.close();
});

/** Numbers of machines in the provisioning records of the store. */
const recordedCounts = (cluster: SimulatedCluster): number[] =>
  [...cluster.store.keys]
    .filter(([key]) => key.startsWith('rent/'))
    .map(([, { value }]) => (value as { count: number }).count);

const pendingMachines = (cluster: SimulatedCluster): number =>
  recordedCounts(cluster).reduce((sum, count) => sum + count, 0);

const isProvisioningWrite = (path: string, body: unknown): boolean =>
  path === '/txn' && /"write":"rent\/[^g]/.test(JSON.stringify(body));

/** A job that no machine has capacity for, so that one is provisioned. */
const UNPLACEABLE = { shape: 'service', pieces: 1, gpus: 8, runMs: 1_000_000 } as const;

/** Delays the first write of each provisioning record, unanswered, in `store.late`. */
async function delayRecords(cluster: SimulatedCluster): Promise<void> {
  const seen = new Set<string>();
  cluster.nodes[cluster.leader]!.storeOutcome = (_method, path, body) => {
    if (!isProvisioningWrite(path, body)) return 'serve';
    const text = JSON.stringify(body);
    if (seen.has(text)) return 'serve';
    seen.add(text);
    return 'apply late';
  };
}

for (const next of ['current', ...RELEASES] as const) {
  test(`a delayed write does not bring back the record of a finished request (${next} leads next)`, async () => {
    // Otherwise its machines would count as pending, and none would be provisioned instead of them.
    const simulatedCluster = new SimulatedCluster([]);
    await simulatedCluster.start();
    simulatedCluster.cloud.capacity = 0;
    await delayRecords(simulatedCluster);
    await simulatedCluster.accept(UNPLACEABLE);
    await simulatedCluster.until(
      () => pendingMachines(simulatedCluster) > 0,
      20,
      'recorded by a retry',
    );
    await simulatedCluster.until(() => pendingMachines(simulatedCluster) === 0, 20, 'finished');
    const copies = simulatedCluster.store.late.splice(0);
    for (const apply of copies) assert.equal(apply().status, 409);
    assert.equal(pendingMachines(simulatedCluster), 0);
    const old = simulatedCluster.leader;
    await changeVersion(simulatedCluster, old === 0 ? 1 : 0, next);
    await transferLeadership(simulatedCluster, old === 0 ? 1 : 0);
    await simulatedCluster.advance(20);
    assert.ok(recordedCounts(simulatedCluster).length <= 2, 'no records accumulate in the store');
    simulatedCluster.cloud.capacity = 40;
    await simulatedCluster.until(
      () => simulatedCluster.cloud.hosts.size > 0,
      60,
      'a machine is provisioned',
    );
    await simulatedCluster.close();
  });
}

test('a pending request whose record was fenced off is recorded again and provisioned once', async () => {
  const simulatedCluster = new SimulatedCluster([]);
  await simulatedCluster.start();
  simulatedCluster.cloud.capacity = 1;
  await delayRecords(simulatedCluster);
  for (const yard of ['a', 'b', 'a', 'b']) await simulatedCluster.accept({ ...UNPLACEABLE, yard });
  await simulatedCluster.advance(30);
  for (const apply of simulatedCluster.store.late.splice(0)) assert.equal(apply().status, 409);
  simulatedCluster.cloud.capacity = 40;
  await simulatedCluster.until(
    () => simulatedCluster.cloud.hosts.size >= 4,
    120,
    'all are provisioned',
  );
  await simulatedCluster.advance(60);
  assert.equal(simulatedCluster.cloud.hosts.size, 4);
  await simulatedCluster.close();
});
