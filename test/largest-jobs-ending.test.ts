import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runInControllerHeap } from './fakes/controller-heap.js';
import type { EndingJobsCase, EndingJobsResult } from './fakes/ending-jobs.js';
import { MAX_TASKS } from './fakes/samples.js';

const ENDING_JOBS = new URL('./fakes/ending-jobs.js', import.meta.url);

/** Which starts of a job are not sent yet decides how its tasks end. */
const CASES: Omit<EndingJobsCase, 'tasks'>[] = [
  { kind: 'gang', stage: 'running' },
  { kind: 'gang', stage: 'unrecorded' },
  { kind: 'gang', stage: 'half unrecorded' },
  { kind: 'array', stage: 'half unrecorded' },
  { kind: 'service', stage: 'half unrecorded' },
];

for (const endingCase of CASES) {
  // Guards against handlers that call each other once for each member of a gang, which ended the leader by
  // a stack overflow, and against going over all members for the end of each.
  test(`${endingCase.kind} of ${MAX_TASKS} tasks, ${endingCase.stage}: every event that ends tasks takes constant stack and linear time`, async () => {
    const workerData: EndingJobsCase = { ...endingCase, tasks: [MAX_TASKS / 10, MAX_TASKS] };
    const results = await runInControllerHeap<EndingJobsResult>(ENDING_JOBS, workerData);
    assert.ok(results.length > 0);
    for (const { event, error, remaining, expected } of results) {
      assert.equal(error, null, event);
      assert.deepEqual(remaining, { ofJob: expected, onMachines: expected }, event);
    }
  });
}
