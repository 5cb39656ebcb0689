import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { Term } from '../src/election/term.js';
import { JobRecordWriter } from '../src/jobs/job-record-writer.js';
import { markRecorded } from '../src/jobs/placement-stage.js';
import { tasksPerRecord } from '../src/jobs/records.js';
import { Job, type Placement } from '../src/jobs/tracked-job.js';
import { UnrecordedExits } from '../src/jobs/unrecorded-exits.js';
import { StoreLimits } from '../src/state/store-limits.js';
import type { Change, Store } from '../src/state/store.js';
import { FakeClock } from './fakes/clock.js';
import { MAX_TASKS, SPEC, unrecordedStart } from './fakes/samples.js';
import { settings } from './fakes/simulated-cluster.js';

/** Records are built and searched a few times for each of their tasks, and some in vain. */
const READS_PER_TASK = 12;

const MACHINES = 530;

/** A job whose tasks are all placed, and how often the number of any task was read. */
class CountedJob {
  reads = 0;
  readonly job = new Job('req-1', { ...SPEC, tasks: MAX_TASKS }, 0, 1, tasksPerRecord(16 * 1024));

  placeAll(): void {
    for (let task = 0; task < MAX_TASKS; task++) {
      this.job.placements.set(task, this.createPlacement(task));
      this.job.markDirty(task);
    }
    this.reads = 0;
  }

  exitAll(): void {
    const placements = [...this.job.placements.values()];
    for (const placement of placements) {
      this.job.placements.delete(placement.task);
      this.job.unrecordedExits.add(placement);
      this.job.markDirty(placement.task);
    }
    this.reads = 0;
  }

  private createPlacement(task: number): Placement {
    const placement = unrecordedStart(this.job, task, { machine: `host-${task % MACHINES}` });
    const countRead = (): number => {
      this.reads++;
      return task;
    };
    return Object.defineProperty(placement, 'task', { get: countRead });
  }
}

/** A writer on a store that accepts everything at once; counts what it stores. */
function createWriter(): { writer: JobRecordWriter; started: number[]; exited: number[] } {
  const started: number[] = [];
  const exited: number[] = [];
  let revision = 1;
  const store = {
    queuedWrites: 0,
    commit: (_conditions: unknown, changes: Change[]) => {
      assert.ok(changes.length > 0);
      return Promise.resolve({ ok: true, revision: ++revision });
    },
  } as unknown as Store;
  const noop = (): void => undefined;
  const writer = new JobRecordWriter({
    store,
    runtime: { clock: new FakeClock() } as unknown as Runtime,
    term: new Term('t', 1, 0, Infinity),
    limits: new StoreLimits(settings().state),
    layoutPolicy: {
      rangesReadable: () => false,
      leftoversKnown: () => false,
      rangesWanted: () => false,
    },
    exitBatchMs: 2500,
    memoryMb: settings().machine.memoryMb,
    events: {
      jobChanged: noop,
      startsRecorded: (placements) => {
        placements.forEach(markRecorded);
        for (const { task } of placements) started.push(task);
      },
      exitsRecorded: (placements) => {
        for (const { task } of placements) exited.push(task);
      },
      inconsistencyDetected: (message) => assert.fail(message),
      endRecorded: noop,
      archived: noop,
    },
  });
  return { writer, started, exited };
}

async function writeAll(writer: JobRecordWriter, job: Job): Promise<void> {
  writer.flush(job);
  while (job.dirty || job.isWriteInFlight) await new Promise((resolve) => setImmediate(resolve));
}

const ALL_TASKS = Array.from({ length: MAX_TASKS }, (_, task) => task);

// Guards against going over all starts and exits of a job for each of its transactions.
test(`writes of ${MAX_TASKS} starts and exits: each is stored once and looked at a few times`, async () => {
  const counted = new CountedJob();
  const { writer, started, exited } = createWriter();
  counted.placeAll();
  await writeAll(writer, counted.job);
  assert.deepEqual(started, ALL_TASKS);
  assert.ok(counted.reads <= READS_PER_TASK * MAX_TASKS, `${counted.reads} reads for starts`);
  counted.exitAll();
  await writeAll(writer, counted.job);
  assert.deepEqual(exited, ALL_TASKS);
  assert.ok(counted.reads <= READS_PER_TASK * MAX_TASKS, `${counted.reads} reads for exits`);
  assert.deepEqual(counted.job.unrecordedExits.all(), []);
});

test('exits are found by their tasks, several of one task as well, until they are stored', () => {
  const exits = new UnrecordedExits<{ task: number; attempt: number }>();
  const added = [300, 5, 63, 64, 5].map((task, attempt) => ({ task, attempt }));
  for (const exit of added) exits.add(exit);
  const attempts = (from: number, to: number): number[] =>
    exits.ofTasks(from, to).map(({ attempt }) => attempt);
  assert.deepEqual([attempts(5, 6), attempts(0, 5), attempts(6, 300)], [[1, 4], [], [2, 3]]);
  assert.equal(exits.all().length, added.length);
  exits.remove([added[1]!, added[0]!]);
  assert.deepEqual([attempts(0, 1000), exits.all().length], [[2, 4, 3], 3]);
});
