import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from '../src/fleet/fleet.js';
import type { MachineType } from '../src/fleet/resources.js';
import { parseHeartbeat } from '../src/wire/worker-heartbeat.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

test('an array runs to completion and stays done', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 12 });
  await simulatedCluster.until(() => simulatedCluster.starts.length === 12, 10, 'all tasks start');
  await simulatedCluster.advance(30);
  assert.equal(await simulatedCluster.phase(job), 'done');
  assert.equal(await simulatedCluster.phase(job, 1), 'done');
  await simulatedCluster.close();
});

test('a job is accepted once, however often it is submitted, also at another node and after its end', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { ref, body } = simulatedCluster.createSubmission({ pieces: 2, runMs: 3000 });
  const first = simulatedCluster.ask(simulatedCluster.user(0).submit(body));
  const second = simulatedCluster.ask(simulatedCluster.user(1).submit(body));
  const codes = [(await first).status, (await second).status].sort();
  assert.deepEqual(codes, [200, 201]);
  await simulatedCluster.advance(15);
  const later = await simulatedCluster.ask(
    simulatedCluster.user(1).submit({ ...body, crew: 'nobody' }),
  );
  assert.deepEqual(later, { status: 200, body: { ref, phase: 'done' } });
  assert.equal(simulatedCluster.starts.length, 2);
  await simulatedCluster.close();
});

test('the replicas of a cancelled service are stopped, and it stays cancelled', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({
    shape: 'service',
    pieces: 3,
    runMs: 0,
    urgency: 'production',
  });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 3, 10, 'replicas run');
  const answer = await simulatedCluster.ask(simulatedCluster.user(1).abort(job));
  assert.deepEqual(answer.body, { ref: job, phase: 'withdrawn' });
  await simulatedCluster.until(
    () => simulatedCluster.tasksOf(job).length === 0,
    5,
    'replicas are stopped',
  );
  await simulatedCluster.advance(10);
  assert.equal(await simulatedCluster.phase(job), 'withdrawn');
  assert.equal(simulatedCluster.tasksOf(job).length, 0);
  await simulatedCluster.close();
});

test('a retried submission finds the job whose acceptance got no answer', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const node = simulatedCluster.nodes[0]!;
  let lost = 0;
  node.storeOutcome = (_method, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"write":"jobs/') && lost++ < 1
      ? 'lose answer'
      : 'serve';
  const { ref, body } = simulatedCluster.createSubmission({ pieces: 1 });
  const answer = await simulatedCluster.ask(simulatedCluster.user(0).submit(body));
  assert.equal(answer.status, 200);
  await simulatedCluster.until(() => simulatedCluster.starts.length === 1, 10, 'it runs');
  assert.equal(await simulatedCluster.phase(ref), 'running');
  await simulatedCluster.close();
});

test('while the store is down no job is accepted, and the user is told at once when to retry', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  simulatedCluster.store.down = true;
  const before = simulatedCluster.clock.now();
  const { body } = simulatedCluster.createSubmission({ pieces: 1 });
  const answer = await simulatedCluster.ask(simulatedCluster.user(0).submit(body));
  assert.equal(answer.status, 503);
  assert.equal(answer.retryAfter, 1);
  assert.ok(simulatedCluster.clock.now() - before < 1000);
  await simulatedCluster.close();
});

test('while the store is down, requests about a known job are answered at once too', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { ref, body } = simulatedCluster.createSubmission({ pieces: 1 });
  const jobApi = simulatedCluster.user(0);
  assert.equal((await simulatedCluster.ask(jobApi.submit(body))).status, 201);
  simulatedCluster.store.down = true;
  const before = simulatedCluster.clock.now();
  const queries = [
    jobApi.submit(body),
    jobApi.submit({ ref }),
    jobApi.query(ref),
    jobApi.abort(ref),
  ];
  for (const answer of await Promise.all(queries.map((query) => simulatedCluster.ask(query)))) {
    assert.equal(answer.status, 503);
    assert.equal(answer.retryAfter, 1);
  }
  assert.ok(simulatedCluster.clock.now() - before < 1000);
  await simulatedCluster.close();
});

test('a new leader takes over running tasks and does not start them again', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 10, runMs: 40_000 }, 1);
  await simulatedCluster.until(() => simulatedCluster.running(job) === 10, 10, 'all run');
  const oldLeader = simulatedCluster.leader;
  simulatedCluster.crash(oldLeader);
  await simulatedCluster.until(() => simulatedCluster.leader === 1 - oldLeader, 8, 'takeover');
  await simulatedCluster.advance(8);
  assert.equal(simulatedCluster.running(job), 10);
  assert.equal(simulatedCluster.starts.length, 10);
  await simulatedCluster.advance(40);
  assert.equal(await simulatedCluster.phase(job, 1 - oldLeader), 'done');
  await simulatedCluster.close();
});

test('tasks that were recorded, but not launched before the leader crashed, are launched by the next leader', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const oldLeader = simulatedCluster.leader;
  const { ref, body } = simulatedCluster.createSubmission({ pieces: 6, runMs: 8000 });
  // The record reaches the store, but its answer is lost, and then the leader crashes.
  simulatedCluster.nodes[oldLeader]!.storeOutcome = (_method, path, requestBody) =>
    path === '/txn' && JSON.stringify(requestBody).includes('"write":"runs/')
      ? 'lose answer'
      : 'serve';
  await simulatedCluster.ask(simulatedCluster.user(1 - oldLeader).submit(body));
  await simulatedCluster.until(
    () => simulatedCluster.store.get(`runs/${ref}/0`) !== undefined,
    5,
    'recorded',
  );
  simulatedCluster.crash(oldLeader);
  assert.equal(simulatedCluster.starts.length, 0);
  await simulatedCluster.until(
    () => simulatedCluster.starts.length === 6,
    15,
    'launched by the next leader',
  );
  await simulatedCluster.advance(15);
  assert.equal(await simulatedCluster.phase(ref, 1 - oldLeader), 'done');
  await simulatedCluster.close();
});

test('a transaction of a former leader changes nothing when it arrives late', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const oldLeader = simulatedCluster.leader;
  simulatedCluster.nodes[oldLeader]!.storeOutcome = (_method, path, requestBody) =>
    path === '/txn' && JSON.stringify(requestBody).includes('"write":"runs/')
      ? 'apply late'
      : 'serve';
  const job = await simulatedCluster.submit({ pieces: 3, runMs: 5000 }, 1 - oldLeader);
  await simulatedCluster.until(() => simulatedCluster.store.late.length > 0, 5, 'sent');
  simulatedCluster.crash(oldLeader);
  await simulatedCluster.until(
    () => simulatedCluster.starts.length === 3,
    15,
    'started by the next leader',
  );
  for (const apply of simulatedCluster.store.late) assert.equal(apply().status, 409);
  await simulatedCluster.advance(15);
  assert.equal(await simulatedCluster.phase(job, 1 - oldLeader), 'done');
  assert.equal(simulatedCluster.starts.length, 3);
  await simulatedCluster.close();
});

test('a delayed copy of an old heartbeat neither stops nor starts any task', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const emptyHeartbeats = new Map(
    [...simulatedCluster.workers].map(([id, worker]) => [id, worker.sent.at(-1)!]),
  );
  const job = await simulatedCluster.submit({ pieces: 8, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 8, 10, 'all run');
  for (const copy of emptyHeartbeats.values())
    await simulatedCluster.until(deliverCopy(simulatedCluster, copy), 2, 'the copy is answered');
  await simulatedCluster.advance(12);
  assert.equal(simulatedCluster.running(job), 8);
  assert.equal(simulatedCluster.starts.length, 8);
  await simulatedCluster.close();
});

function deliverCopy(cluster: SimulatedCluster, copy: object): () => boolean {
  let done = false;
  void cluster.deliver(cluster.leader, copy).then((answer) => {
    assert.deepEqual((answer.body as { orders: unknown[] }).orders, []);
    done = true;
  });
  return () => done;
}

test('tasks on an unresponsive machine start elsewhere only after its lease has expired', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 2, gpus: 8, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'both run');
  const hungWorker = [...simulatedCluster.workers.values()].find(
    (worker) => worker.pieces.length > 0,
  )!;
  hungWorker.hung = true;
  const since = simulatedCluster.clock.now();
  await simulatedCluster.until(() => simulatedCluster.starts.length === 3, 20, 'started elsewhere');
  assert.ok(simulatedCluster.clock.now() - since >= 9000);
  hungWorker.hung = false;
  await simulatedCluster.advance(5);
  assert.equal(simulatedCluster.running(job), 2);
  await simulatedCluster.close();
});

test('the tasks of a dead machine run again', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 1, gpus: 8, runMs: 30_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 1, 10, 'runs');
  [...simulatedCluster.workers.values()].find((worker) => worker.pieces.length > 0)!.dead = true;
  await simulatedCluster.until(() => simulatedCluster.starts.length === 2, 20, 'runs again');
  await simulatedCluster.advance(40);
  assert.equal(await simulatedCluster.phase(job), 'done');
  await simulatedCluster.close();
});

test('a team stays within its limit while a machine that runs its tasks is unreachable', async () => {
  const simulatedCluster = new SimulatedCluster([...FOUR_MACHINES, { yard: 'a' }, { yard: 'b' }]);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 8, gpus: 8, runMs: 60_000 });
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 4,
    10,
    'as many as the limit of 32 allows',
  );
  [...simulatedCluster.workers.values()].find((worker) => worker.pieces.length > 0)!.hung = true;
  await simulatedCluster.advance(9);
  assert.equal(simulatedCluster.starts.length, 4);
  await simulatedCluster.until(
    () => simulatedCluster.starts.length === 5,
    10,
    'the next task starts',
  );
  await simulatedCluster.close();
});

test('a worker that receives no answers gets no more tasks', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'b' }]);
  simulatedCluster.cloud.capacity = 2;
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 1, gpus: 8, runMs: 120_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 1, 10, 'runs');
  const deafWorker = [...simulatedCluster.workers.values()].find(
    (worker) => worker.pieces.length > 0,
  )!;
  deafWorker.deaf = true;
  await simulatedCluster.until(() => simulatedCluster.starts.length === 2, 25, 'runs elsewhere');
  await simulatedCluster.until(() => deafWorker.dead, 30, 'the machine is released');
  assert.equal(simulatedCluster.running(job), 1);
  await simulatedCluster.close();
});

test('tasks keep running when all controllers crash at once', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 10, runMs: 30_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 10, 10, 'all run');
  simulatedCluster.crash(0);
  simulatedCluster.crash(1);
  await simulatedCluster.advance(3);
  simulatedCluster.restart(0);
  simulatedCluster.restart(1);
  await simulatedCluster.advance(6);
  assert.equal(simulatedCluster.running(job), 10);
  await simulatedCluster.advance(30);
  assert.equal(await simulatedCluster.phase(job), 'done');
  assert.equal(simulatedCluster.starts.length, 10);
  await simulatedCluster.close();
});

test('a leader that is cut off from the store stops answering workers, and another takes over', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 4, runMs: 40_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'all run');
  const oldLeader = simulatedCluster.leader;
  simulatedCluster.nodes[oldLeader]!.storeOutcome = () => 'refuse';
  await simulatedCluster.until(() => simulatedCluster.leader === 1 - oldLeader, 8, 'takeover');
  await simulatedCluster.advance(8);
  assert.equal(simulatedCluster.running(job), 4);
  assert.equal(simulatedCluster.starts.length, 4);
  simulatedCluster.nodes[oldLeader]!.storeOutcome = () => 'serve';
  await simulatedCluster.advance(40);
  assert.equal(await simulatedCluster.phase(job), 'done');
  await simulatedCluster.close();
});

test('the cancellation of a job takes precedence over its start', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { ref, body } = simulatedCluster.createSubmission({ pieces: 4 });
  const jobApi = simulatedCluster.user(0);
  await simulatedCluster.ask(jobApi.submit(body));
  const answer = await simulatedCluster.ask(jobApi.abort(ref));
  assert.equal(answer.status, 200);
  await simulatedCluster.advance(5);
  assert.equal(simulatedCluster.tasksOf(ref).length, 0);
  const startsAfterCancellation = simulatedCluster.starts.length;
  await simulatedCluster.advance(20);
  assert.equal(simulatedCluster.starts.length, startsAfterCancellation);
  assert.equal(await simulatedCluster.phase(ref), 'withdrawn');
  await simulatedCluster.close();
});

test('a spread service stays spread when the leader changes while a machine is unresponsive', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({
    shape: 'service',
    pieces: 2,
    gpus: 8,
    runMs: 0,
    apart: true,
  });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'replicas run');
  const [silent, lost] = [...simulatedCluster.workers.values()].filter(
    (worker) => worker.pieces.length > 0,
  );
  const oldLeader = simulatedCluster.leader;
  simulatedCluster.crash(oldLeader);
  // The next leader gets no heartbeat of the one replica's machine when it replaces the other one.
  silent!.hung = true;
  simulatedCluster.kill(lost!.id);
  simulatedCluster.cloud.hosts.delete(lost!.id);
  await simulatedCluster.advance(12);
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 30, 'both run again');
  const runningWorkers = [...simulatedCluster.workers.values()].filter(
    (worker) => !worker.dead && worker.pieces.length > 0,
  );
  assert.equal(new Set(runningWorkers.map((worker) => worker.yard)).size, 2);
  await simulatedCluster.close();
});

test('a machine whose heartbeat arrived only while records were read is not schedulable until the next one', () => {
  const fleet = new Fleet({ running: () => {}, exited: () => {}, lost: () => {} }, 7, 0, 10_000, {
    expiryOf: () => -Infinity,
    confirmedAsOf: 0,
  });
  const heartbeat = parseHeartbeat({
    rig: 'host-1',
    address: 'x',
    hull: 'g8',
    yard: 'a',
    driftwood: false,
    shift: 3,
    tick: 9,
    baton: 7,
    warningS: null,
    pieces: [],
  })!;
  const type = { name: 'g8' } as MachineType;
  fleet.applyHeartbeat(heartbeat, type, 100, false);
  // Its agent epoch would be recorded as unknown, and the next leader could not read such a record.
  assert.equal(fleet.machines.get('host-1')!.isSchedulable(100, 3000), false);
  fleet.applyHeartbeat({ ...heartbeat, sequence: 10 }, type, 200, true);
  assert.equal(fleet.machines.get('host-1')!.isSchedulable(200, 3000), true);
});

test('a job that is cancelled while its first start is being recorded leaves no run record', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { ref, body } = simulatedCluster.createSubmission({ pieces: 3 });
  const jobApi = simulatedCluster.user(1 - simulatedCluster.leader);
  // The leader learns of the cancellation only when the store rejects its run record.
  simulatedCluster.nodes[simulatedCluster.leader]!.storeOutcome = (_method, path) =>
    path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve';
  await simulatedCluster.advance(11);
  await simulatedCluster.ask(jobApi.submit(body));
  simulatedCluster.nodes[simulatedCluster.leader]!.storeOutcome = (_method, path, requestBody) =>
    path === '/txn' && JSON.stringify(requestBody).includes('"write":"runs/') ? 'refuse' : 'serve';
  await simulatedCluster.advance(1);
  assert.equal((await simulatedCluster.ask(jobApi.abort(ref))).status, 200);
  simulatedCluster.nodes[simulatedCluster.leader]!.storeOutcome = () => 'serve';
  await simulatedCluster.advance(8);
  assert.equal(simulatedCluster.starts.length, 0);
  assert.equal(simulatedCluster.store.get(`runs/${ref}/0`), undefined);
  assert.deepEqual(Object.keys(simulatedCluster.store.get(`jobs/${ref}`) as object).sort(), [
    'phase',
    'tasks',
    'w',
  ]);
  await simulatedCluster.close();
});

test('a new leader keeps the run record of a cancelled job until its tasks are proven gone', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 2, gpus: 8, runMs: 90_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'both run');
  [...simulatedCluster.workers.values()].find((worker) => worker.pieces.length > 0)!.hung = true;
  const oldLeader = simulatedCluster.leader;
  await simulatedCluster.ask(simulatedCluster.user(1 - oldLeader).abort(job));
  await simulatedCluster.advance(1);
  simulatedCluster.crash(oldLeader);
  await simulatedCluster.until(() => simulatedCluster.leader === 1 - oldLeader, 6, 'takeover');
  await simulatedCluster.advance(2);
  assert.notEqual(simulatedCluster.store.get(`runs/${job}/0`), undefined);
  await simulatedCluster.until(
    () => simulatedCluster.store.get(`runs/${job}/0`) === undefined,
    15,
    'removed once the lease has expired',
  );
  assert.equal(await simulatedCluster.phase(job, 1 - oldLeader), 'withdrawn');
  await simulatedCluster.close();
});

test('tasks that fail together on a faulty machine soon run again on healthy machines', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 8, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 8, 10, 'all run');
  const faultyWorker = [...simulatedCluster.workers.values()].find(
    (worker) => worker.pieces.length > 1,
  )!;
  for (const piece of faultyWorker.pieces) Object.assign(piece, { phase: 'ended', cause: 'error' });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 8, 10, 'all run again');
  assert.equal(faultyWorker.pieces.filter((piece) => piece.phase !== 'ended').length, 0);
  await simulatedCluster.close();
});

test('exits that come close together share a write, and no worker forgets an exit before it is recorded', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 12, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 12, 10, 'all run');
  const record = (): { w: string; done: unknown[] } =>
    simulatedCluster.store.get(`runs/${job}/0`) as { w: string; done: unknown[] };
  const before = record().w;
  const busyWorkers = [...simulatedCluster.workers.values()].filter(
    (worker) => worker.pieces.length > 0,
  );
  const endedCount = (): number =>
    busyWorkers.flatMap((worker) => worker.pieces).filter((piece) => piece.phase === 'ended')
      .length;
  for (const { pieces } of busyWorkers)
    Object.assign(pieces[0]!, { phase: 'ended', cause: 'done' });
  await simulatedCluster.advance(1.5);
  assert.equal(record().w, before);
  assert.equal(endedCount(), busyWorkers.length);
  await simulatedCluster.until(() => endedCount() === 0, 14, 'all exits are acknowledged');
  assert.notEqual(record().w, before);
  assert.notEqual(record().done.length, 0);
  await simulatedCluster.close();
});
