import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deployedHeapMb, runInControllerHeap } from './fakes/controller-heap.js';
import { leaderOf } from './fakes/leader.js';
import type { LargestJobsCase, LargestJobsResult } from './fakes/largest-jobs.js';
import type { OpenJobsCase, OpenJobsResult } from './fakes/open-jobs.js';
import type { PlacedTasksCase } from './fakes/placed-tasks.js';
import { MAX_TASKS } from './fakes/samples.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const CYCLES = new URL('./fakes/largest-jobs.js', import.meta.url);
const OPEN_JOBS = new URL('./fakes/open-jobs.js', import.meta.url);
const PLACED_TASKS = new URL('./fakes/placed-tasks.js', import.meta.url);

/** The fleet size at which operators run the service. */
const FLEET_MACHINES = 4000;

/** Number of machines in the snapshot of a cycle, which the plan may use instead of new ones. */
const KNOWN_MACHINES = 2;

/** Memory of a deployed controller, and the smallest limit of a value in the deployments. */
const DEPLOYMENT: OpenJobsCase = { memoryMb: 114, valueBytes: 8 * 1024 };

for (const kind of ['array', 'gang', 'service'] as const) {
  for (const tasksPerMachine of [1, 2, 48]) {
    for (const jobs of [1, 4]) {
      // Guards against a plan that holds an object for each machine that a job asks for: it ended
      // every leader for want of heap.
      test(`${jobs} ${kind} of ${MAX_TASKS} tasks, ${tasksPerMachine} to a machine: planned in full within the heap of a controller`, async () => {
        const fewest = (jobs * MAX_TASKS) / tasksPerMachine - KNOWN_MACHINES;
        const most = jobs * Math.ceil(MAX_TASKS / tasksPerMachine);
        const workerData: LargestJobsCase = { kind, tasksPerMachine, jobs };
        const results = await runInControllerHeap<LargestJobsResult>(CYCLES, workerData);
        assert.equal(results.length, 60);
        for (const { variant, provisioned } of results) {
          const isComplete = provisioned >= fewest && provisioned <= most;
          assert.ok(isComplete, `${variant}: ${provisioned} of ${fewest} to ${most} machines`);
        }
      });
    }
  }
}

// Guards against state for each task of a waiting job: some 500 waiting jobs ended every leader for want
// of heap, while more than ten times as many are accepted.
test(`as many open jobs of ${MAX_TASKS} tasks as a controller of ${DEPLOYMENT.memoryMb} MB accepts fit its memory`, async () => {
  const [result] = await runInControllerHeap<OpenJobsResult>(OPEN_JOBS, DEPLOYMENT);
  assert.ok(result);
  assert.equal(result.waitingTasks, result.jobs * (MAX_TASKS - 1));
  const maxBufferBytes = (DEPLOYMENT.memoryMb - deployedHeapMb()) * 2 ** 20;
  assert.ok(result.bufferBytes < maxBufferBytes, `${result.bufferBytes} bytes of buffers`);
});

// Guards against more placements than the heap of a controller holds.
for (const jobs of [1, 4]) {
  test(`${jobs} array of ${MAX_TASKS} tasks, all placed on ${FLEET_MACHINES} machines: the placements fit the heap of a controller`, async () => {
    const { valueBytes } = DEPLOYMENT;
    const workerData: PlacedTasksCase = { jobs, machines: FLEET_MACHINES, valueBytes };
    const [placed] = await runInControllerHeap<number>(PLACED_TASKS, workerData);
    assert.equal(placed, jobs * MAX_TASKS);
  });
}

// Guards against a snapshot that holds an object for each machine of a pending request.
test(`requests pending for an array of ${MAX_TASKS} tasks, one to a machine: one view for each request`, async () => {
  const cluster = new SimulatedCluster([{ yard: 'a' }]);
  await cluster.start();
  cluster.cloud.down = true;
  await cluster.submit({ pieces: MAX_TASKS, vcpus: 25, gpus: 0, crew: 'guests', runMs: 60_000 });
  await cluster.advance(5);
  const { provisioner, schedulingLoop } = leaderOf(cluster);
  const now = cluster.clock.now();
  const requests = provisioner.pendingRequests(now);
  const upcoming = schedulingLoop.takeSnapshot(now).machines.filter(({ isUp }) => !isUp);
  assert.ok(requests.length > 1, `${requests.length} requests`);
  assert.equal(upcoming.length, requests.length);
  assert.deepEqual(
    upcoming.map(({ count }) => count),
    requests.map(({ count }) => count),
  );
  await cluster.close();
});
