import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Need } from '../src/fleet/types.js';
import { parseRun } from '../src/jobs/records.js';
import { fillFromProduction } from './fakes/production.js';
import { finish, makeOld, NEXT, ranged, runKeys } from './fakes/upgrade.js';
import { World } from './fakes/world.js';

const SIX = ['a', 'b', 'a', 'b', 'a', 'b'].map((yard) => ({ yard }));
const LONG = 400_000;

/** Its process ends and comes back with the new version. */
async function upgrade(w: World, node: number): Promise<void> {
  w.crash(node);
  await w.pass(3);
  w.restart(node);
  await w.pass(10);
}

interface Work {
  array: string;
  service: string;
  gang: string;
}

/** An array of 150 tasks, three replicas and a gang, all running. */
async function longWork(w: World): Promise<Work> {
  const array = await w.submit({ pieces: 150, gpus: 0, runMs: LONG, crew: 'speech' });
  const service = await w.submit({ shape: 'service', pieces: 3, runMs: 0, urgency: 'production' });
  const gang = await w.submit({ shape: 'gang', pieces: 4, gpus: 2, runMs: LONG, samePlace: true });
  await w.until(() => allRun(w, { array, service, gang }), 40, 'all runs');
  return { array, service, gang };
}

const allRun = (w: World, work: Work): boolean =>
  w.running(work.array) === 150 && w.running(work.service) === 3 && w.running(work.gang) === 4;

test('records keep the old layout until the last controller is new, under leaders of either kind', async () => {
  const w = new World(SIX, 3, 0, { next: NEXT });
  for (const node of [0, 1, 2]) makeOld(w, node);
  await w.start();
  const work = await longWork(w);
  const starts = w.starts.length;
  // The leader goes first each time, so that office passes between old and new ones.
  const order = [w.leader, ...[0, 1, 2].filter((i) => i !== w.leader)];
  await upgrade(w, order[0]!);
  await upgrade(w, order[1]!);
  // One that dies before its turn comes back old.
  w.crash(order[2]!);
  await w.pass(2);
  w.restart(order[2]!);
  makeOld(w, order[2]!);
  await w.pass(20);
  w.crash(w.leader);
  await w.pass(8);
  assert.ok(runKeys(w).every((key) => !ranged(key)));
  for (const node of [0, 1, 2]) if (!w.nodes[node]!.controller) w.restart(node);
  w.nodes[order[2]!]!.fate = () => 'serve';
  await w.until(() => runKeys(w).every(ranged), 60, 'all records have the new layout');
  assert.ok(allRun(w, work));
  assert.equal(w.starts.length, starts, 'nothing was started again');
  await w.close();
});

// Each of the three jobs is rewritten in one transaction here; `run-layout.test.ts` cuts within one.
for (const cut of [1, 2, 3]) {
  test(`limits fall and the leader ends after ${cut} writes of the change of layout`, async () => {
    const w = new World(SIX, 3, 0, { next: NEXT });
    makeOld(w, 2);
    await w.start();
    const work = await longWork(w);
    const starts = w.starts.length;
    const { leader } = w;
    let left = cut;
    const node = w.nodes[leader]!;
    const before = node.fate;
    node.fate = (method, path, body) => {
      if (path !== '/txn' || !JSON.stringify(body).includes('/p'))
        return before(method, path, body);
      // The last one is carried out, but its answer is lost.
      left--;
      return left > 0 ? 'serve' : left === 0 ? 'lose answer' : 'lose request';
    };
    if (leader !== 2) w.nodes[2]!.fate = () => 'serve';
    else {
      const inner = node.fate;
      node.fate = (m, p, b) => (JSON.stringify(b).includes('members/') ? 'serve' : inner(m, p, b));
    }
    await w.until(() => left <= 0, 40, 'the change of layout has begun');
    w.store.limits = NEXT;
    w.crash(leader);
    await w.pass(20);
    w.restart(leader);
    await w.until(() => runKeys(w).every(ranged), 60, 'all records have the new layout');
    assert.ok(allRun(w, work));
    assert.equal(w.starts.length, starts, 'nothing was started again');
    for (const job of [work.array, work.gang]) finish(w, job);
    await w.pass(40);
    assert.equal(await w.phase(work.array), 'done');
    assert.equal(await w.phase(work.gang, 1), 'done');
    assert.equal(w.running(work.service), 3);
    assert.deepEqual(
      runKeys(w).filter((key) => !key.includes(work.service)),
      [],
    );
    await w.close();
  });
}

test('limits that fall before the upgrade is complete stop large jobs alone, until it is', async () => {
  const w = new World(SIX, 3, 0, { next: NEXT });
  makeOld(w, 2);
  await w.start();
  const work = await longWork(w);
  const starts = w.starts.length;
  const { leader } = w;
  const token = w.store.keys.get('leader')!.stamp;
  w.store.limits = NEXT;
  const large = await w.submit({ pieces: 100, gpus: 0, runMs: 20_000, crew: 'speech' });
  const small = await w.submit({ pieces: 10, gpus: 0, runMs: 20_000, crew: 'speech' });
  await w.pass(60);
  assert.equal(await w.phase(small), 'done');
  assert.equal(await w.phase(large), 'pending');
  assert.ok(
    runKeys(w).every((key) => !ranged(key)),
    'an old leader could not read it',
  );
  assert.ok(allRun(w, work));
  assert.equal(w.starts.length, starts + 10);
  w.nodes[2]!.fate = () => 'serve';
  finish(w, work.array);
  await w.until(() => w.running(large) === 100, 30, 'the large job runs');
  const records = runKeys(w).filter((key) => key.includes(large));
  assert.ok(records.length <= 2, `${records.length} records: no smaller than they have to be`);
  await w.pass(80);
  assert.equal(await w.phase(large), 'done');
  assert.equal(await w.phase(work.array), 'done');
  assert.equal(w.leader, leader);
  assert.equal(w.store.keys.get('leader')!.stamp, token);
  assert.ok(w.store.rejected < 30, `${w.store.rejected} refusals`);
  await w.close();
});

test('a user cancels, and a gang starts anew, under the smaller limits', async () => {
  const w = new World(SIX, 2, 0, { next: NEXT });
  await w.start();
  w.store.limits = NEXT;
  const work = await longWork(w);
  const answer = await w.ask(w.user(1).abort(work.array));
  assert.deepEqual(answer.body, { ref: work.array, phase: 'withdrawn' });
  const hit = w.on(work.gang)[0]!;
  hit.phase = 'ended';
  hit.cause = 'error';
  await w.until(() => w.on(work.array).length === 0, 10, 'the array is gone');
  await w.until(() => w.running(work.gang) === 4, 60, 'the gang runs again');
  assert.ok(w.store.rejected === 0, `${w.store.rejected} refusals`);
  await w.until(() => !runKeys(w).some((k) => k.includes(work.array)), 20, 'its records are gone');
  assert.equal(await w.phase(work.array, 1), 'withdrawn');
  await w.close();
});

test('what production left running is taken over, and nothing of it is started again', async () => {
  const eight = [0, 1, 2, 3, 4, 5, 6, 7].map((i) => ({ yard: i % 2 ? 'b' : 'a' }));
  const w = new World(eight, 2, 0, { next: NEXT });
  const { jobs, keys } = fillFromProduction(w.store);
  const work = { array: jobs.array, service: jobs.service, gang: jobs.gang };
  let placed = 0;
  for (const [shape, job] of Object.entries(work)) {
    const { spec } = keys[`jobs/${job}`]!.value as { spec: { tasks: number; need: Need } };
    w.facts.set(job, {
      shape,
      pieces: spec.tasks,
      runMs: shape === 'service' ? 0 : LONG,
      fetchMs: 1000,
      saveMs: 1000,
      vcpus: spec.need.cpus,
      gpus: spec.need.gpus,
      memoryGb: spec.need.memoryGb,
    });
    const run = parseRun(keys[`runs/${job}/0`]!.value)!;
    for (const [task, attempt, machine] of run.placed) {
      const piece = { job, task, attempt, phase: 'running', cause: null, since: 0 } as const;
      w.onWorkers.set(machine, [...(w.onWorkers.get(machine) ?? []), piece]);
      placed++;
    }
  }
  // Asked past the checker of rules, which has not seen these jobs submitted.
  const phaseAt = async (job: string, node: number): Promise<unknown> => {
    const answer = await w.ask(w.nodes[node]!.controller!.jobApi.query(job));
    return (answer.body as { phase?: unknown }).phase;
  };
  const running = (): number =>
    w.running(work.array) + w.running(work.service) + w.running(work.gang);
  await w.start();
  assert.equal(await phaseAt(jobs.done, 0), 'done');
  assert.equal(await phaseAt(jobs.cancelled, 1), 'withdrawn');
  await w.until(() => runKeys(w).every(ranged), 60, 'all records have the new layout');
  w.store.limits = NEXT;
  await w.pass(20);
  assert.equal(running(), placed);
  const again = w.starts.filter((name) => !name.startsWith(jobs.waiting));
  assert.deepEqual(again, []);
  finish(w, work.array);
  finish(w, work.gang);
  await w.pass(40);
  assert.equal(await phaseAt(work.array, 0), 'done');
  assert.equal(await phaseAt(work.gang, 0), 'done');
  assert.equal(w.running(work.service), 3);
  await w.close();
});

test('a description too large for the limits to come is refused at once, a known job never', async () => {
  const w = new World(SIX, 2, 0, { next: { valueBytes: 1024 } });
  await w.start();
  // Not as the world's users: the checker of rules knows no limit on descriptions.
  const api = w.nodes[0]!.controller!.jobApi;
  const { ref, body } = w.wish({ pieces: 1 });
  const long = '\u20ac'.repeat(200);
  const large = { ...body, lane: long, crate: long };
  const refused = await w.ask(api.submit(large));
  assert.equal(refused.status, 422);
  assert.match(JSON.stringify(refused.body), /larger than the state service takes/);
  // Machine types that do not exist mean nothing, and keep no job out.
  const hulls = ['g8', ...Array.from({ length: 300 }, (_, i) => `type-${i}`)];
  assert.equal((await w.ask(api.submit({ ...body, hulls }))).status, 201);
  const { spec } = w.store.get(`jobs/${ref}`) as { spec: { types: string[] } };
  assert.deepEqual(spec.types, ['g8']);
  const other = w.nodes[1]!.controller!.jobApi;
  assert.equal((await w.ask(other.submit(large))).status, 200);
  await w.close();
});
