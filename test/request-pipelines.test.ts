import assert from 'node:assert/strict';
import { test } from 'node:test';
import { tasksPerRecord } from '../src/jobs/records.js';
import { settings, World } from './fakes/world.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const LONG = 400_000;

const startsOf = (w: World, ref: string): number =>
  w.starts.filter((name) => name.startsWith(`${ref}/`)).length;

test('a chain of twenty runs in order while leaders end at every third step', async () => {
  const w = new World(FOUR, 3, 1);
  await w.start();
  void w.keepAsking(3000);
  const chain: string[] = [];
  for (let i = 0; i < 20; i++) {
    const waitsOn = chain.slice(-1);
    const shape = i % 4 === 3 ? 'gang' : 'array';
    chain.push(await w.accept({ shape, pieces: 2, runMs: 1000, fetchMs: 300, waitsOn }));
  }
  w.trouble.share.reportsForNext = 0.3;
  w.trouble.share.lateReports = 0.2;
  for (let step = 2; step < 20; step += 3) {
    await w.until(() => startsOf(w, chain[step]!) > 0, 60, `step ${step} starts`);
    await w.trouble.endLeader(2);
  }
  await w.until(() => w.stored(chain[19]!) === 'done', 60, 'the last is done');
  const order = [...new Set(w.starts.map((name) => name.split('/')[0]))];
  assert.deepEqual(order, chain, 'each began after the one before');
  await w.settle();
  await w.close();
});

test('a diamond waits for its branch in a team at its limit, and takes nothing meanwhile', async () => {
  const w = new World([...FOUR, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }], 2);
  await w.start();
  const filler = await w.submit({ pieces: 32, runMs: LONG });
  await w.until(() => w.running(filler) === 32, 20, 'one team is at its limit');
  const top = await w.submit({ runMs: 2000, crew: 'speech' });
  const held = await w.submit({ runMs: 2000, waitsOn: [top] });
  const free = await w.submit({ runMs: 2000, crew: 'speech', waitsOn: [top] }, 1);
  const join = await w.submit({ pieces: 4, runMs: 2000, crew: 'speech', waitsOn: [held, free] });
  const beside = await w.submit({ pieces: 16, runMs: LONG, crew: 'speech' });
  await w.until(() => w.stored(free) === 'done', 40, 'the free branch is done');
  await w.trouble.endLeader(2);
  await w.pass(15);
  assert.equal(w.running(beside), 16, 'what waits takes nothing of its team');
  assert.equal(startsOf(w, held) + startsOf(w, join), 0);
  for (const node of [0, 1]) assert.equal(await w.phase(join, node), 'pending');
  assert.equal(await w.cancel(filler), 'withdrawn');
  await w.until(() => w.stored(join) === 'done', 40, 'the diamond ends');
  await w.close();
});

test('one branch of a diamond is cancelled: its join goes with it, the other branch and the top go on', async () => {
  const w = new World(FOUR, 3, 2);
  await w.start();
  void w.keepAsking(2000);
  const wish = { runMs: 8000, crew: 'speech' };
  const top = await w.accept(wish);
  const left = await w.accept({ ...wish, waitsOn: [top] });
  const right = await w.accept({ ...wish, waitsOn: [top] });
  const join = await w.accept({ ...wish, waitsOn: [left, right] });
  const after = await w.accept({ ...wish, waitsOn: [join] });
  assert.equal(await w.cancel(left), 'withdrawn');
  for (const node of [0, 1, 2]) {
    for (const ref of [join, after]) assert.equal(await w.phase(ref, node), 'withdrawn');
    for (const ref of [top, right]) assert.notEqual(await w.phase(ref, node), 'withdrawn');
  }
  await w.settle();
  assert.deepEqual([w.stored(top), w.stored(right)], ['done', 'done']);
  assert.deepEqual([startsOf(w, left), startsOf(w, join), startsOf(w, after)], [0, 0, 0]);
  await w.close();
});

test('a job that needs two thousand waits for the last of them, through changes of leader', async () => {
  const w = new World(FOUR, 3, 3);
  const before = Array.from({ length: 1960 }, (_, i) => `req-3${String(i).padStart(5, '0')}`);
  for (const ref of before) w.doneBefore(ref);
  await w.start();
  const open: string[] = [];
  for (let i = 0; i < 40; i++) {
    const runMs = i === 7 ? 60_000 : 3000;
    open.push(await w.accept({ gpus: 0, runMs, fetchMs: 300, crew: 'speech' }));
  }
  const all = [...before.slice(0, 900), ...open, ...before.slice(900)];
  const join = await w.accept({ runMs: 2000, waitsOn: all });
  const next = await w.accept({ runMs: 2000, waitsOn: [join] });
  for (const node of [0, 1, 2]) assert.equal(await w.phase(join, node), 'pending');
  await w.until(() => open.filter((ref) => w.stored(ref) === 'done').length === 39, 60, '39 done');
  await w.trouble.endLeader(2);
  await w.pass(10);
  assert.equal(startsOf(w, join), 0);
  for (const node of [0, 1, 2]) assert.equal(await w.phase(next, node), 'pending');
  await w.until(() => w.stored(next) === 'done', 60, 'all go on after the last');
  await w.settle();
  const pieces = [...w.store.keys.keys()].filter((key) => key.startsWith('needs/'));
  assert.deepEqual(pieces, []);
  await w.close();
});

const TASKS = 25_000;
const LEFT = 12;

/** What an earlier leader recorded of an array of which all but the last tasks are done. */
function recordAsNearlyDone(w: World, ref: string): void {
  const perRecord = tasksPerRecord(settings().state.valueBytes);
  for (let i = 0; i * perRecord < TASKS; i++) {
    const last = Math.min(TASKS - LEFT, (i + 1) * perRecord) - 1;
    const done = last >= i * perRecord ? [[i * perRecord, last]] : [];
    w.store.write(`runs/${ref}/${i}`, { w: 'w', attempt: 7, done, placed: [] });
  }
  for (let task = 0; task < TASKS - LEFT; task++) w.checker.completed(ref, task);
}

test('the last task of 25,000 decides when the next job starts, also as the leader ends in its end', async () => {
  const w = new World(FOUR, 2, 1);
  await w.start();
  // It waits itself until its records are laid.
  const first = await w.submit({ gpus: 0, runMs: 20_000, crew: 'speech' });
  const large = await w.submit({
    pieces: TASKS,
    gpus: 0,
    runMs: 3000,
    crew: 'speech',
    waitsOn: [first],
  });
  const next = await w.submit({ runMs: 2000, waitsOn: [large] });
  w.crash(0);
  w.crash(1);
  recordAsNearlyDone(w, large);
  await w.pass(1);
  w.restart(0);
  w.restart(1);
  let ended = 0;
  w.onDone = (piece) => void (ended += Number(piece.job === large));
  await w.until(() => startsOf(w, large) > 0, 60, 'the rest starts');
  // The leader's record of the end is carried out, and it ends before it hears of that.
  const { leader } = w;
  w.nodes[leader]!.fate = (_m, path, body) => {
    if (path !== '/txn' || !JSON.stringify(body).includes(`"write":"jobs/${large}"`))
      return 'serve';
    void w.clock.sleep(1).then(() => w.crash(leader));
    return 'lose answer';
  };
  await w.until(() => w.stored(large) === 'done', 40, 'its end is stored');
  assert.equal(ended, LEFT);
  const storedAt = w.clock.now();
  await w.until(() => startsOf(w, next) > 0, 20, 'the next starts');
  assert.ok(w.clock.now() - storedAt < 15_000);
  w.restart(leader);
  await w.until(() => w.stored(next) === 'done', 20, 'and ends');
  const left = (): number =>
    [...w.store.keys.keys()].filter((key) => key.startsWith(`runs/${large}/`)).length;
  await w.until(() => left() === 0, 30, 'no record is left');
  assert.equal(startsOf(w, large), LEFT);
  await w.close();
});
