import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TaskStopper } from '../src/control/reconciliation/task-stopper.js';
import type { JobKind } from '../src/jobs/job.js';
import type { Job } from '../src/jobs/tracked-job.js';
import { EndingJob } from './fakes/ending-job.js';
import { SPEC } from './fakes/samples.js';
import { settings } from './fakes/simulated-cluster.js';

const GANG_PEER_MS = settings().workers.gangPeerMs;

/** The grace period of a preempted task for these times of its job, all in milliseconds. */
function preemptionGraceMs(checkpointMs: number, saveMs: number): number {
  const unused = null as never;
  const stopper = new TaskStopper(unused, unused, unused, settings().workers, unused);
  const job = { spec: { ...SPEC, checkpointMs, saveMs } } as Job;
  return stopper.preemptionGraceMs(job);
}

test('a preempted task saves a checkpoint only if its average loss exceeds the time of two saves', () => {
  assert.equal(preemptionGraceMs(20_000, 6000), 0);
  assert.equal(preemptionGraceMs(24_000, 6000), 0);
  assert.equal(preemptionGraceMs(24_001, 6000), 6000 + GANG_PEER_MS);
  assert.equal(preemptionGraceMs(30_000, 2000), 2000 + GANG_PEER_MS);
});

test('a task without checkpoints gets no grace period', () => {
  assert.equal(preemptionGraceMs(0, 6000), 0);
});

// Guards against state for each stopped task that nothing reads: 100,000 entries for a cancelled job.
test('stops are counted only for tasks that may be moved later', () => {
  const countedStops = (kind: JobKind, stop: (ending: EndingJob) => void): number => {
    const ending = new EndingJob(kind, 10, 'running');
    stop(ending);
    return ending.job.stoppedWithoutCheckpoint.count;
  };
  assert.equal(
    countedStops('gang', (ending) => ending.timeOut()),
    0,
  );
  assert.equal(
    countedStops('array', (ending) => ending.announceCancellation()),
    0,
  );
  assert.equal(
    countedStops('array', (ending) => ending.recordCancellation()),
    0,
  );
  assert.equal(
    countedStops('array', (ending) => ending.stopTask(3, 0)),
    1,
  );
  const stopAndFinish = (ending: EndingJob): void => {
    ending.stopTask(3, 0);
    ending.report(() => 'done');
  };
  assert.equal(countedStops('array', stopAndFinish), 0);
});
