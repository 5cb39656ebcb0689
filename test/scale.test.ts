import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ScaleCase, ScaleResult } from './fakes/scale-scenario.js';
import { runInThread } from './fakes/worker-thread.js';

const SCENARIO = new URL('./fakes/scale-scenario.js', import.meta.url);

/** The fleet size at which operators run the service. */
const MACHINES = 4000;

/** Services of a hundred replicas each, two of which fit on a machine. */
const JOBS = 80;
const REPLICAS = 100;

test(`${MACHINES} machines: all replicas are placed, and the next leader takes over all of them`, async () => {
  const workerData: ScaleCase = { machines: MACHINES, jobs: JOBS, replicas: REPLICAS };
  const [result] = await runInThread<ScaleResult>(SCENARIO, { workerData });
  assert.ok(result);
  assert.equal(result.running, JOBS * REPLICAS, 'no running replica was lost');
  assert.equal(result.starts.after, result.starts.before, 'no replica was started again');
  assert.equal(result.phase, 'running');
});
