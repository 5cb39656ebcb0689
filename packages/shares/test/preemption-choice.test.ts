import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseTasksToPreempt, type DrainCandidate } from '@leverhatch/shares/preemption-choice';

const task = (
  job: string,
  index: number,
  overrides: Partial<DrainCandidate> = {},
): DrainCandidate => ({
  job,
  task: index,
  priority: 2,
  lostWorkMs: 1000,
  isGangMember: false,
  resources: { cpus: 4, gpus: 1 },
  ...overrides,
});

const taskIds = (tasks: DrainCandidate[]): string[] =>
  tasks.map((task) => `${task.job}/${task.task}`).sort();

test('the lowest priority is preempted first, and no more tasks than needed', () => {
  const candidates = [
    task('urgent', 0, { priority: 1 }),
    task('batch', 0),
    task('batch', 1, { lostWorkMs: 10 }),
    task('batch', 2),
  ];
  assert.deepEqual(taskIds(chooseTasksToPreempt({ cpus: 0, gpus: 1 }, candidates)), ['batch/1']);
  assert.equal(chooseTasksToPreempt({ cpus: 0, gpus: 4 }, candidates).length, 4);
  assert.deepEqual(chooseTasksToPreempt({ cpus: 0, gpus: 0 }, candidates), []);
});

test('a gang is preempted as a whole, and a small task that is then not needed keeps running', () => {
  const gang = [0, 1, 2, 3].map((count) =>
    task('gang', count, { isGangMember: true, lostWorkMs: 500 }),
  );
  const candidates = [task('small', 0, { lostWorkMs: 100 }), ...gang];
  assert.deepEqual(taskIds(chooseTasksToPreempt({ cpus: 0, gpus: 4 }, candidates)), taskIds(gang));
});

test('tasks that hold none of the required resource are not preempted', () => {
  const candidates = [
    task('cpu', 0, { resources: { cpus: 4, gpus: 0 }, priority: 3 }),
    task('gpu', 0),
  ];
  assert.deepEqual(taskIds(chooseTasksToPreempt({ cpus: 0, gpus: 1 }, candidates)), ['gpu/0']);
});

test('all tasks are preempted if together they hold less than required', () => {
  assert.equal(chooseTasksToPreempt({ cpus: 0, gpus: 9 }, [task('a', 0), task('a', 1)]).length, 2);
});

test('half of 32,000 tasks, as many as 4,000 machines hold, are chosen within seconds', () => {
  const candidates = Array.from({ length: 32_000 }, (_, count) =>
    task(`job-${count % 400}`, count, { lostWorkMs: (count * 7919) % 60_000 }),
  );
  const startedAt = performance.now();
  const chosen = chooseTasksToPreempt({ cpus: 0, gpus: 16_000 }, candidates);
  assert.equal(chosen.length, 16_000);
  const chosenLosses = chosen.map(({ lostWorkMs }) => lostWorkMs).sort((a, b) => a - b);
  const sortedLosses = candidates.map(({ lostWorkMs }) => lostWorkMs).sort((a, b) => a - b);
  assert.equal(chosenLosses.at(-1), sortedLosses[15_999]);
  assert.ok(
    performance.now() - startedAt < 5000,
    'the choice is not quadratic in the number of tasks',
  );
});

// Guards against a choice that passes its tasks as the arguments of a call, of which the stack holds some 100,000.
test('400,000 tasks of two priorities are chosen, those of a gang among them', () => {
  const perJob = 100_000;
  const jobs = ['low-1', 'low-2', 'low-gang', 'high-1'];
  const candidates = jobs.flatMap((job) =>
    Array.from({ length: perJob }, (_, i) =>
      task(job, i, { priority: job.startsWith('low') ? 3 : 2, isGangMember: job.endsWith('gang') }),
    ),
  );
  const all = { cpus: 0, gpus: jobs.length * perJob };
  assert.equal(chooseTasksToPreempt(all, candidates).length, candidates.length);
});
