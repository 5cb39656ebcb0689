import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Nodes } from './fakes/nodes.js';

const jobIds = (count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-${String(i + 1).padStart(6, '0')}`);

const phaseOf = (answer: { body: object }): string | undefined =>
  (answer.body as { phase?: string }).phase;

test('a node that has cached a job as open does not report its new dependents as pending after its cancellation', async () => {
  const nodes = new Nodes(3);
  await nodes.submit(2, 'req-1');
  await nodes.submit(2, 'req-2', ['req-1']);
  await nodes.abort(0, 'req-1');
  // Node 2 has not heard of the cancellation, which applies to jobs accepted from now on too.
  await nodes.clock.advance(60_000);
  const direct = await nodes.submit(2, 'req-3', ['req-1']);
  assert.deepEqual([direct.status, phaseOf(direct)], [201, 'withdrawn']);
  const otherNodes = new Nodes(3);
  await otherNodes.submit(2, 'req-1');
  await otherNodes.submit(2, 'req-2', ['req-1']);
  await otherNodes.abort(0, 'req-1');
  await otherNodes.clock.advance(60_000);
  const transitive = await otherNodes.submit(2, 'req-3', ['req-2']);
  assert.deepEqual([transitive.status, phaseOf(transitive)], [201, 'withdrawn']);
});

test('when the store fails right after an acceptance, the submission gets 503 and its retry the state', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(1, 'req-1');
  await nodes.abort(0, 'req-1');
  let accepted = false;
  nodes.storeOutcome = ({ body }) => {
    if (accepted) return 'refuse';
    accepted = body?.then.some((operation) => operation.write === 'jobs/req-2') ?? false;
    return 'serve';
  };
  assert.equal((await nodes.submit(1, 'req-2', ['req-1'])).status, 503);
  nodes.storeOutcome = () => 'serve';
  const retry = await nodes.submit(1, 'req-2', ['req-1']);
  assert.deepEqual([retry.status, phaseOf(retry)], [200, 'withdrawn']);
});

// The delays fall before, between and after the writes of chunks, of the job record and of retries.
for (const delayMs of [0, 5, 15, 40, 200, 900]) {
  for (const outcome of ['cancelled', 'done'] as const) {
    test(`an interrupted and retried submission whose last dependency is ${outcome} after ${delayMs} ms has one outcome`, async () => {
      const nodes = new Nodes(3, { valueBytes: 2048, txnOps: 4 });
      const dependencies = jobIds(500);
      nodes.acceptAll(dependencies);
      for (const ref of dependencies.slice(0, -1)) nodes.finish(ref, 'done');
      const lastDependency = dependencies[dependencies.length - 1]!;
      // The transactions of node 0 get no answer, but are executed, some of them late.
      let sentCount = 0;
      nodes.storeOutcome = ({ node, path }) =>
        node !== 0 || path !== '/txn'
          ? 'serve'
          : sentCount++ % 2
            ? 'lose answer'
            : { applyAfterMs: 900 };
      const first = nodes.submit(0, 'req-9', dependencies);
      const retries = [1, 2].map((node) => nodes.submit(node, 'req-9', dependencies));
      const ended = nodes.clock.sleep(delayMs).then(async () => {
        if (outcome === 'done') nodes.finish(lastDependency, 'done');
        else assert.equal(phaseOf(await nodes.abort(1, lastDependency)), 'withdrawn');
      });
      const answers = await Promise.all([first, ...retries]);
      await nodes.advanceUntilSettled(ended);
      for (const { status } of answers) assert.ok([200, 201, 503].includes(status), String(status));
      assert.ok(answers.some(({ status }) => status === 200 || status === 201));
      await nodes.clock.advance(3000);
      const expected = outcome === 'done' ? 'pending' : 'withdrawn';
      for (const node of [0, 1, 2]) {
        const again = await nodes.submit(node, 'req-9', dependencies);
        if (node !== 0) assert.deepEqual([again.status, phaseOf(again)], [200, expected]);
        nodes.storeOutcome = () => 'serve';
        assert.equal(await nodes.phase(node, 'req-9'), expected);
      }
      // Only the cancelled job is reported as cancelled.
      assert.equal(await nodes.phase(2, dependencies[0]!), 'done');
      assert.equal(await nodes.phase(0, lastDependency), outcome === 'done' ? 'done' : 'withdrawn');
    });
  }
}
