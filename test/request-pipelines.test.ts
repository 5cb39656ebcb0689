import assert from 'node:assert/strict';
import { test } from 'node:test';
import { tasksPerRecord } from '../src/jobs/records.js';
import { settings, SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const LONG_RUN_MS = 400_000;

const startsOf = (cluster: SimulatedCluster, ref: string): number =>
  cluster.starts.filter((name) => name.startsWith(`${ref}/`)).length;

test('a chain of twenty jobs runs in order while the leader crashes at every third step', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3, 1);
  await simulatedCluster.start();
  void simulatedCluster.startQueries(3000);
  const chain: string[] = [];
  for (let i = 0; i < 20; i++) {
    const waitsOn = chain.slice(-1);
    const shape = i % 4 === 3 ? 'gang' : 'array';
    chain.push(
      await simulatedCluster.accept({ shape, pieces: 2, runMs: 1000, fetchMs: 300, waitsOn }),
    );
  }
  simulatedCluster.faults.share.reportsForNext = 0.3;
  simulatedCluster.faults.share.lateReports = 0.2;
  for (let step = 2; step < 20; step += 3) {
    await simulatedCluster.until(
      () => startsOf(simulatedCluster, chain[step]!) > 0,
      60,
      `step ${step} starts`,
    );
    await simulatedCluster.faults.restartLeader(2);
  }
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(chain[19]!) === 'done',
    60,
    'the last job is done',
  );
  const order = [...new Set(simulatedCluster.starts.map((name) => name.split('/')[0]))];
  assert.deepEqual(order, chain, 'each job starts after its predecessor');
  await simulatedCluster.waitUntilSettled();
  await simulatedCluster.close();
});

test('the join of a diamond waits for a branch whose team is at its limit, and uses no capacity meanwhile', async () => {
  const simulatedCluster = new SimulatedCluster(
    [...FOUR_MACHINES, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }],
    2,
  );
  await simulatedCluster.start();
  const filler = await simulatedCluster.submit({ pieces: 32, runMs: LONG_RUN_MS });
  await simulatedCluster.until(
    () => simulatedCluster.running(filler) === 32,
    20,
    'the first team is at its limit',
  );
  const top = await simulatedCluster.submit({ runMs: 2000, crew: 'speech' });
  const blockedBranch = await simulatedCluster.submit({ runMs: 2000, waitsOn: [top] });
  const freeBranch = await simulatedCluster.submit(
    { runMs: 2000, crew: 'speech', waitsOn: [top] },
    1,
  );
  const join = await simulatedCluster.submit({
    pieces: 4,
    runMs: 2000,
    crew: 'speech',
    waitsOn: [blockedBranch, freeBranch],
  });
  const otherArray = await simulatedCluster.submit({
    pieces: 16,
    runMs: LONG_RUN_MS,
    crew: 'speech',
  });
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(freeBranch) === 'done',
    40,
    'the free branch is done',
  );
  await simulatedCluster.faults.restartLeader(2);
  await simulatedCluster.advance(15);
  assert.equal(
    simulatedCluster.running(otherArray),
    16,
    'the waiting join uses none of the limit of its team',
  );
  assert.equal(startsOf(simulatedCluster, blockedBranch) + startsOf(simulatedCluster, join), 0);
  for (const node of [0, 1]) assert.equal(await simulatedCluster.phase(join, node), 'pending');
  assert.equal(await simulatedCluster.cancel(filler), 'withdrawn');
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(join) === 'done',
    40,
    'the join is done',
  );
  await simulatedCluster.close();
});

test('cancelling one branch of a diamond cancels its join, but not the other branch or the top', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3, 2);
  await simulatedCluster.start();
  void simulatedCluster.startQueries(2000);
  const template = { runMs: 8000, crew: 'speech' };
  const top = await simulatedCluster.accept(template);
  const left = await simulatedCluster.accept({ ...template, waitsOn: [top] });
  const right = await simulatedCluster.accept({ ...template, waitsOn: [top] });
  const join = await simulatedCluster.accept({ ...template, waitsOn: [left, right] });
  const after = await simulatedCluster.accept({ ...template, waitsOn: [join] });
  assert.equal(await simulatedCluster.cancel(left), 'withdrawn');
  for (const node of [0, 1, 2]) {
    for (const ref of [join, after])
      assert.equal(await simulatedCluster.phase(ref, node), 'withdrawn');
    for (const ref of [top, right])
      assert.notEqual(await simulatedCluster.phase(ref, node), 'withdrawn');
  }
  await simulatedCluster.waitUntilSettled();
  assert.deepEqual(
    [simulatedCluster.storedPhase(top), simulatedCluster.storedPhase(right)],
    ['done', 'done'],
  );
  assert.deepEqual(
    [
      startsOf(simulatedCluster, left),
      startsOf(simulatedCluster, join),
      startsOf(simulatedCluster, after),
    ],
    [0, 0, 0],
  );
  await simulatedCluster.close();
});

test('a job with two thousand dependencies waits for the last of them when the leader changes', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3, 3);
  const doneJobs = Array.from({ length: 1960 }, (_, i) => `req-3${String(i).padStart(5, '0')}`);
  for (const ref of doneJobs) simulatedCluster.addDoneJob(ref);
  await simulatedCluster.start();
  const openJobs: string[] = [];
  for (let i = 0; i < 40; i++) {
    const runMs = i === 7 ? 60_000 : 3000;
    openJobs.push(await simulatedCluster.accept({ gpus: 0, runMs, fetchMs: 300, crew: 'speech' }));
  }
  const dependencies = [...doneJobs.slice(0, 900), ...openJobs, ...doneJobs.slice(900)];
  const join = await simulatedCluster.accept({ runMs: 2000, waitsOn: dependencies });
  const next = await simulatedCluster.accept({ runMs: 2000, waitsOn: [join] });
  for (const node of [0, 1, 2]) assert.equal(await simulatedCluster.phase(join, node), 'pending');
  await simulatedCluster.until(
    () => openJobs.filter((ref) => simulatedCluster.storedPhase(ref) === 'done').length === 39,
    60,
    '39 jobs are done',
  );
  await simulatedCluster.faults.restartLeader(2);
  await simulatedCluster.advance(10);
  assert.equal(startsOf(simulatedCluster, join), 0);
  for (const node of [0, 1, 2]) assert.equal(await simulatedCluster.phase(next, node), 'pending');
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(next) === 'done',
    60,
    'the dependents run after the last dependency',
  );
  await simulatedCluster.waitUntilSettled();
  const chunkKeys = [...simulatedCluster.store.keys.keys()].filter((key) =>
    key.startsWith('needs/'),
  );
  assert.deepEqual(chunkKeys, []);
  await simulatedCluster.close();
});

const TASKS = 25_000;
const REMAINING_TASKS = 12;

/** Writes the run records of an array of which all but the last tasks are done. */
function recordAsNearlyDone(cluster: SimulatedCluster, ref: string): void {
  const perRecord = tasksPerRecord(settings().state.valueBytes);
  for (let i = 0; i * perRecord < TASKS; i++) {
    const last = Math.min(TASKS - REMAINING_TASKS, (i + 1) * perRecord) - 1;
    const done = last >= i * perRecord ? [[i * perRecord, last]] : [];
    cluster.store.write(`runs/${ref}/${i}`, { w: 'w', attempt: 7, done, placed: [] });
  }
  for (let task = 0; task < TASKS - REMAINING_TASKS; task++) cluster.checker.completed(ref, task);
}

test('the next job starts after the last of 25,000 tasks, also when the leader crashes as the array ends', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 2, 1);
  await simulatedCluster.start();
  // The array waits for a dependency itself until its run records are written.
  const first = await simulatedCluster.submit({ gpus: 0, runMs: 20_000, crew: 'speech' });
  const large = await simulatedCluster.submit({
    pieces: TASKS,
    gpus: 0,
    runMs: 3000,
    crew: 'speech',
    waitsOn: [first],
  });
  const next = await simulatedCluster.submit({ runMs: 2000, waitsOn: [large] });
  simulatedCluster.crash(0);
  simulatedCluster.crash(1);
  recordAsNearlyDone(simulatedCluster, large);
  await simulatedCluster.advance(1);
  simulatedCluster.restart(0);
  simulatedCluster.restart(1);
  let endedTasks = 0;
  simulatedCluster.onDone = (piece) => void (endedTasks += Number(piece.job === large));
  await simulatedCluster.until(
    () => startsOf(simulatedCluster, large) > 0,
    60,
    'the remaining tasks start',
  );
  // The leader's write of the final record is executed, and the leader crashes before the answer.
  const { leader } = simulatedCluster;
  simulatedCluster.nodes[leader]!.storeOutcome = (_method, path, body) => {
    if (path !== '/txn' || !JSON.stringify(body).includes(`"write":"jobs/${large}"`))
      return 'serve';
    void simulatedCluster.clock.sleep(1).then(() => simulatedCluster.crash(leader));
    return 'lose answer';
  };
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(large) === 'done',
    40,
    'the array is stored as done',
  );
  assert.equal(endedTasks, REMAINING_TASKS);
  const storedAt = simulatedCluster.clock.now();
  await simulatedCluster.until(
    () => startsOf(simulatedCluster, next) > 0,
    20,
    'the next job starts',
  );
  assert.ok(simulatedCluster.clock.now() - storedAt < 15_000);
  simulatedCluster.restart(leader);
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(next) === 'done',
    20,
    'the next job is done',
  );
  const left = (): number =>
    [...simulatedCluster.store.keys.keys()].filter((key) => key.startsWith(`runs/${large}/`))
      .length;
  await simulatedCluster.until(() => left() === 0, 30, 'its run records are removed');
  assert.equal(startsOf(simulatedCluster, large), REMAINING_TASKS);
  await simulatedCluster.close();
});
