import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Nodes } from './fakes/nodes.js';

const jobIds = (from: number, count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-${String(from + i).padStart(6, '0')}`);

interface NeedsRecord {
  ids?: string[];
  mark?: string;
  pieces?: number;
}

const needsOf = (nodes: Nodes, ref: string): NeedsRecord | undefined =>
  (nodes.store.get(`jobs/${ref}`) as { needs?: NeedsRecord }).needs;

/** All dependencies of a job, as its chunks store them. */
function storedDependencies(nodes: Nodes, ref: string): string[] {
  const { mark, pieces } = needsOf(nodes, ref)!;
  const values = Array.from({ length: pieces! }, (_, i) =>
    nodes.store.get(`needs/${ref}/${mark}/${i}`),
  );
  return values.flatMap((chunk) => (chunk as { ids: string[] }).ids);
}

const chunkKeys = (nodes: Nodes): string[] =>
  [...nodes.store.keys.keys()].filter((key) => key.startsWith('needs/'));

/** Puts jobs into the store as another controller would have. */
function acceptAll(nodes: Nodes, refs: string[]): void {
  for (const ref of refs) nodes.put(`jobs/${ref}`, { w: 'w', phase: 'open', tasks: 1 });
}

test('omitted dependencies, null and an empty list are equivalent', async () => {
  const nodes = new Nodes(1);
  const lists: unknown[] = [undefined, null, []];
  for (const [i, waitsOn] of lists.entries()) {
    assert.equal((await nodes.submit(0, `req-${i}`, waitsOn)).status, 201);
    assert.equal(needsOf(nodes, `req-${i}`), undefined);
  }
});

test('a malformed list of dependencies gets 400', async () => {
  const nodes = new Nodes(1);
  const malformedLists: unknown[] = [
    'req-1',
    7,
    {},
    [7],
    ['job-1'],
    ['req-'],
    ['req-1', null],
    [['req-1']],
  ];
  for (const waitsOn of malformedLists) {
    assert.equal((await nodes.submit(0, 'req-5', waitsOn)).status, 400, JSON.stringify(waitsOn));
  }
  assert.equal(await nodes.phase(0, 'req-5'), '404');
});

test('a job with an unknown dependency gets 422, and is accepted once the dependency was accepted', async () => {
  const nodes = new Nodes(2);
  assert.equal((await nodes.submit(0, 'req-2', ['req-1'])).status, 422);
  assert.equal((await nodes.submit(1, 'req-1')).status, 201);
  assert.equal((await nodes.submit(0, 'req-2', ['req-1'])).status, 201);
  assert.deepEqual(needsOf(nodes, 'req-2'), { ids: ['req-1'] });
});

test('repeated dependencies are stored once', async () => {
  const nodes = new Nodes(1);
  await nodes.submit(0, 'req-1');
  assert.equal((await nodes.submit(0, 'req-2', ['req-1', 'req-1', 'req-1'])).status, 201);
  assert.deepEqual(needsOf(nodes, 'req-2'), { ids: ['req-1'] });
});

test('a job that depends on itself gets 422, or its state if it was accepted before', async () => {
  const nodes = new Nodes(2);
  assert.equal((await nodes.submit(0, 'req-1', ['req-1'])).status, 422);
  await nodes.submit(0, 'req-1');
  const again = await nodes.submit(1, 'req-1', ['req-1']);
  assert.deepEqual(again, { status: 200, body: { ref: 'req-1', phase: 'pending' } });
});

test('a repeated submission is answered with the state, whatever dependencies it lists', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(0, 'req-1');
  for (const waitsOn of [['req-999'], 'wrong', ['req-1']]) {
    for (const node of [0, 1]) {
      const answer = await nodes.submit(node, 'req-1', waitsOn);
      assert.deepEqual(answer, { status: 200, body: { ref: 'req-1', phase: 'pending' } });
    }
  }
  assert.equal(needsOf(nodes, 'req-1'), undefined);
});

test('a submission whose dependency cannot be checked gets 503 at once, with a retry-after', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(0, 'req-1');
  nodes.storeOutcome = ({ node }) => (node === 1 ? 'refuse' : 'serve');
  const before = nodes.clock.now();
  const answer = await nodes.submit(1, 'req-2', ['req-1']);
  assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
  assert.ok(nodes.clock.now() - before < 500);
  nodes.storeOutcome = () => 'serve';
  assert.equal((await nodes.submit(1, 'req-2', ['req-1'])).status, 201);
});

test('a job whose dependency is done is accepted and pending', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(0, 'req-1');
  nodes.finish('req-1', 'done');
  assert.equal((await nodes.submit(1, 'req-2', ['req-1'])).status, 201);
  assert.equal(await nodes.phase(0, 'req-2'), 'pending');
});

test('a job whose dependency is cancelled is accepted and cancelled with it', async () => {
  const nodes = new Nodes(3);
  await nodes.submit(0, 'req-1');
  await nodes.abort(0, 'req-1');
  const answer = await nodes.submit(1, 'req-2', ['req-1']);
  assert.deepEqual(answer, { status: 201, body: { ref: 'req-2', phase: 'withdrawn' } });
  for (const node of [0, 1, 2]) assert.equal(await nodes.phase(node, 'req-2'), 'withdrawn');
  assert.equal((await nodes.submit(2, 'req-3', ['req-2'])).status, 201);
  for (const node of [0, 1, 2]) assert.equal(await nodes.phase(node, 'req-3'), 'withdrawn');
});

test('thousands of dependencies are stored in chunks within all limits of the store', async () => {
  const nodes = new Nodes(2, { valueBytes: 2048, txnOps: 4 });
  const dependencies = jobIds(1, 4000);
  acceptAll(nodes, dependencies);
  let answer = await nodes.submit(0, 'req-9', dependencies);
  for (let i = 0; i < 15 && answer.status === 503; i++)
    answer = await nodes.submit(0, 'req-9', dependencies);
  assert.ok(answer.status === 201 || answer.status === 200);
  assert.deepEqual(storedDependencies(nodes, 'req-9'), dependencies);
  for (const { path, body } of nodes.sent) {
    if (path !== '/txn') continue;
    assert.ok(body!.then.length <= 4 && body!.when.length <= 16);
    for (const { value } of body!.then) assert.ok(JSON.stringify(value).length <= 2048);
  }
});

test('a query about a job with thousands of open dependencies is answered, also after one was cancelled', async () => {
  const nodes = new Nodes(2, { valueBytes: 2048, txnOps: 4 });
  const dependencies = jobIds(1, 4000);
  acceptAll(nodes, dependencies);
  for (let i = 0; i < 15; i++) await nodes.submit(0, 'req-9', dependencies);
  await nodes.submit(0, 'req-10', ['req-9']);
  assert.equal(await nodes.phase(1, 'req-10'), 'pending');
  await nodes.abort(0, dependencies[2345]!);
  assert.equal(await nodes.phase(1, 'req-10'), 'withdrawn');
  assert.equal(await nodes.phase(1, 'req-9'), 'withdrawn');
});

test('dependencies are stored within the smaller limits that are announced', async () => {
  const nodes = new Nodes(1, { next: { valueBytes: 2048, txnOps: 4 } });
  const dependencies = jobIds(1, 300);
  acceptAll(nodes, dependencies);
  assert.equal((await nodes.submit(0, 'req-9', dependencies)).status, 201);
  assert.deepEqual(storedDependencies(nodes, 'req-9'), dependencies);
  for (const key of chunkKeys(nodes)) {
    assert.ok(JSON.stringify(nodes.store.get(key)).length <= 2048);
  }
  assert.equal((await nodes.submit(0, 'req-10', dependencies.slice(0, 30))).status, 201);
  assert.ok(JSON.stringify(nodes.store.get('jobs/req-10')).length <= 2048);
});

test('an unknown dependency among thousands is reported', async () => {
  const nodes = new Nodes(1);
  const dependencies = jobIds(1, 4000);
  acceptAll(
    nodes,
    dependencies.filter((id) => id !== 'req-003999'),
  );
  const answer = await nodes.submit(0, 'req-9', dependencies);
  assert.equal(answer.status, 422);
  assert.match(JSON.stringify(answer.body), /req-003999/);
});

test('a submission that was interrupted half-way is not accepted, and a retry at another controller completes it', async () => {
  const nodes = new Nodes(2, { valueBytes: 2048, txnOps: 4 });
  const dependencies = jobIds(1, 1000);
  acceptAll(nodes, dependencies);
  let writes = 0;
  nodes.storeOutcome = ({ node, body }) =>
    node === 0 &&
    body?.then.some((operation) => operation.write?.startsWith('needs/')) &&
    writes++ >= 1
      ? 'lose request'
      : 'serve';
  assert.equal((await nodes.submit(0, 'req-9', dependencies)).status, 503);
  assert.equal(chunkKeys(nodes).length, 4);
  assert.equal(await nodes.phase(1, 'req-9'), '404');
  assert.equal((await nodes.submit(1, 'req-9', dependencies)).status, 201);
  assert.equal(chunkKeys(nodes).length, needsOf(nodes, 'req-9')!.pieces);
  assert.equal(await nodes.phase(1, 'req-9'), 'pending');
});

test('chunks left over from larger limits do not break a retry under smaller limits', async () => {
  const nodes = new Nodes(1, { valueBytes: 4096, txnOps: 8 });
  const dependencies = jobIds(1, 1000);
  acceptAll(nodes, dependencies);
  nodes.storeOutcome = ({ body }) =>
    body?.then.some((operation) => operation.write?.startsWith('jobs/')) ? 'refuse' : 'serve';
  assert.equal((await nodes.submit(0, 'req-9', dependencies)).status, 503);
  nodes.storeOutcome = () => 'serve';
  const smallLimitNodes = new Nodes(1, { valueBytes: 2048, txnOps: 4 });
  for (const [key, { value }] of nodes.store.keys) smallLimitNodes.put(key, value as object);
  let answer = await smallLimitNodes.submit(0, 'req-9', dependencies);
  if (answer.status === 503) answer = await smallLimitNodes.submit(0, 'req-9', dependencies);
  assert.ok(answer.status === 201 || answer.status === 200);
  assert.deepEqual(storedDependencies(smallLimitNodes, 'req-9'), dependencies);
});

test('two controllers that accept the same job with many dependencies concurrently store it once', async () => {
  const nodes = new Nodes(2, { valueBytes: 2048, txnOps: 4 });
  const dependencies = jobIds(1, 400);
  acceptAll(nodes, dependencies);
  const answers = await Promise.all([
    nodes.submit(0, 'req-9', dependencies),
    nodes.submit(1, 'req-9', dependencies),
  ]);
  assert.deepEqual(answers.map((answer) => answer.status).sort(), [200, 201]);
  assert.equal(chunkKeys(nodes).length, needsOf(nodes, 'req-9')!.pieces);
});

test('a retried submission finds the job whose acceptance got no answer', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(0, 'req-1');
  let lost = 0;
  nodes.storeOutcome = ({ body }) =>
    body?.then.some((operation) => operation.write === 'jobs/req-2') && lost++ < 1
      ? 'lose answer'
      : 'serve';
  assert.equal((await nodes.submit(0, 'req-2', ['req-1'])).status, 200);
  assert.equal((await nodes.submit(1, 'req-2', ['req-1'])).status, 200);
});

test('a delayed write of chunks does not bring them back after they were removed with their job', async () => {
  const nodes = new Nodes(1, { valueBytes: 2048, txnOps: 4 });
  const dependencies = jobIds(1, 400);
  acceptAll(nodes, dependencies);
  let late = 0;
  nodes.storeOutcome = ({ body }) =>
    body?.then.some((operation) => operation.write?.startsWith('needs/')) && late++ < 1
      ? 'apply late'
      : 'serve';
  const first = await nodes.submit(0, 'req-9', dependencies);
  if (first.status === 503) await nodes.submit(0, 'req-9', dependencies);
  assert.ok(needsOf(nodes, 'req-9'));
  for (const key of chunkKeys(nodes)) nodes.store.keys.delete(key);
  for (const apply of nodes.store.late.splice(0)) assert.equal(apply().status, 409);
  assert.deepEqual(chunkKeys(nodes), []);
});

test('a cancellation holds for all dependents at every controller as soon as it is answered', async () => {
  const nodes = new Nodes(3);
  await nodes.submit(0, 'req-1');
  await nodes.submit(1, 'req-2', ['req-1']);
  await nodes.submit(2, 'req-3', ['req-2']);
  await nodes.submit(0, 'req-4', ['req-3']);
  await nodes.submit(0, 'req-5');
  for (const node of [0, 1, 2]) assert.equal(await nodes.phase(node, 'req-4'), 'pending');
  await nodes.abort(1, 'req-1');
  // The controller that confirmed the cancellation restarts and loses its memory.
  nodes.restart(1);
  for (const node of [0, 1, 2]) {
    for (const ref of ['req-2', 'req-3', 'req-4']) {
      assert.equal(await nodes.phase(node, ref), 'withdrawn', `${ref} at controller ${node}`);
    }
    assert.equal(await nodes.phase(node, 'req-5'), 'pending', 'req-5 was not cancelled');
  }
});

test('a job announced as withdrawn stays so while the store is down, and no job is reported as pending', async () => {
  const nodes = new Nodes(3);
  await nodes.submit(0, 'req-1');
  await nodes.submit(0, 'req-2', ['req-1']);
  await nodes.submit(0, 'req-3', ['req-2']);
  assert.equal(await nodes.phase(1, 'req-3'), 'pending');
  await nodes.abort(0, 'req-1');
  assert.equal(await nodes.phase(2, 'req-3'), 'withdrawn');
  nodes.store.down = true;
  assert.equal(await nodes.phase(0, 'req-3'), 'withdrawn');
  assert.equal(await nodes.phase(1, 'req-3'), '503');
  assert.equal(await nodes.phase(2, 'req-3'), 'withdrawn');
  nodes.store.restore();
  assert.equal(await nodes.phase(1, 'req-3'), 'withdrawn');
});

test('a cancelled job cancels its dependents also after it was archived', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(0, 'req-1');
  await nodes.submit(0, 'req-2', ['req-1']);
  await nodes.submit(0, 'req-3', ['req-2']);
  nodes.finish('req-1', 'done');
  await nodes.abort(0, 'req-2');
  nodes.finish('req-2', 'cancelled');
  assert.equal(await nodes.phase(1, 'req-3'), 'withdrawn');
  assert.equal(await nodes.phase(1, 'req-1'), 'done');
});

test('a cancellation that is answered with done does not cancel the dependents', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(0, 'req-1');
  await nodes.submit(0, 'req-2', ['req-1']);
  nodes.finish('req-1', 'done');
  assert.deepEqual((await nodes.abort(1, 'req-1')).body, { ref: 'req-1', phase: 'done' });
  for (const node of [0, 1]) assert.equal(await nodes.phase(node, 'req-2'), 'pending');
});

test('cancelling a job that was withdrawn with its dependency answers withdrawn', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(0, 'req-1');
  await nodes.submit(0, 'req-2', ['req-1']);
  await nodes.abort(0, 'req-1');
  assert.deepEqual((await nodes.abort(1, 'req-2')).body, { ref: 'req-2', phase: 'withdrawn' });
  assert.equal(await nodes.phase(0, 'req-2'), 'withdrawn');
});

test('two concurrent cancellations in one pipeline have the same outcome at every controller', async () => {
  const nodes = new Nodes(3);
  await nodes.submit(0, 'req-1');
  await nodes.submit(0, 'req-2', ['req-1']);
  await nodes.submit(0, 'req-3', ['req-2']);
  const answers = await Promise.all([nodes.abort(0, 'req-1'), nodes.abort(1, 'req-2')]);
  assert.deepEqual(
    answers.map((answer) => (answer.body as { phase: string }).phase),
    ['withdrawn', 'withdrawn'],
  );
  for (const node of [0, 1, 2]) {
    for (const ref of ['req-1', 'req-2', 'req-3']) {
      assert.equal(await nodes.phase(node, ref), 'withdrawn');
    }
  }
});

test('a job accepted while its dependency is being cancelled is withdrawn with it', async () => {
  for (const delayMs of [0, 2, 4, 6, 8, 10]) {
    const nodes = new Nodes(3);
    await nodes.submit(0, 'req-1');
    const cancelled = nodes.abort(0, 'req-1');
    const accepted = nodes.clock.sleep(delayMs).then(() => nodes.submit(1, 'req-2', ['req-1']));
    assert.equal((await cancelled).status, 200);
    assert.equal((await nodes.advanceUntilSettled(accepted)).status, 201);
    for (const node of [0, 1, 2]) assert.equal(await nodes.phase(node, 'req-2'), 'withdrawn');
  }
});

test('a controller with an empty cache answers a query about a long chain in the time of one query', async () => {
  const nodes = new Nodes(2);
  const chain = jobIds(1, 80);
  for (const [i, ref] of chain.entries()) {
    const needs = i === 0 ? {} : { needs: { ids: [chain[i - 1]!] } };
    nodes.put(`jobs/${ref}`, { w: 'w', phase: 'open', tasks: 1, ...needs });
  }
  assert.equal(await nodes.phase(0, chain[79]!), 'pending');
  nodes.finish(chain[3]!, 'cancelled');
  assert.equal(await nodes.phase(1, chain[79]!), 'withdrawn');
  assert.equal(await nodes.phase(0, chain[79]!), 'withdrawn');
});

test('a query about a job without dependencies costs one version check', async () => {
  const nodes = new Nodes(1);
  await nodes.submit(0, 'req-1');
  nodes.sent.length = 0;
  assert.equal(await nodes.phase(0, 'req-1'), 'pending');
  assert.equal(nodes.sent.length, 1);
});

test('a query about a waiting job also costs one version check, which includes its dependencies', async () => {
  const nodes = new Nodes(1);
  await nodes.submit(0, 'req-1');
  await nodes.submit(0, 'req-2', ['req-1']);
  await nodes.submit(0, 'req-3', ['req-2']);
  nodes.sent.length = 0;
  assert.equal(await nodes.phase(0, 'req-3'), 'pending');
  assert.deepEqual(
    nodes.sent.map((request) => request.body?.when.length),
    [3],
  );
});

test('an unreadable record does not delay answers about other jobs', async () => {
  const nodes = new Nodes(2);
  await nodes.submit(0, 'req-1');
  nodes.put('jobs/req-2', { phase: 'from another planet' });
  const answers = await Promise.all([nodes.phase(1, 'req-1'), nodes.phase(1, 'req-2')]);
  assert.deepEqual(answers, ['pending', '503']);
});

test('a job with a missing dependency chunk is reported neither as pending nor as cancelled', async () => {
  const nodes = new Nodes(2, { valueBytes: 2048, txnOps: 4 });
  const dependencies = jobIds(1, 300);
  acceptAll(nodes, dependencies);
  await nodes.submit(0, 'req-9', dependencies);
  nodes.store.keys.delete(chunkKeys(nodes)[1]!);
  assert.equal(await nodes.phase(1, 'req-9'), '503');
});
