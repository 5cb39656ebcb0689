import assert from 'node:assert/strict';
import { test } from 'node:test';
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
