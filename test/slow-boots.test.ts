import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

/** The nominal boot time of the fake cloud's type, in seconds. */
const BOOT_S = 40;

interface Run {
  gang?: { phase: string };
}

const gangOf = (w: World, ref: string): string =>
  (w.store.get(`runs/${ref}/0`) as Run | undefined)?.gang?.phase ?? 'queued';

test('a cloud that boots at a quarter of its pace does not stop a workable gang', async () => {
  const w = new World([{ yard: 'a' }]);
  await w.start();
  w.cloud.bootMs = BOOT_S * 4 * 1000;
  const job = await w.submit({ shape: 'gang', pieces: 3, gpus: 8, runMs: 60_000 });
  await w.until(() => gangOf(w, job) === 'admitted', 10, 'admitted');
  const admittedAt = w.clock.now();
  while (w.running(job) < 3) {
    assert.notEqual(gangOf(w, job), 'suspended');
    await w.pass(1);
    const waitedS = (w.clock.now() - admittedAt) / 1000;
    assert.ok(waitedS < BOOT_S * 4 + 15, 'it runs once its first machines are up');
  }
  assert.equal(w.cloud.calls.filter((c) => c.path === '/hosts/return').length, 0);
  await w.close();
});

test('a gang whose machine comes late still has the time to fetch its image', async () => {
  const w = new World([{ yard: 'a' }]);
  await w.start();
  w.cloud.bootMs = BOOT_S * 1.7 * 1000;
  const job = await w.submit({
    ...{ shape: 'gang', pieces: 2, gpus: 8, runMs: 60_000 },
    ...{ sizeGb: 16, fetchMs: 16_000 },
  });
  await w.until(() => gangOf(w, job) === 'placed', 90, 'placed');
  await w.until(() => w.running(job) === 2, 25, 'runs without a suspension');
  await w.close();
});

test('a machine that never comes up is replaced, and goes back once its replacement is there', async () => {
  const w = new World([{ yard: 'a' }]);
  await w.start();
  w.cloud.bootMs = Infinity;
  const job = await w.submit({ shape: 'service', pieces: 2, gpus: 8, runMs: 600_000 });
  await w.until(() => w.cloud.hosts.size === 2, 10, 'one is rented');
  const dead = [...w.cloud.hosts.keys()][1]!;
  w.cloud.bootMs = BOOT_S * 1000;
  await w.until(() => w.cloud.hosts.size === 3, BOOT_S * 2, 'another is rented in its place');
  await w.until(() => w.running(job) === 2, BOOT_S + 10, 'both replicas run');
  await w.until(() => !w.cloud.hosts.has(dead), 2, 'the dead one is paid no longer');
  await w.close();
});

test('a machine that is listed as running and stays silent goes back, but not in a cut of its zone', async () => {
  const w = new World([{ yard: 'a' }, { yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }]);
  await w.start();
  // One to each machine, so that none of them is spare.
  await w.submit({ shape: 'service', pieces: 5, gpus: 8, runMs: 1_000_000, crew: 'speech' });
  await w.pass(10);
  const inZone = (yard: string): string[] =>
    [...w.workers.values()].filter((x) => x.yard === yard).map((x) => x.id);
  const [silent] = inZone('a');
  w.workers.get(silent!)!.dead = true;
  const cut = inZone('b').slice(0, 2);
  for (const id of cut) w.workers.get(id)!.dead = true;
  await w.pass(BOOT_S * 3 - 10);
  assert.ok(w.cloud.hosts.has(silent!), 'it may come back');
  await w.until(() => !w.cloud.hosts.has(silent!), 40, 'it is paid no longer');
  assert.ok(cut.every((id) => w.cloud.hosts.has(id)));
  await w.close();
});

test('machines without work are kept where their whole zone is silent: a cut is the likelier reason', async () => {
  const w = new World([{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }]);
  await w.start();
  await w.submit({ shape: 'service', pieces: 2, gpus: 8, runMs: 1_000_000, yard: 'a' });
  await w.pass(6);
  const silent = [...w.workers.values()].filter((x) => x.yard === 'b');
  for (const worker of silent) {
    assert.equal(worker.pieces.length, 0);
    worker.dead = true;
  }
  await w.pass(BOOT_S * 3 + 30);
  assert.ok(silent.every(({ id }) => w.cloud.hosts.has(id)));
  await w.close();
});
