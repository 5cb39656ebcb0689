import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

/** Tasks without GPUs, of a team without any guarantee, far too many for what is idle. */
const EXPERIMENTS = { crew: 'lab', urgency: 'best_effort', gpus: 0, vcpus: 12, pieces: 60 };

test('work without a guarantee runs beside other work, and nothing is rented or kept for it', async () => {
  const w = new World(FOUR);
  await w.start();
  const batch = await w.submit({ pieces: 8, runMs: 60_000 });
  await w.until(() => w.running(batch) === 8, 10, 'the batch fills the GPUs of one machine');
  const guest = await w.submit({ ...EXPERIMENTS, runMs: 20_000 });
  await w.until(() => w.running(guest) > 0, 10, 'the guest begins');
  const holdingBatch = w.holding(batch);
  const elsewhere = w.holding(guest).filter((m) => !holdingBatch.includes(m));
  assert.deepEqual(elsewhere, [], 'machines without other work are left alone');
  await w.pass(50);
  assert.deepEqual(
    w.cloud.calls.filter((c) => c.path === '/hosts'),
    [],
    'nothing was rented',
  );
  await w.until(() => w.cloud.hosts.size < FOUR.length, 40, 'idle machines go back meanwhile');
  await w.close();
});

test('work without a guarantee begins late rather than never where nothing else runs', async () => {
  const w = new World(FOUR);
  await w.start();
  const guest = await w.submit({ ...EXPERIMENTS, pieces: 3, runMs: 20_000 });
  await w.pass(60);
  assert.equal(w.starts.length, 0, 'two boots have not passed yet');
  await w.until(() => w.running(guest) === 1, 90, 'one task begins');
  await w.close();
});

test('idle work makes way for a gang within its guarantee, and takes no share of free GPUs', async () => {
  const w = new World([{ yard: 'a' }]);
  await w.start();
  const batch = await w.submit({ pieces: 4, runMs: 90_000 });
  await w.until(() => w.running(batch) === 4, 10, 'half of the GPUs are in use');
  const guest = await w.submit({ ...EXPERIMENTS, vcpus: 2, runMs: 90_000 });
  await w.until(() => w.running(guest) > 0, 10, 'the guest begins');
  // Of 48 processors 4 are in use, and 24 belong to the free GPUs.
  assert.equal(w.running(guest), 10);
  const more = await w.submit({ pieces: 4, vcpus: 6, runMs: 20_000 });
  await w.until(() => w.running(more) === 4, 6, 'they start at once');
  assert.equal(w.running(guest), 10, 'nobody had to leave');
  await w.close();
});
