import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from '../src/fleet/fleet.js';
import type { Machine } from '../src/fleet/machine.js';
import { Job, type Placement } from '../src/jobs/tracked-job.js';
import type { Report, TaskReport } from '../src/wire/report.js';
import { SPEC, TYPE } from './fakes/samples.js';

const LEASE_MS = 10_000;
const SILENT_MS = LEASE_MS / 3;
const TOKEN = 7;

/** A new leader's view of its fleet; what reports prove is noted by task. */
class Story {
  readonly running: number[] = [];
  readonly exited: number[] = [];
  readonly lost: number[] = [];
  readonly job = new Job('req-1', SPEC, 0, 1, 100);
  readonly fleet = new Fleet(
    {
      running: (p) => this.running.push(p.task),
      exited: (p) => this.exited.push(p.task),
      lost: (p) => this.lost.push(p.task),
    },
    TOKEN,
    0,
    LEASE_MS,
    { boundOf: () => -Infinity, confirmedFrom: Infinity },
  );

  get machine(): Machine {
    return this.fleet.machines.get('host-1')!;
  }

  place(task: number, stage: Placement['stage'], session = 1): Placement {
    const p: Placement = {
      job: this.job,
      task,
      attempt: 1,
      machine: 'host-1',
      session,
      zone: 'a',
      stage,
      state: null,
      placedAt: 0,
      runningSince: null,
      stop: null,
    };
    this.fleet.add(p, 0);
    return p;
  }

  report(at: number, r: Partial<Report>): string[] {
    return this.fleet.report(sample(r), TYPE, at, true).map((o) => `${o.op} ${o.task}`);
  }

  direct(r: Partial<Report>): void {
    this.fleet.direct(sample(r));
  }
}

function sample(r: Partial<Report>): Report {
  return {
    machine: 'host-1',
    address: 'host-1:9000',
    type: 'g8',
    zone: 'a',
    spot: false,
    session: 1,
    seq: 1,
    token: TOKEN,
    noticeMs: null,
    tasks: [],
    ...r,
  };
}

const shows = (task: number, state: TaskReport['state']): TaskReport => ({
  job: 'req-1',
  task,
  attempt: 1,
  state,
  why: state === 'exited' ? 'done' : null,
  saved: false,
});

test('late copies of reports do not make a machine that is cut off look within reach', () => {
  const story = new Story();
  story.report(0, { seq: 5 });
  for (const at of [1000, 2000, 3000, 4000]) story.report(at, { seq: 3 });
  assert.equal(story.machine.usable(3000, SILENT_MS), true);
  assert.equal(story.machine.usable(4000, SILENT_MS), false);
});

test('a lease that ran out behind a cut is not taken for deafness because copies came meanwhile', () => {
  const story = new Story();
  story.report(0, { seq: 5 });
  for (let at = 1000; at < 14_000; at += 1000) story.report(at, { seq: 3 });
  story.report(14_000, { session: 2, seq: 6 });
  assert.equal(story.machine.faulty, false);
});

test('a machine whose reports arrive while its leases run out does not hear the answers', () => {
  const story = new Story();
  for (let at = 0; at < 12_000; at += 1000) story.report(at, { seq: 5 + at });
  story.report(12_000, { session: 2, seq: 20_000 });
  assert.equal(story.machine.faulty, true);
});

test('a late copy does not put off the proof that a silent machine is gone', () => {
  const story = new Story();
  story.place(0, 'recorded');
  story.report(0, { seq: 5 });
  story.report(6000, { seq: 5 });
  story.report(7000, { seq: 3 });
  story.fleet.sweep(LEASE_MS + 10);
  assert.deepEqual(story.lost, []);
  story.fleet.sweep(LEASE_MS + 100);
  assert.deepEqual(story.lost, [0]);
});

test('a report that the answer to a direct command has overtaken renews the lease all the same', () => {
  const story = new Story();
  story.place(0, 'recorded');
  story.report(0, { seq: 5 });
  story.direct({ seq: 7 });
  story.report(6000, { seq: 6 });
  story.fleet.sweep(LEASE_MS + 5900);
  assert.deepEqual(story.lost, []);
  story.fleet.sweep(LEASE_MS + 6100);
  assert.deepEqual(story.lost, [0]);
});

test('to a new leader an old report that comes first puts off that proof', () => {
  const story = new Story();
  story.place(0, 'recovered');
  story.report(8000, { seq: 3, token: 4 });
  story.fleet.sweep(LEASE_MS + 7900);
  assert.deepEqual(story.lost, []);
  story.fleet.sweep(LEASE_MS + 8100);
  assert.deepEqual(story.lost, [0]);
});

test('a machine that the cloud took back gets no work when a copy of its report comes', () => {
  const story = new Story();
  story.report(0, { seq: 5 });
  story.fleet.returnConfirmed('host-1');
  story.report(1000, { seq: 4 });
  assert.equal(story.machine.usable(1000, SILENT_MS), false);
});

test('to a new leader old reports prove nothing gone, whatever order they come in', () => {
  const story = new Story();
  story.place(0, 'recovered');
  story.place(1, 'recovered');
  // Copies from before its time: one from when the first start was not carried out yet.
  assert.deepEqual(story.report(0, { seq: 3, token: 4 }), []);
  assert.deepEqual(story.report(10, { seq: 2, token: 4, tasks: [shows(1, 'exited')] }), []);
  assert.deepEqual(story.report(20, { seq: 4, token: 4, tasks: [shows(0, 'running')] }), []);
  assert.deepEqual([story.exited, story.lost], [[], []]);
  // Its own word is the first that counts for what is not shown.
  story.report(30, { seq: 9, tasks: [shows(0, 'running')] });
  assert.deepEqual([story.lost, story.running], [[], [0]]);
  assert.deepEqual(story.report(40, { seq: 10, tasks: [shows(0, 'running')] }), ['start 1']);
});

test('a copy from an earlier session takes nothing from what was started in a later one', () => {
  const story = new Story();
  story.place(0, 'recovered', 3);
  story.report(0, { session: 2, seq: 5, token: 4, tasks: [shows(0, 'exited')] });
  assert.deepEqual([story.exited, story.lost], [[], []]);
  story.report(10, { session: 3, seq: 8, tasks: [shows(0, 'running')] });
  story.report(20, { session: 2, seq: 6, token: 4 });
  assert.deepEqual([story.exited, story.lost, story.running], [[], [], [0]]);
  story.report(30, { session: 4, seq: 9 });
  assert.deepEqual(story.lost, [0]);
});

test('a start that was offered in the answer to a copy is offered again to the worker itself', () => {
  const story = new Story();
  story.report(0, { seq: 3 });
  story.place(0, 'recorded');
  assert.deepEqual(story.report(10, { seq: 4 }), ['start 0']);
  assert.deepEqual(story.report(20, { seq: 9 }), ['start 0']);
  assert.deepEqual(story.report(30, { seq: 8 }), []);
  story.report(40, { seq: 10, tasks: [shows(0, 'fetching')] });
  assert.deepEqual([story.exited, story.lost], [[], []]);
});
