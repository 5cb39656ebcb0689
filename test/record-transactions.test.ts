import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Term } from '../src/election/term.js';
import { TransactionBuilder } from '../src/jobs/job-transaction.js';
import { tasksPerRange, tasksPerRecord } from '../src/jobs/records.js';
import type { LayoutKind } from '../src/jobs/run-layout.js';
import { Job, type Placement } from '../src/jobs/tracked-job.js';
import type { WriteRejections } from '../src/jobs/write-rejections.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { FakeClock } from './fakes/clock.js';
import { MAX_TASKS, SPEC, unrecordedStart } from './fakes/samples.js';

const LIMITS = { txnOps: 20, valueBytes: 16 * 1024 };

const MACHINES = 530;

/** A map of placements that counts how often any of them is visited. */
class CountingPlacements extends Map<number, Placement> {
  visits = 0;

  override get(task: number): Placement | undefined {
    this.visits++;
    return super.get(task);
  }

  override values(): MapIterator<Placement> {
    this.visits += this.size;
    return super.values();
  }
}

/** A job all of whose tasks have just been placed. */
function placedJob(layout: LayoutKind): { job: Job; placements: CountingPlacements } {
  const spec = { ...SPEC, tasks: MAX_TASKS };
  const job = new Job('req-1', spec, 0, 1, tasksPerRecord(LIMITS.valueBytes));
  if (layout === 'ranged') job.switchToRangedRecords(tasksPerRange(LIMITS.valueBytes));
  const placements = new CountingPlacements();
  Object.defineProperty(job, 'placements', { value: placements });
  for (let task = 0; task < MAX_TASKS; task++) {
    placements.set(task, unrecordedStart(job, task, { machine: `host-${task % MACHINES}` }));
    job.markDirty(task);
  }
  return { job, placements };
}

/** Builds transactions until none is left to write; returns the tasks that each one stores. */
function storeAll(job: Job): number[][] {
  const runtime = { clock: new FakeClock() } as unknown as Runtime;
  const rejections = { limitsFor: () => LIMITS } as unknown as WriteRejections;
  const term = new Term('t', 1, 0, Infinity);
  const builder = new TransactionBuilder(runtime, term, rejections, () => false);
  const stored: number[][] = [];
  while (job.dirty) {
    const { sections } = builder.build(job, `w${stored.length}`);
    assert.ok(sections.length > 0);
    for (const section of sections) section.dirty = false;
    stored.push(
      sections.flatMap(({ from, to }) => Array.from({ length: to - from }, (_, i) => from + i)),
    );
  }
  return stored;
}

/** A record is split at most this often: in half each time, down to a single task. */
const MAX_SPLITS = Math.ceil(Math.log2(tasksPerRange(LIMITS.valueBytes)));

for (const [layout, visitsPerTask] of [
  ['indexed', 2],
  ['ranged', MAX_SPLITS + 2],
] as const) {
  // Guards against work that grows with tasks times transactions: each write of a large job built all
  // of its records, and each record searched all of its placements.
  test(`records of a job of ${MAX_TASKS} placed tasks (${layout}): every task is stored once and visited a few times`, () => {
    const { job, placements } = placedJob(layout);
    const stored = storeAll(job).flat();
    assert.equal(stored.length, MAX_TASKS);
    assert.equal(new Set(stored).size, MAX_TASKS);
    const limit = visitsPerTask * MAX_TASKS;
    assert.ok(placements.visits <= limit, `${placements.visits} visits, limit ${limit}`);
  });
}
