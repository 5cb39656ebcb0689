import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunLayout } from '../src/jobs/run-layout.js';
import type { Settings } from '../src/settings/deploy.js';
import { Nodes } from './fakes/nodes.js';
import { finish, NEXT, runKeys } from './fakes/upgrade.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Smaller than the settings of these nodes say, and announced to nobody. */
const SMALL = { valueBytes: 2048, txnOps: 4 };

const ids = (from: number, count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-${String(from + i).padStart(6, '0')}`);

test('limits that fall unannounced forget no job that is asked for together with others', async () => {
  const nodes = new Nodes(2);
  const all = ids(1, 60);
  for (const ref of all) await nodes.submit(0, ref);
  assert.equal((await nodes.submit(0, 'req-9', all)).status, 201);
  nodes.store.limits = SMALL;
  const phases = await Promise.all([...all, 'req-9'].map((ref) => nodes.phase(0, ref)));
  assert.deepEqual(new Set(phases), new Set(['pending']));
  // What was learned stays: the next questions are refused nothing.
  const { rejected } = nodes.store;
  assert.ok(rejected > 0 && rejected < 10, `${rejected} refusals`);
  await Promise.all(all.map((ref) => nodes.phase(0, ref)));
  assert.equal(nodes.store.rejected, rejected);
});

test('long lists are accepted under limits that nobody announced, and kept within them', async () => {
  for (const count of [100, 1500]) {
    const nodes = new Nodes(2);
    nodes.store.limits = SMALL;
    const all = ids(1, count);
    nodes.acceptAll(all);
    let answer = await nodes.submit(0, 'req-9', all);
    for (let i = 0; i < 5 && answer.status === 503; i++)
      answer = await nodes.submit(0, 'req-9', all);
    assert.ok([200, 201].includes(answer.status), String(answer.status));
    assert.equal(await nodes.phase(1, 'req-9'), 'pending');
    await nodes.abort(1, all[count - 1]!);
    assert.equal(await nodes.phase(0, 'req-9'), 'withdrawn');
  }
});

test('a job accepted under larger limits can be cancelled under smaller ones that nobody announced', async () => {
  const nodes = new Nodes(2);
  const all = ids(1, 150);
  nodes.acceptAll(all);
  assert.equal((await nodes.submit(0, 'req-9', all)).status, 201);
  nodes.store.limits = { valueBytes: 1024, txnOps: 4 };
  assert.ok(JSON.stringify(nodes.store.get('jobs/req-9')).length > 1024);
  assert.equal((await nodes.abort(1, 'req-9')).status, 200);
  for (const node of [0, 1]) assert.equal(await nodes.phase(node, 'req-9'), 'withdrawn');
});

test('what no form of a job fits is refused with a clear line, and others are taken after it', async () => {
  const nodes = new Nodes(1);
  nodes.store.limits = { valueBytes: 700, txnOps: 4 };
  const long = '\u20ac'.repeat(190);
  const refused = await nodes.submit(0, 'req-1', undefined, { lane: long, crate: long });
  assert.equal(refused.status, 422);
  assert.match(JSON.stringify(refused.body), /larger than the state service takes/);
  assert.equal((await nodes.submit(0, 'req-2')).status, 201);
});

test('a superseded record stays until ranged ones hold all that it says', () => {
  const layout = new RunLayout('req-1', 100, 50);
  for (const section of layout.sections) section.version = 3;
  layout.switchToRanged(30, () => false);
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
  const simulatedCluster = new SimulatedCluster(SIX, 3, 0, state);
  await simulatedCluster.start();
  const array = await simulatedCluster.submit({
    pieces: 250,
    gpus: 0,
    runMs: LONG,
    crew: 'speech',
  });
  await simulatedCluster.until(() => simulatedCluster.running(array) === 250, 40, 'all run');
  assert.equal(runKeys(simulatedCluster).length, 2, 'records as they are laid out for 16 KiB');
  Object.assign(state, { ...NEXT, next: null });
  simulatedCluster.store.limits = NEXT;
  await simulatedCluster.faults.restartAll(2);
  await simulatedCluster.pass(8);
  assert.equal(simulatedCluster.running(array), 250);
  // A record of the new layout must not overwrite one of the old that holds other tasks too.
  finish(simulatedCluster, array, (task) => task >= 20 && task < 40);
  await simulatedCluster.until(() => simulatedCluster.running(array) === 230, 5, 'some end');
  await simulatedCluster.pass(15);
  for (let i = 0; i < 2; i++) {
    await simulatedCluster.faults.endLeader(3);
    await simulatedCluster.until(() => simulatedCluster.leader >= 0, 8, 'takeover');
    await simulatedCluster.pass(5);
  }
  assert.equal(simulatedCluster.starts.length, 250, 'nothing was started again');
  finish(simulatedCluster, array);
  await simulatedCluster.until(() => simulatedCluster.stored(array) === 'done', 30, 'done');
  await simulatedCluster.until(
    () => runKeys(simulatedCluster).length === 0,
    30,
    'its records are gone',
  );
  await simulatedCluster.close();
});

test('a restart after which nothing is announced: all work goes on under limits met by refusals alone', async () => {
  const state: Partial<Settings['state']> = { next: NEXT };
  const simulatedCluster = new SimulatedCluster(SIX, 3, 0, state);
  await simulatedCluster.start();
  const before = await simulatedCluster.submit({
    pieces: 150,
    gpus: 0,
    runMs: 60_000,
    crew: 'speech',
  });
  await simulatedCluster.until(() => simulatedCluster.running(before) === 150, 40, 'all run');
  simulatedCluster.store.limits = NEXT;
  await simulatedCluster.pass(5);
  state.next = null;
  await simulatedCluster.faults.restartAll(2);
  await simulatedCluster.pass(8);
  void simulatedCluster.keepAsking();
  const array = await simulatedCluster.accept({
    pieces: 100,
    gpus: 0,
    runMs: 8000,
    crew: 'speech',
  });
  const gang = await simulatedCluster.accept({
    shape: 'gang',
    pieces: 4,
    gpus: 2,
    runMs: 8000,
    waitsOn: [array],
  });
  const last = await simulatedCluster.accept({
    pieces: 60,
    gpus: 0,
    runMs: 4000,
    crew: 'speech',
    waitsOn: [gang],
  });
  const other = await simulatedCluster.accept({ pieces: 70, gpus: 0, runMs: LONG, crew: 'speech' });
  const never = await simulatedCluster.accept({ waitsOn: [other] });
  const many = [];
  for (let i = 0; i < 25; i++)
    many.push(simulatedCluster.accepting({ gpus: 0, runMs: 2000, crew: 'speech' }));
  await simulatedCluster.pass(10);
  assert.equal(await simulatedCluster.cancel(other), 'withdrawn');
  await simulatedCluster.until(
    () => simulatedCluster.stored(last) === 'done',
    150,
    'the pipeline ends',
  );
  await simulatedCluster.settle();
  assert.equal(simulatedCluster.stored(before), 'done');
  for (const node of [0, 1, 2])
    assert.equal(await simulatedCluster.phase(never, node), 'withdrawn');
  await simulatedCluster.close();
});
