import assert from 'node:assert/strict';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { parse } from 'smol-toml';
import { MAX_TASKS, type LargestJobsCase, type LargestJobsResult } from './fakes/largest-jobs.js';
import { leaderOf } from './fakes/leader.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const WORKER = new URL('./fakes/largest-jobs.js', import.meta.url);

const DEPLOY_FILE = new URL('../../../deploy/service.toml', import.meta.url);

/** Number of machines in the snapshot of a cycle, which the plan may use instead of new ones. */
const KNOWN_MACHINES = 2;

/** Heap limit of a deployed controller, in MB. */
function deployedHeapMb(): number {
  const { run } = parse(readFileSync(DEPLOY_FILE, 'utf8'));
  return Number(/--max-old-space-size=(\d+)/.exec(String(run))?.[1]);
}

/** Runs cycles in a worker thread that has the heap of a controller. */
async function runCycles(workerData: LargestJobsCase): Promise<LargestJobsResult[]> {
  const resourceLimits = { maxOldGenerationSizeMb: deployedHeapMb() };
  const worker = new Worker(WORKER, { workerData, resourceLimits });
  const results: LargestJobsResult[] = [];
  worker.on('message', (result: LargestJobsResult) => results.push(result));
  // Rejects with ERR_WORKER_OUT_OF_MEMORY if the heap is too small.
  await once(worker, 'exit');
  return results;
}

for (const kind of ['array', 'gang', 'service'] as const) {
  for (const tasksPerMachine of [1, 2, 48]) {
    for (const jobs of [1, 4]) {
      // Guards against a plan that holds an object for each machine that a job asks for: it ended
      // every leader for want of heap.
      test(`${jobs} ${kind} of ${MAX_TASKS} tasks, ${tasksPerMachine} to a machine: planned in full within the heap of a controller`, async () => {
        const fewest = (jobs * MAX_TASKS) / tasksPerMachine - KNOWN_MACHINES;
        const most = jobs * Math.ceil(MAX_TASKS / tasksPerMachine);
        const results = await runCycles({ kind, tasksPerMachine, jobs });
        assert.equal(results.length, 60);
        for (const { variant, provisioned } of results) {
          const isComplete = provisioned >= fewest && provisioned <= most;
          assert.ok(isComplete, `${variant}: ${provisioned} of ${fewest} to ${most} machines`);
        }
      });
    }
  }
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
