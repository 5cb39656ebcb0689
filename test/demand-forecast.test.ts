import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandForecast, type ClassDemand } from '../src/scheduler/demand-forecast.js';
import { SPEC } from './fakes/samples.js';

const BOOT_MS = 40_000;

const demand = (tasks: number) => (): Map<string, ClassDemand> =>
  new Map([[SPEC.jobClass, { spec: SPEC, tasks }]]);

/** What is expected after the open tasks of one class were counted once a boot. */
function expectedAfter(counts: number[]): number {
  const forecast = new DemandForecast();
  counts.forEach((tasks, i) => forecast.observe(i * BOOT_MS, BOOT_MS, demand(tasks)));
  return forecast.expected()[0]?.count ?? 0;
}

test('growth that goes on is expected for two boots: one to boot, one until the next count', () => {
  assert.equal(expectedAfter([10, 14, 18, 22, 26]), 8);
  assert.equal(expectedAfter([10, 14, 18]), 8);
});

test('the load at the beginning of a term and a single burst are not taken for growth', () => {
  assert.equal(expectedAfter([0]), 0);
  assert.equal(expectedAfter([0, 60]), 0);
  assert.equal(expectedAfter([0, 60, 60]), 0);
  assert.equal(expectedAfter([60, 60, 100, 100, 100]), 0);
});

test('a load that falls or stays is expected to need nothing', () => {
  assert.equal(expectedAfter([50, 40, 30, 20, 10]), 0);
  assert.equal(expectedAfter([50, 50, 50, 50, 50]), 0);
});

test('growth that has ended is forgotten', () => {
  assert.equal(expectedAfter([10, 20, 30, 40, 50, 50, 50, 50]), 0);
});

test('counts that come sooner than a boot after the last change nothing, and are not made', () => {
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
