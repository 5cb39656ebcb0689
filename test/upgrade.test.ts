import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Resources } from '../src/fleet/resources.js';
import { parseRun } from '../src/jobs/records.js';
import { fillFromProduction } from './fakes/production.js';
import {
  exitTasks,
  preventMemberRecord,
  ANNOUNCED_LIMITS,
  isRangedRunKey,
  runKeys,
} from './fakes/upgrade.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const SIX_MACHINES = ['a', 'b', 'a', 'b', 'a', 'b'].map((yard) => ({ yard }));
const LONG_MS = 400_000;

/** Restarts a controller with the new version. */
async function upgradeController(cluster: SimulatedCluster, node: number): Promise<void> {
  cluster.crash(node);
  await cluster.advance(3);
  cluster.restart(node);
  await cluster.advance(10);
}

interface LongWork {
  array: string;
  service: string;
  gang: string;
}

/** Starts an array of 150 tasks, three replicas and a gang, and waits until all run. */
async function startLongWork(cluster: SimulatedCluster): Promise<LongWork> {
  const array = await cluster.submit({ pieces: 150, gpus: 0, runMs: LONG_MS, crew: 'speech' });
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
    runMs: LONG_MS,
    samePlace: true,
  });
  await cluster.until(() => allRun(cluster, { array, service, gang }), 40, 'all runs');
  return { array, service, gang };
}

const allRun = (cluster: SimulatedCluster, work: LongWork): boolean =>
  cluster.running(work.array) === 150 &&
  cluster.running(work.service) === 3 &&
  cluster.running(work.gang) === 4;

test('run records keep the old layout until the last controller is upgraded, under old and new leaders', async () => {
  const simulatedCluster = new SimulatedCluster(SIX_MACHINES, 3, 0, { next: ANNOUNCED_LIMITS });
  for (const node of [0, 1, 2]) preventMemberRecord(simulatedCluster, node);
  await simulatedCluster.start();
  const work = await startLongWork(simulatedCluster);
  const starts = simulatedCluster.starts.length;
  // The leader is upgraded first, so that leadership passes between old and new controllers.
  const order = [
    simulatedCluster.leader,
    ...[0, 1, 2].filter((i) => i !== simulatedCluster.leader),
  ];
  await upgradeController(simulatedCluster, order[0]!);
  await upgradeController(simulatedCluster, order[1]!);
  // A controller that crashes before its upgrade restarts with the old version.
  simulatedCluster.crash(order[2]!);
  await simulatedCluster.advance(2);
  simulatedCluster.restart(order[2]!);
  preventMemberRecord(simulatedCluster, order[2]!);
  await simulatedCluster.advance(20);
  simulatedCluster.crash(simulatedCluster.leader);
  await simulatedCluster.advance(8);
  assert.ok(runKeys(simulatedCluster).every((key) => !isRangedRunKey(key)));
  for (const node of [0, 1, 2])
    if (!simulatedCluster.nodes[node]!.controller) simulatedCluster.restart(node);
  simulatedCluster.nodes[order[2]!]!.storeOutcome = () => 'serve';
  await simulatedCluster.until(
    () => runKeys(simulatedCluster).every(isRangedRunKey),
    60,
    'all records have the new layout',
  );
  assert.ok(allRun(simulatedCluster, work));
  assert.equal(simulatedCluster.starts.length, starts, 'no task was started again');
  await simulatedCluster.close();
});

// Each of the three jobs is rewritten in one transaction here; `run-layout.test.ts` covers failures
// within one transaction.
for (const writesBeforeCrash of [1, 2, 3]) {
  test(`limits drop and the leader crashes after ${writesBeforeCrash} writes of the layout migration`, async () => {
    const simulatedCluster = new SimulatedCluster(SIX_MACHINES, 3, 0, { next: ANNOUNCED_LIMITS });
    preventMemberRecord(simulatedCluster, 2);
    await simulatedCluster.start();
    const work = await startLongWork(simulatedCluster);
    const starts = simulatedCluster.starts.length;
    const { leader } = simulatedCluster;
    let writesLeft = writesBeforeCrash;
    const node = simulatedCluster.nodes[leader]!;
    const originalFate = node.storeOutcome;
    node.storeOutcome = (method, path, body) => {
      if (path !== '/txn' || !JSON.stringify(body).includes('/p'))
        return originalFate(method, path, body);
      // The last write is applied, but its response is lost.
      writesLeft--;
      return writesLeft > 0 ? 'serve' : writesLeft === 0 ? 'lose answer' : 'lose request';
    };
    if (leader !== 2) simulatedCluster.nodes[2]!.storeOutcome = () => 'serve';
    else {
      const chainedFate = node.storeOutcome;
      node.storeOutcome = (method, path, body) =>
        JSON.stringify(body).includes('members/') ? 'serve' : chainedFate(method, path, body);
    }
    await simulatedCluster.until(() => writesLeft <= 0, 40, 'the layout migration has begun');
    simulatedCluster.store.limits = ANNOUNCED_LIMITS;
    simulatedCluster.crash(leader);
    await simulatedCluster.advance(20);
    simulatedCluster.restart(leader);
    await simulatedCluster.until(
      () => runKeys(simulatedCluster).every(isRangedRunKey),
      60,
      'all records have the new layout',
    );
    assert.ok(allRun(simulatedCluster, work));
    assert.equal(simulatedCluster.starts.length, starts, 'no task was started again');
    for (const job of [work.array, work.gang]) exitTasks(simulatedCluster, job);
    await simulatedCluster.advance(40);
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

test('limits that drop before the upgrade is complete hold back only large jobs, until it is complete', async () => {
  const simulatedCluster = new SimulatedCluster(SIX_MACHINES, 3, 0, { next: ANNOUNCED_LIMITS });
  preventMemberRecord(simulatedCluster, 2);
  await simulatedCluster.start();
  const work = await startLongWork(simulatedCluster);
  const starts = simulatedCluster.starts.length;
  const { leader } = simulatedCluster;
  const fencingToken = simulatedCluster.store.keys.get('leader')!.stamp;
  simulatedCluster.store.limits = ANNOUNCED_LIMITS;
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
  await simulatedCluster.advance(60);
  assert.equal(await simulatedCluster.phase(small), 'done');
  assert.equal(await simulatedCluster.phase(large), 'pending');
  assert.ok(
    runKeys(simulatedCluster).every((key) => !isRangedRunKey(key)),
    'an old leader could not read it',
  );
  assert.ok(allRun(simulatedCluster, work));
  assert.equal(simulatedCluster.starts.length, starts + 10);
  simulatedCluster.nodes[2]!.storeOutcome = () => 'serve';
  exitTasks(simulatedCluster, work.array);
  await simulatedCluster.until(
    () => simulatedCluster.running(large) === 100,
    30,
    'the large job runs',
  );
  const records = runKeys(simulatedCluster).filter((key) => key.includes(large));
  assert.ok(records.length <= 2, `${records.length} records: ranges are no smaller than necessary`);
  await simulatedCluster.advance(80);
  assert.equal(await simulatedCluster.phase(large), 'done');
  assert.equal(await simulatedCluster.phase(work.array), 'done');
  assert.equal(simulatedCluster.leader, leader);
  assert.equal(simulatedCluster.store.keys.get('leader')!.stamp, fencingToken);
  assert.ok(simulatedCluster.store.rejected < 30, `${simulatedCluster.store.rejected} refusals`);
  await simulatedCluster.close();
});

test('a user cancels a job, and a gang is restarted, under the lower limits', async () => {
  const simulatedCluster = new SimulatedCluster(SIX_MACHINES, 2, 0, { next: ANNOUNCED_LIMITS });
  await simulatedCluster.start();
  simulatedCluster.store.limits = ANNOUNCED_LIMITS;
  const work = await startLongWork(simulatedCluster);
  const answer = await simulatedCluster.ask(simulatedCluster.user(1).abort(work.array));
  assert.deepEqual(answer.body, { ref: work.array, phase: 'withdrawn' });
  const failedTask = simulatedCluster.tasksOf(work.gang)[0]!;
  failedTask.phase = 'ended';
  failedTask.cause = 'error';
  await simulatedCluster.until(
    () => simulatedCluster.tasksOf(work.array).length === 0,
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
    'the run records of the array are deleted',
  );
  assert.equal(await simulatedCluster.phase(work.array, 1), 'withdrawn');
  await simulatedCluster.close();
});

test('running work in a production store is taken over, and none of it is started again', async () => {
  const eightMachines = [0, 1, 2, 3, 4, 5, 6, 7].map((i) => ({ yard: i % 2 ? 'b' : 'a' }));
  const simulatedCluster = new SimulatedCluster(eightMachines, 2, 0, { next: ANNOUNCED_LIMITS });
  const { jobs, keys } = fillFromProduction(simulatedCluster.store);
  const work = { array: jobs.array, service: jobs.service, gang: jobs.gang };
  let placed = 0;
  for (const [shape, job] of Object.entries(work)) {
    const { spec } = keys[`jobs/${job}`]!.value as { spec: { tasks: number; need: Resources } };
    simulatedCluster.facts.set(job, {
      shape,
      pieces: spec.tasks,
      runMs: shape === 'service' ? 0 : LONG_MS,
      fetchMs: 1000,
      saveMs: 1000,
      vcpus: spec.need.cpus,
      gpus: spec.need.gpus,
      memoryGb: spec.need.memoryGb,
    });
    const run = parseRun(keys[`runs/${job}/0`]!.value)!;
    for (const [task, attempt, machine] of run.placed) {
      const runningTask = { job, task, attempt, phase: 'running', cause: null, since: 0 } as const;
      simulatedCluster.initialTasks.set(machine, [
        ...(simulatedCluster.initialTasks.get(machine) ?? []),
        runningTask,
      ]);
      placed++;
    }
  }
  // Queried without the rule checker, which has not seen the submissions of these jobs.
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
    () => runKeys(simulatedCluster).every(isRangedRunKey),
    60,
    'all records have the new layout',
  );
  simulatedCluster.store.limits = ANNOUNCED_LIMITS;
  await simulatedCluster.advance(20);
  assert.equal(running(), placed);
  const startsOfTakenOver = simulatedCluster.starts.filter(
    (name) => !name.startsWith(jobs.waiting),
  );
  assert.deepEqual(startsOfTakenOver, []);
  exitTasks(simulatedCluster, work.array);
  exitTasks(simulatedCluster, work.gang);
  await simulatedCluster.advance(40);
  assert.equal(await phaseAt(work.array, 0), 'done');
  assert.equal(await phaseAt(work.gang, 0), 'done');
  assert.equal(simulatedCluster.running(work.service), 3);
  await simulatedCluster.close();
});

test('a job description too large for the announced limits is rejected at once, a known job never', async () => {
  const simulatedCluster = new SimulatedCluster(SIX_MACHINES, 2, 0, { next: { valueBytes: 1024 } });
  await simulatedCluster.start();
  // Not through the simulated users: the rule checker knows no limit on job descriptions.
  const api = simulatedCluster.nodes[0]!.controller!.jobApi;
  const { ref, body } = simulatedCluster.createSubmission({ pieces: 1 });
  const long = '\u20ac'.repeat(200);
  const large = { ...body, lane: long, crate: long };
  const refused = await simulatedCluster.ask(api.submit(large));
  assert.equal(refused.status, 422);
  assert.match(JSON.stringify(refused.body), /larger than the state service takes/);
  // Unknown machine types are dropped and do not cause a rejection.
  const hulls = ['g8', ...Array.from({ length: 300 }, (_, i) => `type-${i}`)];
  assert.equal((await simulatedCluster.ask(api.submit({ ...body, hulls }))).status, 201);
  const { spec } = simulatedCluster.store.get(`jobs/${ref}`) as { spec: { types: string[] } };
  assert.deepEqual(spec.types, ['g8']);
  const other = simulatedCluster.nodes[1]!.controller!.jobApi;
  assert.equal((await simulatedCluster.ask(other.submit(large))).status, 200);
  await simulatedCluster.close();
});
