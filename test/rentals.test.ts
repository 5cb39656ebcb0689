import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RELEASES } from './fakes/released.js';
import { change, passOffice } from './fakes/versions.js';
import { World } from './fakes/world.js';

/** The nominal boot time of the fake cloud's type, in seconds. */
const BOOT_S = 40;

test('an offer that is refused again and again is asked for less often, and had once there is room', async () => {
  const w = new World([{ yard: 'a' }, { yard: 'a' }]);
  await w.start();
  w.cloud.capacity = 0;
  const placed = await w.submit({ shape: 'service', pieces: 2, gpus: 8, runMs: 1_000_000 });
  await w.until(() => w.running(placed) === 2, 10, 'the machines are taken');
  const job = await w.submit({ shape: 'service', pieces: 1, gpus: 8, runMs: 1_000_000 });
  await w.pass(200);
  const orders = w.cloud.calls.filter((c) => c.path === '/hosts').length;
  // Two zones with ordinary machines, with a pause of 10, 20, 40 and 40 s and so on.
  assert.ok(orders >= 4 && orders <= 16, `${orders} orders`);
  w.cloud.capacity = 40;
  await w.until(() => w.running(job) === 1, 50 + BOOT_S + 10, 'it is found when there is room');
  await w.close();
});

/** What the store says of machines that may be on their way. */
const recorded = (w: World): number[] =>
  [...w.store.keys]
    .filter(([key]) => key.startsWith('rent/'))
    .map(([, { value }]) => (value as { count: number }).count);

const onOrder = (w: World): number => recorded(w).reduce((sum, n) => sum + n, 0);

const isRental = (path: string, body: unknown): boolean =>
  path === '/txn' && /"write":"rent\/[^g]/.test(JSON.stringify(body));

/** A job that no machine has room for: one is ordered for it. */
const WAITS = { shape: 'service', pieces: 1, gpus: 8, runMs: 1_000_000 } as const;

/** Of each order's record the first copy gets no answer and waits in `w.store.late`. */
async function lateRecords(w: World): Promise<void> {
  const seen = new Set<string>();
  w.nodes[w.leader]!.fate = (_method, path, body) => {
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
    const w = new World([]);
    await w.start();
    w.cloud.capacity = 0;
    await lateRecords(w);
    await w.accept(WAITS);
    await w.until(() => onOrder(w) > 0, 20, 'recorded by a repeat');
    await w.until(() => onOrder(w) === 0, 20, 'over');
    const copies = w.store.late.splice(0);
    for (const apply of copies) assert.equal(apply().status, 409);
    assert.equal(onOrder(w), 0);
    const old = w.leader;
    await change(w, old === 0 ? 1 : 0, next);
    await passOffice(w, old === 0 ? 1 : 0);
    await w.pass(20);
    assert.ok(recorded(w).length <= 2, 'nothing gathers in the store');
    w.cloud.capacity = 40;
    await w.until(() => w.cloud.hosts.size > 0, 60, 'a machine is ordered');
    await w.close();
  });
}

test('an order under way when records are fenced off is recorded anew, and placed once', async () => {
  const w = new World([]);
  await w.start();
  w.cloud.capacity = 1;
  await lateRecords(w);
  for (const yard of ['a', 'b', 'a', 'b']) await w.accept({ ...WAITS, yard });
  await w.pass(30);
  for (const apply of w.store.late.splice(0)) assert.equal(apply().status, 409);
  w.cloud.capacity = 40;
  await w.until(() => w.cloud.hosts.size >= 4, 120, 'all are ordered');
  await w.pass(60);
  assert.equal(w.cloud.hosts.size, 4);
  await w.close();
});
