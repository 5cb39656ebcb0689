import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Leader } from '../src/control/leader.js';
import { takeSnapshot } from '../src/control/snapshot.js';
import { withinGuarantee } from '../src/scheduler/order.js';
import type { Job } from '../src/jobs/tracked-job.js';
import { World } from './fakes/world.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

const startsOf = (w: World, ref: string): number =>
  w.starts.filter((name) => name.startsWith(`${ref}/`)).length;

function leaderOf(w: World): Leader {
  return (w.nodes[w.leader]!.controller as unknown as { leader: Leader }).leader;
}

/** What the leader holds of a job. */
const held = (w: World, ref: string): Job | undefined => leaderOf(w).jobs.get(ref);

async function abort(w: World, node: number, ref: string): Promise<string> {
  const answer = await w.ask(w.user(node).abort(ref));
  assert.equal(answer.status, 200);
  return (answer.body as { phase: string }).phase;
}

interface Chain {
  extract: string;
  dedupe: string;
  rebuild: string;
}

async function submitChain(w: World, runMs = 5000): Promise<Chain> {
  const extract = await w.submit({ pieces: 3, runMs });
  const dedupe = await w.submit({ pieces: 4, runMs, waitsOn: [extract] }, 1);
  const rebuild = await w.submit({ shape: 'gang', pieces: 2, runMs, waitsOn: [dedupe] });
  return { extract, dedupe, rebuild };
}

test('the jobs of a pipeline run one after the other', async () => {
  const w = new World(FOUR);
  await w.start();
  const { extract, dedupe, rebuild } = await submitChain(w);
  await w.until(() => startsOf(w, extract) === 3, 10, 'the first starts');
  assert.equal(await w.phase(dedupe), 'pending');
  await w.until(() => w.stored(rebuild) === 'done', 60, 'the last is done');
  const order = w.starts.map((name) => name.split('/')[0]);
  assert.deepEqual(order, [...order].sort(), 'in the order of their submission');
  for (const ref of [extract, dedupe, rebuild]) assert.equal(await w.phase(ref, 1), 'done');
  await w.close();
});

test('a job waits for all that it names, and starts once the last is done', async () => {
  const w = new World(FOUR);
  await w.start();
  const short = await w.submit({ runMs: 3000 });
  const long = await w.submit({ runMs: 25_000 });
  const last = await w.submit({ runMs: 3000, waitsOn: [short, long] });
  await w.until(() => w.stored(short) === 'done', 20, 'the short one is done');
  await w.pass(8);
  assert.equal(startsOf(w, last), 0);
  await w.until(() => w.stored(last) === 'done', 60, 'done');
  await w.close();
});

test('a pipeline goes on in order through changes of leader at every step', async () => {
  const w = new World(FOUR);
  await w.start();
  const { extract, dedupe, rebuild } = await submitChain(w, 12_000);
  for (const step of [extract, dedupe, rebuild]) {
    await w.until(() => startsOf(w, step) > 0, 40, `${step} starts`);
    const old = w.leader;
    w.crash(old);
    await w.until(() => w.leader === 1 - old, 8, 'takeover');
    w.restart(old);
  }
  await w.until(() => w.stored(rebuild) === 'done', 60, 'the last is done');
  assert.equal(w.starts.length, 9);
  await w.close();
});

test('all controllers crash while a job waits, and it still waits afterwards', async () => {
  const w = new World(FOUR);
  await w.start();
  const { extract, dedupe, rebuild } = await submitChain(w, 20_000);
  await w.until(() => w.running(extract) === 3, 10, 'the first runs');
  w.crash(0);
  w.crash(1);
  await w.pass(2);
  w.restart(0);
  w.restart(1);
  await w.pass(8);
  assert.equal(startsOf(w, dedupe), 0);
  await w.until(() => w.stored(rebuild) === 'done', 90, 'the last is done');
  await w.close();
});

test('a job does not start while the end of the one before is not in the store', async () => {
  const w = new World(FOUR);
  await w.start();
  const { extract, dedupe } = await submitChain(w, 4000);
  await w.until(() => w.running(extract) === 3, 10, 'the first runs');
  const old = w.leader;
  // All its tasks end, but the record of that gets no answer and comes only after the leader's end.
  w.nodes[old]!.fate = (_m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes(`"write":"jobs/${extract}"`)
      ? 'apply late'
      : 'serve';
  await w.until(() => w.store.late.length > 0, 30, 'sent');
  await w.pass(2);
  assert.equal(startsOf(w, dedupe), 0);
  w.crash(old);
  await w.until(() => w.stored(extract) === 'done', 25, 'the next leader writes it');
  for (const apply of w.store.late) assert.equal(apply().status, 409);
  await w.until(() => w.stored(dedupe) === 'done', 40, 'and the pipeline goes on');
  await w.close();
});

test('while a job waits it takes no part of the limit, of the guarantee and of the gate', async () => {
  // Five machines: one is left for each task of the gang that may run.
  const w = new World([...FOUR, { yard: 'a' }]);
  await w.start();
  // Longer than a machine takes to boot, or room would rightly be sought ahead.
  const first = await w.submit({ runMs: 300_000, crew: 'speech' });
  const waiting = await w.submit({ pieces: 32, gpus: 1, runMs: 5000, waitsOn: [first] });
  const gang = await w.submit({ shape: 'gang', pieces: 4, gpus: 8, waitsOn: [first] });
  const other = await w.submit({ pieces: 16, gpus: 1, runMs: 5000 });
  const otherGang = await w.submit({ shape: 'gang', pieces: 2, gpus: 7, runMs: 5000 });
  await w.until(() => w.running(other) === 16, 10, 'another job has the whole guarantee');
  await w.until(() => w.running(otherGang) === 2, 25, 'another gang passes the gate');
  assert.equal(startsOf(w, waiting) + startsOf(w, gang), 0);
  const { jobs, teams, gateShut } = takeSnapshot(leaderOf(w), w.clock.now());
  assert.deepEqual(new Set(jobs.map((j) => j.id)), new Set([first, other, otherGang]));
  assert.ok(
    withinGuarantee(jobs, teams).has(other),
    'the earlier one that waits counts for nothing',
  );
  assert.equal(teams.get('vision')!.used.gpus, 30);
  assert.equal(gateShut, false);
  assert.equal(w.cloud.hosts.size, 5, 'no room is opened for what waits');
  await w.close();
});

test('a cancellation closes all that wait for the job, and none of them starts', async () => {
  const w = new World(FOUR);
  await w.start();
  const { extract, dedupe, rebuild } = await submitChain(w, 30_000);
  await w.until(() => w.running(extract) === 3, 10, 'the first runs');
  assert.equal(await abort(w, 1, extract), 'withdrawn');
  for (const node of [0, 1]) {
    for (const ref of [dedupe, rebuild]) assert.equal(await w.phase(ref, node), 'withdrawn');
  }
  await w.until(() => w.stored(rebuild) === 'cancelled', 20, 'records follow');
  assert.equal(w.stored(dedupe), 'cancelled');
  await w.until(() => held(w, rebuild) === undefined, 20, 'closed');
  const late = await w.submit({ waitsOn: [rebuild] });
  assert.equal(await w.phase(late, 1), 'withdrawn');
  await w.until(() => w.stored(late) === 'cancelled', 20, 'its record follows too');
  await w.pass(10);
  assert.equal(w.starts.length, 3);
  await w.close();
});

test('a cascade holds when the node that confirmed it ends at once, and the leader changes', async () => {
  const w = new World(FOUR, 3);
  await w.start();
  const { extract, dedupe, rebuild } = await submitChain(w, 30_000);
  await w.until(() => w.running(extract) === 3, 10, 'the first runs');
  const old = w.leader;
  const confirming = (old + 1) % 3;
  const left = (old + 2) % 3;
  // The leader hears of it neither from the node nor from the store.
  w.nodes[old]!.fate = (_m, path) => (path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve');
  w.wire.cut.add(w.nodes[old]!.name);
  await abort(w, confirming, extract);
  w.crash(confirming);
  w.crash(old);
  for (const ref of [dedupe, rebuild]) assert.equal(await w.phase(ref, left), 'withdrawn');
  await w.until(() => w.leader === left, 10, 'takeover');
  await w.until(() => w.on(extract).length === 0, 15, 'its tasks are gone');
  await w.until(() => w.stored(rebuild) === 'cancelled', 10, 'records follow');
  assert.equal(w.starts.length, 3);
  await w.close();
});

test('a cascade holds when the store goes down right after the answer', async () => {
  const w = new World(FOUR);
  await w.start();
  const { extract, dedupe, rebuild } = await submitChain(w, 30_000);
  await w.until(() => w.running(extract) === 3, 10, 'the first runs');
  assert.equal(await abort(w, 0, extract), 'withdrawn');
  w.store.down = true;
  for (const node of [0, 1]) {
    for (const ref of [dedupe, rebuild]) {
      assert.ok(['withdrawn', '503'].includes(await w.phase(ref, node)));
    }
  }
  await w.pass(20);
  w.store.restore();
  await w.pass(10);
  for (const node of [0, 1]) {
    for (const ref of [dedupe, rebuild]) assert.equal(await w.phase(ref, node), 'withdrawn');
  }
  assert.equal(startsOf(w, dedupe) + startsOf(w, rebuild), 0);
  await w.close();
});

test('a cancellation that meets the last end has one outcome for the whole pipeline', async () => {
  for (const delay of [0, 0.25, 0.5, 0.75, 1, 1.25]) {
    const w = new World(FOUR);
    await w.start();
    const first = await w.submit({ runMs: 4000 });
    const next = await w.submit({ runMs: 2000, waitsOn: [first] }, 1);
    await w.until(() => w.running(first) === 1, 10, 'runs');
    await w.pass(3.5 + delay);
    const told = await abort(w, 1, first);
    await w.pass(25);
    const expected = told === 'done' ? 'done' : 'withdrawn';
    for (const node of [0, 1]) assert.equal(await w.phase(next, node), expected);
    assert.equal(startsOf(w, next), told === 'done' ? 1 : 0);
    await w.close();
  }
});

test('a job that names what was done long ago starts at once, whoever leads', async () => {
  const w = new World(FOUR);
  // More jobs than a leader remembers.
  for (let i = 0; i < 6000; i++) w.doneBefore(`req-1${String(i).padStart(5, '0')}`);
  await w.start();
  const job = await w.submit({ waitsOn: ['req-100000', 'req-105999'] });
  await w.until(() => startsOf(w, job) === 1, 10, 'starts');
  await w.close();
});

test('a job is ready when the last before it was done, also for a leader that takes over later', async () => {
  const w = new World(FOUR);
  await w.start();
  const first = await w.submit({ runMs: 3000 });
  const next = await w.submit({ runMs: 60_000, waitsOn: [first] });
  await w.until(() => w.running(next) === 1, 30, 'the next runs');
  const { doneAt } = w.store.get(`jobs/${first}`) as { doneAt: number };
  assert.ok(held(w, next)!.readyAt! > held(w, next)!.submittedAt);
  assert.equal(held(w, next)!.readyAt, doneAt);
  const old = w.leader;
  w.crash(old);
  await w.until(() => w.leader === 1 - old, 8, 'takeover');
  await w.pass(3);
  assert.equal(held(w, next)!.readyAt, doneAt);
  assert.equal(startsOf(w, next), 1);
  await w.close();
});

const many = (count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-2${String(i).padStart(5, '0')}`);

test('a job with hundreds of dependencies waits for each, and leaves no pieces when it is over', async () => {
  const w = new World(FOUR);
  await w.start();
  const all = many(600);
  for (const ref of all) w.doneBefore(ref);
  const open = await w.submit({ runMs: 15_000 });
  const job = await w.submit({ runMs: 3000, waitsOn: [...all, open] });
  const pieces = (): number =>
    [...w.store.keys.keys()].filter((k) => k.startsWith(`needs/${job}/`)).length;
  assert.notEqual(pieces(), 0);
  const old = w.leader;
  w.crash(old);
  await w.until(() => w.leader === 1 - old, 8, 'takeover');
  await w.until(() => w.stored(open) === 'done', 40, 'the open one ends');
  await w.until(() => w.stored(job) === 'done', 40, 'and then this one');
  await w.until(() => pieces() === 0, 10, 'pieces removed');
  await w.close();
});

test('a job whose dependencies cannot be read never starts, and others go on', async () => {
  const w = new World(FOUR);
  await w.start();
  const all = many(600);
  for (const ref of all) w.doneBefore(ref);
  w.nodes[w.leader]!.fate = (_m, path) =>
    path.startsWith('/store?starts=needs') ? 'refuse' : 'serve';
  const job = await w.submit({ runMs: 3000, waitsOn: all }, 1 - w.leader);
  const other = await w.submit({ runMs: 3000 }, 1 - w.leader);
  await w.until(() => w.stored(other) === 'done', 20, 'another job is done');
  await w.pass(20);
  assert.equal(startsOf(w, job), 0);
  w.nodes[w.leader]!.fate = () => 'serve';
  await w.until(() => w.stored(job) === 'done', 60, 'done once they are read');
  await w.close();
});
