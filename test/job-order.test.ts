import assert from 'node:assert/strict';
import { test } from 'node:test';
import { dueAt } from '../src/scheduler/job-order.js';

test('a job that can still be in time goes before one that is late, but not indefinitely', () => {
  const due = (now: number, submittedAt = 0): number =>
    dueAt(60_000, submittedAt, [1, 1.5], now, 20_000);
  assert.equal(due(0), 60_000);
  // Half of the estimated run time is left, so that it may still be in time.
  assert.equal(due(50_000), 60_000);
  assert.equal(due(50_001), 90_000);
  // It misses every multiple of its deadline, and goes after a job submitted 119 s later, but not
  // after one submitted 121 s later.
  assert.equal(due(90_000), 180_000);
  assert.ok(due(119_000, 119_000) < due(119_000));
  assert.ok(due(121_000, 121_000) > due(121_000));
});

test('a job without a service-level objective is ordered by its deadline', () => {
  assert.equal(dueAt(60_000, 0, [], 10_000, 20_000), 60_000);
});
