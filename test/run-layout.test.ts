import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Term } from '../src/election/term.js';
import type { JobSpec } from '../src/jobs/job.js';
import { JobRecordWriter } from '../src/jobs/job-record-writer.js';
import { Job, type Placement } from '../src/jobs/tracked-job.js';
import { markRecorded } from '../src/jobs/placement-stage.js';
import { groupRunRecords } from '../src/jobs/run-reader.js';
import { tasksPerRange, tasksPerRecord } from '../src/jobs/records.js';
import type { Runtime } from '@leverhatch/core/duty';
import type { StoreLimits } from '../src/state/store-limits.js';
import { Store } from '../src/state/store.js';
import { FakeClock } from './fakes/clock.js';
import { SPEC } from './fakes/samples.js';
import { FakeStore, type Fate } from './fakes/store.js';
import { fakeRandom, settings } from './fakes/simulated-cluster.js';

const LARGE = 16 * 1024;
const SMALL = 2048;
const ID = 'req-1';

/** One job under a leader, above a store whose limits fall in the middle. */
class Leadership {
  readonly clock = new FakeClock();
  readonly fakeStore = new FakeStore(this.clock);
  readonly job: Job;
  readonly writer: JobRecordWriter;
  readonly recorded = new Map<number, Placement>();
  readonly random: () => number;
  readonly limits: StoreLimits;
  fate: Fate = 'serve';
  ranged = false;
  readable = true;
  private readonly term = new Term('t', 1, 0, Infinity);

  constructor(spec: Partial<JobSpec>, seed: number) {
    let state = seed;
    this.random = () => (state = (state * 1_103_515_245 + 12_345) % 2_147_483_648) / 2_147_483_648;
    const full = { ...SPEC, ...spec };
    this.job = new Job(ID, full, 0, 2, tasksPerRecord(LARGE));
    this.fakeStore.limits = { valueBytes: LARGE, txnOps: 20 };
    this.fakeStore.write('leader', {});
    this.fakeStore.write(`jobs/${ID}`, { w: 'a', phase: 'open', tasks: full.tasks });
    const log = { error() {}, warn() {}, info() {}, debug() {} };
    const runtime = { clock: this.clock, random: fakeRandom('r'), log, startedAt: 0 };
    const base = settings();
    const next = { valueBytes: SMALL, txnOps: 4 };
    const store = new Store(
      this.fakeStore.link(() => this.fate),
      runtime as unknown as Runtime,
      { ...base, state: { ...base.state, writeRps: 1e6, rps: 1e6, next } },
      1000,
    );
    this.limits = store.limits;
    this.writer = new JobRecordWriter(
      store,
      runtime as unknown as Runtime,
      this.term,
      store.limits,
      {
        rangesReadable: () => this.readable,
        leftoversKnown: () => this.readable,
        rangesWanted: () => this.ranged,
      },
      10_000,
      {
        jobChanged: () => undefined,
        startsRecorded: (list) => {
          for (const placement of list) {
            markRecorded(placement);
            this.recorded.set(placement.task, placement);
          }
        },
        exitsRecorded: () => undefined,
        inconsistencyDetected: (what) => assert.fail(what),
        archived: () => undefined,
        endRecorded: () => undefined,
      },
    );
  }

  place(task: number): void {
    const { job } = this;
    if (job.isDone(task) || job.placements.has(task)) return;
    job.placements.set(task, {
      job,
      task,
      attempt: ++job.attempt,
      machine: `host-${String(Math.floor(this.random() * 1000)).padStart(6, '0')}`,
      agentEpoch: 1,
      zone: 'gandhinagar-dc',
      stage: 'recording',
      state: null,
      placedAt: 0,
      runningSince: null,
      stop: null,
    });
    job.markDirty(task);
  }

  exit(task: number): void {
    const placement = this.job.placements.get(task);
    if (!placement || !this.recorded.has(task)) return;
    this.job.placements.delete(task);
    this.recorded.delete(task);
    this.job.unrecordedExits.push(placement);
    this.job.markDone(task);
  }

  /** What a successor would believe now. */
  successor(): Job {
    const job = new Job(ID, this.job.spec, 0, 2, tasksPerRecord(LARGE));
    const entries = [...this.fakeStore.keys]
      .filter(([key]) => key.startsWith('runs/'))
      .map(([key, stored]) => ({ key, value: stored.value, version: stored.stamp }));
    const { runs, unreadable } = groupRunRecords(entries, () => job);
    assert.deepEqual(unreadable, []);
    for (const stored of runs.values()) job.restore(stored, tasksPerRange(SMALL), 0, 0);
    return job;
  }

  /** No start that may have been sent is unknown to a successor, unless it is known as done. */
  check(): void {
    const job = this.successor();
    for (const [task, placement] of this.recorded) {
      const known = job.placements.get(task);
      assert.ok(known, `task ${task} is lost`);
      assert.deepEqual(
        [known.machine, known.attempt],
        [placement.machine, placement.attempt],
        `task ${task}`,
      );
    }
    for (let task = 0; task < job.spec.tasks; task++) {
      if (job.isDone(task)) assert.ok(this.job.isDone(task), `task ${task} is not done`);
    }
    assert.ok(
      job.attempt >=
        Math.max(0, ...[...this.recorded.values()].map((placement) => placement.attempt)),
    );
  }

  /** Once all is written a successor knows all of it. */
  checkAll(): void {
    const job = this.successor();
    assert.deepEqual([...job.placements.keys()].sort(), [...this.job.placements.keys()].sort());
    assert.equal(job.doneCount, this.job.doneCount);
    assert.equal(job.attempt, this.job.attempt);
  }
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`no start is lost or invented while records shrink, seed ${seed}`, async () => {
    const leadership = new Leadership({ tasks: 40 + seed * 60 }, seed);
    const { random, job } = leadership;
    for (let step = 0; step < 160; step++) {
      if (step === 50) {
        leadership.ranged = true;
        // As when an upgrade is complete; without it the first rejection shows it.
        if (seed % 2 === 0) leadership.limits.applyAnnounced();
      }
      if (step === 90) leadership.fakeStore.limits = { valueBytes: SMALL, txnOps: 4 };
      leadership.fate = random() < 0.15 ? 'lose answer' : 'serve';
      const from = Math.floor(random() * job.spec.tasks);
      for (let i = 0; i < 1 + random() * 30; i++) {
        const task = (from + i) % job.spec.tasks;
        if (random() < 0.6) leadership.place(task);
        else leadership.exit(task);
      }
      leadership.writer.flush(job);
      if (leadership.ranged && random() < 0.2) leadership.writer.rewriteSuperseded(job);
      // Looked at between any two transactions.
      for (let ms = random() * 40; ms > 0; ms -= 4) {
        await leadership.clock.advance(4);
        leadership.check();
      }
    }
    leadership.fate = 'serve';
    leadership.writer.flush(job);
    await leadership.clock.advance(20_000);
    leadership.checkAll();
    leadership.writer.rewriteSuperseded(job);
    await leadership.clock.advance(20_000);
    leadership.checkAll();
    const left = [...leadership.fakeStore.keys].filter(([key]) => key.startsWith('runs/'));
    assert.ok(left.every(([key, stored]) => /\/p\d+$/.test(key) && size(stored.value) <= SMALL));
  });
}

test('limits that fall unannounced, before anything is ranged, lose nothing either', async () => {
  const leadership = new Leadership({ tasks: 150 }, 3);
  for (let task = 0; task < 150; task++) leadership.place(task);
  leadership.writer.flush(leadership.job);
  await leadership.clock.advance(100);
  leadership.fakeStore.limits = { valueBytes: SMALL, txnOps: 4 };
  for (let task = 0; task < 150; task += 2) leadership.exit(task);
  leadership.writer.flush(leadership.job);
  await leadership.clock.advance(100);
  leadership.check();
  await leadership.clock.advance(20_000);
  leadership.checkAll();
});

test('a gang keeps its phase over the change of layout, and forgets one that is over', async () => {
  const leadership = new Leadership({ tasks: 4, kind: 'gang' }, 1);
  const gang = leadership.job.gang!;
  for (let task = 0; task < 4; task++) leadership.place(task);
  gang.phase = 'placed';
  leadership.writer.flush(leadership.job);
  await leadership.clock.advance(100);
  leadership.ranged = true;
  leadership.writer.rewriteSuperseded(leadership.job);
  await leadership.clock.advance(1000);
  assert.equal(leadership.successor().gang!.phase, 'placed');
  assert.deepEqual(
    [...leadership.fakeStore.keys.keys()].filter((k) => k.startsWith('runs/')),
    [`runs/${ID}/p0`],
  );
  gang.phase = 'queued';
  leadership.job.markDirty(0);
  leadership.writer.flush(leadership.job);
  await leadership.clock.advance(1000);
  assert.equal(leadership.successor().gang!.phase, 'queued');
});

test('a job over with more records than one transaction may delete closes without a gap', async () => {
  const leadership = new Leadership({ tasks: 900 }, 5);
  leadership.ranged = true;
  leadership.fakeStore.limits = { valueBytes: SMALL, txnOps: 4 };
  for (let task = 0; task < 900; task++) leadership.place(task);
  leadership.writer.flush(leadership.job);
  await leadership.clock.advance(5000);
  assert.equal(leadership.recorded.size, 900);
  for (let task = 0; task < 900; task++) leadership.exit(task);
  leadership.job.phase = 'done';
  leadership.job.isPhaseStored = false;
  leadership.writer.flush(leadership.job);
  const runs = (): number =>
    [...leadership.fakeStore.keys.keys()].filter((k) => k.startsWith('runs/')).length;
  const all = runs();
  assert.ok(all > 6, `${all} records`);
  // While some of its records are gone and others not, its own says that it is over.
  let between = 0;
  for (let i = 0; i < 400 && runs() > 0; i++) {
    leadership.fate = i % 7 === 3 ? 'lose answer' : 'serve';
    const { phase } = leadership.fakeStore.get(`jobs/${ID}`) as { phase: string };
    if (runs() < all) {
      between++;
      assert.equal(phase, 'done');
    }
    await leadership.clock.advance(20);
  }
  assert.ok(between > 0);
  await leadership.clock.advance(5000);
  assert.equal(runs(), 0);
  assert.equal(leadership.job.isArchived, true);
  const last = leadership.fakeStore.get(`jobs/${ID}`) as object;
  assert.ok(!('spec' in last));
});

test('the final state of a job whose description is larger than the store takes by now is stored', async () => {
  const types = Array.from({ length: 400 }, (_, i) => `type-${i}`);
  const leadership = new Leadership({ tasks: 900, types }, 5);
  leadership.ranged = true;
  leadership.fakeStore.limits = { valueBytes: SMALL, txnOps: 4 };
  for (let task = 0; task < 900; task++) leadership.place(task);
  leadership.writer.flush(leadership.job);
  await leadership.clock.advance(5000);
  for (let task = 0; task < 900; task++) leadership.exit(task);
  leadership.job.phase = 'done';
  leadership.job.isPhaseStored = false;
  leadership.writer.flush(leadership.job);
  await leadership.clock.advance(5000);
  assert.equal(leadership.job.isArchived, true);
  assert.equal(leadership.fakeStore.rejected, 1, 'only the one that showed the limits');
});

const size = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
