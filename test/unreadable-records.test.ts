import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';
import type { RequestOutcome } from './fakes/store.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

/** The store renews leases and accepts writes, but refuses reads and watches of job records. */
const refuseJobReads = (_method: string, path: string): RequestOutcome =>
  path.startsWith('/store?') || path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve';

async function startWithService(): Promise<{
  w: SimulatedCluster;
  service: string;
  terms(): number;
}> {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  await simulatedCluster.start();
  const service = await simulatedCluster.accept({
    shape: 'service',
    pieces: 4,
    runMs: 0,
    crew: 'speech',
  });
  await simulatedCluster.until(() => simulatedCluster.running(service) === 4, 20, 'all run');
  let terms = 0;
  simulatedCluster.store.onWrite = (key) => void (terms += key === 'leader' ? 1 : 0);
  return { w: simulatedCluster, service, terms: () => terms };
}

// Such a leader had kept leading and had rejected its workers for as long as it could not read.
for (const unreadableSince of ['its term began', 'it has led for a while']) {
  test(`a leader that has read no records since ${unreadableSince} resigns, and no lease expires`, async () => {
    const { w: cluster, service, terms } = await startWithService();
    let blocked = cluster.leader;
    if (unreadableSince === 'its term began') {
      blocked = (cluster.leader + 1) % 3;
      cluster.nodes[blocked]!.storeOutcome = refuseJobReads;
      cluster.crash(cluster.leader);
      await cluster.until(
        () => cluster.leader === blocked,
        5,
        'the controller that cannot read leads',
      );
    } else cluster.nodes[blocked]!.storeOutcome = refuseJobReads;
    await cluster.until(
      () => cluster.leader !== blocked && cluster.leader >= 0,
      9,
      'another leads',
    );
    const done = await cluster.submit({ runMs: 1500, fetchMs: 500 }, cluster.leader);
    await cluster.advance(20);
    assert.equal(await cluster.phase(done, cluster.leader), 'done');
    assert.equal(cluster.running(service), 4);
    assert.ok([...cluster.workers.values()].every((worker) => worker.shift === 1));
    assert.ok(terms() <= 2, `${terms()} terms`);
    await cluster.close();
  });
}

// Cancellation lists of peers had counted as updates of the records, which were not read again.
test('a leader whose watches alone fail keeps leading and learns of new jobs', async () => {
  const { w: cluster, terms } = await startWithService();
  const { leader } = cluster;
  cluster.nodes[leader]!.storeOutcome = (_method, path) =>
    path.startsWith('/follow?') ? 'refuse' : 'serve';
  await cluster.advance(10);
  const job = await cluster.submit({ runMs: 1500, fetchMs: 500 }, (leader + 1) % 3);
  await cluster.advance(12);
  assert.equal(await cluster.phase(job, leader), 'done');
  assert.equal(terms(), 0);
  await cluster.close();
});

test('if no controller can read the records, the leader changes less and less often', async () => {
  const { w: cluster, service, terms } = await startWithService();
  for (const node of cluster.nodes) node.storeOutcome = refuseJobReads;
  await cluster.advance(100);
  const firstTerms = terms();
  await cluster.advance(200);
  assert.ok(firstTerms <= 9, `${firstTerms} terms at first`);
  assert.ok(terms() - firstTerms <= 5, `${terms() - firstTerms} more terms`);
  for (const node of cluster.nodes) node.storeOutcome = () => 'serve';
  await cluster.until(() => cluster.running(service) === 4, 40, 'the service runs again');
  await cluster.close();
});
