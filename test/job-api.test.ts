import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Nodes, POLL_MS, SUBMIT_MS } from './fakes/nodes.js';

test('a submission or cancellation that the store rejects for its rate is answered at once', async () => {
  const nodes = new Nodes(1);
  let limited = false;
  nodes.fate = () => (limited ? 'rate' : 'serve');
  assert.equal((await nodes.timed(nodes.submitting(0, 'req-1'))).status, 201);
  limited = true;
  for (const asked of [nodes.submitting(0, 'req-2'), nodes.aborting(0, 'req-1')]) {
    const answer = await nodes.timed(asked);
    assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    assert.ok(answer.afterMs <= 50, `held for ${answer.afterMs} ms`);
  }
});

test('a submission behind a long queue of writes is answered at once with when the queue will be short', async () => {
  const nodes = new Nodes(1);
  // The controller's share of the writes is 21 a second: the last of these would wait nearly 5 s.
  const asked = Array.from({ length: 110 }, (_, count) => nodes.submitting(0, `req-${count + 1}`));
  const last = await nodes.timed(asked[109]!);
  assert.equal(last.status, 503);
  assert.ok(last.afterMs <= 50, `held for ${last.afterMs} ms`);
  assert.ok(last.retryAfter! >= 1 && last.retryAfter! <= 5, `come back in ${last.retryAfter} s`);
  assert.equal((await nodes.timed(asked[0]!)).status, 201);
});

test('a cancellation is not sent away for a queue of writes behind which it can be confirmed', async () => {
  const nodes = new Nodes(1);
  await nodes.timed(nodes.submitting(0, 'req-1000'));
  // The queue is as long as submissions are let in: a second's writes.
  const asked = Array.from({ length: 50 }, (_, count) => nodes.submitting(0, `req-${count + 1}`));
  const refused = await nodes.timed(nodes.submitting(0, 'req-999'));
  assert.equal(refused.status, 503);
  const answer = await nodes.timed(nodes.aborting(0, 'req-1000'));
  assert.match(JSON.stringify(answer), /withdrawn/);
  await nodes.timed(asked[0]!);
});

test('a submission that was carried out, its answer lost, is answered as accepted by the second copy', async () => {
  const nodes = new Nodes(1);
  let lost = 0;
  nodes.fate = ({ path }) => (path === '/txn' && lost++ === 0 ? 'lose answer' : 'serve');
  const answer = await nodes.timed(nodes.submitting(0, 'req-1'));
  assert.equal(answer.status, 200);
  assert.ok(answer.afterMs < 600, `after ${answer.afterMs} ms`);
});

test('a cancellation whose answer is lost is answered within a second, and only once is it written', async () => {
  const nodes = new Nodes(1);
  let lost = 0;
  nodes.fate = ({ path }) => (path === '/txn' && lost-- === 1 ? 'lose answer' : 'serve');
  await nodes.timed(nodes.submitting(0, 'req-1'));
  lost = 1;
  const answer = await nodes.timed(nodes.aborting(0, 'req-1'));
  assert.match(JSON.stringify(answer), /withdrawn/);
  assert.ok(answer.afterMs < 600, `after ${answer.afterMs} ms`);
  const { stamp } = nodes.store.keys.get('jobs/req-1')!;
  await nodes.clock.advance(5000);
  assert.equal(nodes.store.keys.get('jobs/req-1')!.stamp, stamp);
});

test('a submission that is answered late, but within a moment, is sent once', async () => {
  const nodes = new Nodes(1);
  assert.equal((await nodes.timed(nodes.submitting(0, 'req-1'))).status, 201);
  assert.equal(nodes.sent.length, 1);
});

test('a submission without any answer gets its final answer after the second copy', async () => {
  const nodes = new Nodes(1);
  nodes.fate = () => 'lose request';
  const answer = await nodes.timed(nodes.submitting(0, 'req-1'));
  assert.equal(answer.status, 503);
  assert.ok(answer.afterMs < SUBMIT_MS / 2, `held for ${answer.afterMs} ms`);
});

for (const fate of ['rate', 'refuse'] as const) {
  test(`a query that the store does not answer (${fate}) is not held for its whole time`, async () => {
    const nodes = new Nodes(1);
    let troubled = false;
    nodes.fate = () => (troubled ? fate : 'serve');
    await nodes.timed(nodes.submitting(0, 'req-1'));
    troubled = true;
    const answer = await nodes.timed(nodes.query(0, 'req-1'));
    assert.deepEqual([answer.status, answer.retryAfter], [503, 1]);
    assert.ok(answer.afterMs <= POLL_MS / 8, `held for ${answer.afterMs} ms`);
    // Nothing is asked any more for those who have their answer.
    const before = nodes.sent.length;
    await nodes.clock.advance(5000);
    assert.equal(nodes.sent.length, before);
    troubled = false;
    assert.equal((await nodes.timed(nodes.query(0, 'req-1'))).status, 200);
  });
}

test('one lost answer of a version check does not cost the queries that shared it', async () => {
  const nodes = new Nodes(1);
  let lose = false;
  nodes.fate = ({ path }) => {
    if (path !== '/txn' || !lose) return 'serve';
    lose = false;
    return 'lose answer';
  };
  await nodes.timed(nodes.submitting(0, 'req-1'));
  lose = true;
  const [known, unknown] = [nodes.query(0, 'req-1'), nodes.query(0, 'req-2')];
  assert.equal((await nodes.timed(known)).status, 200);
  assert.equal((await nodes.timed(unknown)).status, 404);
});

test('one unreadable record costs only the queries about it', async () => {
  const nodes = new Nodes(1);
  await nodes.timed(nodes.submitting(0, 'req-1'));
  nodes.store.keys.set('jobs/req-2', { value: { phase: 'odd' }, stamp: 77, hold: null });
  const [readable, unreadable] = [nodes.query(0, 'req-1'), nodes.query(0, 'req-2')];
  assert.equal((await nodes.timed(unreadable)).status, 503);
  assert.equal((await nodes.timed(readable)).status, 200);
  const before = nodes.sent.length;
  await nodes.clock.advance(5000);
  assert.equal(nodes.sent.length, before);
});

test('a cancellation that lands late is announced by every controller from the moment one of them does', async () => {
  const nodes = new Nodes(2);
  let late = false;
  nodes.fate = ({ node, path }) => (late && node === 0 && path === '/txn' ? 'apply late' : 'serve');
  await nodes.timed(nodes.submitting(0, 'req-1'));
  await nodes.timed(nodes.query(1, 'req-1'));
  late = true;
  assert.equal((await nodes.timed(nodes.aborting(0, 'req-1'))).status, 503);
  late = false;
  assert.match(JSON.stringify(await nodes.timed(nodes.query(0, 'req-1'))), /pending/);
  for (const apply of nodes.store.late.splice(0)) apply();
  for (const node of [1, 0, 1]) {
    assert.match(JSON.stringify(await nodes.timed(nodes.query(node, 'req-1'))), /withdrawn/);
    assert.match(JSON.stringify(await nodes.timed(nodes.submitting(node, 'req-1'))), /withdrawn/);
  }
});

test('a late copy of a submission does not bring back a job that was cancelled meanwhile', async () => {
  const nodes = new Nodes(2);
  nodes.fate = ({ node, path }) => (node === 0 && path === '/txn' ? 'apply late' : 'serve');
  assert.equal((await nodes.timed(nodes.submitting(0, 'req-1'))).status, 503);
  assert.equal((await nodes.timed(nodes.submitting(1, 'req-1'))).status, 201);
  assert.match(JSON.stringify(await nodes.timed(nodes.aborting(1, 'req-1'))), /withdrawn/);
  for (const apply of nodes.store.late.splice(0)) assert.equal(apply().status, 409);
  assert.match(JSON.stringify(await nodes.timed(nodes.query(1, 'req-1'))), /withdrawn/);
});
