import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority, type JobSpec } from '../src/jobs/job.js';
import { Job } from '../src/jobs/tracked-job.js';
import { requiredConcurrency } from '../src/control/scheduling/opportunistic-work.js';
import { SPEC } from './fakes/samples.js';
import { settings, SimulatedCluster, type JobTemplate } from './fakes/simulated-cluster.js';

const BOOT_MS = 40_000;

const OPPORTUNISTIC: JobTemplate = { crew: 'guests', urgency: 'best_effort', gpus: 0 };

/** The number of concurrent tasks that a job requires after it has waited for `waitedMs`. */
function concurrencyFor(
  spec: Partial<JobSpec>,
  waitedMs: number,
  finishedMs?: number,
): number | null {
  const fullSpec = { ...SPEC, team: 'guests', priority: Priority.Low, ...spec };
  const objective = { kind: 'finished', jobClass: 'c', share: 1, deadlineMultiple: 1 };
  const objectives = finishedMs === undefined ? [] : [{ ...objective, withinMs: finishedMs }];
  return requiredConcurrency(
    { ...settings(), objectives },
    new Job('req-1', fullSpec, 0, 1, 10),
    waitedMs,
    BOOT_MS,
  );
}

test('opportunistic work requires no more concurrent tasks than it needs to be in time', () => {
  assert.equal(concurrencyFor({ tasks: 38 }, 0), 0);
  // After a boot time at least one task is required, whatever the objectives are.
  assert.equal(concurrencyFor({ tasks: 1 }, BOOT_MS + 1), 1);
  assert.equal(concurrencyFor({ tasks: 40 }, 0, 240_000), 6);
  assert.equal(concurrencyFor({ tasks: 40 }, 150_000, 240_000), 24);
  assert.equal(concurrencyFor({ tasks: 40, deadlineMs: 60_000 }, 0), 40);
  // Work of a team with a guarantee, of a higher priority, or of a service is not opportunistic.
  assert.equal(concurrencyFor({ team: 'vision' }, 0), null);
  assert.equal(concurrencyFor({ priority: Priority.Normal }, 0), null);
  assert.equal(concurrencyFor({ kind: 'service' }, 0), null);
});

test('with no machine up, opportunistic jobs of many tasks and of one still start, on few machines', async () => {
  const simulatedCluster = new SimulatedCluster([]);
  await simulatedCluster.start();
  const largeJob = await simulatedCluster.submit({
    ...OPPORTUNISTIC,
    pieces: 200,
    vcpus: 12,
    runMs: 100_000,
  });
  const smallJob = await simulatedCluster.submit({ ...OPPORTUNISTIC, vcpus: 0.25, runMs: 5000 });
  await simulatedCluster.until(
    () => simulatedCluster.running(largeJob) > 0,
    120,
    'the large job starts',
  );
  await simulatedCluster.until(
    () => simulatedCluster.storedPhase(smallJob) === 'done',
    30,
    'the small job is done',
  );
  assert.ok(
    simulatedCluster.cloud.hosts.size <= 8,
    'not all fifty machines for its 200 tasks are provisioned',
  );
  await simulatedCluster.close();
});

test('the last opportunistic tasks on many machines are moved together, and these machines are scaled in', async () => {
  // Machines were once kept until the last of their opportunistic tasks ended: 133 of them after a
  // busy night.
  const simulatedCluster = new SimulatedCluster(Array.from({ length: 6 }, () => ({ yard: 'a' })));
  await simulatedCluster.start();
  const service = await simulatedCluster.submit({ shape: 'service', runMs: 0 });
  await simulatedCluster.submit({ ...OPPORTUNISTIC, pieces: 18, vcpus: 12, runMs: 20_000 });
  const longArray = await simulatedCluster.submit({
    ...OPPORTUNISTIC,
    pieces: 6,
    vcpus: 12,
    runMs: 300_000,
  });
  await simulatedCluster.until(
    () => simulatedCluster.running(longArray) === 6,
    30,
    'the long tasks run',
  );
  await simulatedCluster.until(
    () => simulatedCluster.cloud.hosts.size <= 2,
    150,
    'few machines are left',
  );
  await simulatedCluster.until(
    () => simulatedCluster.running(longArray) === 6,
    30,
    'all long tasks run',
  );
  assert.equal(simulatedCluster.running(service), 1);
  await simulatedCluster.close();
});
