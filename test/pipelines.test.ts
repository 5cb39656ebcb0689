import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority, type JobSpec } from '../src/jobs/job.js';
import {
  pipelineUrgency,
  type PipelineStep,
  type StepUrgency,
} from '../src/scheduler/pipelines.js';
import { SPEC } from './fakes/samples.js';

const LOW_PRIORITY = { priority: Priority.Low };
const LAST_JOB = { priority: Priority.High, deadlineMs: 100_000 };

function step(
  id: string,
  dependencies: string[],
  spec: Partial<JobSpec> = LOW_PRIORITY,
  overrides: Partial<PipelineStep> = {},
): PipelineStep {
  return {
    id,
    spec: { ...SPEC, ...spec },
    submittedAt: 0,
    readyAt: dependencies.length === 0 ? 0 : null,
    dependencies,
    remainingMs: 20_000,
    deadlineSteps: [1, 1.5],
    ...overrides,
  };
}

function urgencies(steps: PipelineStep[], now = 0): (id: string) => StepUrgency {
  const all = pipelineUrgency(steps, now);
  return (id) => all.get(id)!;
}

test('priority and deadline of the last job apply to earlier steps, less the run time after each step', () => {
  const steps = [
    step('merge', ['scan']),
    step('publish', ['merge'], LAST_JOB, { remainingMs: 10_000 }),
    step('split', []),
    step('scan', ['split'], LOW_PRIORITY, { remainingMs: 30_000 }),
  ];
  const urgencyOf = urgencies(steps);
  for (const id of ['split', 'scan', 'merge', 'publish']) {
    assert.equal(urgencyOf(id).priority, Priority.High, id);
  }
  assert.equal(urgencyOf('publish').dueAt, 100_000);
  assert.equal(urgencyOf('merge').dueAt, 90_000);
  assert.equal(urgencyOf('scan').dueAt, 70_000);
  assert.equal(urgencyOf('split').dueAt, 40_000);
  assert.deepEqual(
    ['split', 'scan', 'merge', 'publish'].map((id) => urgencyOf(id).readyInMs),
    [0, 20_000, 50_000, 70_000],
  );
});

test('the longest path and the most urgent dependent determine the urgency of a step', () => {
  const urgencyOf = urgencies([
    step('split', []),
    step('short', ['split'], LOW_PRIORITY, { remainingMs: 5000 }),
    step('long', ['split'], LOW_PRIORITY, { remainingMs: 40_000 }),
    step('publish', ['short', 'long'], LAST_JOB, { remainingMs: 10_000 }),
    step('report', ['short'], { priority: Priority.Production, deadlineMs: 50_000 }),
  ]);
  assert.equal(urgencyOf('long').dueAt, 90_000);
  assert.equal(urgencyOf('long').priority, Priority.High);
  assert.equal(urgencyOf('short').dueAt, 30_000);
  assert.equal(urgencyOf('short').priority, Priority.Production);
  assert.equal(urgencyOf('split').priority, Priority.Production);
  assert.equal(urgencyOf('split').dueAt, 25_000);
});

test('a last job that is submitted late raises the urgency of earlier steps from then on', () => {
  const early = [step('split', []), step('scan', ['split'])];
  assert.equal(urgencies(early)('split').priority, Priority.Low);
  assert.equal(urgencies(early)('split').dueAt, 0);
  const late = [...early, step('publish', ['scan'], LAST_JOB, { submittedAt: 30_000 })];
  const urgencyOf = urgencies(late, 30_000);
  assert.equal(urgencyOf('split').priority, Priority.High);
  // Its deadline counts from its own submission.
  assert.equal(urgencyOf('split').dueAt, 90_000);
});

test('a step has low slack when its slack is less than half of its longest remaining path', () => {
  const steps = [step('split', []), step('scan', ['split']), step('publish', ['scan'], LAST_JOB)];
  // It is due at 60 s and takes 20 s, and 60 s of work remain in the pipeline.
  assert.equal(urgencies(steps, 10_000)('split').hasLowSlack, false);
  assert.equal(urgencies(steps, 10_001)('split').hasLowSlack, true);
  // Without a deadline slack is never low, whatever the priority.
  const withoutDeadline = [
    step('split', []),
    step('publish', ['split'], { priority: Priority.High }),
  ];
  assert.equal(urgencies(withoutDeadline)('split').priority, Priority.High);
  assert.equal(urgencies(withoutDeadline)('split').hasLowSlack, false);
});

test('a pipeline whose remaining steps exceed its deadline aims at the next multiple of it', () => {
  const steps = [
    step('split', []),
    step('scan', ['split'], LOW_PRIORITY, { remainingMs: 60_000 }),
    step('publish', ['scan'], LAST_JOB),
  ];
  // Estimates are often wrong by half, so that a deadline counts as missed if half of the estimated
  // time does not fit.
  assert.equal(urgencies(steps, 50_000)('publish').dueAt, 100_000);
  assert.equal(urgencies(steps, 50_001)('publish').dueAt, 150_000);
  // Without the steps before it, the last job would still be in time.
  assert.equal(urgencies([step('publish', [], LAST_JOB)], 50_001)('publish').dueAt, 100_000);
});

test('a job without a deadline is due when it became ready, and a deadline counts from submission', () => {
  const ready = { submittedAt: 5000, readyAt: 40_000 };
  const urgencyOf = urgencies([
    step('plain', ['gone'], LOW_PRIORITY, ready),
    step('publish', ['gone'], LAST_JOB, ready),
    step('unready', ['plain'], LOW_PRIORITY, { submittedAt: 6000 }),
  ]);
  assert.equal(urgencyOf('plain').dueAt, 40_000);
  assert.equal(urgencyOf('publish').dueAt, 105_000);
  assert.equal(urgencyOf('unready').dueAt, 6000);
});

test('the run time is linear in the number of steps, and a cycle, which should not occur, terminates too', () => {
  // Property reads are counted instead of time, which depends on the load of the machine.
  let propertyReads = 0;
  const counting = (original: PipelineStep): PipelineStep =>
    new Proxy(original, {
      get: (target, name) => {
        propertyReads++;
        return Reflect.get(target, name) as unknown;
      },
    });
  const steps = Array.from({ length: 20_000 }, (_, i) =>
    step(`${i}`, i === 0 ? [] : [`${i - 1}`, `${Math.floor(i / 2)}`].slice(0, i > 2 ? 2 : 1)),
  );
  steps.push(step('publish', ['19999'], LAST_JOB));
  assert.equal(urgencies(steps.map(counting))('0').priority, Priority.High);
  // A traversal from every step to all of its dependents would read some hundred million.
  assert.ok(propertyReads < steps.length * 20, `${propertyReads} property reads`);
  const urgencyOf = urgencies([step('a', ['c'], LAST_JOB), step('b', ['a']), step('c', ['b'])]);
  assert.ok(urgencyOf('a').dueAt <= 100_000);
});
