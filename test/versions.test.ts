import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machines } from './fakes/meeting.js';
import { NEXT, ranged, runKeys } from './fakes/upgrade.js';
import {
  allRun,
  assertPhase,
  install,
  leading,
  LONG_MS,
  passOffice,
  startLongWork,
  startsOf,
  type Version,
} from './fakes/versions.js';
import { World } from './fakes/world.js';

// The controllers of earlier versions are the real ones, from the bundles in test/fixtures/controllers.

/** In which order versions lead; each controller leads twice. */
const ORDERS: Version[][] = [
  ['78ff1b1', 'current'],
  ['current', '78ff1b1'],
  ['104c759', 'current'],
  ['current', '104c759'],
  ['78ff1b1', '104c759'],
  ['104c759', '78ff1b1'],
  ['78ff1b1', '104c759', 'current'],
  ['78ff1b1', 'current', '104c759'],
  ['104c759', '78ff1b1', 'current'],
  ['104c759', 'current', '78ff1b1'],
  ['current', '78ff1b1', '104c759'],
  ['current', '104c759', '78ff1b1'],
];

for (const order of ORDERS) {
  const knowRanges = !order.includes('78ff1b1');

  test(`office passes ${order.join(' -> ')} -> ..., with work of each kind`, async () => {
    const size = order.length as 2 | 3;
    const w = new World(machines('abababab'), size, 0, { next: NEXT });
    install(w, order);
    await w.start();
    void w.keepAsking();
    await passOffice(w, 0);
    const work = await startLongWork(w);
    const starts = startsOf(w, work);
    const done = await w.accept({ pieces: 3, runMs: 2000 });
    await w.until(() => w.stored(done) === 'done', 40, 'a job is done');
    const cancelled = [await w.accept({ pieces: 3, runMs: LONG_MS })];
    await w.cancel(cancelled[0]!);
    const short: string[] = [done];
    for (const node of [...order.keys(), ...order.keys()]) {
      await passOffice(w, node);
      assert.equal(leading(w), order[node]);
      short.push(await w.accept({ pieces: 4, runMs: 3000, crew: 'speech' }));
      const gone = await w.accept({ shape: 'gang', pieces: 2, gpus: 2, runMs: LONG_MS });
      await w.pass(4);
      assert.equal(await w.cancel(gone), 'withdrawn');
      cancelled.push(gone);
      assert.ok(allRun(w, work));
      assert.equal(startsOf(w, work), starts, `nothing is started again under ${order[node]}`);
      if (!knowRanges) assert.ok(!runKeys(w).some(ranged), 'one that cannot read them is there');
    }
    await w.until(() => short.every((job) => w.stored(job) === 'done'), 60, 'short work is done');
    for (const job of short) await assertPhase(w, job, 'done');
    for (const job of cancelled) await assertPhase(w, job, 'withdrawn');
    if (knowRanges) {
      await w.until(() => runKeys(w).every(ranged), 60, 'records have the layout for the limits');
    }
    await w.close();
  });
}
