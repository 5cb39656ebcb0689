import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TaskStopper } from '../src/control/reconciliation/task-stopper.js';
import type { Job } from '../src/jobs/tracked-job.js';
import { SPEC } from './fakes/samples.js';
import { settings } from './fakes/simulated-cluster.js';

const GANG_PEER_MS = settings().workers.gangPeerMs;

/** The grace of a task that makes way, for these times of its job. */
function graceToMakeWay(checkpointMs: number, saveMs: number): number {
  const unused = null as never;
  const stops = new TaskStopper(unused, unused, unused, settings().workers, unused);
  const job = { spec: { ...SPEC, checkpointMs, saveMs } } as Job;
  return stops.preemptionGraceMs(job);
}

test('what makes way saves only if it loses on average more than saving twice takes', () => {
  assert.equal(graceToMakeWay(20_000, 6000), 0);
  assert.equal(graceToMakeWay(24_000, 6000), 0);
  assert.equal(graceToMakeWay(24_001, 6000), 6000 + GANG_PEER_MS);
  assert.equal(graceToMakeWay(30_000, 2000), 2000 + GANG_PEER_MS);
});

test('what never saves gets no time to save', () => {
  assert.equal(graceToMakeWay(0, 6000), 0);
});
