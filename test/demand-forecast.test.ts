import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandForecast, type ClassDemand } from '../src/scheduler/demand-forecast.js';
import { SPEC } from './fakes/samples.js';

const BOOT_MS = 40_000;

const demand = (tasks: number) => (): Map<string, ClassDemand> =>
  new Map([[SPEC.jobClass, { spec: SPEC, tasks }]]);

/** The expected number of tasks after open tasks of one class were counted once per boot time. */
function expectedAfter(counts: number[]): number {
  const forecast = new DemandForecast();
  counts.forEach((tasks, i) => forecast.observe(i * BOOT_MS, BOOT_MS, demand(tasks)));
  return forecast.expected()[0]?.count ?? 0;
}

test('continued growth is expected for two boot times: one to boot and one until the next count', () => {
  assert.equal(expectedAfter([10, 14, 18, 22, 26]), 8);
  assert.equal(expectedAfter([10, 14, 18]), 8);
});

test('the load at the start of a term and a single burst do not count as growth', () => {
  assert.equal(expectedAfter([0]), 0);
  assert.equal(expectedAfter([0, 60]), 0);
  assert.equal(expectedAfter([0, 60, 60]), 0);
  assert.equal(expectedAfter([60, 60, 100, 100, 100]), 0);
});

test('nothing is expected for a load that falls or stays the same', () => {
  assert.equal(expectedAfter([50, 40, 30, 20, 10]), 0);
  assert.equal(expectedAfter([50, 50, 50, 50, 50]), 0);
});

test('growth that has ended is forgotten', () => {
  assert.equal(expectedAfter([10, 20, 30, 40, 50, 50, 50, 50]), 0);
});

test('tasks are counted at most once per boot time, and earlier calls change nothing', () => {
  const forecast = new DemandForecast();
  let counts = 0;
  for (let second = 0; second < 39; second++) {
    forecast.observe(second * 1000, BOOT_MS, () => {
      counts++;
      return demand(second)();
    });
  }
  assert.equal(counts, 1);
  assert.deepEqual(forecast.expected(), []);
});
