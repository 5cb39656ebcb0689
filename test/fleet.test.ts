import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from '../src/fleet/fleet.js';
import type { Machine } from '../src/fleet/machine.js';
import { Job, type Placement } from '../src/jobs/tracked-job.js';
import type { WorkerHeartbeat, TaskStatus } from '../src/wire/worker-heartbeat.js';
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
      running: (placement) => this.running.push(placement.task),
      exited: (placement) => this.exited.push(placement.task),
      lost: (placement) => this.lost.push(placement.task),
    },
    TOKEN,
    0,
    LEASE_MS,
    { expiryOf: () => -Infinity, confirmedAsOf: Infinity },
  );

  get machine(): Machine {
    return this.fleet.machines.get('host-1')!;
  }

  place(task: number, stage: Placement['stage'], agentEpoch = 1): Placement {
    const placement: Placement = {
      job: this.job,
      task,
      attempt: 1,
      machine: 'host-1',
      agentEpoch,
      zone: 'a',
      stage,
      state: null,
      placedAt: 0,
      runningSince: null,
      stop: null,
    };
    this.fleet.addPlacement(placement, 0);
    return placement;
  }

  report(at: number, r: Partial<WorkerHeartbeat>): string[] {
    return this.fleet.applyHeartbeat(sample(r), TYPE, at, true).map((o) => `${o.kind} ${o.task}`);
  }

  direct(r: Partial<WorkerHeartbeat>): void {
    this.fleet.applyDirectResponse(sample(r));
  }
}

function sample(r: Partial<WorkerHeartbeat>): WorkerHeartbeat {
  return {
    machine: 'host-1',
    address: 'host-1:9000',
    type: 'g8',
    zone: 'a',
    spot: false,
    agentEpoch: 1,
    sequence: 1,
    fencingToken: TOKEN,
    preemptionNoticeMs: null,
    tasks: [],
    ...r,
  };
}

const shows = (task: number, state: TaskStatus['state']): TaskStatus => ({
  job: 'req-1',
  task,
  attempt: 1,
  state,
  exitReason: state === 'exited' ? 'done' : null,
  checkpointed: false,
});

test('late copies of reports do not make a machine that is cut off look within reach', () => {
  const story = new Story();
  story.report(0, { sequence: 5 });
  for (const at of [1000, 2000, 3000, 4000]) story.report(at, { sequence: 3 });
  assert.equal(story.machine.isSchedulable(3000, SILENT_MS), true);
  assert.equal(story.machine.isSchedulable(4000, SILENT_MS), false);
});

test('a lease that ran out behind a cut is not taken for deafness because copies came meanwhile', () => {
  const story = new Story();
  story.report(0, { sequence: 5 });
  for (let at = 1000; at < 14_000; at += 1000) story.report(at, { sequence: 3 });
  story.report(14_000, { agentEpoch: 2, sequence: 6 });
  assert.equal(story.machine.isFaulty, false);
});

test('a machine whose reports arrive while its leases run out does not hear the answers', () => {
  const story = new Story();
  for (let at = 0; at < 12_000; at += 1000) story.report(at, { sequence: 5 + at });
  story.report(12_000, { agentEpoch: 2, sequence: 20_000 });
  assert.equal(story.machine.isFaulty, true);
});

test('a late copy does not put off the proof that a silent machine is gone', () => {
  const story = new Story();
  story.place(0, 'recorded');
  story.report(0, { sequence: 5 });
  story.report(6000, { sequence: 5 });
  story.report(7000, { sequence: 3 });
  story.fleet.expireLeases(LEASE_MS + 10);
  assert.deepEqual(story.lost, []);
  story.fleet.expireLeases(LEASE_MS + 100);
  assert.deepEqual(story.lost, [0]);
});

test('a report that the answer to a direct command has overtaken renews the lease all the same', () => {
  const story = new Story();
  story.place(0, 'recorded');
  story.report(0, { sequence: 5 });
  story.direct({ sequence: 7 });
  story.report(6000, { sequence: 6 });
  story.fleet.expireLeases(LEASE_MS + 5900);
  assert.deepEqual(story.lost, []);
  story.fleet.expireLeases(LEASE_MS + 6100);
  assert.deepEqual(story.lost, [0]);
});

test('to a new leader an old report that comes first puts off that proof', () => {
  const story = new Story();
  story.place(0, 'recovered');
  story.report(8000, { sequence: 3, fencingToken: 4 });
  story.fleet.expireLeases(LEASE_MS + 7900);
  assert.deepEqual(story.lost, []);
  story.fleet.expireLeases(LEASE_MS + 8100);
  assert.deepEqual(story.lost, [0]);
});

test('a machine that the cloud took back gets no work when a copy of its report comes', () => {
  const story = new Story();
  story.report(0, { sequence: 5 });
  story.fleet.confirmReleased('host-1');
  story.report(1000, { sequence: 4 });
  assert.equal(story.machine.isSchedulable(1000, SILENT_MS), false);
});

test('to a new leader old reports prove nothing gone, whatever order they come in', () => {
  const story = new Story();
  story.place(0, 'recovered');
  story.place(1, 'recovered');
  // Copies from before its time: one from when the first start was not carried out yet.
  assert.deepEqual(story.report(0, { sequence: 3, fencingToken: 4 }), []);
  assert.deepEqual(
    story.report(10, { sequence: 2, fencingToken: 4, tasks: [shows(1, 'exited')] }),
    [],
  );
  assert.deepEqual(
    story.report(20, { sequence: 4, fencingToken: 4, tasks: [shows(0, 'running')] }),
    [],
  );
  assert.deepEqual([story.exited, story.lost], [[], []]);
  // Its own word is the first that counts for what is not shown.
  story.report(30, { sequence: 9, tasks: [shows(0, 'running')] });
  assert.deepEqual([story.lost, story.running], [[], [0]]);
  assert.deepEqual(story.report(40, { sequence: 10, tasks: [shows(0, 'running')] }), ['start 1']);
});

test('a copy from an earlier session takes nothing from what was started in a later one', () => {
  const story = new Story();
  story.place(0, 'recovered', 3);
  story.report(0, { agentEpoch: 2, sequence: 5, fencingToken: 4, tasks: [shows(0, 'exited')] });
  assert.deepEqual([story.exited, story.lost], [[], []]);
  story.report(10, { agentEpoch: 3, sequence: 8, tasks: [shows(0, 'running')] });
  story.report(20, { agentEpoch: 2, sequence: 6, fencingToken: 4 });
  assert.deepEqual([story.exited, story.lost, story.running], [[], [], [0]]);
  story.report(30, { agentEpoch: 4, sequence: 9 });
  assert.deepEqual(story.lost, [0]);
});

test('a start that was offered in the answer to a copy is offered again to the worker itself', () => {
  const story = new Story();
  story.report(0, { sequence: 3 });
  story.place(0, 'recorded');
  assert.deepEqual(story.report(10, { sequence: 4 }), ['start 0']);
  assert.deepEqual(story.report(20, { sequence: 9 }), ['start 0']);
  assert.deepEqual(story.report(30, { sequence: 8 }), []);
  story.report(40, { sequence: 10, tasks: [shows(0, 'fetching')] });
  assert.deepEqual([story.exited, story.lost], [[], []]);
});
