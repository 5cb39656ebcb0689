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

const USUAL_JOBS = 300;
const TEN_TIMES = 10 * USUAL_JOBS;
const NODE = 0;

const refs = (count: number): string[] => Array.from({ length: count }, (_, i) => `req-${i}`);

interface Asked {
  answered: Map<string, number>;
  /** Answers in all, and how many of them were given in the same millisecond. */
  answers: number;
  refusedAtOnce: number;
  longestMs: number;
}

/** Users ask about every job again and again for a minute, whatever they are told. */
async function storm(nodes: Nodes, jobs: string[], everyMs: number): Promise<Asked> {
  const asked: Asked = { answered: new Map(), answers: 0, refusedAtOnce: 0, longestMs: 0 };
  const note = (ref: string, from: number, { status }: ApiResponse): void => {
    const tookMs = nodes.clock.now() - from;
    asked.longestMs = Math.max(asked.longestMs, tookMs);
    if (status === 200) {
      asked.answers++;
      asked.answered.set(ref, (asked.answered.get(ref) ?? 0) + 1);
    } else if (status === 503 && tookMs === 0) asked.refusedAtOnce++;
  };
  for (const until = nodes.clock.now() + 60_000; nodes.clock.now() < until;) {
    const from = nodes.clock.now();
    for (const ref of jobs) void nodes.query(NODE, ref).then((answer) => note(ref, from, answer));
    await nodes.clock.advance(everyMs);
  }
  return asked;
}

test('ten times the questions: a bounded rate is answered, the rest refused at once, and no job for ever', async () => {
  const nodes = new Nodes(1);
  const jobs = refs(TEN_TIMES);
  nodes.acceptAll(jobs);
  const done = storm(nodes, jobs, 1000);
  await nodes.clock.advance(30_500);
  const submission = nodes.submitting(NODE, 'req-90000');
  const cancellation = nodes.aborting(NODE, 'req-7');
  await nodes.clock.advance(200);
  assert.equal((await submission).status, 201);
  assert.equal((await cancellation).status, 200);
  const { answered, answers, refusedAtOnce, longestMs } = await done;
  assert.equal(answered.size, TEN_TIMES, 'every job has had an answer within a minute');
  assert.ok(refusedAtOnce > answers, `${refusedAtOnce} refused, ${answers} answered`);
  assert.ok(longestMs <= 1600, `${longestMs} ms`);
});

test('while timers are late fewer questions are taken, those about each job in turn', async () => {
  const nodes = new Nodes(1);
  const jobs = refs(3 * USUAL_JOBS);
  nodes.acceptAll(jobs);
  nodes.lagMs = 1000;
  const { answered, answers } = await storm(nodes, jobs, 1000);
  assert.equal(answered.size, jobs.length);
  // A quarter of what is taken otherwise, in a minute and a burst.
  assert.ok(answers <= 136 * 60 + 1088, `${answers} answers`);
});

test('thousands that ask about one job share one comparison, and cost no more than their answers', async () => {
  const nodes = new Nodes(1);
  nodes.acceptAll(['req-1']);
  await nodes.after(nodes.query(NODE, 'req-1'));
  const before = nodes.sent.length;
  const asked = Array.from({ length: 400 }, () => nodes.query(NODE, 'req-1'));
  const answers = await nodes.after(Promise.all(asked));
  assert.ok(answers.every(({ status }) => status === 200));
  assert.equal(nodes.sent.length - before, 1);
});

test('more open jobs than a leader has memory for: new ones wait, what is accepted stays known', async () => {
  const nodes = new Nodes(1);
  assert.equal((await nodes.submit(NODE, 'req-1')).status, 201);
  nodes.openJobs = settings().machine.memoryMb * OPEN_JOBS_PER_MB;
  const refused = await nodes.submit(NODE, 'req-2');
  assert.equal(refused.status, 503);
  assert.ok(refused.retryAfter! >= 1);
  assert.equal((await nodes.submit(NODE, 'req-1')).status, 200);
  assert.equal((await nodes.abort(NODE, 'req-1')).status, 200);
  // What is known is never refused for it, and what was never accepted is not there.
  assert.equal((await nodes.after(nodes.query(NODE, 'req-2'))).status, 404);
  nodes.openJobs--;
  assert.equal((await nodes.submit(NODE, 'req-2')).status, 201);
});

/** What a leader remembers of jobs that are over. */
interface Reading {
  parts: { dependencies: { endedJobs: Map<string, unknown> } };
}

test('a leader reads tens of thousands of jobs that are over page by page, and remembers a bounded part', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }], 2);
  await simulatedCluster.start();
  const first = await simulatedCluster.submit({ runMs: 1000 });
  await simulatedCluster.until(() => simulatedCluster.stored(first) === 'done', 20, 'it runs');
  for (let i = 0; i < 20_000; i++) {
    simulatedCluster.store.write(`jobs/req-${100_000 + i}`, { w: 'w', phase: 'done', tasks: 1 });
  }
  // Looked at whenever the next page is asked for.
  let mostRemembered = 0;
  for (const node of simulatedCluster.nodes) {
    node.fate = () => {
      const { leader } = node.controller as unknown as { leader: Reading | null };
      mostRemembered = Math.max(mostRemembered, leader?.parts.dependencies.endedJobs.size ?? 0);
      return 'serve';
    };
  }
  await simulatedCluster.faults.endLeader(2);
  await simulatedCluster.until(() => simulatedCluster.leader >= 0, 10, 'a leader');
  await simulatedCluster.pass(3);
  const most = settings().machine.memoryMb * 50;
  // They are taken in while they are read, and not only once all are in memory.
  assert.equal(mostRemembered, most);
  // One that it has dropped is read again where a job needs it.
  const job = await simulatedCluster.submit({ runMs: 1000, waitsOn: [first] });
  await simulatedCluster.until(() => simulatedCluster.stored(job) === 'done', 20, 'it runs');
  await simulatedCluster.close();
});

test('ten times the machines that come, fail and go leave no more behind than is of use', () => {
  const gone = { running() {}, exited() {}, lost() {} };
  const fleet = new Fleet(gone, 1, 0, 10_000, { expiryOf: () => 0, confirmedAsOf: 0 });
  for (let i = 0; i < 50_000; i++) {
    fleet.getOrCreate(`host-${i}`, 0);
    fleet.confirmReleased(`host-${i}`);
  }
  assert.equal(fleet.machines.size, 0);
  assert.equal(
    fleet.getOrCreate('host-49999', 0).isReleasing,
    true,
    'a late copy tells of no new machine',
  );
  assert.ok((fleet as unknown as { releasedIds: Set<string> }).releasedIds.size <= 5000);
  const machine = new Machine('host-1', 0);
  for (let i = 0; i < 1000; i++) {
    machine.recordFailure(new FailureHistory());
    machine.recordImageUse(`img-${i}`, 0, true);
  }
  assert.ok(machine.images.size <= 200);
  assert.ok((machine as unknown as { failedJobs: Set<unknown> }).failedJobs.size <= 16);
  const shown = new ReplicatedProgress(100);
  for (let frame = 0; frame < 10; frame++) {
    shown.apply(
      false,
      refs(50).map((id) => ({ id: `${id}${frame}`, done: 0, running: 0 })),
    );
  }
  assert.equal(shown.size, 100);
});

const socket = (): Duplex => new Duplex({ read() {}, write: (_chunk, _encoding, done) => done() });

test('a connection with more requests than nobody sends is closed; a crowd of them is told', () => {
  const connections = new ConnectionTracker(2);
  const [first, second, third] = [socket(), socket(), socket()] as unknown as Socket[];
  for (const socket of [first!, second!, third!]) connections.add(socket);
  assert.ok(connections.isOverCapacity);
  for (let i = 0; i < 4; i++) assert.ok(connections.requestStarted(first!));
  connections.requestEnded(first!);
  assert.ok(connections.requestStarted(first!), 'it may ask again after an answer');
  assert.ok(!connections.requestStarted(first!));
  assert.ok(first!.destroyed);
});

test('what a worker sends before its answer is left unread, and one that reads nothing is closed', async () => {
  const report = JSON.stringify({
    ...{ rig: 'host-1', address: '10.1.0.1:9000', hull: 'g8', yard: 'a', driftwood: false },
    ...{ shift: 1, tick: 1, baton: 1, warningS: null, pieces: [] },
  });
  const request = `POST /v1/report HTTP/1.1\r\ncontent-length: ${report.length}\r\n\r\n${report}`;
  const answers: ((outcome: HeartbeatOutcome) => void)[] = [];
  const reporter = (): Promise<HeartbeatOutcome> => new Promise((answer) => answers.push(answer));
  const worker = socket();
  readHeartbeats(worker as Socket, reporter, () => assert.fail('it is a report'));
  const soon = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 5));
  for (let i = 0; i < 3; i++) {
    worker.push(request);
    await soon();
  }
  assert.deepEqual([answers.length, worker.isPaused()], [1, true]);
  answers[0]!({ kind: 'redirect', leader: null });
  await soon();
  assert.equal(answers.length, 2, 'then the next is taken');

  const deaf = new Duplex({ read() {}, write() {} });
  readHeartbeats(
    deaf as Socket,
    () => ({ kind: 'redirect', leader: 'x'.repeat(60_000) }),
    () => assert.fail('it is a report'),
  );
  for (let i = 0; i < 4; i++) deaf.push(request);
  await soon();
  assert.ok(deaf.destroyed);
});
