import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Term } from '../src/election/term.js';
import type { JobSpec } from '../src/jobs/job.js';
import { JobRecordWriter } from '../src/jobs/job-record-writer.js';
import { Job } from '../src/jobs/tracked-job.js';
import type { Runtime } from '@leverhatch/core/duty';
import { StoreLimits } from '../src/state/store-limits.js';
import { Store } from '../src/state/store.js';
import { FakeClock } from './fakes/clock.js';
import { SPEC } from './fakes/samples.js';
import { FakeStore } from './fakes/store.js';
import { fakeRandom, settings } from './fakes/simulated-cluster.js';

/** A writer above a store whose queue of writes never empties. */
function busyWriter(): { clock: FakeClock; writer: JobRecordWriter; priorities: number[] } {
  const clock = new FakeClock();
  const priorities: number[] = [];
  const store = {
    queuedWrites: 20,
    commit: (_when: unknown, _then: unknown, priority: number) => {
      priorities.push(priority);
      return Promise.resolve({ ok: true, revision: priorities.length });
    },
  } as unknown as Store;
  const nothing = (): void => undefined;
  const writer = new JobRecordWriter(
    store,
    { clock } as unknown as Runtime,
    new Term('t', 1, 0, Infinity),
    new StoreLimits(settings().state),
    { rangesReadable: () => false, leftoversKnown: () => false, rangesWanted: () => false },
    2500,
    {
      jobChanged: nothing,
      startsRecorded: nothing,
      exitsRecorded: nothing,
      inconsistencyDetected: (what) => assert.fail(what),
      endRecorded: nothing,
      archived: nothing,
    },
  );
  return { clock, writer, priorities };
}

/** Above a store of its own whose limits a test can change. */
function realWriter(jobs: Job[]) {
  const clock = new FakeClock();
  const fakeStore = new FakeStore(clock);
  fakeStore.keys.set('leader', { value: {}, stamp: 1, hold: null });
  for (const one of jobs) {
    fakeStore.keys.set(`jobs/${one.id}`, { value: {}, stamp: 1, hold: null });
  }
  const readable = { on: true };
  const layouts = {
    rangesReadable: () => readable.on,
    leftoversKnown: () => readable.on,
    rangesWanted: () => false,
  };
  const errors: object[] = [];
  const log = { error: (e: object) => errors.push(e), warn() {}, info() {}, debug() {} };
  const runtime = { clock, random: fakeRandom('r'), log, startedAt: 0 } as unknown as Runtime;
  const store = new Store(
    fakeStore.link(() => 'serve'),
    runtime,
    settings(),
    1000,
  );
  const term = new Term('t', 1, 0, Infinity);
  const started: string[] = [];
  const writer = new JobRecordWriter(store, runtime, term, store.limits, layouts, 10_000, {
    jobChanged: () => undefined,
    startsRecorded: (placements) =>
      started.push(...placements.map((placement) => `${placement.job.id}/${placement.task}`)),
    exitsRecorded: () => undefined,
    inconsistencyDetected: (what) => assert.fail(what),
    endRecorded: () => undefined,
    archived: () => undefined,
  });
  return { clock, fakeStore, writer, term, errors, started, readable };
}

function place(one: Job, task: number, machine = 'host-000001'): void {
  one.placements.set(task, {
    job: one,
    task,
    attempt: ++one.attempt,
    machine,
    agentEpoch: 1,
    zone: 'a',
    stage: 'recording',
    state: null,
    placedAt: 0,
    runningSince: null,
    stop: null,
  });
  one.markDirty(task);
}

test('a value that the store calls too large stops its own job, and not the term', async () => {
  // With such a name not even one start fits.
  const large = new Job('req-1', { ...SPEC, tasks: 100 }, 0, 1, 100);
  const small = new Job('req-2', SPEC, 0, 1, 100);
  const { clock, fakeStore, writer, term, errors, started } = realWriter([large, small]);
  fakeStore.limits = { valueBytes: 2048, txnOps: 4 };
  place(large, 0, 'host'.padEnd(3000, 'x'));
  place(small, 0);
  writer.flush(large);
  writer.flush(small);
  await clock.advance(60_000);
  assert.equal(term.signal.aborted, false);
  assert.deepEqual(started, ['req-2/0']);
  assert.equal(errors.length, 1, 'logged once, not with every try');
  assert.match(JSON.stringify(errors[0]), /"key":"runs\/req-1\/0","bytes":3\d{3}/);
  assert.ok(fakeStore.rejected <= 20, `${fakeStore.rejected} tries in a minute`);
  // Once it fits it goes on by itself.
  fakeStore.limits = { valueBytes: 16_384, txnOps: 4 };
  await clock.advance(20_000);
  assert.deepEqual(started, ['req-2/0', 'req-1/0']);
});

test('a job whose record became too large for the store goes on in smaller records', async () => {
  const large = new Job('req-1', { ...SPEC, tasks: 100 }, 0, 1, 100);
  const { clock, fakeStore, writer, started } = realWriter([large]);
  fakeStore.limits = { valueBytes: 2048, txnOps: 4 };
  for (let task = 0; task < 100; task++) place(large, task, `host-${task}`.padEnd(60, 'x'));
  writer.flush(large);
  await clock.advance(60_000);
  assert.equal(new Set(started).size, 100);
  assert.equal(started.length, 100);
});

test('while some controller reads only the old layout, a record that is too large waits', async () => {
  const large = new Job('req-1', { ...SPEC, tasks: 100 }, 0, 1, 100);
  const { clock, fakeStore, writer, started, readable } = realWriter([large]);
  readable.on = false;
  fakeStore.limits = { valueBytes: 2048, txnOps: 4 };
  for (let task = 0; task < 100; task++) place(large, task);
  writer.flush(large);
  await clock.advance(60_000);
  assert.deepEqual(started, []);
  assert.equal(fakeStore.keys.has('runs/req-1/p0'), false);
  readable.on = true;
  await clock.advance(20_000);
  assert.equal(started.length, 100);
});

const job = (spec: Partial<JobSpec> = {}): Job => new Job('req-1', { ...SPEC, ...spec }, 0, 1, 100);

test('exits wait while writes queue, but not for ever', async () => {
  const { clock, writer, priorities } = busyWriter();
  const array = job();
  array.markDone(0);
  writer.flushExits(array);
  await clock.advance(9900);
  assert.equal(priorities.length, 0);
  await clock.advance(200);
  assert.equal(priorities.length, 1);
});

test('a start does not wait for the exits before it, and carries them along', async () => {
  const { clock, writer, priorities } = busyWriter();
  const array = job();
  array.markDone(0);
  writer.flushExits(array);
  array.markDirty(1);
  writer.flush(array);
  await clock.advance(20_000);
  assert.equal(priorities.length, 1);
});

test('starts of arrays go after those of services and gangs', async () => {
  const { clock, writer, priorities } = busyWriter();
  for (const kind of ['array', 'service', 'gang'] as const) {
    const one = job({ kind });
    one.markDirty(0);
    writer.flush(one);
  }
  await clock.advance(1);
  assert.deepEqual(priorities, [2, 1, 1]);
});
