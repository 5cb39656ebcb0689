import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunLayout } from '../src/jobs/run-layout.js';
import type { Settings } from '../src/settings/deploy.js';
import { Nodes } from './fakes/nodes.js';
import { finish, NEXT, runKeys } from './fakes/upgrade.js';
import { World } from './fakes/world.js';

/** Smaller than the settings of these nodes say, and announced to nobody. */
const SMALL = { valueBytes: 2048, txnOps: 4 };

const ids = (from: number, count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-${String(from + i).padStart(6, '0')}`);

test('limits that fall unannounced forget no job that is asked for together with others', async () => {
  const n = new Nodes(2);
  const all = ids(1, 60);
  for (const ref of all) await n.submit(0, ref);
  assert.equal((await n.submit(0, 'req-9', all)).status, 201);
  n.store.limits = SMALL;
  const phases = await Promise.all([...all, 'req-9'].map((ref) => n.phase(0, ref)));
  assert.deepEqual(new Set(phases), new Set(['pending']));
  // What was learned stays: the next questions are refused nothing.
  const { rejected } = n.store;
  assert.ok(rejected > 0 && rejected < 10, `${rejected} refusals`);
  await Promise.all(all.map((ref) => n.phase(0, ref)));
  assert.equal(n.store.rejected, rejected);
});

test('long lists are accepted under limits that nobody announced, and kept within them', async () => {
  for (const count of [100, 1500]) {
    const n = new Nodes(2);
    n.store.limits = SMALL;
    const all = ids(1, count);
    n.acceptAll(all);
    let answer = await n.submit(0, 'req-9', all);
    for (let i = 0; i < 5 && answer.status === 503; i++) answer = await n.submit(0, 'req-9', all);
    assert.ok([200, 201].includes(answer.status), String(answer.status));
    assert.equal(await n.phase(1, 'req-9'), 'pending');
    await n.abort(1, all[count - 1]!);
    assert.equal(await n.phase(0, 'req-9'), 'withdrawn');
  }
});

test('a job accepted under larger limits can be cancelled under smaller ones that nobody announced', async () => {
  const n = new Nodes(2);
  const all = ids(1, 150);
  n.acceptAll(all);
  assert.equal((await n.submit(0, 'req-9', all)).status, 201);
  n.store.limits = { valueBytes: 1024, txnOps: 4 };
  assert.ok(JSON.stringify(n.store.get('jobs/req-9')).length > 1024);
  assert.equal((await n.abort(1, 'req-9')).status, 200);
  for (const node of [0, 1]) assert.equal(await n.phase(node, 'req-9'), 'withdrawn');
});

test('what no form of a job fits is refused with a clear line, and others are taken after it', async () => {
  const n = new Nodes(1);
  n.store.limits = { valueBytes: 700, txnOps: 4 };
  const long = '\u20ac'.repeat(190);
  const refused = await n.submit(0, 'req-1', undefined, { lane: long, crate: long });
  assert.equal(refused.status, 422);
  assert.match(JSON.stringify(refused.body), /larger than the state service takes/);
  assert.equal((await n.submit(0, 'req-2')).status, 201);
});

test('a superseded record stays until ranged ones hold all that it says', () => {
  const layout = new RunLayout('req-1', 100, 50);
  for (const section of layout.sections) section.version = 3;
  layout.toRanged(30, () => false);
  const [first, second, third] = layout.sections;
  const removable = (...written: typeof layout.sections): number[] =>
    layout.removable(new Set(written)).map((record) => record.from);
  assert.deepEqual(removable(first!), [], 'tasks 30 to 49 are in the old record alone');
  assert.deepEqual(removable(first!, second!), [0]);
  assert.deepEqual(removable(second!, third!), []);
});

const SIX = ['a', 'b', 'a', 'b', 'a', 'b'].map((yard) => ({ yard }));
const LONG = 400_000;

test('without a roll: all come back to smaller limits while records of larger ones are left', async () => {
  const state: Partial<Settings['state']> = {};
  const w = new World(SIX, 3, 0, state);
  await w.start();
  const array = await w.submit({ pieces: 250, gpus: 0, runMs: LONG, crew: 'speech' });
  await w.until(() => w.running(array) === 250, 40, 'all run');
  assert.equal(runKeys(w).length, 2, 'records as they are laid out for 16 KiB');
  Object.assign(state, { ...NEXT, next: null });
  w.store.limits = NEXT;
  await w.trouble.restartAll(2);
  await w.pass(8);
  assert.equal(w.running(array), 250);
  // A record of the new layout must not overwrite one of the old that holds other tasks too.
  finish(w, array, (task) => task >= 20 && task < 40);
  await w.until(() => w.running(array) === 230, 5, 'some end');
  await w.pass(15);
  for (let i = 0; i < 2; i++) {
    await w.trouble.endLeader(3);
    await w.until(() => w.leader >= 0, 8, 'takeover');
    await w.pass(5);
  }
  assert.equal(w.starts.length, 250, 'nothing was started again');
  finish(w, array);
  await w.until(() => w.stored(array) === 'done', 30, 'done');
  await w.until(() => runKeys(w).length === 0, 30, 'its records are gone');
  await w.close();
});

test('a restart after which nothing is announced: all work goes on under limits met by refusals alone', async () => {
  const state: Partial<Settings['state']> = { next: NEXT };
  const w = new World(SIX, 3, 0, state);
  await w.start();
  const before = await w.submit({ pieces: 150, gpus: 0, runMs: 60_000, crew: 'speech' });
  await w.until(() => w.running(before) === 150, 40, 'all run');
  w.store.limits = NEXT;
  await w.pass(5);
  state.next = null;
  await w.trouble.restartAll(2);
  await w.pass(8);
  void w.keepAsking();
  const array = await w.accept({ pieces: 100, gpus: 0, runMs: 8000, crew: 'speech' });
  const gang = await w.accept({ shape: 'gang', pieces: 4, gpus: 2, runMs: 8000, waitsOn: [array] });
  const last = await w.accept({
    pieces: 60,
    gpus: 0,
    runMs: 4000,
    crew: 'speech',
    waitsOn: [gang],
  });
  const other = await w.accept({ pieces: 70, gpus: 0, runMs: LONG, crew: 'speech' });
  const never = await w.accept({ waitsOn: [other] });
  const many = [];
  for (let i = 0; i < 25; i++) many.push(w.accepting({ gpus: 0, runMs: 2000, crew: 'speech' }));
  await w.pass(10);
  assert.equal(await w.cancel(other), 'withdrawn');
  await w.until(() => w.stored(last) === 'done', 150, 'the pipeline ends');
  await w.settle();
  assert.equal(w.stored(before), 'done');
  for (const node of [0, 1, 2]) assert.equal(await w.phase(never, node), 'withdrawn');
  await w.close();
});
