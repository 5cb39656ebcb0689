import assert from 'node:assert/strict';
import { test } from 'node:test';
import { dueAt } from '../src/scheduler/job-order.js';

test('in a rush what can still be in time goes before what is late, but not forever', () => {
  const due = (now: number, submittedAt = 0): number =>
    dueAt(60_000, submittedAt, [1, 1.5], now, 20_000);
  assert.equal(due(0), 60_000);
  // Half of the estimate is left: it may still make it.
  assert.equal(due(50_000), 60_000);
  assert.equal(due(50_001), 90_000);
  // Late by all that is asked for: it goes after a job that came 119 s after it, not after 121 s.
  assert.equal(due(90_000), 180_000);
  assert.ok(due(119_000, 119_000) < due(119_000));
  assert.ok(due(121_000, 121_000) > due(121_000));
});

test('a job without a service-level objective goes by its deadline', () => {
  assert.equal(dueAt(60_000, 0, [], 10_000, 20_000), 60_000);
});
