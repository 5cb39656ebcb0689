import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

const TWO = [{ yard: 'a' }, { yard: 'b' }];

test('a controller that the store refuses alone lets its users go to others', async () => {
  const w = new World(TWO, 3);
  await w.start();
  const ready = (): boolean[] => w.nodes.map((n) => n.controller!.ready());
  assert.deepEqual(ready(), [true, true, true]);
  const cut = (w.leader + 1) % 3;
  w.nodes[cut]!.fate = () => 'refuse';
  const job = await w.submit({ pieces: 1 }, w.leader);
  void w.user(cut).query(job);
  await w.pass(7);
  assert.deepEqual(
    ready(),
    [0, 1, 2].map((i) => i !== cut),
  );
  w.nodes[cut]!.fate = () => 'serve';
  await w.pass(4);
  assert.deepEqual(ready(), [true, true, true]);
  await w.close();
});

test('in an outage that all meet every controller goes on answering users', async () => {
  const w = new World(TWO, 3);
  await w.start();
  w.store.down = true;
  for (let i = 0; i < 12; i++) {
    await w.pass(1);
    for (const [i, { controller }] of w.nodes.entries()) {
      assert.equal(controller!.ready(), true);
      const answer = await w.ask(w.user(i).query('req-000001'));
      assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    }
  }
  await w.close();
});
