import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { test } from 'node:test';
import { ReplicatedProgress } from '../src/control/replicated-progress.js';
import { Fleet } from '../src/fleet/fleet.js';
import { Machine } from '../src/fleet/machine.js';
import { ConnectionTracker } from '../src/http/connection-tracker.js';
import { readHeartbeats, type HeartbeatOutcome } from '../src/http/heartbeat-reader.js';
import { FailureHistory } from '../src/jobs/failure-history.js';
import { OPEN_JOBS_PER_MB, type ApiResponse } from '../src/jobs/job-api.js';
import { settings } from './fakes/sample-settings.js';
import { Nodes } from './fakes/nodes.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const TYPICAL_JOBS = 300;
const OVERLOAD_JOBS = 10 * TYPICAL_JOBS;
const NODE = 0;

const jobIds = (count: number): string[] => Array.from({ length: count }, (_, i) => `req-${i}`);

interface QueryStormResult {
  /** Number of answers with 200 by job. */
  answered: Map<string, number>;
  /** Number of answers with 200 in all. */
  answers: number;
  /** Number of answers with 503 in the millisecond of the query. */
  refusedAtOnce: number;
  longestMs: number;
}

/** Queries every job at a fixed interval for a minute, whatever the answers are. */
async function runQueryStorm(
  nodes: Nodes,
  jobs: string[],
  everyMs: number,
): Promise<QueryStormResult> {
  const result: QueryStormResult = {
    answered: new Map(),
    answers: 0,
    refusedAtOnce: 0,
    longestMs: 0,
  };
  const recordAnswer = (ref: string, from: number, { status }: ApiResponse): void => {
    const tookMs = nodes.clock.now() - from;
    result.longestMs = Math.max(result.longestMs, tookMs);
    if (status === 200) {
      result.answers++;
      result.answered.set(ref, (result.answered.get(ref) ?? 0) + 1);
    } else if (status === 503 && tookMs === 0) result.refusedAtOnce++;
  };
  for (const until = nodes.clock.now() + 60_000; nodes.clock.now() < until;) {
    const from = nodes.clock.now();
    for (const ref of jobs)
      void nodes.query(NODE, ref).then((answer) => recordAnswer(ref, from, answer));
    await nodes.clock.advance(everyMs);
  }
  return result;
}

test('at ten times the query rate a bounded rate is answered, the rest rejected at once, and no job starves', async () => {
  const nodes = new Nodes(1);
  const jobs = jobIds(OVERLOAD_JOBS);
  nodes.acceptAll(jobs);
  const stormResult = runQueryStorm(nodes, jobs, 1000);
  await nodes.clock.advance(30_500);
  const submission = nodes.submitting(NODE, 'req-90000');
  const cancellation = nodes.aborting(NODE, 'req-7');
  await nodes.clock.advance(200);
  assert.equal((await submission).status, 201);
  assert.equal((await cancellation).status, 200);
  const { answered, answers, refusedAtOnce, longestMs } = await stormResult;
  assert.equal(answered.size, OVERLOAD_JOBS, 'every job has had an answer within a minute');
  assert.ok(refusedAtOnce > answers, `${refusedAtOnce} refused, ${answers} answered`);
  assert.ok(longestMs <= 1600, `${longestMs} ms`);
});

test('while timers are late fewer queries are answered, those about each job in turn', async () => {
  const nodes = new Nodes(1);
  const jobs = jobIds(3 * TYPICAL_JOBS);
  nodes.acceptAll(jobs);
  nodes.lagMs = 1000;
  const { answered, answers } = await runQueryStorm(nodes, jobs, 1000);
  assert.equal(answered.size, jobs.length);
  // A quarter of the usual rate for a minute, and one burst.
  assert.ok(answers <= 136 * 60 + 1088, `${answers} answers`);
});

test('concurrent queries about one job share one version check', async () => {
  const nodes = new Nodes(1);
  nodes.acceptAll(['req-1']);
  await nodes.advanceUntilSettled(nodes.query(NODE, 'req-1'));
  const before = nodes.sent.length;
  const queries = Array.from({ length: 400 }, () => nodes.query(NODE, 'req-1'));
  const answers = await nodes.advanceUntilSettled(Promise.all(queries));
  assert.ok(answers.every(({ status }) => status === 200));
  assert.equal(nodes.sent.length - before, 1);
});

test('with more open jobs than a leader has memory for, new jobs get 503 and accepted ones stay known', async () => {
  const nodes = new Nodes(1);
  assert.equal((await nodes.submit(NODE, 'req-1')).status, 201);
  nodes.openJobs = settings().machine.memoryMb * OPEN_JOBS_PER_MB;
  const refused = await nodes.submit(NODE, 'req-2');
  assert.equal(refused.status, 503);
  assert.ok(refused.retryAfter! >= 1);
  assert.equal((await nodes.submit(NODE, 'req-1')).status, 200);
  assert.equal((await nodes.abort(NODE, 'req-1')).status, 200);
  // Requests about known jobs are not rejected for the limit, and the rejected job does not exist.
  assert.equal((await nodes.advanceUntilSettled(nodes.query(NODE, 'req-2'))).status, 404);
  nodes.openJobs--;
  assert.equal((await nodes.submit(NODE, 'req-2')).status, 201);
});

/** The part of a leader that remembers finished jobs. */
interface LeaderView {
  parts: { dependencies: { endedJobs: Map<string, unknown> } };
}

test('a leader reads tens of thousands of finished jobs page by page, and remembers a bounded number', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }], 2);
  await simulatedCluster.start();
  const first = await simulatedCluster.submit({ runMs: 1000 });
  await simulatedCluster.until(() => simulatedCluster.storedPhase(first) === 'done', 20, 'it runs');
  for (let i = 0; i < 20_000; i++) {
    simulatedCluster.store.write(`jobs/req-${100_000 + i}`, { w: 'w', phase: 'done', tasks: 1 });
  }
  // Sampled at every request to the store, so at each page too.
  let mostRemembered = 0;
  for (const node of simulatedCluster.nodes) {
    node.storeOutcome = () => {
      const { leader } = node.controller as unknown as { leader: LeaderView | null };
      mostRemembered = Math.max(mostRemembered, leader?.parts.dependencies.endedJobs.size ?? 0);
      return 'serve';
    };
  }
  await simulatedCluster.faults.restartLeader(2);
  await simulatedCluster.until(() => simulatedCluster.leader >= 0, 10, 'a leader');
  await simulatedCluster.advance(3);
  const rememberedLimit = settings().machine.memoryMb * 50;
  // The jobs are added while pages are read, not once all pages are in memory.
  assert.equal(mostRemembered, rememberedLimit);
  // A finished job that was dropped is read again when a new job depends on it.
  const job = await simulatedCluster.submit({ runMs: 1000, waitsOn: [first] });
  await simulatedCluster.until(() => simulatedCluster.storedPhase(job) === 'done', 20, 'it runs');
  await simulatedCluster.close();
});

test('machines that join, fail and leave in large numbers leave only bounded state behind', () => {
  const noEvents = { running() {}, exited() {}, lost() {} };
  const fleet = new Fleet(noEvents, 1, 0, 10_000, { expiryOf: () => 0, confirmedAsOf: 0 });
  for (let i = 0; i < 50_000; i++) {
    fleet.getOrCreate(`host-${i}`, 0);
    fleet.confirmReleased(`host-${i}`);
  }
  assert.equal(fleet.machines.size, 0);
  assert.equal(
    fleet.getOrCreate('host-49999', 0).isReleasing,
    true,
    'a delayed heartbeat does not add the machine again',
  );
  assert.ok((fleet as unknown as { releasedIds: Set<string> }).releasedIds.size <= 5000);
  const machine = new Machine('host-1', 0);
  for (let i = 0; i < 1000; i++) {
    machine.recordFailure(new FailureHistory());
    machine.recordImageUse(`img-${i}`, 0, true);
  }
  assert.ok(machine.images.size <= 200);
  assert.ok((machine as unknown as { failedJobs: Set<unknown> }).failedJobs.size <= 16);
  const progress = new ReplicatedProgress(100);
  for (let frame = 0; frame < 10; frame++) {
    progress.apply(
      false,
      jobIds(50).map((id) => ({ id: `${id}${frame}`, done: 0, running: 0 })),
    );
  }
  assert.equal(progress.size, 100);
});

const socket = (): Duplex => new Duplex({ read() {}, write: (_chunk, _encoding, done) => done() });

test('a connection with too many concurrent requests is closed, and too many connections are detected', () => {
  const connections = new ConnectionTracker(2);
  const [first, second, third] = [socket(), socket(), socket()] as unknown as Socket[];
  for (const socket of [first!, second!, third!]) connections.add(socket);
  assert.ok(connections.isOverCapacity);
  for (let i = 0; i < 4; i++) assert.ok(connections.requestStarted(first!));
  connections.requestEnded(first!);
  assert.ok(connections.requestStarted(first!), 'another request is accepted after an answer');
  assert.ok(!connections.requestStarted(first!));
  assert.ok(first!.destroyed);
});

test('heartbeats sent before the answer stay unread, and a worker that reads no answers is disconnected', async () => {
  const report = JSON.stringify({
    ...{ rig: 'host-1', address: '10.1.0.1:9000', hull: 'g8', yard: 'a', driftwood: false },
    ...{ shift: 1, tick: 1, baton: 1, warningS: null, pieces: [] },
  });
  const request = `POST /v1/report HTTP/1.1\r\ncontent-length: ${report.length}\r\n\r\n${report}`;
  const answers: ((outcome: HeartbeatOutcome) => void)[] = [];
  const receiveHeartbeat = (): Promise<HeartbeatOutcome> =>
    new Promise((answer) => answers.push(answer));
  const worker = socket();
  readHeartbeats(
    worker as Socket,
    receiveHeartbeat,
    () => assert.fail('it is a heartbeat'),
    (error) => assert.fail(String(error)),
  );
  const shortDelay = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 5));
  for (let i = 0; i < 3; i++) {
    worker.push(request);
    await shortDelay();
  }
  assert.deepEqual([answers.length, worker.isPaused()], [1, true]);
  answers[0]!({ kind: 'redirect', leader: null });
  await shortDelay();
  assert.equal(answers.length, 2, 'then the next heartbeat is read');

  const unreadingWorker = new Duplex({ read() {}, write() {} });
  readHeartbeats(
    unreadingWorker as Socket,
    () => ({ kind: 'redirect', leader: 'x'.repeat(60_000) }),
    () => assert.fail('it is a heartbeat'),
    (error) => assert.fail(String(error)),
  );
  for (let i = 0; i < 4; i++) unreadingWorker.push(request);
  await shortDelay();
  assert.ok(unreadingWorker.destroyed);
});
