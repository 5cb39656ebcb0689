import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority, type JobSpec } from '../src/jobs/job.js';
import {
  pipelineUrgency,
  type PipelineStep,
  type StepUrgency,
} from '../src/scheduler/pipelines.js';
import { SPEC } from './fakes/samples.js';

const LOW = { priority: Priority.Low };
const LAST = { priority: Priority.High, deadlineMs: 100_000 };

function step(
  id: string,
  dependencies: string[],
  spec: Partial<JobSpec> = LOW,
  rest: Partial<PipelineStep> = {},
): PipelineStep {
  return {
    id,
    spec: { ...SPEC, ...spec },
    submittedAt: 0,
    readyAt: dependencies.length === 0 ? 0 : null,
    dependencies,
    remainingMs: 20_000,
    deadlineSteps: [1, 1.5],
    ...rest,
  };
}

function urgencies(steps: PipelineStep[], now = 0): (id: string) => StepUrgency {
  const all = pipelineUrgency(steps, now);
  return (id) => all.get(id)!;
}

test('priority and deadline of the last job travel up the chain, less what runs after a step', () => {
  const steps = [
    step('merge', ['scan']),
    step('publish', ['merge'], LAST, { remainingMs: 10_000 }),
    step('split', []),
    step('scan', ['split'], LOW, { remainingMs: 30_000 }),
  ];
  const of = urgencies(steps);
  for (const id of ['split', 'scan', 'merge', 'publish']) {
    assert.equal(of(id).priority, Priority.High, id);
  }
  assert.equal(of('publish').dueAt, 100_000);
  assert.equal(of('merge').dueAt, 90_000);
  assert.equal(of('scan').dueAt, 70_000);
  assert.equal(of('split').dueAt, 40_000);
  assert.deepEqual(
    ['split', 'scan', 'merge', 'publish'].map((id) => of(id).readyInMs),
    [0, 20_000, 50_000, 70_000],
  );
});

test('the longest of several paths decides, and the most urgent of several pipelines', () => {
  const of = urgencies([
    step('split', []),
    step('short', ['split'], LOW, { remainingMs: 5000 }),
    step('long', ['split'], LOW, { remainingMs: 40_000 }),
    step('publish', ['short', 'long'], LAST, { remainingMs: 10_000 }),
    step('report', ['short'], { priority: Priority.Production, deadlineMs: 50_000 }),
  ]);
  assert.equal(of('long').dueAt, 90_000);
  assert.equal(of('long').priority, Priority.High);
  assert.equal(of('short').dueAt, 30_000);
  assert.equal(of('short').priority, Priority.Production);
  assert.equal(of('split').priority, Priority.Production);
  assert.equal(of('split').dueAt, 25_000);
});

test('a last job that comes late lifts the steps before it from then on', () => {
  const early = [step('split', []), step('scan', ['split'])];
  assert.equal(urgencies(early)('split').priority, Priority.Low);
  assert.equal(urgencies(early)('split').dueAt, 0);
  const late = [...early, step('publish', ['scan'], LAST, { submittedAt: 30_000 })];
  const of = urgencies(late, 30_000);
  assert.equal(of('split').priority, Priority.High);
  // Its deadline counts from its own submission.
  assert.equal(of('split').dueAt, 90_000);
});

test('a step is pressed when its slack is less than half of all that is still to be run', () => {
  const steps = [step('split', []), step('scan', ['split']), step('publish', ['scan'], LAST)];
  // Due at 60 s, it takes 20 s, and 60 s of work are left.
  assert.equal(urgencies(steps, 10_000)('split').hasLowSlack, false);
  assert.equal(urgencies(steps, 10_001)('split').hasLowSlack, true);
  // Without a deadline nothing presses, however important it is.
  const undated = [step('split', []), step('publish', ['split'], { priority: Priority.High })];
  assert.equal(urgencies(undated)('split').priority, Priority.High);
  assert.equal(urgencies(undated)('split').hasLowSlack, false);
});

test('a pipeline that all of its steps would make late aims at the next multiple', () => {
  const steps = [
    step('split', []),
    step('scan', ['split'], LOW, { remainingMs: 60_000 }),
    step('publish', ['scan'], LAST),
  ];
  // Estimates are often wrong by half: what half of them cannot make is late.
  assert.equal(urgencies(steps, 50_000)('publish').dueAt, 100_000);
  assert.equal(urgencies(steps, 50_001)('publish').dueAt, 150_000);
  // Taken by itself the last job would still have called itself in time.
  assert.equal(urgencies([step('publish', [], LAST)], 50_001)('publish').dueAt, 100_000);
});

test('a job without a deadline is as old as it is ready, a deadline counts from submission', () => {
  const ready = { submittedAt: 5000, readyAt: 40_000 };
  const of = urgencies([
    step('plain', ['gone'], LOW, ready),
    step('publish', ['gone'], LAST, ready),
    step('unready', ['plain'], LOW, { submittedAt: 6000 }),
  ]);
  assert.equal(of('plain').dueAt, 40_000);
  assert.equal(of('publish').dueAt, 105_000);
  assert.equal(of('unready').dueAt, 6000);
});

test('the work is linear in thousands of steps, and a cycle, which cannot be, ends too', () => {
  // Looks are counted rather than time, which depends on what else the machine does.
  let looks = 0;
  const counting = (s: PipelineStep): PipelineStep =>
    new Proxy(s, {
      get: (target, name) => {
        looks++;
        return Reflect.get(target, name) as unknown;
      },
    });
  const steps = Array.from({ length: 20_000 }, (_, i) =>
    step(`${i}`, i === 0 ? [] : [`${i - 1}`, `${Math.floor(i / 2)}`].slice(0, i > 2 ? 2 : 1)),
  );
  steps.push(step('publish', ['19999'], LAST));
  assert.equal(urgencies(steps.map(counting))('0').priority, Priority.High);
  // A walk from every step to all that need it would look at some hundred million.
  assert.ok(looks < steps.length * 20, `${looks} looks`);
  const of = urgencies([step('a', ['c'], LAST), step('b', ['a']), step('c', ['b'])]);
  assert.ok(of('a').dueAt <= 100_000);
});
