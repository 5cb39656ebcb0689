import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from '../src/fleet/fleet.js';
import type { MachineType } from '../src/fleet/types.js';
import { parseReport } from '../src/wire/report.js';
import { World } from './fakes/world.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

test('an array runs to its end and stays done', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 12 });
  await w.until(() => w.starts.length === 12, 10, 'all tasks start');
  await w.pass(30);
  assert.equal(await w.phase(job), 'done');
  assert.equal(await w.phase(job, 1), 'done');
  await w.close();
});

test('a job is accepted once, however often it comes, also at another node and when over', async () => {
  const w = new World(FOUR);
  await w.start();
  const { ref, body } = w.wish({ pieces: 2, runMs: 3000 });
  const first = w.ask(w.user(0).submit(body));
  const second = w.ask(w.user(1).submit(body));
  const codes = [(await first).status, (await second).status].sort();
  assert.deepEqual(codes, [200, 201]);
  await w.pass(15);
  const later = await w.ask(w.user(1).submit({ ...body, crew: 'nobody' }));
  assert.deepEqual(later, { status: 200, body: { ref, phase: 'done' } });
  assert.equal(w.starts.length, 2);
  await w.close();
});

test('a cancelled service leaves its machines and stays cancelled', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 3, runMs: 0, urgency: 'production' });
  await w.until(() => w.running(job) === 3, 10, 'replicas run');
  const answer = await w.ask(w.user(1).abort(job));
  assert.deepEqual(answer.body, { ref: job, phase: 'withdrawn' });
  await w.until(() => w.on(job).length === 0, 5, 'replicas gone');
  await w.pass(10);
  assert.equal(await w.phase(job), 'withdrawn');
  assert.equal(w.on(job).length, 0);
  await w.close();
});

test('a job whose acceptance got no answer is found again by its repeat', async () => {
  const w = new World(FOUR);
  await w.start();
  const node = w.nodes[0]!;
  let lost = 0;
  node.fate = (_m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"write":"jobs/') && lost++ < 1
      ? 'lose answer'
      : 'serve';
  const { ref, body } = w.wish({ pieces: 1 });
  const answer = await w.ask(w.user(0).submit(body));
  assert.equal(answer.status, 200);
  await w.until(() => w.starts.length === 1, 10, 'it runs');
  assert.equal(await w.phase(ref), 'running');
  await w.close();
});

test('while the store is down nothing is accepted, and the user is told at once when to come back', async () => {
  const w = new World(FOUR);
  await w.start();
  w.store.down = true;
  const before = w.clock.now();
  const { body } = w.wish({ pieces: 1 });
  const answer = await w.ask(w.user(0).submit(body));
  assert.equal(answer.status, 503);
  assert.equal(answer.retryAfter, 1);
  assert.ok(w.clock.now() - before < 1000);
  await w.close();
});

test('while the store is down no question about a known job is held back either', async () => {
  const w = new World(FOUR);
  await w.start();
  const { ref, body } = w.wish({ pieces: 1 });
  const jobApi = w.user(0);
  assert.equal((await w.ask(jobApi.submit(body))).status, 201);
  w.store.down = true;
  const before = w.clock.now();
  const questions = [
    jobApi.submit(body),
    jobApi.submit({ ref }),
    jobApi.query(ref),
    jobApi.abort(ref),
  ];
  for (const answer of await Promise.all(questions.map((q) => w.ask(q)))) {
    assert.equal(answer.status, 503);
    assert.equal(answer.retryAfter, 1);
  }
  assert.ok(w.clock.now() - before < 1000);
  await w.close();
});

test('a new leader takes over running work and does not start it again', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 10, runMs: 40_000 }, 1);
  await w.until(() => w.running(job) === 10, 10, 'all run');
  const old = w.leader;
  w.crash(old);
  await w.until(() => w.leader === 1 - old, 8, 'takeover');
  await w.pass(8);
  assert.equal(w.running(job), 10);
  assert.equal(w.starts.length, 10);
  await w.pass(40);
  assert.equal(await w.phase(job, 1 - old), 'done');
  await w.close();
});

test('a leader that dies between the record and the launch leaves nothing behind that is lost', async () => {
  const w = new World(FOUR);
  await w.start();
  const old = w.leader;
  const { ref, body } = w.wish({ pieces: 6, runMs: 8000 });
  // The record gets into the store, the answer does not get back, and then the leader is gone.
  w.nodes[old]!.fate = (_m, path, b) =>
    path === '/txn' && JSON.stringify(b).includes('"write":"runs/') ? 'lose answer' : 'serve';
  await w.ask(w.user(1 - old).submit(body));
  await w.until(() => w.store.get(`runs/${ref}/0`) !== undefined, 5, 'recorded');
  w.crash(old);
  assert.equal(w.starts.length, 0);
  await w.until(() => w.starts.length === 6, 15, 'launched by the next leader');
  await w.pass(15);
  assert.equal(await w.phase(ref, 1 - old), 'done');
  await w.close();
});

test('a transaction of a leader that lost office changes nothing when it arrives late', async () => {
  const w = new World(FOUR);
  await w.start();
  const old = w.leader;
  w.nodes[old]!.fate = (_m, path, b) =>
    path === '/txn' && JSON.stringify(b).includes('"write":"runs/') ? 'apply late' : 'serve';
  const job = await w.submit({ pieces: 3, runMs: 5000 }, 1 - old);
  await w.until(() => w.store.late.length > 0, 5, 'sent');
  w.crash(old);
  await w.until(() => w.starts.length === 3, 15, 'placed by the next leader');
  for (const apply of w.store.late) assert.equal(apply().status, 409);
  await w.pass(15);
  assert.equal(await w.phase(job, 1 - old), 'done');
  assert.equal(w.starts.length, 3);
  await w.close();
});

test('a late copy of an old report neither ends nor starts anything', async () => {
  const w = new World(FOUR);
  await w.start();
  const empty = new Map([...w.workers].map(([id, worker]) => [id, worker.sent.at(-1)!]));
  const job = await w.submit({ pieces: 8, runMs: 60_000 });
  await w.until(() => w.running(job) === 8, 10, 'all run');
  for (const copy of empty.values()) await w.until(delivered(w, copy), 2, 'copy answered');
  await w.pass(12);
  assert.equal(w.running(job), 8);
  assert.equal(w.starts.length, 8);
  await w.close();
});

function delivered(w: World, copy: object): () => boolean {
  let done = false;
  void w.deliver(w.leader, copy).then((answer) => {
    assert.deepEqual((answer.body as { orders: unknown[] }).orders, []);
    done = true;
  });
  return () => done;
}

test('work on a machine that fell silent starts elsewhere only after its lease has run out', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 2, gpus: 8, runMs: 60_000 });
  await w.until(() => w.running(job) === 2, 10, 'both run');
  const hung = [...w.workers.values()].find((x) => x.pieces.length > 0)!;
  hung.hung = true;
  const since = w.clock.now();
  await w.until(() => w.starts.length === 3, 20, 'started elsewhere');
  assert.ok(w.clock.now() - since >= 9000);
  hung.hung = false;
  await w.pass(5);
  assert.equal(w.running(job), 2);
  await w.close();
});

test('a dead machine does not hold its work for good', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 1, gpus: 8, runMs: 30_000 });
  await w.until(() => w.running(job) === 1, 10, 'runs');
  [...w.workers.values()].find((x) => x.pieces.length > 0)!.dead = true;
  await w.until(() => w.starts.length === 2, 20, 'runs again');
  await w.pass(40);
  assert.equal(await w.phase(job), 'done');
  await w.close();
});

test('a team stays within its limit while a machine of its work cannot be reached', async () => {
  const w = new World([...FOUR, { yard: 'a' }, { yard: 'b' }]);
  await w.start();
  const job = await w.submit({ pieces: 8, gpus: 8, runMs: 60_000 });
  await w.until(() => w.running(job) === 4, 10, 'as many as the limit of 32 allows');
  [...w.workers.values()].find((x) => x.pieces.length > 0)!.hung = true;
  await w.pass(9);
  assert.equal(w.starts.length, 4);
  await w.until(() => w.starts.length === 5, 10, 'the next one');
  await w.close();
});

test('a worker that hears no answers gets no more work', async () => {
  const w = new World([{ yard: 'a' }, { yard: 'b' }]);
  w.cloud.capacity = 2;
  await w.start();
  const job = await w.submit({ pieces: 1, gpus: 8, runMs: 120_000 });
  await w.until(() => w.running(job) === 1, 10, 'runs');
  const deaf = [...w.workers.values()].find((x) => x.pieces.length > 0)!;
  deaf.deaf = true;
  await w.until(() => w.starts.length === 2, 25, 'runs elsewhere');
  await w.until(() => deaf.dead, 30, 'the deaf machine is given back');
  assert.equal(w.running(job), 1);
  await w.close();
});

test('all controllers crash at once and the work goes on', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 10, runMs: 30_000 });
  await w.until(() => w.running(job) === 10, 10, 'all run');
  w.crash(0);
  w.crash(1);
  await w.pass(3);
  w.restart(0);
  w.restart(1);
  await w.pass(6);
  assert.equal(w.running(job), 10);
  await w.pass(30);
  assert.equal(await w.phase(job), 'done');
  assert.equal(w.starts.length, 10);
  await w.close();
});

test('a leader cut from the store stops answering workers, and another takes over', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 4, runMs: 40_000 });
  await w.until(() => w.running(job) === 4, 10, 'all run');
  const old = w.leader;
  w.nodes[old]!.fate = () => 'refuse';
  await w.until(() => w.leader === 1 - old, 8, 'takeover');
  await w.pass(8);
  assert.equal(w.running(job), 4);
  assert.equal(w.starts.length, 4);
  w.nodes[old]!.fate = () => 'serve';
  await w.pass(40);
  assert.equal(await w.phase(job), 'done');
  await w.close();
});

test('the cancellation of a job wins against its start', async () => {
  const w = new World(FOUR);
  await w.start();
  const { ref, body } = w.wish({ pieces: 4 });
  const jobApi = w.user(0);
  await w.ask(jobApi.submit(body));
  const answer = await w.ask(jobApi.abort(ref));
  assert.equal(answer.status, 200);
  await w.pass(5);
  assert.equal(w.on(ref).length, 0);
  const after = w.starts.length;
  await w.pass(20);
  assert.equal(w.starts.length, after);
  assert.equal(await w.phase(ref), 'withdrawn');
  await w.close();
});

test('a spread service stays spread when its leader changes while a machine is silent', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 2, gpus: 8, runMs: 0, apart: true });
  await w.until(() => w.running(job) === 2, 10, 'replicas run');
  const [silent, lost] = [...w.workers.values()].filter((x) => x.pieces.length > 0);
  const old = w.leader;
  w.crash(old);
  // The next leader hears nothing of the one replica when it has to place the other anew.
  silent!.hung = true;
  w.kill(lost!.id);
  w.cloud.hosts.delete(lost!.id);
  await w.pass(12);
  await w.until(() => w.running(job) === 2, 30, 'both run again');
  const yards = [...w.workers.values()].filter((x) => !x.dead && x.pieces.length > 0);
  assert.equal(new Set(yards.map((x) => x.yard)).size, 2);
  await w.close();
});

test('a machine heard only while the records were read gets no work before it is known', () => {
  const fleet = new Fleet({ running: () => {}, exited: () => {}, lost: () => {} }, 7, 0, 10_000, {
    boundOf: () => -Infinity,
    confirmedFrom: 0,
  });
  const report = parseReport({
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
  fleet.report(report, type, 100, false);
  // Its session would be recorded as unknown, and such a record cannot be read by the next leader.
  assert.equal(fleet.machines.get('host-1')!.usable(100, 3000), false);
  fleet.report({ ...report, seq: 10 }, type, 200, true);
  assert.equal(fleet.machines.get('host-1')!.usable(200, 3000), true);
});

test('a job that is cancelled while its first start is being recorded leaves no record behind', async () => {
  const w = new World(FOUR);
  await w.start();
  const { ref, body } = w.wish({ pieces: 3 });
  const jobApi = w.user(1 - w.leader);
  // The news of the cancellation reaches the leader only through the refusal of its record.
  w.nodes[w.leader]!.fate = (_m, path) =>
    path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve';
  await w.pass(11);
  await w.ask(jobApi.submit(body));
  w.nodes[w.leader]!.fate = (_m, path, b) =>
    path === '/txn' && JSON.stringify(b).includes('"write":"runs/') ? 'refuse' : 'serve';
  await w.pass(1);
  assert.equal((await w.ask(jobApi.abort(ref))).status, 200);
  w.nodes[w.leader]!.fate = () => 'serve';
  await w.pass(8);
  assert.equal(w.starts.length, 0);
  assert.equal(w.store.get(`runs/${ref}/0`), undefined);
  assert.deepEqual(Object.keys(w.store.get(`jobs/${ref}`) as object).sort(), [
    'phase',
    'tasks',
    'w',
  ]);
  await w.close();
});

test('a new leader keeps what is left of a cancelled job until it is proven gone', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 2, gpus: 8, runMs: 90_000 });
  await w.until(() => w.running(job) === 2, 10, 'both run');
  [...w.workers.values()].find((x) => x.pieces.length > 0)!.hung = true;
  const old = w.leader;
  await w.ask(w.user(1 - old).abort(job));
  await w.pass(1);
  w.crash(old);
  await w.until(() => w.leader === 1 - old, 6, 'takeover');
  await w.pass(2);
  assert.notEqual(w.store.get(`runs/${job}/0`), undefined);
  await w.until(() => w.store.get(`runs/${job}/0`) === undefined, 15, 'gone with the lease');
  assert.equal(await w.phase(job, 1 - old), 'withdrawn');
  await w.close();
});

test('ends that come close together share a record, and no worker forgets one before it is written', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 12, runMs: 60_000 });
  await w.until(() => w.running(job) === 12, 10, 'all run');
  const record = (): { w: string; done: unknown[] } =>
    w.store.get(`runs/${job}/0`) as { w: string; done: unknown[] };
  const before = record().w;
  const busy = [...w.workers.values()].filter((x) => x.pieces.length > 0);
  const ended = (): number =>
    busy.flatMap((x) => x.pieces).filter((p) => p.phase === 'ended').length;
  for (const { pieces } of busy) Object.assign(pieces[0]!, { phase: 'ended', cause: 'done' });
  await w.pass(1.5);
  assert.equal(record().w, before);
  assert.equal(ended(), busy.length);
  await w.until(() => ended() === 0, 14, 'all forgotten');
  assert.notEqual(record().w, before);
  assert.notEqual(record().done.length, 0);
  await w.close();
});
