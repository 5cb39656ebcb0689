import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Resources } from '../src/fleet/resources.js';
import { parseRun } from '../src/jobs/records.js';
import { fillFromProduction } from './fakes/production.js';
import { finish, makeOld, NEXT, ranged, runKeys } from './fakes/upgrade.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const SIX = ['a', 'b', 'a', 'b', 'a', 'b'].map((yard) => ({ yard }));
const LONG = 400_000;

/** Its process ends and comes back with the new version. */
async function upgrade(cluster: SimulatedCluster, node: number): Promise<void> {
  cluster.crash(node);
  await cluster.pass(3);
  cluster.restart(node);
  await cluster.pass(10);
}

interface Work {
  array: string;
  service: string;
  gang: string;
}

/** An array of 150 tasks, three replicas and a gang, all running. */
async function longWork(cluster: SimulatedCluster): Promise<Work> {
  const array = await cluster.submit({ pieces: 150, gpus: 0, runMs: LONG, crew: 'speech' });
  const service = await cluster.submit({
    shape: 'service',
    pieces: 3,
    runMs: 0,
    urgency: 'production',
  });
  const gang = await cluster.submit({
    shape: 'gang',
    pieces: 4,
    gpus: 2,
    runMs: LONG,
    samePlace: true,
  });
  await cluster.until(() => allRun(cluster, { array, service, gang }), 40, 'all runs');
  return { array, service, gang };
}

const allRun = (cluster: SimulatedCluster, work: Work): boolean =>
  cluster.running(work.array) === 150 &&
  cluster.running(work.service) === 3 &&
  cluster.running(work.gang) === 4;

test('records keep the old layout until the last controller is new, under leaders of either kind', async () => {
  const simulatedCluster = new SimulatedCluster(SIX, 3, 0, { next: NEXT });
  for (const node of [0, 1, 2]) makeOld(simulatedCluster, node);
  await simulatedCluster.start();
  const work = await longWork(simulatedCluster);
  const starts = simulatedCluster.starts.length;
  // The leader goes first each time, so that leadership passes between old and new ones.
  const order = [
    simulatedCluster.leader,
    ...[0, 1, 2].filter((i) => i !== simulatedCluster.leader),
  ];
  await upgrade(simulatedCluster, order[0]!);
  await upgrade(simulatedCluster, order[1]!);
  // One that dies before its turn comes back old.
  simulatedCluster.crash(order[2]!);
  await simulatedCluster.pass(2);
  simulatedCluster.restart(order[2]!);
  makeOld(simulatedCluster, order[2]!);
  await simulatedCluster.pass(20);
  simulatedCluster.crash(simulatedCluster.leader);
  await simulatedCluster.pass(8);
  assert.ok(runKeys(simulatedCluster).every((key) => !ranged(key)));
  for (const node of [0, 1, 2])
    if (!simulatedCluster.nodes[node]!.controller) simulatedCluster.restart(node);
  simulatedCluster.nodes[order[2]!]!.fate = () => 'serve';
  await simulatedCluster.until(
    () => runKeys(simulatedCluster).every(ranged),
    60,
    'all records have the new layout',
  );
  assert.ok(allRun(simulatedCluster, work));
  assert.equal(simulatedCluster.starts.length, starts, 'nothing was started again');
  await simulatedCluster.close();
});

// Each of the three jobs is rewritten in one transaction here; `run-layout.test.ts` cuts within one.
for (const cut of [1, 2, 3]) {
  test(`limits fall and the leader ends after ${cut} writes of the change of layout`, async () => {
    const simulatedCluster = new SimulatedCluster(SIX, 3, 0, { next: NEXT });
    makeOld(simulatedCluster, 2);
    await simulatedCluster.start();
    const work = await longWork(simulatedCluster);
    const starts = simulatedCluster.starts.length;
    const { leader } = simulatedCluster;
    let left = cut;
    const node = simulatedCluster.nodes[leader]!;
    const before = node.fate;
    node.fate = (method, path, body) => {
      if (path !== '/txn' || !JSON.stringify(body).includes('/p'))
        return before(method, path, body);
      // The last one is carried out, but its answer is lost.
      left--;
      return left > 0 ? 'serve' : left === 0 ? 'lose answer' : 'lose request';
    };
    if (leader !== 2) simulatedCluster.nodes[2]!.fate = () => 'serve';
    else {
      const inner = node.fate;
      node.fate = (member, peer, b) =>
        JSON.stringify(b).includes('members/') ? 'serve' : inner(member, peer, b);
    }
    await simulatedCluster.until(() => left <= 0, 40, 'the change of layout has begun');
    simulatedCluster.store.limits = NEXT;
    simulatedCluster.crash(leader);
    await simulatedCluster.pass(20);
    simulatedCluster.restart(leader);
    await simulatedCluster.until(
      () => runKeys(simulatedCluster).every(ranged),
      60,
      'all records have the new layout',
    );
    assert.ok(allRun(simulatedCluster, work));
    assert.equal(simulatedCluster.starts.length, starts, 'nothing was started again');
    for (const job of [work.array, work.gang]) finish(simulatedCluster, job);
    await simulatedCluster.pass(40);
    assert.equal(await simulatedCluster.phase(work.array), 'done');
    assert.equal(await simulatedCluster.phase(work.gang, 1), 'done');
    assert.equal(simulatedCluster.running(work.service), 3);
    assert.deepEqual(
      runKeys(simulatedCluster).filter((key) => !key.includes(work.service)),
      [],
    );
    await simulatedCluster.close();
  });
}

test('limits that fall before the upgrade is complete stop large jobs alone, until it is', async () => {
  const simulatedCluster = new SimulatedCluster(SIX, 3, 0, { next: NEXT });
  makeOld(simulatedCluster, 2);
  await simulatedCluster.start();
  const work = await longWork(simulatedCluster);
  const starts = simulatedCluster.starts.length;
  const { leader } = simulatedCluster;
  const fencingToken = simulatedCluster.store.keys.get('leader')!.stamp;
  simulatedCluster.store.limits = NEXT;
  const large = await simulatedCluster.submit({
    pieces: 100,
    gpus: 0,
    runMs: 20_000,
    crew: 'speech',
  });
  const small = await simulatedCluster.submit({
    pieces: 10,
    gpus: 0,
    runMs: 20_000,
    crew: 'speech',
  });
  await simulatedCluster.pass(60);
  assert.equal(await simulatedCluster.phase(small), 'done');
  assert.equal(await simulatedCluster.phase(large), 'pending');
  assert.ok(
    runKeys(simulatedCluster).every((key) => !ranged(key)),
    'an old leader could not read it',
  );
  assert.ok(allRun(simulatedCluster, work));
  assert.equal(simulatedCluster.starts.length, starts + 10);
  simulatedCluster.nodes[2]!.fate = () => 'serve';
  finish(simulatedCluster, work.array);
  await simulatedCluster.until(
    () => simulatedCluster.running(large) === 100,
    30,
    'the large job runs',
  );
  const records = runKeys(simulatedCluster).filter((key) => key.includes(large));
  assert.ok(records.length <= 2, `${records.length} records: no smaller than they have to be`);
  await simulatedCluster.pass(80);
  assert.equal(await simulatedCluster.phase(large), 'done');
  assert.equal(await simulatedCluster.phase(work.array), 'done');
  assert.equal(simulatedCluster.leader, leader);
  assert.equal(simulatedCluster.store.keys.get('leader')!.stamp, fencingToken);
  assert.ok(simulatedCluster.store.rejected < 30, `${simulatedCluster.store.rejected} refusals`);
  await simulatedCluster.close();
});

test('a user cancels, and a gang starts anew, under the smaller limits', async () => {
  const simulatedCluster = new SimulatedCluster(SIX, 2, 0, { next: NEXT });
  await simulatedCluster.start();
  simulatedCluster.store.limits = NEXT;
  const work = await longWork(simulatedCluster);
  const answer = await simulatedCluster.ask(simulatedCluster.user(1).abort(work.array));
  assert.deepEqual(answer.body, { ref: work.array, phase: 'withdrawn' });
  const hit = simulatedCluster.on(work.gang)[0]!;
  hit.phase = 'ended';
  hit.cause = 'error';
  await simulatedCluster.until(
    () => simulatedCluster.on(work.array).length === 0,
    10,
    'the array is gone',
  );
  await simulatedCluster.until(
    () => simulatedCluster.running(work.gang) === 4,
    60,
    'the gang runs again',
  );
  assert.ok(simulatedCluster.store.rejected === 0, `${simulatedCluster.store.rejected} refusals`);
  await simulatedCluster.until(
    () => !runKeys(simulatedCluster).some((k) => k.includes(work.array)),
    20,
    'its records are gone',
  );
  assert.equal(await simulatedCluster.phase(work.array, 1), 'withdrawn');
  await simulatedCluster.close();
});

test('what production left running is taken over, and nothing of it is started again', async () => {
  const eight = [0, 1, 2, 3, 4, 5, 6, 7].map((i) => ({ yard: i % 2 ? 'b' : 'a' }));
  const simulatedCluster = new SimulatedCluster(eight, 2, 0, { next: NEXT });
  const { jobs, keys } = fillFromProduction(simulatedCluster.store);
  const work = { array: jobs.array, service: jobs.service, gang: jobs.gang };
  let placed = 0;
  for (const [shape, job] of Object.entries(work)) {
    const { spec } = keys[`jobs/${job}`]!.value as { spec: { tasks: number; need: Resources } };
    simulatedCluster.facts.set(job, {
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
      simulatedCluster.onWorkers.set(machine, [
        ...(simulatedCluster.onWorkers.get(machine) ?? []),
        piece,
      ]);
      placed++;
    }
  }
  // Asked past the checker of rules, which has not seen these jobs submitted.
  const phaseAt = async (job: string, node: number): Promise<unknown> => {
    const answer = await simulatedCluster.ask(
      simulatedCluster.nodes[node]!.controller!.jobApi.query(job),
    );
    return (answer.body as { phase?: unknown }).phase;
  };
  const running = (): number =>
    simulatedCluster.running(work.array) +
    simulatedCluster.running(work.service) +
    simulatedCluster.running(work.gang);
  await simulatedCluster.start();
  assert.equal(await phaseAt(jobs.done, 0), 'done');
  assert.equal(await phaseAt(jobs.cancelled, 1), 'withdrawn');
  await simulatedCluster.until(
    () => runKeys(simulatedCluster).every(ranged),
    60,
    'all records have the new layout',
  );
  simulatedCluster.store.limits = NEXT;
  await simulatedCluster.pass(20);
  assert.equal(running(), placed);
  const again = simulatedCluster.starts.filter((name) => !name.startsWith(jobs.waiting));
  assert.deepEqual(again, []);
  finish(simulatedCluster, work.array);
  finish(simulatedCluster, work.gang);
  await simulatedCluster.pass(40);
  assert.equal(await phaseAt(work.array, 0), 'done');
  assert.equal(await phaseAt(work.gang, 0), 'done');
  assert.equal(simulatedCluster.running(work.service), 3);
  await simulatedCluster.close();
});

test('a description too large for the limits to come is refused at once, a known job never', async () => {
  const simulatedCluster = new SimulatedCluster(SIX, 2, 0, { next: { valueBytes: 1024 } });
  await simulatedCluster.start();
  // Not as the simulation's users: the checker of rules knows no limit on descriptions.
  const api = simulatedCluster.nodes[0]!.controller!.jobApi;
  const { ref, body } = simulatedCluster.wish({ pieces: 1 });
  const long = '\u20ac'.repeat(200);
  const large = { ...body, lane: long, crate: long };
  const refused = await simulatedCluster.ask(api.submit(large));
  assert.equal(refused.status, 422);
  assert.match(JSON.stringify(refused.body), /larger than the state service takes/);
  // Machine types that do not exist mean nothing, and keep no job out.
  const hulls = ['g8', ...Array.from({ length: 300 }, (_, i) => `type-${i}`)];
  assert.equal((await simulatedCluster.ask(api.submit({ ...body, hulls }))).status, 201);
  const { spec } = simulatedCluster.store.get(`jobs/${ref}`) as { spec: { types: string[] } };
  assert.deepEqual(spec.types, ['g8']);
  const other = simulatedCluster.nodes[1]!.controller!.jobApi;
  assert.equal((await simulatedCluster.ask(other.submit(large))).status, 200);
  await simulatedCluster.close();
});
