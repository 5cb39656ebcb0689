import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MachinePlacements } from '../src/fleet/machine-placements.js';
import { Job, type Placement } from '../src/jobs/tracked-job.js';
import type { TaskState } from '../src/wire/worker-heartbeat.js';
import { SeededRandom } from './fakes/random.js';
import { SPEC, unrecordedStart } from './fakes/samples.js';

const TASKS = 40;

const STATES: TaskState[] = ['fetching', 'waiting', 'running', 'saving'];

/** The counts of a job's placements, by going over all of them. */
function countsByScan(job: Job): object {
  const placements = [...job.placements.values()];
  const incomplete = placements.filter(({ task }) => !job.isDone(task));
  const isRunning = ({ state }: Placement): boolean => state === 'running';
  return {
    incomplete: incomplete.length,
    running: placements.filter(isRunning).length,
    runningIncomplete: incomplete.filter(isRunning).length,
    hasStopWithGrace: placements.some(({ stop }) => stop !== null && stop.graceMs > 0),
    mayStop: placements.some(({ stop }) => stop === null || stop.graceMs > 0),
  };
}

function counts({ placements }: Job): object {
  return {
    incomplete: placements.incompleteCount,
    running: placements.runningCount,
    runningIncomplete: placements.runningIncompleteCount,
    hasStopWithGrace: placements.hasStopWithGrace,
    mayStop: placements.mayStop,
  };
}

/** An integer from 0 to `limit` - 1. */
const pickBelow = (random: SeededRandom, limit: number): number =>
  Math.floor(random.between(0, limit));

/** One change of the kind that the leader makes. */
function change(job: Job, random: SeededRandom): void {
  const { placements } = job;
  const task = pickBelow(random, TASKS);
  const placement = placements.get(task);
  const kind = pickBelow(random, 6);
  if (kind <= 1 || !placement) placements.set(task, unrecordedStart(job, task));
  else if (kind === 2) placements.delete(task);
  else if (kind === 3) placements.setState(placement, STATES[pickBelow(random, STATES.length)]!);
  else if (kind === 4) placements.setStop(placement, { graceMs: pickBelow(random, 2) * 1000 });
  else job.markDone(task);
}

// Guards against counts that drift from the placements: a gang would never count as started, or never stop.
test('the counts of a job are those of its placements after any sequence of changes', () => {
  const random = new SeededRandom(50);
  for (let run = 0; run < 20; run++) {
    const job = new Job('req-1', { ...SPEC, kind: 'gang', tasks: TASKS }, 0, 1, 100);
    for (let i = 0; i < 500; i++) {
      change(job, random);
      assert.deepEqual(counts(job), countsByScan(job), `run ${run}, change ${i}`);
      assert.equal(job.waitingTaskCount, job.waitingTasks(TASKS).length);
    }
    job.placements.clear();
    assert.deepEqual(counts(job), countsByScan(job));
  }
});

test('changes of a placement that was replaced or removed do not count', () => {
  const job = new Job('req-1', { ...SPEC, tasks: TASKS }, 0, 1, 100);
  const [first, second] = [unrecordedStart(job, 0), unrecordedStart(job, 0)];
  job.placements.set(0, first);
  job.placements.set(0, second);
  job.placements.setState(first, 'running');
  assert.equal(job.runningCount, 0);
  job.placements.delete(0);
  job.placements.setStop(second, { graceMs: 1000 });
  assert.equal(job.placements.hasStopWithGrace, false);
});

test('an image is in use on a machine until its last task is gone', () => {
  const jobs = ['img-1', 'img-1', 'img-2'].map(
    (image, i) => new Job(`req-${i}`, { ...SPEC, image }, 0, 1, 100),
  );
  const placements = new MachinePlacements<Placement>();
  const [first, second, third] = jobs.map((job) => unrecordedStart(job, 0));
  for (const placement of [first!, second!, third!]) placements.add(placement);
  placements.delete(first!);
  assert.deepEqual([placements.usesImage('img-1'), placements.usesImage('img-2')], [true, true]);
  placements.delete(second!);
  placements.delete(second!);
  assert.deepEqual([placements.usesImage('img-1'), placements.usesImage('img-2')], [false, true]);
  placements.clear();
  assert.equal(placements.usesImage('img-2'), false);
});

test('a task is found on a machine only by the placement that is there', () => {
  const job = new Job('req-1', { ...SPEC, tasks: TASKS }, 0, 1, 100);
  const placements = new MachinePlacements<Placement>();
  const [here, elsewhere] = [unrecordedStart(job, 0), unrecordedStart(job, 1)];
  for (const placement of [here, elsewhere]) job.placements.set(placement.task, placement);
  placements.add(here);
  assert.equal(placements.find('req-1', 0), here);
  assert.equal(placements.find('req-1', 1), undefined);
  assert.equal(placements.find('req-2', 0), undefined);
  job.placements.set(0, unrecordedStart(job, 0));
  assert.equal(placements.find('req-1', 0), undefined, 'it was replaced by a start elsewhere');
  placements.delete(here);
  assert.equal(placements.size, 0);
});
