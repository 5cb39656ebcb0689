import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Transport } from '../src/http/client.js';
import { machines } from './fakes/meeting.js';
import { CURRENT, type Program } from './fakes/program.js';
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

/** A controller as a version to come would be: its member record names formats that nobody else knows. */
const LATER: Program = {
  ...CURRENT,
  version: 'later',
  create: (settings, runtime, links) => {
    const request: Transport['request'] = (method, path, body, ...rest) => {
      const text = JSON.stringify(body)?.replace('"recordFormat":2', '"recordFormat":3');
      const later = text?.replace('"frameVersions":[3,4]', '"frameVersions":[3,4,5]');
      return links.store.request(method, path, later ? JSON.parse(later) : body, ...rest);
    };
    return CURRENT.create(settings, runtime, { ...links, store: { request } });
  },
};

test('104c759 works beside a version of later formats as beside its own', async () => {
  const w = new World(machines('abababab'), 3, 0, { next: NEXT });
  install(w, ['104c759', '104c759', 'current']);
  w.nodes[2]!.program = LATER;
  await w.start();
  assert.equal((w.store.get('members/berth-2') as { recordFormat: number }).recordFormat, 3);
  const work = await startLongWork(w);
  const starts = startsOf(w, work);
  for (const node of [0, 2, 1]) {
    await passOffice(w, node);
    await w.until(() => runKeys(w).every(ranged), 30, 'records are ranged');
  }
  w.store.limits = NEXT;
  await w.pass(20);
  assert.ok(allRun(w, work));
  assert.equal(startsOf(w, work), starts);
  assert.deepEqual(w.wire.unreadable, []);
  await w.close();
});

for (const [leader, others] of [
  ['current', '104c759'],
  ['104c759', 'current'],
  ['current', '78ff1b1'],
] as const) {
  const covered = others !== '78ff1b1';

  test(`${leader} leads ${others} through a refusal, a cancellation and an outage`, async () => {
    const w = new World(machines('aabb'), 3);
    install(w, [leader, others, others]);
    await w.start();
    await passOffice(w, 0);
    const wish = { shape: 'service', pieces: 2, runMs: 0, urgency: 'production' } as const;
    const kept = await w.accept(wish);
    const cancelled = await w.accept(wish);
    await w.until(() => w.running(kept) + w.running(cancelled) === 4, 20, 'replicas run');
    const starts = w.starts.length;
    // Nothing may rest on the message that tells the leader of a cancellation.
    w.wire.loses = (_from, _to, message) => message.kind === 'cancelled';
    w.trouble.refuse(0);
    await w.clock.advance(300);
    assert.equal(await w.cancel(cancelled, 1), 'withdrawn');
    w.trouble.outage();
    await w.pass(60);
    // With vouches the work that was not cancelled outlasts it; the rules hold in any case.
    if (covered) assert.equal(w.running(kept), 2);
    w.trouble.over();
    await w.until(() => w.running(kept) === 2, 60, 'what was not cancelled runs');
    if (covered) assert.equal(w.starts.length, starts, 'nothing is started again');
    assert.deepEqual(w.wire.unreadable, []);
    await assertPhase(w, cancelled, 'withdrawn');
    await w.close();
  });
}
