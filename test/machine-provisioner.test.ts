import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RELEASES } from './fakes/released.js';
import { change, passOffice } from './fakes/versions.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/** The nominal boot time of the fake cloud's type, in seconds. */
const BOOT_S = 40;

test('an offer that is refused again and again is asked for less often, and had once there is room', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }]);
  await simulatedCluster.start();
  simulatedCluster.cloud.capacity = 0;
  const placed = await simulatedCluster.submit({
    shape: 'service',
    pieces: 2,
    gpus: 8,
    runMs: 1_000_000,
  });
  await simulatedCluster.until(
    () => simulatedCluster.running(placed) === 2,
    10,
    'the machines are taken',
  );
  const job = await simulatedCluster.submit({
    shape: 'service',
    pieces: 1,
    gpus: 8,
    runMs: 1_000_000,
  });
  await simulatedCluster.pass(200);
  const commands = simulatedCluster.cloud.calls.filter((call) => call.path === '/hosts').length;
  // Two zones with ordinary machines, with a pause of 10, 20, 40 and 40 s and so on.
  assert.ok(commands >= 4 && commands <= 16, `${commands} orders`);
  simulatedCluster.cloud.capacity = 40;
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 1,
    50 + BOOT_S + 10,
    'it is found when there is room',
  );
  await simulatedCluster.close();
});

/** What the store says of machines that may be on their way. */
const recorded = (cluster: SimulatedCluster): number[] =>
  [...cluster.store.keys]
    .filter(([key]) => key.startsWith('rent/'))
    .map(([, { value }]) => (value as { count: number }).count);

const onOrder = (cluster: SimulatedCluster): number =>
  recorded(cluster).reduce((sum, count) => sum + count, 0);

const isRental = (path: string, body: unknown): boolean =>
  path === '/txn' && /"write":"rent\/[^g]/.test(JSON.stringify(body));

/** A job that no machine has room for: one is ordered for it. */
const WAITS = { shape: 'service', pieces: 1, gpus: 8, runMs: 1_000_000 } as const;

/** Of each order's record the first copy gets no answer and waits in `w.store.late`. */
async function lateRecords(cluster: SimulatedCluster): Promise<void> {
  const seen = new Set<string>();
  cluster.nodes[cluster.leader]!.fate = (_method, path, body) => {
    if (!isRental(path, body)) return 'serve';
    const text = JSON.stringify(body);
    if (seen.has(text)) return 'serve';
    seen.add(text);
    return 'apply late';
  };
}

for (const next of ['current', ...RELEASES] as const) {
  test(`the record of an order that is over does not come back by a late copy (${next} leads next)`, async () => {
    // Its machines would count as on their way, and nothing would be rented in their place.
    const simulatedCluster = new SimulatedCluster([]);
    await simulatedCluster.start();
    simulatedCluster.cloud.capacity = 0;
    await lateRecords(simulatedCluster);
    await simulatedCluster.accept(WAITS);
    await simulatedCluster.until(() => onOrder(simulatedCluster) > 0, 20, 'recorded by a repeat');
    await simulatedCluster.until(() => onOrder(simulatedCluster) === 0, 20, 'over');
    const copies = simulatedCluster.store.late.splice(0);
    for (const apply of copies) assert.equal(apply().status, 409);
    assert.equal(onOrder(simulatedCluster), 0);
    const old = simulatedCluster.leader;
    await change(simulatedCluster, old === 0 ? 1 : 0, next);
    await passOffice(simulatedCluster, old === 0 ? 1 : 0);
    await simulatedCluster.pass(20);
    assert.ok(recorded(simulatedCluster).length <= 2, 'nothing gathers in the store');
    simulatedCluster.cloud.capacity = 40;
    await simulatedCluster.until(
      () => simulatedCluster.cloud.hosts.size > 0,
      60,
      'a machine is ordered',
    );
    await simulatedCluster.close();
  });
}

test('an order under way when records are fenced off is recorded anew, and placed once', async () => {
  const simulatedCluster = new SimulatedCluster([]);
  await simulatedCluster.start();
  simulatedCluster.cloud.capacity = 1;
  await lateRecords(simulatedCluster);
  for (const yard of ['a', 'b', 'a', 'b']) await simulatedCluster.accept({ ...WAITS, yard });
  await simulatedCluster.pass(30);
  for (const apply of simulatedCluster.store.late.splice(0)) assert.equal(apply().status, 409);
  simulatedCluster.cloud.capacity = 40;
  await simulatedCluster.until(
    () => simulatedCluster.cloud.hosts.size >= 4,
    120,
    'all are ordered',
  );
  await simulatedCluster.pass(60);
  assert.equal(simulatedCluster.cloud.hosts.size, 4);
  await simulatedCluster.close();
});
