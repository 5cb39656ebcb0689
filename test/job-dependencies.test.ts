import assert from 'node:assert/strict';
import { test } from 'node:test';
import { withinGuarantee } from '../src/scheduler/job-order.js';
import type { Job } from '../src/jobs/tracked-job.js';
import { leaderOf } from './fakes/leader.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

const startsOf = (cluster: SimulatedCluster, ref: string): number =>
  cluster.starts.filter((name) => name.startsWith(`${ref}/`)).length;

/** The leader's in-memory state of a job; undefined once it has dropped the job. */
const trackedJob = (cluster: SimulatedCluster, ref: string): Job | undefined =>
  leaderOf(cluster).jobs.get(ref);

async function abort(cluster: SimulatedCluster, node: number, ref: string): Promise<string> {
  const answer = await cluster.ask(cluster.user(node).abort(ref));
  assert.equal(answer.status, 200);
  return (answer.body as { phase: string }).phase;
}

interface Pipeline {
  extract: string;
  dedupe: string;
  rebuild: string;
}

async function submitPipeline(cluster: SimulatedCluster, runMs = 5000): Promise<Pipeline> {
  const extract = await cluster.submit({ pieces: 3, runMs });
  const dedupe = await cluster.submit({ pieces: 4, runMs, waitsOn: [extract] }, 1);
  const rebuild = await cluster.submit({ shape: 'gang', pieces: 2, runMs, waitsOn: [dedupe] });
  return { extract, dedupe, rebuild };
}

test('the jobs of a pipeline run one after another', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitPipeline(simulatedCluster);
  await simulatedCluster.until(
    () => startsOf(simulatedCluster, extract) === 3,
    10,
    'the first job starts',
  );
  assert.equal(await simulatedCluster.phase(dedupe), 'pending');
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(rebuild) === 'done',
    60,
    'the last job is done',
  );
  const order = simulatedCluster.starts.map((name) => name.split('/')[0]);
  assert.deepEqual(order, [...order].sort(), 'in the order of their submission');
  for (const ref of [extract, dedupe, rebuild])
    assert.equal(await simulatedCluster.phase(ref, 1), 'done');
  await simulatedCluster.close();
});

test('a job waits for all of its dependencies and starts once the last one is done', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const short = await simulatedCluster.submit({ runMs: 3000 });
  const long = await simulatedCluster.submit({ runMs: 25_000 });
  const last = await simulatedCluster.submit({ runMs: 3000, waitsOn: [short, long] });
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(short) === 'done',
    20,
    'the short dependency is done',
  );
  await simulatedCluster.advance(8);
  assert.equal(startsOf(simulatedCluster, last), 0);
  await simulatedCluster.until(() => simulatedCluster.storedPhase(last) === 'done', 60, 'done');
  await simulatedCluster.close();
});

test('a pipeline continues in order when the leader changes at every step', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitPipeline(simulatedCluster, 12_000);
  for (const stepJob of [extract, dedupe, rebuild]) {
    await simulatedCluster.until(
      () => startsOf(simulatedCluster, stepJob) > 0,
      40,
      `${stepJob} starts`,
    );
    const oldLeader = simulatedCluster.leader;
    simulatedCluster.crash(oldLeader);
    await simulatedCluster.until(() => simulatedCluster.leader === 1 - oldLeader, 8, 'takeover');
    simulatedCluster.restart(oldLeader);
  }
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(rebuild) === 'done',
    60,
    'the last job is done',
  );
  assert.equal(simulatedCluster.starts.length, 9);
  await simulatedCluster.close();
});

test('a job still waits for its dependency after all controllers crashed', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitPipeline(simulatedCluster, 20_000);
  await simulatedCluster.until(
    () => simulatedCluster.running(extract) === 3,
    10,
    'the first job runs',
  );
  simulatedCluster.crash(0);
  simulatedCluster.crash(1);
  await simulatedCluster.advance(2);
  simulatedCluster.restart(0);
  simulatedCluster.restart(1);
  await simulatedCluster.advance(8);
  assert.equal(startsOf(simulatedCluster, dedupe), 0);
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(rebuild) === 'done',
    90,
    'the last job is done',
  );
  await simulatedCluster.close();
});

test('a job does not start before the completion of its dependency is stored', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { extract, dedupe } = await submitPipeline(simulatedCluster, 4000);
  await simulatedCluster.until(
    () => simulatedCluster.running(extract) === 3,
    10,
    'the first job runs',
  );
  const oldLeader = simulatedCluster.leader;
  // All tasks of the dependency exit, but the leader's write of its final record gets no answer and
  // reaches the store only after the leader has crashed.
  simulatedCluster.nodes[oldLeader]!.storeOutcome = (_method, path, body) =>
    path === '/txn' && JSON.stringify(body).includes(`"write":"jobs/${extract}"`)
      ? 'apply late'
      : 'serve';
  await simulatedCluster.until(() => simulatedCluster.store.late.length > 0, 30, 'sent');
  await simulatedCluster.advance(2);
  assert.equal(startsOf(simulatedCluster, dedupe), 0);
  simulatedCluster.crash(oldLeader);
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(extract) === 'done',
    25,
    'the next leader writes the final record',
  );
  for (const apply of simulatedCluster.store.late) assert.equal(apply().status, 409);
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(dedupe) === 'done',
    40,
    'the pipeline continues',
  );
  await simulatedCluster.close();
});

test('a job that waits for a dependency uses none of its limit or guarantee and does not hold the gang gate', async () => {
  // Five machines, so that each task of the gang that may run has a free one.
  const simulatedCluster = new SimulatedCluster([...FOUR_MACHINES, { yard: 'a' }]);
  await simulatedCluster.start();
  // Runs for longer than a machine boots; otherwise capacity would rightly be provisioned ahead.
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
    'another job uses the whole guarantee',
  );
  await simulatedCluster.until(
    () => simulatedCluster.running(otherGang) === 2,
    25,
    'another gang passes the gate',
  );
  assert.equal(startsOf(simulatedCluster, waiting) + startsOf(simulatedCluster, gang), 0);
  const { jobs, teams, isGateClosed } = leaderOf(simulatedCluster).schedulingLoop.takeSnapshot(
    simulatedCluster.clock.now(),
  );
  assert.deepEqual(new Set(jobs.map((job) => job.id)), new Set([first, other, otherGang]));
  assert.ok(
    withinGuarantee(jobs, teams).has(other),
    'the earlier job, which still waits, uses none of the guarantee',
  );
  assert.equal(teams.get('vision')!.used.gpus, 30);
  assert.equal(isGateClosed, false);
  assert.equal(
    simulatedCluster.cloud.hosts.size,
    5,
    'no machine is provisioned for the waiting jobs',
  );
  await simulatedCluster.close();
});

test('a cancellation cancels all dependents of the job, and none of them starts', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitPipeline(simulatedCluster, 30_000);
  await simulatedCluster.until(
    () => simulatedCluster.running(extract) === 3,
    10,
    'the first job runs',
  );
  assert.equal(await abort(simulatedCluster, 1, extract), 'withdrawn');
  for (const node of [0, 1]) {
    for (const ref of [dedupe, rebuild])
      assert.equal(await simulatedCluster.phase(ref, node), 'withdrawn');
  }
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(rebuild) === 'cancelled',
    20,
    'the dependents are stored as cancelled',
  );
  assert.equal(simulatedCluster.storedPhase(dedupe), 'cancelled');
  await simulatedCluster.until(
    () => trackedJob(simulatedCluster, rebuild) === undefined,
    20,
    'dropped by the leader',
  );
  const late = await simulatedCluster.submit({ waitsOn: [rebuild] });
  assert.equal(await simulatedCluster.phase(late, 1), 'withdrawn');
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(late) === 'cancelled',
    20,
    'it is stored as cancelled too',
  );
  await simulatedCluster.advance(10);
  assert.equal(simulatedCluster.starts.length, 3);
  await simulatedCluster.close();
});

test('a cascading cancellation holds when the node that confirmed it and the leader crash at once', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitPipeline(simulatedCluster, 30_000);
  await simulatedCluster.until(
    () => simulatedCluster.running(extract) === 3,
    10,
    'the first job runs',
  );
  const oldLeader = simulatedCluster.leader;
  const confirmingNode = (oldLeader + 1) % 3;
  const remainingNode = (oldLeader + 2) % 3;
  // The leader learns of the cancellation neither from the other controllers nor from the store.
  simulatedCluster.nodes[oldLeader]!.storeOutcome = (_method, path) =>
    path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve';
  simulatedCluster.peerNetwork.disconnected.add(simulatedCluster.nodes[oldLeader]!.name);
  await abort(simulatedCluster, confirmingNode, extract);
  simulatedCluster.crash(confirmingNode);
  simulatedCluster.crash(oldLeader);
  for (const ref of [dedupe, rebuild])
    assert.equal(await simulatedCluster.phase(ref, remainingNode), 'withdrawn');
  await simulatedCluster.until(() => simulatedCluster.leader === remainingNode, 10, 'takeover');
  await simulatedCluster.until(
    () => simulatedCluster.tasksOf(extract).length === 0,
    15,
    'its tasks are stopped',
  );
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(rebuild) === 'cancelled',
    10,
    'the dependents are stored as cancelled',
  );
  assert.equal(simulatedCluster.starts.length, 3);
  await simulatedCluster.close();
});

test('a cascading cancellation holds when the store goes down right after the answer', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const { extract, dedupe, rebuild } = await submitPipeline(simulatedCluster, 30_000);
  await simulatedCluster.until(
    () => simulatedCluster.running(extract) === 3,
    10,
    'the first job runs',
  );
  assert.equal(await abort(simulatedCluster, 0, extract), 'withdrawn');
  simulatedCluster.store.down = true;
  for (const node of [0, 1]) {
    for (const ref of [dedupe, rebuild]) {
      assert.ok(['withdrawn', '503'].includes(await simulatedCluster.phase(ref, node)));
    }
  }
  await simulatedCluster.advance(20);
  simulatedCluster.store.restore();
  await simulatedCluster.advance(10);
  for (const node of [0, 1]) {
    for (const ref of [dedupe, rebuild])
      assert.equal(await simulatedCluster.phase(ref, node), 'withdrawn');
  }
  assert.equal(startsOf(simulatedCluster, dedupe) + startsOf(simulatedCluster, rebuild), 0);
  await simulatedCluster.close();
});

test('a cancellation that races with the completion of the job has one outcome for the whole pipeline', async () => {
  for (const delay of [0, 0.25, 0.5, 0.75, 1, 1.25]) {
    const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
    await simulatedCluster.start();
    const first = await simulatedCluster.submit({ runMs: 4000 });
    const next = await simulatedCluster.submit({ runMs: 2000, waitsOn: [first] }, 1);
    await simulatedCluster.until(() => simulatedCluster.running(first) === 1, 10, 'runs');
    await simulatedCluster.advance(3.5 + delay);
    const answeredPhase = await abort(simulatedCluster, 1, first);
    await simulatedCluster.advance(25);
    const expected = answeredPhase === 'done' ? 'done' : 'withdrawn';
    for (const node of [0, 1]) assert.equal(await simulatedCluster.phase(next, node), expected);
    assert.equal(startsOf(simulatedCluster, next), answeredPhase === 'done' ? 1 : 0);
    await simulatedCluster.close();
  }
});

test('a job whose dependencies were done long ago starts at once, also if the leader no longer remembers them', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  // More finished jobs than a leader keeps in memory.
  for (let i = 0; i < 6000; i++) simulatedCluster.addDoneJob(`req-1${String(i).padStart(5, '0')}`);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ waitsOn: ['req-100000', 'req-105999'] });
  await simulatedCluster.until(() => startsOf(simulatedCluster, job) === 1, 10, 'starts');
  await simulatedCluster.close();
});

test('a job is ready as of the time its last dependency was done, also for a leader that takes over later', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const first = await simulatedCluster.submit({ runMs: 3000 });
  const next = await simulatedCluster.submit({ runMs: 60_000, waitsOn: [first] });
  await simulatedCluster.until(
    () => simulatedCluster.running(next) === 1,
    30,
    'the dependent job runs',
  );
  const { doneAt } = simulatedCluster.store.get(`jobs/${first}`) as { doneAt: number };
  assert.ok(
    trackedJob(simulatedCluster, next)!.readyAt! > trackedJob(simulatedCluster, next)!.submittedAt,
  );
  assert.equal(trackedJob(simulatedCluster, next)!.readyAt, doneAt);
  const oldLeader = simulatedCluster.leader;
  simulatedCluster.crash(oldLeader);
  await simulatedCluster.until(() => simulatedCluster.leader === 1 - oldLeader, 8, 'takeover');
  await simulatedCluster.advance(3);
  assert.equal(trackedJob(simulatedCluster, next)!.readyAt, doneAt);
  assert.equal(startsOf(simulatedCluster, next), 1);
  await simulatedCluster.close();
});

const requestIds = (count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-2${String(i).padStart(5, '0')}`);

test('a job with hundreds of dependencies waits for each, and its dependency chunks are removed at its end', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const doneJobs = requestIds(600);
  for (const ref of doneJobs) simulatedCluster.addDoneJob(ref);
  const open = await simulatedCluster.submit({ runMs: 15_000 });
  const job = await simulatedCluster.submit({ runMs: 3000, waitsOn: [...doneJobs, open] });
  const chunkCount = (): number =>
    [...simulatedCluster.store.keys.keys()].filter((key) => key.startsWith(`needs/${job}/`)).length;
  assert.notEqual(chunkCount(), 0);
  const oldLeader = simulatedCluster.leader;
  simulatedCluster.crash(oldLeader);
  await simulatedCluster.until(() => simulatedCluster.leader === 1 - oldLeader, 8, 'takeover');
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(open) === 'done',
    40,
    'the open dependency is done',
  );
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(job) === 'done',
    40,
    'the dependent job is done',
  );
  await simulatedCluster.until(() => chunkCount() === 0, 10, 'chunks removed');
  await simulatedCluster.close();
});

test('a job whose dependencies cannot be read does not start, and other jobs continue', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const doneJobs = requestIds(600);
  for (const ref of doneJobs) simulatedCluster.addDoneJob(ref);
  simulatedCluster.nodes[simulatedCluster.leader]!.storeOutcome = (_method, path) =>
    path.startsWith('/store?starts=needs') ? 'refuse' : 'serve';
  const job = await simulatedCluster.submit(
    { runMs: 3000, waitsOn: doneJobs },
    1 - simulatedCluster.leader,
  );
  const other = await simulatedCluster.submit({ runMs: 3000 }, 1 - simulatedCluster.leader);
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(other) === 'done',
    20,
    'another job is done',
  );
  await simulatedCluster.advance(20);
  assert.equal(startsOf(simulatedCluster, job), 0);
  simulatedCluster.nodes[simulatedCluster.leader]!.storeOutcome = () => 'serve';
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(job) === 'done',
    60,
    'done once its dependencies can be read',
  );
  await simulatedCluster.close();
});
