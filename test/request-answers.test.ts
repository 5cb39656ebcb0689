import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Nodes } from './fakes/nodes.js';

const ids = (count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-${String(i + 1).padStart(6, '0')}`);

const phaseIn = (answer: { body: object }): string | undefined =>
  (answer.body as { phase?: string }).phase;

test('a node that remembers a job as open calls nothing pending that is accepted after its cancellation', async () => {
  const nodes = new Nodes(3);
  await nodes.submit(2, 'req-1');
  await nodes.submit(2, 'req-2', ['req-1']);
  await nodes.abort(0, 'req-1');
  // Any time later: node 2 has heard of nothing, and the cancellation counts for what comes now too.
  await nodes.clock.advance(60_000);
  const direct = await nodes.submit(2, 'req-3', ['req-1']);
  assert.deepEqual([direct.status, phaseIn(direct)], [201, 'withdrawn']);
  const m = new Nodes(3);
  await m.submit(2, 'req-1');
  await m.submit(2, 'req-2', ['req-1']);
  await m.abort(0, 'req-1');
  await m.clock.advance(60_000);
  const through = await m.submit(2, 'req-3', ['req-2']);
  assert.deepEqual([through.status, phaseIn(through)], [201, 'withdrawn']);
});

test('where the store falls silent right after an acceptance, its answer is left to the repeat', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(1, 'req-1');
  await nodes.abort(0, 'req-1');
  let accepted = false;
  nodes.fate = ({ body }) => {
    if (accepted) return 'refuse';
    accepted = body?.then.some((c) => c.write === 'jobs/req-2') ?? false;
    return 'serve';
  };
  assert.equal((await nodes.submit(1, 'req-2', ['req-1'])).status, 503);
  nodes.fate = () => 'serve';
  const repeat = await nodes.submit(1, 'req-2', ['req-1']);
  assert.deepEqual([repeat.status, phaseIn(repeat)], [200, 'withdrawn']);
});

// The moment falls before, between and after the pieces, the job's record and the repeats.
for (const delayMs of [0, 5, 15, 40, 200, 900]) {
  for (const end of ['cancelled', 'done'] as const) {
    test(`a submission cut off and repeated, its last dependency ${end} after ${delayMs} ms, has one outcome`, async () => {
      const nodes = new Nodes(3, { valueBytes: 2048, txnOps: 4 });
      const all = ids(500);
      nodes.acceptAll(all);
      for (const ref of all.slice(0, -1)) nodes.finish(ref, 'done');
      const last = all[all.length - 1]!;
      // One node's transactions are answered late or never, and carried out all the same.
      let sent = 0;
      nodes.fate = ({ node, path }) =>
        node !== 0 || path !== '/txn'
          ? 'serve'
          : sent++ % 2
            ? 'lose answer'
            : { applyAfterMs: 900 };
      const first = nodes.submit(0, 'req-9', all);
      const repeats = [1, 2].map((node) => nodes.submit(node, 'req-9', all));
      const ended = nodes.clock.sleep(delayMs).then(async () => {
        if (end === 'done') nodes.finish(last, 'done');
        else assert.equal(phaseIn(await nodes.abort(1, last)), 'withdrawn');
      });
      const answers = await Promise.all([first, ...repeats]);
      await nodes.after(ended);
      for (const { status } of answers) assert.ok([200, 201, 503].includes(status), String(status));
      assert.ok(answers.some(({ status }) => status === 200 || status === 201));
      await nodes.clock.advance(3000);
      const expected = end === 'done' ? 'pending' : 'withdrawn';
      for (const node of [0, 1, 2]) {
        const again = await nodes.submit(node, 'req-9', all);
        if (node !== 0) assert.deepEqual([again.status, phaseIn(again)], [200, expected]);
        nodes.fate = () => 'serve';
        assert.equal(await nodes.phase(node, 'req-9'), expected);
      }
      // Nothing but what was cancelled is called so.
      assert.equal(await nodes.phase(2, all[0]!), 'done');
      assert.equal(await nodes.phase(0, last), end === 'done' ? 'done' : 'withdrawn');
    });
  }
}
