import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunLayout } from '../src/jobs/run-layout.js';
import type { Settings } from '../src/settings/deploy.js';
import { Nodes } from './fakes/nodes.js';
import { exitTasks, ANNOUNCED_LIMITS, runKeys } from './fakes/upgrade.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Limits below those in the settings of the nodes, and not announced. */
const SMALL_LIMITS = { valueBytes: 2048, txnOps: 4 };

const jobIds = (from: number, count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-${String(from + i).padStart(6, '0')}`);

test('queries about many jobs at once are answered after limits fell unannounced', async () => {
  const nodes = new Nodes(2);
  const refs = jobIds(1, 60);
  for (const ref of refs) await nodes.submit(0, ref);
  assert.equal((await nodes.submit(0, 'req-9', refs)).status, 201);
  nodes.store.limits = SMALL_LIMITS;
  const phases = await Promise.all([...refs, 'req-9'].map((ref) => nodes.phase(0, ref)));
  assert.deepEqual(new Set(phases), new Set(['pending']));
  // The lower limits are remembered: no request of the next queries is rejected.
  const { rejected } = nodes.store;
  assert.ok(rejected > 0 && rejected < 10, `${rejected} rejections`);
  await Promise.all(refs.map((ref) => nodes.phase(0, ref)));
  assert.equal(nodes.store.rejected, rejected);
});

test('long dependency lists are accepted and stored within limits that were not announced', async () => {
  for (const count of [100, 1500]) {
    const nodes = new Nodes(2);
    nodes.store.limits = SMALL_LIMITS;
    const refs = jobIds(1, count);
    nodes.acceptAll(refs);
    let answer = await nodes.submit(0, 'req-9', refs);
    for (let i = 0; i < 5 && answer.status === 503; i++)
      answer = await nodes.submit(0, 'req-9', refs);
    assert.ok([200, 201].includes(answer.status), String(answer.status));
    assert.equal(await nodes.phase(1, 'req-9'), 'pending');
    await nodes.abort(1, refs[count - 1]!);
    assert.equal(await nodes.phase(0, 'req-9'), 'withdrawn');
  }
});

test('a job accepted under larger limits can be cancelled under smaller, unannounced limits', async () => {
  const nodes = new Nodes(2);
  const refs = jobIds(1, 150);
  nodes.acceptAll(refs);
  assert.equal((await nodes.submit(0, 'req-9', refs)).status, 201);
  nodes.store.limits = { valueBytes: 1024, txnOps: 4 };
  assert.ok(JSON.stringify(nodes.store.get('jobs/req-9')).length > 1024);
  assert.equal((await nodes.abort(1, 'req-9')).status, 200);
  for (const node of [0, 1]) assert.equal(await nodes.phase(node, 'req-9'), 'withdrawn');
});

test('a job that does not fit into a record is rejected with a clear error, and later jobs are accepted', async () => {
  const nodes = new Nodes(1);
  nodes.store.limits = { valueBytes: 700, txnOps: 4 };
  const longText = '\u20ac'.repeat(190);
  const refused = await nodes.submit(0, 'req-1', undefined, { lane: longText, crate: longText });
  assert.equal(refused.status, 422);
  assert.match(JSON.stringify(refused.body), /larger than the state service takes/);
  assert.equal((await nodes.submit(0, 'req-2')).status, 201);
});

test('a superseded record is kept until ranged records cover all of its tasks', () => {
  const layout = new RunLayout('req-1', 100, 50);
  for (const index of [0, 1]) layout.indexedSection(index).version = 3;
  layout.switchToRanged(30, () => false);
  const [first, second, third] = layout.sections;
  const removable = (...written: typeof layout.sections): number[] =>
    layout.removable(new Set(written)).map((record) => record.from);
  assert.deepEqual(removable(first!), [], 'tasks 30 to 49 are only in the old record');
  assert.deepEqual(removable(first!, second!), [0]);
  assert.deepEqual(removable(second!, third!), []);
});

const SIX_MACHINES = ['a', 'b', 'a', 'b', 'a', 'b'].map((yard) => ({ yard }));
const LONG_RUN_MS = 400_000;

test('all controllers restart at once with smaller limits while records exceed these', async () => {
  const state: Partial<Settings['state']> = {};
  const simulatedCluster = new SimulatedCluster(SIX_MACHINES, 3, 0, state);
  await simulatedCluster.start();
  const array = await simulatedCluster.submit({
    pieces: 250,
    gpus: 0,
    runMs: LONG_RUN_MS,
    crew: 'speech',
  });
  await simulatedCluster.until(() => simulatedCluster.running(array) === 250, 40, 'all run');
  assert.equal(runKeys(simulatedCluster).length, 2, 'records are laid out for 16 KiB');
  Object.assign(state, { ...ANNOUNCED_LIMITS, next: null });
  simulatedCluster.store.limits = ANNOUNCED_LIMITS;
  await simulatedCluster.faults.restartAll(2);
  await simulatedCluster.advance(8);
  assert.equal(simulatedCluster.running(array), 250);
  // A record of the new layout must not replace an old one that also holds other tasks.
  exitTasks(simulatedCluster, array, (task) => task >= 20 && task < 40);
  await simulatedCluster.until(() => simulatedCluster.running(array) === 230, 5, 'some tasks exit');
  await simulatedCluster.advance(15);
  for (let i = 0; i < 2; i++) {
    await simulatedCluster.faults.restartLeader(3);
    await simulatedCluster.until(() => simulatedCluster.leader >= 0, 8, 'takeover');
    await simulatedCluster.advance(5);
  }
  assert.equal(simulatedCluster.starts.length, 250, 'nothing was started again');
  exitTasks(simulatedCluster, array);
  await simulatedCluster.until(() => simulatedCluster.storedPhase(array) === 'done', 30, 'done');
  await simulatedCluster.until(
    () => runKeys(simulatedCluster).length === 0,
    30,
    'its run records are removed',
  );
  await simulatedCluster.close();
});

test('after a restart without announced limits, work continues under limits learned from rejections', async () => {
  const state: Partial<Settings['state']> = { next: ANNOUNCED_LIMITS };
  const simulatedCluster = new SimulatedCluster(SIX_MACHINES, 3, 0, state);
  await simulatedCluster.start();
  const earlierArray = await simulatedCluster.submit({
    pieces: 150,
    gpus: 0,
    runMs: 60_000,
    crew: 'speech',
  });
  await simulatedCluster.until(() => simulatedCluster.running(earlierArray) === 150, 40, 'all run');
  simulatedCluster.store.limits = ANNOUNCED_LIMITS;
  await simulatedCluster.advance(5);
  state.next = null;
  await simulatedCluster.faults.restartAll(2);
  await simulatedCluster.advance(8);
  void simulatedCluster.startQueries();
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
  const lastJob = await simulatedCluster.accept({
    pieces: 60,
    gpus: 0,
    runMs: 4000,
    crew: 'speech',
    waitsOn: [gang],
  });
  const other = await simulatedCluster.accept({
    pieces: 70,
    gpus: 0,
    runMs: LONG_RUN_MS,
    crew: 'speech',
  });
  const cancelledDependent = await simulatedCluster.accept({ waitsOn: [other] });
  const concurrentJobs = [];
  for (let i = 0; i < 25; i++)
    concurrentJobs.push(
      simulatedCluster.acceptInBackground({ gpus: 0, runMs: 2000, crew: 'speech' }),
    );
  await simulatedCluster.advance(10);
  assert.equal(await simulatedCluster.cancel(other), 'withdrawn');
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(lastJob) === 'done',
    150,
    'the pipeline is done',
  );
  await simulatedCluster.waitUntilSettled();
  assert.equal(simulatedCluster.storedPhase(earlierArray), 'done');
  for (const node of [0, 1, 2])
    assert.equal(await simulatedCluster.phase(cancelledDependent, node), 'withdrawn');
  await simulatedCluster.close();
});
