import assert from 'node:assert/strict';
import { test } from 'node:test';
import { trackedTasksLimit } from '../src/control/scheduling/tracked-tasks-limit.js';
import { recoveredLeaderOf } from './fakes/leader.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';
import {
  SMALL_FLEET,
  SMALL_LIMIT,
  SMALL_LIMIT_WITH_EXITS,
  SMALL_MEMORY_MB,
  SMALL_TASK,
  startSmallCluster,
  trackedTasks,
  watchTrackedTasks,
} from './fakes/tracked-tasks.js';
import { MAX_TASKS } from './fakes/samples.js';

const ARRAY_TASKS = 1400;
const LONG_MS = 600_000;

/** Waits until the leader tracks nearly as many tasks as it may. */
async function untilFull(cluster: SimulatedCluster): Promise<void> {
  const isFull = (): boolean => trackedTasks(cluster) > SMALL_LIMIT * 0.75;
  await cluster.until(isFull, 40, 'most slots are taken');
}

/** The job is done or, if it is a service, runs in full. */
async function untilServed(cluster: SimulatedCluster, ref: string, seconds: number): Promise<void> {
  const { shape, pieces } = cluster.facts.get(ref)!;
  const isServed = (): boolean =>
    shape === 'service' ? cluster.running(ref) === pieces : cluster.storedPhase(ref) === 'done';
  await cluster.until(isServed, seconds, `${ref} is served`);
}

test(`a controller of 114 MB tracks more than ${MAX_TASKS} tasks`, () => {
  assert.ok(trackedTasksLimit(114) > MAX_TASKS);
});

// Guards against placements without a bound: two arrays of small tasks ended every controller for memory.
test(`2 arrays of ${ARRAY_TASKS} tasks on ${SMALL_FLEET} machines: at most ${SMALL_LIMIT} are tracked at once, and all of them run`, async () => {
  const cluster = await startSmallCluster();
  const watched = watchTrackedTasks(cluster);
  const template = { ...SMALL_TASK, pieces: ARRAY_TASKS, urgency: 'best_effort', runMs: 4000 };
  const jobs = [await cluster.submit(template), await cluster.submit(template)];
  await untilFull(cluster);
  // A job that comes later waits for neither of them.
  const later = await cluster.submit({ ...SMALL_TASK, crew: 'desk', pieces: 5, runMs: 1000 });
  await untilServed(cluster, later, 15);
  for (const job of jobs) await untilServed(cluster, job, 120);
  assert.ok(watched.peak <= SMALL_LIMIT_WITH_EXITS, `${watched.peak} tasks`);
  await cluster.close();
});

for (const shape of ['array', 'service'] as const) {
  // Guards against small tasks that keep urgent work from its slots, on machines that have room for it.
  test(`urgent work gets its slots while 3 best-effort ${shape}s of ${ARRAY_TASKS} long tasks hold most of them`, async () => {
    const cluster = await startSmallCluster();
    const watched = watchTrackedTasks(cluster);
    const template = { ...SMALL_TASK, shape, pieces: ARRAY_TASKS, urgency: 'best_effort' };
    for (let i = 0; i < 3; i++) await cluster.submit({ ...template, runMs: LONG_MS });
    await untilFull(cluster);
    let stopped = 0;
    cluster.onStopped = () => stopped++;
    const pieces = shape === 'array' ? 300 : 10;
    const urgent = { ...SMALL_TASK, urgency: 'urgent', runMs: 3000 };
    const jobs = [
      await cluster.submit({ ...urgent, pieces }),
      await cluster.submit({ ...urgent, pieces: pieces / 2, shape: 'gang' }),
      await cluster.submit({ ...urgent, pieces: 3, shape: 'service', runMs: 0 }),
    ];
    for (const job of jobs) await untilServed(cluster, job, 60);
    // Tasks that are stopping already are counted on, so that few more make way than have to.
    const wanted = pieces + pieces / 2 + 3;
    assert.ok(stopped <= wanted * 2, `${stopped} tasks made way for ${wanted}`);
    assert.ok(watched.peak <= SMALL_LIMIT_WITH_EXITS, `${watched.peak} tasks`);
    await cluster.close();
  });
}

// Guards against a job that is started and stopped in every cycle for work that may not take its slots.
test('an ordinary job runs beside urgent work that waits for slots, without being started again and again', async () => {
  const cluster = await startSmallCluster();
  const template = { ...SMALL_TASK, pieces: ARRAY_TASKS, urgency: 'urgent', runMs: LONG_MS };
  for (let i = 0; i < 4; i++) await cluster.submit(template);
  await untilFull(cluster);
  const urgent = await cluster.submit({ ...template, pieces: 12, runMs: 1000 });
  const ordinary = await cluster.submit({ ...SMALL_TASK, crew: 'desk', pieces: 5, runMs: 1000 });
  const startsOfOrdinary = (): number =>
    cluster.starts.filter((name) => name.startsWith(`${ordinary}/`)).length;
  const attempts = (): number => recoveredLeaderOf(cluster)?.jobs.get(ordinary)?.attempt ?? 0;
  let mostAttempts = 0;
  cluster.observers.add(() => (mostAttempts = Math.max(mostAttempts, attempts())));
  for (const job of [urgent, ordinary]) await untilServed(cluster, job, 120);
  assert.ok(startsOfOrdinary() <= 10, `${startsOfOrdinary()} starts`);
  assert.ok(mostAttempts <= 20, `${mostAttempts} attempts`);
  await cluster.close();
});

test(`work within a guarantee gets its slots while a team without one holds most of them`, async () => {
  const cluster = await startSmallCluster();
  const template = { ...SMALL_TASK, pieces: ARRAY_TASKS, runMs: LONG_MS };
  for (let i = 0; i < 3; i++) await cluster.submit(template);
  await untilFull(cluster);
  const guaranteed = await cluster.submit({
    ...{ crew: 'vision', pieces: 14, gpus: 1, vcpus: 0.1, runMs: 3000, fetchMs: 200 },
  });
  await untilServed(cluster, guaranteed, 40);
  await cluster.close();
});

test(`a gang that needs most slots starts, although arrays of its priority keep coming`, async () => {
  const cluster = await startSmallCluster();
  const watched = watchTrackedTasks(cluster);
  const template = { ...SMALL_TASK, pieces: ARRAY_TASKS, runMs: 4000 };
  await cluster.submit(template);
  await untilFull(cluster);
  const gang = await cluster.submit({ ...SMALL_TASK, shape: 'gang', pieces: 900, runMs: 3000 });
  for (let i = 0; i < 3; i++) await cluster.submit(template);
  await untilServed(cluster, gang, 90);
  assert.ok(watched.peak <= SMALL_LIMIT_WITH_EXITS, `${watched.peak} tasks`);
  await cluster.close();
});

test('a gang that can never get its slots beside running replicas keeps none from other jobs', async () => {
  const cluster = await startSmallCluster();
  const replicas = { ...SMALL_TASK, shape: 'service', pieces: 500, runMs: 0 } as const;
  await untilServed(cluster, await cluster.submit(replicas), 30);
  const gang = await cluster.submit({ ...SMALL_TASK, shape: 'gang', pieces: 800, runMs: 3000 });
  const array = await cluster.submit({ ...SMALL_TASK, pieces: 1000, runMs: 2000 });
  await untilServed(cluster, array, 60);
  assert.equal(cluster.storedPhase(gang), 'open');
  await cluster.close();
});

// Guards against a new leader that adds to what it finds: each one ended as the last one did.
test('a new leader that finds more tasks than it may track starts none until enough have ended', async () => {
  const cluster = await startSmallCluster(SMALL_MEMORY_MB * 4);
  const template = { ...SMALL_TASK, pieces: ARRAY_TASKS, runMs: 12_000 };
  const jobs = [await cluster.submit(template), await cluster.submit(template)];
  const isAbove = (): boolean => trackedTasks(cluster) > SMALL_LIMIT * 1.5;
  await cluster.until(isAbove, 20, 'more tasks than a small controller may track');
  await cluster.advance(3);
  Object.assign(cluster.shape.machine, { memoryMb: SMALL_MEMORY_MB });
  for (const [i] of cluster.nodes.entries()) cluster.crash(i);
  cluster.restartAll();
  const isRecovered = (): boolean => recoveredLeaderOf(cluster) !== null;
  await cluster.until(isRecovered, 20, 'the records are read');
  let added = 0;
  let before = trackedTasks(cluster);
  cluster.observers.add(() => {
    const tracked = trackedTasks(cluster);
    if (tracked > SMALL_LIMIT) added = Math.max(added, tracked - before);
    before = tracked;
  });
  assert.ok(before > SMALL_LIMIT, `${before} tasks`);
  for (const job of jobs) await untilServed(cluster, job, 120);
  assert.equal(added, 0);
  await cluster.close();
});
