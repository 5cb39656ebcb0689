import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';
import type { Fate } from './fakes/store.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

/** The store renews leases and takes writes, but lets no records be read or followed. */
const unreadable = (_method: string, path: string): Fate =>
  path.startsWith('/store?') || path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve';

async function withService(): Promise<{ w: SimulatedCluster; service: string; terms(): number }> {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
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

// It stayed in leadership and turned its workers away for as long as it could not read.
for (const since of ['its term began', 'it has led for a while']) {
  test(`a leader that has read no records since ${since} hands over, and no lease runs out`, async () => {
    const { w: cluster, service, terms } = await withService();
    let broken = cluster.leader;
    if (since === 'its term began') {
      broken = (cluster.leader + 1) % 3;
      cluster.nodes[broken]!.fate = unreadable;
      cluster.crash(cluster.leader);
      await cluster.until(() => cluster.leader === broken, 5, 'it leads');
    } else cluster.nodes[broken]!.fate = unreadable;
    await cluster.until(() => cluster.leader !== broken && cluster.leader >= 0, 9, 'another leads');
    const done = await cluster.submit({ runMs: 1500, fetchMs: 500 }, cluster.leader);
    await cluster.pass(20);
    assert.equal(await cluster.phase(done, cluster.leader), 'done');
    assert.equal(cluster.running(service), 4);
    assert.ok([...cluster.workers.values()].every((worker) => worker.shift === 1));
    assert.ok(terms() <= 2, `${terms()} terms`);
    await cluster.close();
  });
}

// What others told of cancellations once counted as news of the records: they were not read again.
test('a leader whose watch alone stalls keeps office and learns of new jobs', async () => {
  const { w: cluster, terms } = await withService();
  const { leader } = cluster;
  cluster.nodes[leader]!.fate = (_method, path) =>
    path.startsWith('/follow?') ? 'refuse' : 'serve';
  await cluster.pass(10);
  const job = await cluster.submit({ runMs: 1500, fetchMs: 500 }, (leader + 1) % 3);
  await cluster.pass(12);
  assert.equal(await cluster.phase(job, leader), 'done');
  assert.equal(terms(), 0);
  await cluster.close();
});

test('where no controller can read the records, office changes ever less often', async () => {
  const { w: cluster, service, terms } = await withService();
  for (const node of cluster.nodes) node.fate = unreadable;
  await cluster.pass(100);
  const first = terms();
  await cluster.pass(200);
  assert.ok(first <= 9, `${first} terms at first`);
  assert.ok(terms() - first <= 5, `${terms() - first} more terms`);
  for (const node of cluster.nodes) node.fate = () => 'serve';
  await cluster.until(() => cluster.running(service) === 4, 40, 'it runs again');
  await cluster.close();
});
