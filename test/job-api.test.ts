import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Nodes, POLL_MS, SUBMIT_MS } from './fakes/nodes.js';

test('a submission or cancellation that the store rejects for its rate is answered at once', async () => {
  const nodes = new Nodes(1);
  let limited = false;
  nodes.storeOutcome = () => (limited ? 'rate' : 'serve');
  assert.equal((await nodes.measure(nodes.submitting(0, 'req-1'))).status, 201);
  limited = true;
  for (const request of [nodes.submitting(0, 'req-2'), nodes.aborting(0, 'req-1')]) {
    const answer = await nodes.measure(request);
    assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    assert.ok(answer.afterMs <= 50, `held for ${answer.afterMs} ms`);
  }
});

test('a submission behind a long queue of writes is rejected at once, with the time until the queue is short', async () => {
  const nodes = new Nodes(1);
  // The controller's share is 21 writes a second, so that the last of these would wait nearly 5 s.
  const requests = Array.from({ length: 110 }, (_, index) =>
    nodes.submitting(0, `req-${index + 1}`),
  );
  const last = await nodes.measure(requests[109]!);
  assert.equal(last.status, 503);
  assert.ok(last.afterMs <= 50, `held for ${last.afterMs} ms`);
  assert.ok(last.retryAfter! >= 1 && last.retryAfter! <= 5, `come back in ${last.retryAfter} s`);
  assert.equal((await nodes.measure(requests[0]!)).status, 201);
});

test('a cancellation is not rejected for a queue of writes if it can be confirmed in time behind it', async () => {
  const nodes = new Nodes(1);
  await nodes.measure(nodes.submitting(0, 'req-1000'));
  // The queue is as long as submissions may make it: one second of writes.
  const requests = Array.from({ length: 50 }, (_, index) =>
    nodes.submitting(0, `req-${index + 1}`),
  );
  const refused = await nodes.measure(nodes.submitting(0, 'req-999'));
  assert.equal(refused.status, 503);
  const answer = await nodes.measure(nodes.aborting(0, 'req-1000'));
  assert.match(JSON.stringify(answer), /withdrawn/);
  await nodes.measure(requests[0]!);
});

test('a submission that was executed, but whose answer was lost, is answered as accepted by its retry', async () => {
  const nodes = new Nodes(1);
  let lost = 0;
  nodes.storeOutcome = ({ path }) => (path === '/txn' && lost++ === 0 ? 'lose answer' : 'serve');
  const answer = await nodes.measure(nodes.submitting(0, 'req-1'));
  assert.equal(answer.status, 200);
  assert.ok(answer.afterMs < 600, `after ${answer.afterMs} ms`);
});

test('a cancellation whose answer is lost is answered within a second and written only once', async () => {
  const nodes = new Nodes(1);
  let lost = 0;
  nodes.storeOutcome = ({ path }) => (path === '/txn' && lost-- === 1 ? 'lose answer' : 'serve');
  await nodes.measure(nodes.submitting(0, 'req-1'));
  lost = 1;
  const answer = await nodes.measure(nodes.aborting(0, 'req-1'));
  assert.match(JSON.stringify(answer), /withdrawn/);
  assert.ok(answer.afterMs < 600, `after ${answer.afterMs} ms`);
  const { stamp } = nodes.store.keys.get('jobs/req-1')!;
  await nodes.clock.advance(5000);
  assert.equal(nodes.store.keys.get('jobs/req-1')!.stamp, stamp);
});

test('a submission that is answered after a short delay is sent once', async () => {
  const nodes = new Nodes(1);
  assert.equal((await nodes.measure(nodes.submitting(0, 'req-1'))).status, 201);
  assert.equal(nodes.sent.length, 1);
});

test('a submission without any answer from the store is rejected after one retry', async () => {
  const nodes = new Nodes(1);
  nodes.storeOutcome = () => 'lose request';
  const answer = await nodes.measure(nodes.submitting(0, 'req-1'));
  assert.equal(answer.status, 503);
  assert.ok(answer.afterMs < SUBMIT_MS / 2, `held for ${answer.afterMs} ms`);
});

for (const fate of ['rate', 'refuse'] as const) {
  test(`a query that the store does not serve (${fate}) is not held for its whole timeout`, async () => {
    const nodes = new Nodes(1);
    let isFailing = false;
    nodes.storeOutcome = () => (isFailing ? fate : 'serve');
    await nodes.measure(nodes.submitting(0, 'req-1'));
    isFailing = true;
    const answer = await nodes.measure(nodes.query(0, 'req-1'));
    assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    assert.ok(answer.afterMs <= POLL_MS / 8, `held for ${answer.afterMs} ms`);
    // No further requests are sent for queries that have been answered.
    const before = nodes.sent.length;
    await nodes.clock.advance(5000);
    assert.equal(nodes.sent.length, before);
    isFailing = false;
    assert.equal((await nodes.measure(nodes.query(0, 'req-1'))).status, 200);
  });
}

test('the queries that share a version check are answered although its first answer is lost', async () => {
  const nodes = new Nodes(1);
  let lose = false;
  nodes.storeOutcome = ({ path }) => {
    if (path !== '/txn' || !lose) return 'serve';
    lose = false;
    return 'lose answer';
  };
  await nodes.measure(nodes.submitting(0, 'req-1'));
  lose = true;
  const [known, unknown] = [nodes.query(0, 'req-1'), nodes.query(0, 'req-2')];
  assert.equal((await nodes.measure(known)).status, 200);
  assert.equal((await nodes.measure(unknown)).status, 404);
});

test('an unreadable record affects only queries about it', async () => {
  const nodes = new Nodes(1);
  await nodes.measure(nodes.submitting(0, 'req-1'));
  nodes.store.keys.set('jobs/req-2', { value: { phase: 'odd' }, stamp: 77, hold: null });
  const [readable, unreadable] = [nodes.query(0, 'req-1'), nodes.query(0, 'req-2')];
  assert.equal((await nodes.measure(unreadable)).status, 503);
  assert.equal((await nodes.measure(readable)).status, 200);
  const before = nodes.sent.length;
  await nodes.clock.advance(5000);
  assert.equal(nodes.sent.length, before);
});

test('a cancellation that is applied late is announced by every controller once one of them does', async () => {
  const nodes = new Nodes(2);
  let late = false;
  nodes.storeOutcome = ({ node, path }) =>
    late && node === 0 && path === '/txn' ? 'apply late' : 'serve';
  await nodes.measure(nodes.submitting(0, 'req-1'));
  await nodes.measure(nodes.query(1, 'req-1'));
  late = true;
  assert.equal((await nodes.measure(nodes.aborting(0, 'req-1'))).status, 503);
  late = false;
  assert.match(JSON.stringify(await nodes.measure(nodes.query(0, 'req-1'))), /pending/);
  for (const apply of nodes.store.late.splice(0)) apply();
  for (const node of [1, 0, 1]) {
    assert.match(JSON.stringify(await nodes.measure(nodes.query(node, 'req-1'))), /withdrawn/);
    assert.match(JSON.stringify(await nodes.measure(nodes.submitting(node, 'req-1'))), /withdrawn/);
  }
});

test('a delayed submission does not bring back a job that was cancelled in the meantime', async () => {
  const nodes = new Nodes(2);
  nodes.storeOutcome = ({ node, path }) => (node === 0 && path === '/txn' ? 'apply late' : 'serve');
  assert.equal((await nodes.measure(nodes.submitting(0, 'req-1'))).status, 503);
  assert.equal((await nodes.measure(nodes.submitting(1, 'req-1'))).status, 201);
  assert.match(JSON.stringify(await nodes.measure(nodes.aborting(1, 'req-1'))), /withdrawn/);
  for (const apply of nodes.store.late.splice(0)) assert.equal(apply().status, 409);
  assert.match(JSON.stringify(await nodes.measure(nodes.query(1, 'req-1'))), /withdrawn/);
});
