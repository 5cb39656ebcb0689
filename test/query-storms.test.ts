import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ApiResponse } from '../src/jobs/job-api.js';
import { Nodes } from './fakes/nodes.js';

const SIZE = 5;
const REQUESTS_PER_S = 200;
const STORMED = 0;
const OTHER = 1;
const USERS = 2000;

/** Asks without waiting, and notes the answer and how long it took. */
function timing(
  nodes: Nodes,
  request: Promise<ApiResponse>,
): { answer: ApiResponse | null; ms: number } {
  const startedAt = nodes.clock.now();
  const timed: { answer: ApiResponse | null; ms: number } = { answer: null, ms: 0 };
  void request.then((answer) => {
    timed.answer = answer;
    timed.ms = nodes.clock.now() - startedAt;
  });
  return timed;
}

async function withJobs(count: number): Promise<Nodes> {
  const nodes = new Nodes(2, { rps: REQUESTS_PER_S }, SIZE);
  for (let i = 0; i < count; i++) {
    nodes.put(`jobs/req-${i}`, { w: 'w', phase: i % 2 ? 'done' : 'open', tasks: 1 });
  }
  await nodes.clock.advance(1000);
  return nodes;
}

test('a controller that has just started meets a storm of queries: submissions, cancellations and leadership come first', async () => {
  const nodes = await withJobs(USERS);
  nodes.restart(STORMED);
  const queries = Array.from({ length: USERS }, (_, i) =>
    timing(nodes, nodes.query(STORMED, `req-${i}`)),
  );
  await nodes.clock.advance(200);
  const submission = timing(nodes, nodes.submitting(STORMED, 'req-90000'));
  const repeat = timing(nodes, nodes.submitting(STORMED, 'req-2'));
  const cancellation = timing(nodes, nodes.aborting(STORMED, 'req-4'));
  await nodes.clock.advance(2000);
  assert.equal(submission.answer?.status, 201);
  assert.equal(repeat.answer?.status, 200);
  assert.equal(cancellation.answer?.status, 200);
  for (const { ms } of [submission, repeat, cancellation]) assert.ok(ms <= 200, `${ms} ms`);

  // Whoever has no answer learns at once that there is none, and when to come back.
  assert.ok(queries.every((query) => query.answer !== null));
  const busy = queries.filter((query) => query.answer!.status === 503);
  assert.ok(busy.every((query) => query.answer!.retryAfter! >= 1 && query.ms <= 1600));
  const served = queries.filter((query) => query.answer!.status === 200).length;
  assert.ok(served >= USERS / 4, `${served} queries answered`);
  // The controller's share of the request rate of all queries, with its burst.
  const most = (REQUESTS_PER_S / 2 / SIZE) * 2.5 + 10;
  const requests = nodes.sent.filter((s) => s.node === STORMED).length;
  assert.ok(requests <= most, `${requests} requests to the store`);
});

test('in a storm at every controller a job that is over at one of them is over at all, for whoever asks next', async () => {
  const nodes = await withJobs(400);
  const storm = async (): Promise<void> => {
    for (let round = 0; round < 40; round++) {
      for (let i = 0; i < 400; i++) void nodes.query(round % 2, `req-${i}`);
      await nodes.clock.advance(50);
    }
  };
  const done = storm();
  for (let job = 0; job < 40; job += 2) {
    assert.equal((await nodes.abort(STORMED, `req-${job}`)).status, 200);
    const answers = [nodes.query(OTHER, `req-${job}`), nodes.query(STORMED, `req-${job}`)];
    for (const { status, body } of await nodes.after(Promise.all(answers))) {
      if (status === 200) assert.equal((body as { phase: string }).phase, 'withdrawn');
      else assert.equal(status, 503);
    }
  }
  await done;
});

test('queries that nobody waits for any more cost the store nothing', async () => {
  const nodes = await withJobs(2000);
  nodes.fate = () => 'lose request';
  for (let i = 0; i < 2000; i += 2) void nodes.query(STORMED, `req-${i}`);
  await nodes.clock.advance(2500);
  nodes.fate = () => 'serve';
  const before = nodes.sent.length;
  await nodes.clock.advance(3000);
  assert.ok(nodes.sent.length - before <= 2, `${nodes.sent.length - before} requests`);
});
