import assert from 'node:assert/strict';
import { test } from 'node:test';
import { IdleMachines } from '../src/scheduler/idle-machines.js';

test('only machines that were idle throughout the idle timeout are surplus', () => {
  const idle = new IdleMachines(0, true);
  const counts = [6, 4, 9, 7, 5, 8];
  const surplus = counts.map((count, i) => idle.surplus('g8', count, i * 10_000, 30_000));
  // A new leader counts half of the idle timeout as past; later the minimum over 30 s counts.
  assert.deepEqual(surplus, [0, 0, 4, 4, 4, 5]);
});

test('the first leader of a fleet keeps all of it for a whole idle timeout', () => {
  const idle = new IdleMachines(0, false);
  const surplus = [0, 20_000, 29_000, 30_000].map((at) => idle.surplus('g8', 3, at, 30_000));
  assert.deepEqual(surplus, [0, 0, 0, 3]);
});

test('machines that were scaled in are not counted as idle a second time', () => {
  const idle = new IdleMachines(0, true);
  idle.surplus('g8', 5, 0, 30_000);
  assert.equal(idle.surplus('g8', 7, 20_000, 30_000), 5);
  idle.recordReleased('g8', 5);
  assert.equal(idle.surplus('g8', 2, 25_000, 30_000), 0);
  assert.equal(idle.surplus('other', 3, 25_000, 30_000), 3);
});
