import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  trackedTasksLimit,
  UNRECORDED_EXITS_RATIO,
} from '../src/control/scheduling/tracked-tasks-limit.js';
import { runInControllerHeap } from './fakes/controller-heap.js';
import type { FullLeaderCase, FullLeaderStep } from './fakes/full-leader.js';
import { MAX_TASKS } from './fakes/samples.js';

const FULL_LEADER = new URL('./fakes/full-leader.js', import.meta.url);

/** Memory of a deployed controller, in MB, and the smallest limit of a value in the deployments. */
const MEMORY_MB = 114;
const VALUE_BYTES = 8 * 1024;

/** Jobs of more tasks than a leader tracks, all of which have capacity on the machines. */
const CASES: Omit<FullLeaderCase, 'memoryMb' | 'valueBytes'>[] = [
  { kind: 'array', jobs: 4, tasksPerJob: MAX_TASKS, machines: 60 },
  { kind: 'array', jobs: 4, tasksPerJob: MAX_TASKS, machines: 4000 },
  { kind: 'array', jobs: 300, tasksPerJob: 900, machines: 60 },
  { kind: 'service', jobs: 300, tasksPerJob: 900, machines: 60 },
  { kind: 'service', jobs: 4, tasksPerJob: MAX_TASKS, machines: 60 },
  { kind: 'gang', jobs: 2, tasksPerJob: MAX_TASKS, machines: 60 },
  { kind: 'gang', jobs: 300, tasksPerJob: 900, machines: 60 },
];

for (const fullCase of CASES) {
  const { kind, jobs, tasksPerJob, machines } = fullCase;
  // Guards against whatever grows with the tasks placed, ended, waiting to be written or read back: jobs of
  // many small tasks ended every leader for want of heap.
  test(`${jobs} ${kind} of ${tasksPerJob} tasks on ${machines} machines: what a leader tracks fits the heap of a controller`, async () => {
    const workerData: FullLeaderCase = {
      ...fullCase,
      memoryMb: MEMORY_MB,
      valueBytes: VALUE_BYTES,
    };
    const steps = await runInControllerHeap<FullLeaderStep>(FULL_LEADER, workerData);
    const limit = trackedTasksLimit(MEMORY_MB);
    const tracked = new Map(steps.map((step) => [step.step, step.tracked]));
    assert.equal(steps.length, 6);
    for (const { step, tracked } of steps.filter(({ step }) => !step.startsWith('read back')))
      assert.ok(tracked <= limit * (1 + UNRECORDED_EXITS_RATIO), `${tracked} tasks ${step}`);
    const running = tracked.get('running') ?? 0;
    assert.ok(running > MAX_TASKS * 0.9, `${running} tasks run`);
  });
}

/** Twice as many as a leader tracks, and more than the former build could place before it ended. */
const STORED_JOBS = 2;

// Guards against a new leader that cannot hold what earlier ones placed: each ended in turn, after each restart.
test(`${STORED_JOBS} arrays of ${MAX_TASKS} tasks that an earlier leader placed fit the heap of a new one, which starts nothing beside them`, async () => {
  const workerData: FullLeaderCase = {
    ...{ kind: 'array', jobs: STORED_JOBS, tasksPerJob: MAX_TASKS, machines: 60, isStored: true },
    ...{ memoryMb: MEMORY_MB, valueBytes: VALUE_BYTES },
  };
  const steps = await runInControllerHeap<FullLeaderStep>(FULL_LEADER, workerData);
  const stored = STORED_JOBS * MAX_TASKS;
  const [readBack, running, urgent, ended] = steps.map(({ tracked }) => tracked);
  assert.deepEqual([readBack, running], [stored, stored]);
  // Tasks make way for urgent work until all of its own have slots.
  const excess = stored - trackedTasksLimit(MEMORY_MB);
  assert.ok(urgent! >= excess + 100, `${urgent} tasks are told to stop`);
  assert.equal(ended, stored);
});
