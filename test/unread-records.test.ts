import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';
import type { Fate } from './fakes/store.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

/** The store renews leases and takes writes, but lets no records be read or followed. */
const unreadable = (_method: string, path: string): Fate =>
  path.startsWith('/store?') || path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve';

async function withService(): Promise<{ w: World; service: string; terms(): number }> {
  const w = new World(FOUR, 3);
  await w.start();
  const service = await w.accept({ shape: 'service', pieces: 4, runMs: 0, crew: 'speech' });
  await w.until(() => w.running(service) === 4, 20, 'all run');
  let terms = 0;
  w.store.onWrite = (key) => void (terms += key === 'leader' ? 1 : 0);
  return { w, service, terms: () => terms };
}

// It stayed in office and turned its workers away for as long as it could not read.
for (const since of ['its term began', 'it has led for a while']) {
  test(`a leader that has read no records since ${since} hands over, and no lease runs out`, async () => {
    const { w, service, terms } = await withService();
    let broken = w.leader;
    if (since === 'its term began') {
      broken = (w.leader + 1) % 3;
      w.nodes[broken]!.fate = unreadable;
      w.crash(w.leader);
      await w.until(() => w.leader === broken, 5, 'it leads');
    } else w.nodes[broken]!.fate = unreadable;
    await w.until(() => w.leader !== broken && w.leader >= 0, 9, 'another leads');
    const done = await w.submit({ runMs: 1500, fetchMs: 500 }, w.leader);
    await w.pass(20);
    assert.equal(await w.phase(done, w.leader), 'done');
    assert.equal(w.running(service), 4);
    assert.ok([...w.workers.values()].every((worker) => worker.shift === 1));
    assert.ok(terms() <= 2, `${terms()} terms`);
    await w.close();
  });
}

// What others told of cancellations once counted as news of the records: they were not read again.
test('a leader whose watch alone stalls keeps office and learns of new jobs', async () => {
  const { w, terms } = await withService();
  const { leader } = w;
  w.nodes[leader]!.fate = (_method, path) => (path.startsWith('/follow?') ? 'refuse' : 'serve');
  await w.pass(10);
  const job = await w.submit({ runMs: 1500, fetchMs: 500 }, (leader + 1) % 3);
  await w.pass(12);
  assert.equal(await w.phase(job, leader), 'done');
  assert.equal(terms(), 0);
  await w.close();
});

test('where no controller can read the records, office changes ever less often', async () => {
  const { w, service, terms } = await withService();
  for (const node of w.nodes) node.fate = unreadable;
  await w.pass(100);
  const first = terms();
  await w.pass(200);
  assert.ok(first <= 9, `${first} terms at first`);
  assert.ok(terms() - first <= 5, `${terms() - first} more terms`);
  for (const node of w.nodes) node.fate = () => 'serve';
  await w.until(() => w.running(service) === 4, 40, 'it runs again');
  await w.close();
});
