import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ApiResponse } from '../src/jobs/job-api.js';
import { Nodes } from './fakes/nodes.js';

const CONTROLLERS = 5;
const REQUESTS_PER_S = 200;
const LOADED = 0;
const OTHER = 1;
const USERS = 2000;

/** Records the response to a request and its duration, without waiting for it. */
function measure(
  nodes: Nodes,
  request: Promise<ApiResponse>,
): { answer: ApiResponse | null; ms: number } {
  const startedAt = nodes.clock.now();
  const measured: { answer: ApiResponse | null; ms: number } = { answer: null, ms: 0 };
  void request.then((answer) => {
    measured.answer = answer;
    measured.ms = nodes.clock.now() - startedAt;
  });
  return measured;
}

async function withJobs(count: number): Promise<Nodes> {
  const nodes = new Nodes(2, { rps: REQUESTS_PER_S }, CONTROLLERS);
  for (let i = 0; i < count; i++) {
    nodes.put(`jobs/req-${i}`, { w: 'w', phase: i % 2 ? 'done' : 'open', tasks: 1 });
  }
  await nodes.clock.advance(1000);
  return nodes;
}

test('in a query storm at a controller that has just started, submissions, cancellations and leadership have priority', async () => {
  const nodes = await withJobs(USERS);
  nodes.restart(LOADED);
  const queries = Array.from({ length: USERS }, (_, i) =>
    measure(nodes, nodes.query(LOADED, `req-${i}`)),
  );
  await nodes.clock.advance(200);
  const submission = measure(nodes, nodes.submitting(LOADED, 'req-90000'));
  const repeat = measure(nodes, nodes.submitting(LOADED, 'req-2'));
  const cancellation = measure(nodes, nodes.aborting(LOADED, 'req-4'));
  await nodes.clock.advance(2000);
  assert.equal(submission.answer?.status, 201);
  assert.equal(repeat.answer?.status, 200);
  assert.equal(cancellation.answer?.status, 200);
  for (const { ms } of [submission, repeat, cancellation]) assert.ok(ms <= 200, `${ms} ms`);

  // Queries that are not served get a prompt 503 that says when to retry.
  assert.ok(queries.every((query) => query.answer !== null));
  const rejected = queries.filter((query) => query.answer!.status === 503);
  assert.ok(rejected.every((query) => query.answer!.retryAfter! >= 1 && query.ms <= 1600));
  const served = queries.filter((query) => query.answer!.status === 200).length;
  assert.ok(served >= USERS / 4, `${served} queries answered`);
  // The controller's share of the request rate for queries, with its burst.
  const maxRequests = (REQUESTS_PER_S / 2 / CONTROLLERS) * 2.5 + 10;
  const requests = nodes.sent.filter((s) => s.node === LOADED).length;
  assert.ok(requests <= maxRequests, `${requests} requests to the store`);
});

test('in a query storm at every controller, a job cancelled at one of them is cancelled in all later answers', async () => {
  const nodes = await withJobs(400);
  const runStorm = async (): Promise<void> => {
    for (let round = 0; round < 40; round++) {
      for (let i = 0; i < 400; i++) void nodes.query(round % 2, `req-${i}`);
      await nodes.clock.advance(50);
    }
  };
  const storm = runStorm();
  for (let job = 0; job < 40; job += 2) {
    assert.equal((await nodes.abort(LOADED, `req-${job}`)).status, 200);
    const answers = [nodes.query(OTHER, `req-${job}`), nodes.query(LOADED, `req-${job}`)];
    for (const { status, body } of await nodes.advanceUntilSettled(Promise.all(answers))) {
      if (status === 200) assert.equal((body as { phase: string }).phase, 'withdrawn');
      else assert.equal(status, 503);
    }
  }
  await storm;
});

test('queries whose users have given up cause no requests to the store', async () => {
  const nodes = await withJobs(2000);
  nodes.storeOutcome = () => 'lose request';
  for (let i = 0; i < 2000; i += 2) void nodes.query(LOADED, `req-${i}`);
  await nodes.clock.advance(2500);
  nodes.storeOutcome = () => 'serve';
  const before = nodes.sent.length;
  await nodes.clock.advance(3000);
  assert.ok(nodes.sent.length - before <= 2, `${nodes.sent.length - before} requests`);
});
