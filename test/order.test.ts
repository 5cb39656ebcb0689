import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority, type JobSpec } from '../src/jobs/job.js';
import { dueAt } from '../src/scheduler/order.js';
import { SPEC } from './fakes/samples.js';

const BATCH: JobSpec = { ...SPEC, priority: Priority.Low, deadlineMs: 60_000 };

test('in a rush what can still be in time goes before what is late, but not for ever', () => {
  const due = (now: number, submittedAt = 0): number => dueAt(BATCH, submittedAt, [1, 1.5], now);
  assert.equal(due(0), 60_000);
  // Half of the estimate is left: it may still make it.
  assert.equal(due(50_000), 60_000);
  assert.equal(due(50_001), 90_000);
  // Late by all that is asked for: it goes after a job that came 119 s after it, not after 121 s.
  assert.equal(due(90_000), 180_000);
  assert.ok(due(119_000, 119_000) < due(119_000));
  assert.ok(due(121_000, 121_000) > due(121_000));
});

test('a job without a deadline goes by its age, and one without a stated aim by its deadline', () => {
  assert.equal(dueAt({ ...BATCH, deadlineMs: null }, 5000, [1, 1.5], 400_000), 5000);
  assert.equal(dueAt(BATCH, 0, [], 10_000), 60_000);
});
