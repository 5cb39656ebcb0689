import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Term } from '../src/election/term.js';
import type { JobSpec } from '../src/jobs/job.js';
import { JobRecordWriter, type JobRecordEvents } from '../src/jobs/job-record-writer.js';
import { Job } from '../src/jobs/tracked-job.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { StoreLimits } from '../src/state/store-limits.js';
import { Store } from '../src/state/store.js';
import { FakeClock } from './fakes/clock.js';
import { SPEC, unrecordedStart } from './fakes/samples.js';
import { FakeStore } from './fakes/store.js';
import { fakeRandom, settings } from './fakes/simulated-cluster.js';

/** A writer on a store whose write queue never empties. */
function writerWithBusyStore(): {
  clock: FakeClock;
  writer: JobRecordWriter;
  priorities: number[];
} {
  const clock = new FakeClock();
  const priorities: number[] = [];
  const store = {
    queuedWrites: 20,
    commit: (_when: unknown, _then: unknown, priority: number) => {
      priorities.push(priority);
      return Promise.resolve({ ok: true, revision: priorities.length });
    },
  } as unknown as Store;
  const noop = (): void => undefined;
  const writer = new JobRecordWriter({
    store,
    runtime: { clock } as unknown as Runtime,
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
      startsRecorded: noop,
      exitsRecorded: noop,
      inconsistencyDetected: (message) => assert.fail(message),
      endRecorded: noop,
      archived: noop,
    },
  });
  return { clock, writer, priorities };
}

/** A writer on a fake store whose limits a test can change. */
function writerWithStore(jobs: Job[]) {
  const clock = new FakeClock();
  const fakeStore = new FakeStore(clock);
  fakeStore.keys.set('leader', { value: {}, stamp: 1, hold: null });
  for (const trackedJob of jobs) {
    fakeStore.keys.set(`jobs/${trackedJob.id}`, { value: {}, stamp: 1, hold: null });
  }
  const readable = { on: true };
  const layouts = {
    rangesReadable: () => readable.on,
    leftoversKnown: () => readable.on,
    rangesWanted: () => false,
  };
  const errors: object[] = [];
  const log = { error: (entry: object) => errors.push(entry), warn() {}, info() {}, debug() {} };
  const runtime = { clock, random: fakeRandom('r'), log, startedAt: 0 } as unknown as Runtime;
  const store = new Store(
    fakeStore.transport(() => 'serve'),
    runtime,
    settings(),
    1000,
  );
  const term = new Term('t', 1, 0, Infinity);
  const started: string[] = [];
  const events: JobRecordEvents = {
    jobChanged: () => undefined,
    startsRecorded: (placements) =>
      started.push(...placements.map((placement) => `${placement.job.id}/${placement.task}`)),
    exitsRecorded: () => undefined,
    inconsistencyDetected: (message) => assert.fail(message),
    endRecorded: () => undefined,
    archived: () => undefined,
  };
  const writer = new JobRecordWriter({
    ...{ store, runtime, term, limits: store.limits, layoutPolicy: layouts, events },
    exitBatchMs: 10_000,
    memoryMb: settings().machine.memoryMb,
  });
  return { clock, fakeStore, writer, term, errors, started, readable };
}

function place(trackedJob: Job, task: number, machine = 'host-000001'): void {
  const attempt = ++trackedJob.attempt;
  trackedJob.placements.set(task, unrecordedStart(trackedJob, task, { attempt, machine }));
  trackedJob.markDirty(task);
}

test('a value that the store rejects as too large blocks only its own job and does not end the term', async () => {
  // With such a machine id not even one start fits into a record.
  const largeJob = new Job('req-1', { ...SPEC, tasks: 100 }, 0, 1, 100);
  const smallJob = new Job('req-2', SPEC, 0, 1, 100);
  const { clock, fakeStore, writer, term, errors, started } = writerWithStore([largeJob, smallJob]);
  fakeStore.limits = { valueBytes: 2048, txnOps: 4 };
  place(largeJob, 0, 'host'.padEnd(3000, 'x'));
  place(smallJob, 0);
  writer.flush(largeJob);
  writer.flush(smallJob);
  await clock.advance(60_000);
  assert.equal(term.signal.aborted, false);
  assert.deepEqual(started, ['req-2/0']);
  assert.equal(errors.length, 1, 'logged once, not with every attempt');
  assert.match(JSON.stringify(errors[0]), /"key":"runs\/req-1\/0","bytes":3\d{3}/);
  assert.ok(fakeStore.rejected <= 20, `${fakeStore.rejected} attempts in a minute`);
  // The job continues by itself once its record fits.
  fakeStore.limits = { valueBytes: 16_384, txnOps: 4 };
  await clock.advance(20_000);
  assert.deepEqual(started, ['req-2/0', 'req-1/0']);
});

test('a job whose record became too large for the store continues with smaller records', async () => {
  const largeJob = new Job('req-1', { ...SPEC, tasks: 100 }, 0, 1, 100);
  const { clock, fakeStore, writer, started } = writerWithStore([largeJob]);
  fakeStore.limits = { valueBytes: 2048, txnOps: 4 };
  for (let task = 0; task < 100; task++) place(largeJob, task, `host-${task}`.padEnd(60, 'x'));
  writer.flush(largeJob);
  await clock.advance(60_000);
  assert.equal(new Set(started).size, 100);
  assert.equal(started.length, 100);
});

test('a record that is too large waits while some controller reads only the old layout', async () => {
  const largeJob = new Job('req-1', { ...SPEC, tasks: 100 }, 0, 1, 100);
  const { clock, fakeStore, writer, started, readable } = writerWithStore([largeJob]);
  readable.on = false;
  fakeStore.limits = { valueBytes: 2048, txnOps: 4 };
  for (let task = 0; task < 100; task++) place(largeJob, task);
  writer.flush(largeJob);
  await clock.advance(60_000);
  assert.deepEqual(started, []);
  assert.equal(fakeStore.keys.has('runs/req-1/p0'), false);
  readable.on = true;
  await clock.advance(20_000);
  assert.equal(started.length, 100);
});

const job = (spec: Partial<JobSpec> = {}): Job => new Job('req-1', { ...SPEC, ...spec }, 0, 1, 100);

test('exits wait while writes are queued, but not indefinitely', async () => {
  const { clock, writer, priorities } = writerWithBusyStore();
  const arrayJob = job();
  arrayJob.markDone(0);
  writer.flushExits(arrayJob);
  await clock.advance(9900);
  assert.equal(priorities.length, 0);
  await clock.advance(200);
  assert.equal(priorities.length, 1);
});

test('a start does not wait for earlier exits, and is written together with them', async () => {
  const { clock, writer, priorities } = writerWithBusyStore();
  const arrayJob = job();
  arrayJob.markDone(0);
  writer.flushExits(arrayJob);
  arrayJob.markDirty(1);
  writer.flush(arrayJob);
  await clock.advance(20_000);
  assert.equal(priorities.length, 1);
});

test('starts of arrays are written after those of services and gangs', async () => {
  const { clock, writer, priorities } = writerWithBusyStore();
  for (const kind of ['array', 'service', 'gang'] as const) {
    const trackedJob = job({ kind });
    trackedJob.markDirty(0);
    writer.flush(trackedJob);
  }
  await clock.advance(1);
  assert.deepEqual(priorities, [2, 1, 1]);
});
