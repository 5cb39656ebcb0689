import assert from 'node:assert/strict';
import { test } from 'node:test';
import { tasksPerRecord } from '../src/jobs/records.js';
import { settings, SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const LONG = 400_000;

const startsOf = (cluster: SimulatedCluster, ref: string): number =>
  cluster.starts.filter((name) => name.startsWith(`${ref}/`)).length;

test('a chain of twenty runs in order while leaders end at every third step', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3, 1);
  await simulatedCluster.start();
  void simulatedCluster.keepAsking(3000);
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
    await simulatedCluster.faults.endLeader(2);
  }
  await simulatedCluster.until(
    () => simulatedCluster.stored(chain[19]!) === 'done',
    60,
    'the last is done',
  );
  const order = [...new Set(simulatedCluster.starts.map((name) => name.split('/')[0]))];
  assert.deepEqual(order, chain, 'each began after the one before');
  await simulatedCluster.settle();
  await simulatedCluster.close();
});

test('a diamond waits for its branch in a team at its limit, and takes nothing meanwhile', async () => {
  const simulatedCluster = new SimulatedCluster(
    [...FOUR, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }],
    2,
  );
  await simulatedCluster.start();
  const filler = await simulatedCluster.submit({ pieces: 32, runMs: LONG });
  await simulatedCluster.until(
    () => simulatedCluster.running(filler) === 32,
    20,
    'one team is at its limit',
  );
  const top = await simulatedCluster.submit({ runMs: 2000, crew: 'speech' });
  const held = await simulatedCluster.submit({ runMs: 2000, waitsOn: [top] });
  const free = await simulatedCluster.submit({ runMs: 2000, crew: 'speech', waitsOn: [top] }, 1);
  const join = await simulatedCluster.submit({
    pieces: 4,
    runMs: 2000,
    crew: 'speech',
    waitsOn: [held, free],
  });
  const beside = await simulatedCluster.submit({ pieces: 16, runMs: LONG, crew: 'speech' });
  await simulatedCluster.until(
    () => simulatedCluster.stored(free) === 'done',
    40,
    'the free branch is done',
  );
  await simulatedCluster.faults.endLeader(2);
  await simulatedCluster.pass(15);
  assert.equal(simulatedCluster.running(beside), 16, 'what waits takes nothing of its team');
  assert.equal(startsOf(simulatedCluster, held) + startsOf(simulatedCluster, join), 0);
  for (const node of [0, 1]) assert.equal(await simulatedCluster.phase(join, node), 'pending');
  assert.equal(await simulatedCluster.cancel(filler), 'withdrawn');
  await simulatedCluster.until(
    () => simulatedCluster.stored(join) === 'done',
    40,
    'the diamond ends',
  );
  await simulatedCluster.close();
});

test('one branch of a diamond is cancelled: its join goes with it, the other branch and the top go on', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3, 2);
  await simulatedCluster.start();
  void simulatedCluster.keepAsking(2000);
  const wish = { runMs: 8000, crew: 'speech' };
  const top = await simulatedCluster.accept(wish);
  const left = await simulatedCluster.accept({ ...wish, waitsOn: [top] });
  const right = await simulatedCluster.accept({ ...wish, waitsOn: [top] });
  const join = await simulatedCluster.accept({ ...wish, waitsOn: [left, right] });
  const after = await simulatedCluster.accept({ ...wish, waitsOn: [join] });
  assert.equal(await simulatedCluster.cancel(left), 'withdrawn');
  for (const node of [0, 1, 2]) {
    for (const ref of [join, after])
      assert.equal(await simulatedCluster.phase(ref, node), 'withdrawn');
    for (const ref of [top, right])
      assert.notEqual(await simulatedCluster.phase(ref, node), 'withdrawn');
  }
  await simulatedCluster.settle();
  assert.deepEqual(
    [simulatedCluster.stored(top), simulatedCluster.stored(right)],
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

test('a job that needs two thousand waits for the last of them, through changes of leader', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3, 3);
  const before = Array.from({ length: 1960 }, (_, i) => `req-3${String(i).padStart(5, '0')}`);
  for (const ref of before) simulatedCluster.doneBefore(ref);
  await simulatedCluster.start();
  const open: string[] = [];
  for (let i = 0; i < 40; i++) {
    const runMs = i === 7 ? 60_000 : 3000;
    open.push(await simulatedCluster.accept({ gpus: 0, runMs, fetchMs: 300, crew: 'speech' }));
  }
  const all = [...before.slice(0, 900), ...open, ...before.slice(900)];
  const join = await simulatedCluster.accept({ runMs: 2000, waitsOn: all });
  const next = await simulatedCluster.accept({ runMs: 2000, waitsOn: [join] });
  for (const node of [0, 1, 2]) assert.equal(await simulatedCluster.phase(join, node), 'pending');
  await simulatedCluster.until(
    () => open.filter((ref) => simulatedCluster.stored(ref) === 'done').length === 39,
    60,
    '39 done',
  );
  await simulatedCluster.faults.endLeader(2);
  await simulatedCluster.pass(10);
  assert.equal(startsOf(simulatedCluster, join), 0);
  for (const node of [0, 1, 2]) assert.equal(await simulatedCluster.phase(next, node), 'pending');
  await simulatedCluster.until(
    () => simulatedCluster.stored(next) === 'done',
    60,
    'all go on after the last',
  );
  await simulatedCluster.settle();
  const pieces = [...simulatedCluster.store.keys.keys()].filter((key) => key.startsWith('needs/'));
  assert.deepEqual(pieces, []);
  await simulatedCluster.close();
});

const TASKS = 25_000;
const LEFT = 12;

/** What an earlier leader recorded of an array of which all but the last tasks are done. */
function recordAsNearlyDone(cluster: SimulatedCluster, ref: string): void {
  const perRecord = tasksPerRecord(settings().state.valueBytes);
  for (let i = 0; i * perRecord < TASKS; i++) {
    const last = Math.min(TASKS - LEFT, (i + 1) * perRecord) - 1;
    const done = last >= i * perRecord ? [[i * perRecord, last]] : [];
    cluster.store.write(`runs/${ref}/${i}`, { w: 'w', attempt: 7, done, placed: [] });
  }
  for (let task = 0; task < TASKS - LEFT; task++) cluster.checker.completed(ref, task);
}

test('the last task of 25,000 decides when the next job starts, also as the leader ends in its end', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 2, 1);
  await simulatedCluster.start();
  // It waits itself until its records are laid.
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
  await simulatedCluster.pass(1);
  simulatedCluster.restart(0);
  simulatedCluster.restart(1);
  let ended = 0;
  simulatedCluster.onDone = (piece) => void (ended += Number(piece.job === large));
  await simulatedCluster.until(() => startsOf(simulatedCluster, large) > 0, 60, 'the rest starts');
  // The leader's record of the end is carried out, and it ends before it hears of that.
  const { leader } = simulatedCluster;
  simulatedCluster.nodes[leader]!.fate = (_m, path, body) => {
    if (path !== '/txn' || !JSON.stringify(body).includes(`"write":"jobs/${large}"`))
      return 'serve';
    void simulatedCluster.clock.sleep(1).then(() => simulatedCluster.crash(leader));
    return 'lose answer';
  };
  await simulatedCluster.until(
    () => simulatedCluster.stored(large) === 'done',
    40,
    'its end is stored',
  );
  assert.equal(ended, LEFT);
  const storedAt = simulatedCluster.clock.now();
  await simulatedCluster.until(() => startsOf(simulatedCluster, next) > 0, 20, 'the next starts');
  assert.ok(simulatedCluster.clock.now() - storedAt < 15_000);
  simulatedCluster.restart(leader);
  await simulatedCluster.until(() => simulatedCluster.stored(next) === 'done', 20, 'and ends');
  const left = (): number =>
    [...simulatedCluster.store.keys.keys()].filter((key) => key.startsWith(`runs/${large}/`))
      .length;
  await simulatedCluster.until(() => left() === 0, 30, 'no record is left');
  assert.equal(startsOf(simulatedCluster, large), LEFT);
  await simulatedCluster.close();
});
