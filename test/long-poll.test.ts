import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

test('an idle worker gets a start as soon as it is recorded, not with its next report', async () => {
  const w = new World([{ yard: 'a' }, { yard: 'b' }]);
  await w.start();
  const waits: number[] = [];
  for (let i = 0; i < 6; i++) {
    // At any moment between two reports.
    await w.clock.advance(1000 + i * 170);
    const from = w.clock.now();
    const job = await w.submit({ pieces: 1, runMs: 1000, fetchMs: 0 });
    while (w.on(job).length === 0 && w.clock.now() - from < 3000) await w.clock.advance(10);
    waits.push(w.clock.now() - from);
    await w.pass(5);
  }
  waits.sort((a, b) => a - b);
  assert.ok(waits[3]! < 500, `waits: ${waits.join(', ')} ms`);
  await w.close();
});

test('a report that is overtaken by a newer one gets no orders, and a late copy is not held', async () => {
  const w = new World([{ yard: 'a' }]);
  await w.start();
  const [worker] = [...w.workers.values()];
  const leader = w.leader;
  const held = worker!.sent.at(-1)!;
  const answers: unknown[] = [];
  void w.deliver(leader, held).then((a) => answers.push(a.body));
  await w.clock.advance(5);
  assert.equal(answers.length, 1, 'a copy is answered at once');
  assert.deepEqual((answers[0] as { orders: unknown[] }).orders, []);
  // The worker gives up on its report and comes again: only the newer one may bring the start.
  void w.deliver(leader, worker!.body()).then((a) => answers.push(a.body));
  await w.clock.advance(5);
  void w.deliver(leader, worker!.body()).then((a) => answers.push(a.body));
  await w.clock.advance(5);
  assert.equal(answers.length, 2);
  assert.deepEqual((answers[1] as { orders: unknown[] }).orders, []);
  const job = await w.submit({ pieces: 1 });
  await w.until(() => w.running(job) === 1, 10, 'it runs');
  assert.equal(w.starts.length, 1);
  await w.close();
});

test('a leader that loses office answers what it holds back, and orders nothing', async () => {
  const w = new World([{ yard: 'a' }, { yard: 'b' }]);
  await w.start();
  const old = w.leader;
  w.nodes[old]!.fate = () => 'refuse';
  await w.until(() => w.leader === 1 - old, 20, 'another leads');
  const job = await w.submit({ pieces: 4, runMs: 5000 }, 1 - old);
  await w.until(() => w.starts.length === 4, 15, 'it starts with the new leader');
  await w.pass(10);
  assert.equal(await w.phase(job, 1 - old), 'done');
  assert.equal(w.starts.length, 4);
  await w.close();
});
