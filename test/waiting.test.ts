import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LeaderParts } from '../src/control/leader-parts.js';
import { withinGuarantee } from '../src/scheduler/job-order.js';
import type { Job } from '../src/jobs/tracked-job.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

const startsOf = (cluster: SimulatedCluster, ref: string): number =>
  cluster.starts.filter((name) => name.startsWith(`${ref}/`)).length;

function leaderOf(cluster: SimulatedCluster): LeaderParts {
  return (
    cluster.nodes[cluster.leader]!.controller as unknown as { leader: { parts: LeaderParts } }
  ).leader.parts;
}

/** What the leader holds of a job. */
const held = (cluster: SimulatedCluster, ref: string): Job | undefined =>
  leaderOf(cluster).jobs.get(ref);

async function abort(cluster: SimulatedCluster, node: number, ref: string): Promise<string> {
  const answer = await cluster.ask(cluster.user(node).abort(ref));
  assert.equal(answer.status, 200);
  return (answer.body as { phase: string }).phase;
}

interface Chain {
  extract: string;
  dedupe: string;
  rebuild: string;
}

async function submitChain(cluster: SimulatedCluster, runMs = 5000): Promise<Chain> {
  const extract = await cluster.submit({ pieces: 3, runMs });
  const dedupe = await cluster.submit({ pieces: 4, runMs, waitsOn: [extract] }, 1);
  const rebuild = await cluster.submit({ shape: 'gang', pieces: 2, runMs, waitsOn: [dedupe] });
  return { extract, dedupe, rebuild };
}

test('the jobs of a pipeline run one after the other', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitChain(simulatedCluster);
  await simulatedCluster.until(
    () => startsOf(simulatedCluster, extract) === 3,
    10,
    'the first starts',
  );
  assert.equal(await simulatedCluster.phase(dedupe), 'pending');
  await simulatedCluster.until(
    () => simulatedCluster.stored(rebuild) === 'done',
    60,
    'the last is done',
  );
  const order = simulatedCluster.starts.map((name) => name.split('/')[0]);
  assert.deepEqual(order, [...order].sort(), 'in the order of their submission');
  for (const ref of [extract, dedupe, rebuild])
    assert.equal(await simulatedCluster.phase(ref, 1), 'done');
  await simulatedCluster.close();
});

test('a job waits for all that it names, and starts once the last is done', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const short = await simulatedCluster.submit({ runMs: 3000 });
  const long = await simulatedCluster.submit({ runMs: 25_000 });
  const last = await simulatedCluster.submit({ runMs: 3000, waitsOn: [short, long] });
  await simulatedCluster.until(
    () => simulatedCluster.stored(short) === 'done',
    20,
    'the short one is done',
  );
  await simulatedCluster.pass(8);
  assert.equal(startsOf(simulatedCluster, last), 0);
  await simulatedCluster.until(() => simulatedCluster.stored(last) === 'done', 60, 'done');
  await simulatedCluster.close();
});

test('a pipeline goes on in order through changes of leader at every step', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitChain(simulatedCluster, 12_000);
  for (const step of [extract, dedupe, rebuild]) {
    await simulatedCluster.until(() => startsOf(simulatedCluster, step) > 0, 40, `${step} starts`);
    const old = simulatedCluster.leader;
    simulatedCluster.crash(old);
    await simulatedCluster.until(() => simulatedCluster.leader === 1 - old, 8, 'takeover');
    simulatedCluster.restart(old);
  }
  await simulatedCluster.until(
    () => simulatedCluster.stored(rebuild) === 'done',
    60,
    'the last is done',
  );
  assert.equal(simulatedCluster.starts.length, 9);
  await simulatedCluster.close();
});

test('all controllers crash while a job waits, and it still waits afterwards', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitChain(simulatedCluster, 20_000);
  await simulatedCluster.until(() => simulatedCluster.running(extract) === 3, 10, 'the first runs');
  simulatedCluster.crash(0);
  simulatedCluster.crash(1);
  await simulatedCluster.pass(2);
  simulatedCluster.restart(0);
  simulatedCluster.restart(1);
  await simulatedCluster.pass(8);
  assert.equal(startsOf(simulatedCluster, dedupe), 0);
  await simulatedCluster.until(
    () => simulatedCluster.stored(rebuild) === 'done',
    90,
    'the last is done',
  );
  await simulatedCluster.close();
});

test('a job does not start while the end of the one before is not in the store', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const { extract, dedupe } = await submitChain(simulatedCluster, 4000);
  await simulatedCluster.until(() => simulatedCluster.running(extract) === 3, 10, 'the first runs');
  const old = simulatedCluster.leader;
  // All its tasks end, but the record of that gets no answer and comes only after the leader's end.
  simulatedCluster.nodes[old]!.fate = (_m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes(`"write":"jobs/${extract}"`)
      ? 'apply late'
      : 'serve';
  await simulatedCluster.until(() => simulatedCluster.store.late.length > 0, 30, 'sent');
  await simulatedCluster.pass(2);
  assert.equal(startsOf(simulatedCluster, dedupe), 0);
  simulatedCluster.crash(old);
  await simulatedCluster.until(
    () => simulatedCluster.stored(extract) === 'done',
    25,
    'the next leader writes it',
  );
  for (const apply of simulatedCluster.store.late) assert.equal(apply().status, 409);
  await simulatedCluster.until(
    () => simulatedCluster.stored(dedupe) === 'done',
    40,
    'and the pipeline goes on',
  );
  await simulatedCluster.close();
});

test('while a job waits it takes no part of the limit, of the guarantee and of the gate', async () => {
  // Five machines: one is left for each task of the gang that may run.
  const simulatedCluster = new SimulatedCluster([...FOUR, { yard: 'a' }]);
  await simulatedCluster.start();
  // Longer than a machine takes to boot, or room would rightly be sought ahead.
  const first = await simulatedCluster.submit({ runMs: 300_000, crew: 'speech' });
  const waiting = await simulatedCluster.submit({
    pieces: 32,
    gpus: 1,
    runMs: 5000,
    waitsOn: [first],
  });
  const gang = await simulatedCluster.submit({
    shape: 'gang',
    pieces: 4,
    gpus: 8,
    waitsOn: [first],
  });
  const other = await simulatedCluster.submit({ pieces: 16, gpus: 1, runMs: 5000 });
  const otherGang = await simulatedCluster.submit({
    shape: 'gang',
    pieces: 2,
    gpus: 7,
    runMs: 5000,
  });
  await simulatedCluster.until(
    () => simulatedCluster.running(other) === 16,
    10,
    'another job has the whole guarantee',
  );
  await simulatedCluster.until(
    () => simulatedCluster.running(otherGang) === 2,
    25,
    'another gang passes the gate',
  );
  assert.equal(startsOf(simulatedCluster, waiting) + startsOf(simulatedCluster, gang), 0);
  const {
    jobs,
    teams,
    isGateClosed: isGateClosed,
  } = leaderOf(simulatedCluster).schedulingLoop.takeSnapshot(simulatedCluster.clock.now());
  assert.deepEqual(new Set(jobs.map((j) => j.id)), new Set([first, other, otherGang]));
  assert.ok(
    withinGuarantee(jobs, teams).has(other),
    'the earlier one that waits counts for nothing',
  );
  assert.equal(teams.get('vision')!.used.gpus, 30);
  assert.equal(isGateClosed, false);
  assert.equal(simulatedCluster.cloud.hosts.size, 5, 'no room is opened for what waits');
  await simulatedCluster.close();
});

test('a cancellation closes all that wait for the job, and none of them starts', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitChain(simulatedCluster, 30_000);
  await simulatedCluster.until(() => simulatedCluster.running(extract) === 3, 10, 'the first runs');
  assert.equal(await abort(simulatedCluster, 1, extract), 'withdrawn');
  for (const node of [0, 1]) {
    for (const ref of [dedupe, rebuild])
      assert.equal(await simulatedCluster.phase(ref, node), 'withdrawn');
  }
  await simulatedCluster.until(
    () => simulatedCluster.stored(rebuild) === 'cancelled',
    20,
    'records follow',
  );
  assert.equal(simulatedCluster.stored(dedupe), 'cancelled');
  await simulatedCluster.until(() => held(simulatedCluster, rebuild) === undefined, 20, 'closed');
  const late = await simulatedCluster.submit({ waitsOn: [rebuild] });
  assert.equal(await simulatedCluster.phase(late, 1), 'withdrawn');
  await simulatedCluster.until(
    () => simulatedCluster.stored(late) === 'cancelled',
    20,
    'its record follows too',
  );
  await simulatedCluster.pass(10);
  assert.equal(simulatedCluster.starts.length, 3);
  await simulatedCluster.close();
});

test('a cascade holds when the node that confirmed it ends at once, and the leader changes', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitChain(simulatedCluster, 30_000);
  await simulatedCluster.until(() => simulatedCluster.running(extract) === 3, 10, 'the first runs');
  const old = simulatedCluster.leader;
  const confirming = (old + 1) % 3;
  const left = (old + 2) % 3;
  // The leader hears of it neither from the node nor from the store.
  simulatedCluster.nodes[old]!.fate = (_m, path) =>
    path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve';
  simulatedCluster.wire.cut.add(simulatedCluster.nodes[old]!.name);
  await abort(simulatedCluster, confirming, extract);
  simulatedCluster.crash(confirming);
  simulatedCluster.crash(old);
  for (const ref of [dedupe, rebuild])
    assert.equal(await simulatedCluster.phase(ref, left), 'withdrawn');
  await simulatedCluster.until(() => simulatedCluster.leader === left, 10, 'takeover');
  await simulatedCluster.until(
    () => simulatedCluster.on(extract).length === 0,
    15,
    'its tasks are gone',
  );
  await simulatedCluster.until(
    () => simulatedCluster.stored(rebuild) === 'cancelled',
    10,
    'records follow',
  );
  assert.equal(simulatedCluster.starts.length, 3);
  await simulatedCluster.close();
});

test('a cascade holds when the store goes down right after the answer', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitChain(simulatedCluster, 30_000);
  await simulatedCluster.until(() => simulatedCluster.running(extract) === 3, 10, 'the first runs');
  assert.equal(await abort(simulatedCluster, 0, extract), 'withdrawn');
  simulatedCluster.store.down = true;
  for (const node of [0, 1]) {
    for (const ref of [dedupe, rebuild]) {
      assert.ok(['withdrawn', '503'].includes(await simulatedCluster.phase(ref, node)));
    }
  }
  await simulatedCluster.pass(20);
  simulatedCluster.store.restore();
  await simulatedCluster.pass(10);
  for (const node of [0, 1]) {
    for (const ref of [dedupe, rebuild])
      assert.equal(await simulatedCluster.phase(ref, node), 'withdrawn');
  }
  assert.equal(startsOf(simulatedCluster, dedupe) + startsOf(simulatedCluster, rebuild), 0);
  await simulatedCluster.close();
});

test('a cancellation that meets the last end has one outcome for the whole pipeline', async () => {
  for (const delay of [0, 0.25, 0.5, 0.75, 1, 1.25]) {
    const simulatedCluster = new SimulatedCluster(FOUR);
    await simulatedCluster.start();
    const first = await simulatedCluster.submit({ runMs: 4000 });
    const next = await simulatedCluster.submit({ runMs: 2000, waitsOn: [first] }, 1);
    await simulatedCluster.until(() => simulatedCluster.running(first) === 1, 10, 'runs');
    await simulatedCluster.pass(3.5 + delay);
    const told = await abort(simulatedCluster, 1, first);
    await simulatedCluster.pass(25);
    const expected = told === 'done' ? 'done' : 'withdrawn';
    for (const node of [0, 1]) assert.equal(await simulatedCluster.phase(next, node), expected);
    assert.equal(startsOf(simulatedCluster, next), told === 'done' ? 1 : 0);
    await simulatedCluster.close();
  }
});

test('a job that names what was done long ago starts at once, whoever leads', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  // More jobs than a leader remembers.
  for (let i = 0; i < 6000; i++) simulatedCluster.doneBefore(`req-1${String(i).padStart(5, '0')}`);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ waitsOn: ['req-100000', 'req-105999'] });
  await simulatedCluster.until(() => startsOf(simulatedCluster, job) === 1, 10, 'starts');
  await simulatedCluster.close();
});

test('a job is ready when the last before it was done, also for a leader that takes over later', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const first = await simulatedCluster.submit({ runMs: 3000 });
  const next = await simulatedCluster.submit({ runMs: 60_000, waitsOn: [first] });
  await simulatedCluster.until(() => simulatedCluster.running(next) === 1, 30, 'the next runs');
  const { doneAt } = simulatedCluster.store.get(`jobs/${first}`) as { doneAt: number };
  assert.ok(held(simulatedCluster, next)!.readyAt! > held(simulatedCluster, next)!.submittedAt);
  assert.equal(held(simulatedCluster, next)!.readyAt, doneAt);
  const old = simulatedCluster.leader;
  simulatedCluster.crash(old);
  await simulatedCluster.until(() => simulatedCluster.leader === 1 - old, 8, 'takeover');
  await simulatedCluster.pass(3);
  assert.equal(held(simulatedCluster, next)!.readyAt, doneAt);
  assert.equal(startsOf(simulatedCluster, next), 1);
  await simulatedCluster.close();
});

const many = (count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-2${String(i).padStart(5, '0')}`);

test('a job with hundreds of dependencies waits for each, and leaves no pieces when it is over', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const all = many(600);
  for (const ref of all) simulatedCluster.doneBefore(ref);
  const open = await simulatedCluster.submit({ runMs: 15_000 });
  const job = await simulatedCluster.submit({ runMs: 3000, waitsOn: [...all, open] });
  const pieces = (): number =>
    [...simulatedCluster.store.keys.keys()].filter((k) => k.startsWith(`needs/${job}/`)).length;
  assert.notEqual(pieces(), 0);
  const old = simulatedCluster.leader;
  simulatedCluster.crash(old);
  await simulatedCluster.until(() => simulatedCluster.leader === 1 - old, 8, 'takeover');
  await simulatedCluster.until(
    () => simulatedCluster.stored(open) === 'done',
    40,
    'the open one ends',
  );
  await simulatedCluster.until(
    () => simulatedCluster.stored(job) === 'done',
    40,
    'and then this one',
  );
  await simulatedCluster.until(() => pieces() === 0, 10, 'pieces removed');
  await simulatedCluster.close();
});

test('a job whose dependencies cannot be read never starts, and others go on', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const all = many(600);
  for (const ref of all) simulatedCluster.doneBefore(ref);
  simulatedCluster.nodes[simulatedCluster.leader]!.fate = (_m, path) =>
    path.startsWith('/store?starts=needs') ? 'refuse' : 'serve';
  const job = await simulatedCluster.submit(
    { runMs: 3000, waitsOn: all },
    1 - simulatedCluster.leader,
  );
  const other = await simulatedCluster.submit({ runMs: 3000 }, 1 - simulatedCluster.leader);
  await simulatedCluster.until(
    () => simulatedCluster.stored(other) === 'done',
    20,
    'another job is done',
  );
  await simulatedCluster.pass(20);
  assert.equal(startsOf(simulatedCluster, job), 0);
  simulatedCluster.nodes[simulatedCluster.leader]!.fate = () => 'serve';
  await simulatedCluster.until(
    () => simulatedCluster.stored(job) === 'done',
    60,
    'done once they are read',
  );
  await simulatedCluster.close();
});
