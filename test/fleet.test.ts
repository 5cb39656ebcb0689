import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from '../src/fleet/fleet.js';
import type { Machine } from '../src/fleet/machine.js';
import { TaskPlacement } from '../src/jobs/task-placement.js';
import { Job, type Placement } from '../src/jobs/tracked-job.js';
import type { WorkerHeartbeat, TaskStatus } from '../src/wire/worker-heartbeat.js';
import { SPEC, startGroup, TYPE } from './fakes/samples.js';

const LEASE_MS = 10_000;
const MAX_HEARTBEAT_AGE_MS = LEASE_MS / 3;
const TOKEN = 7;

/**
 * A new leader's fleet with one machine. Collects the tasks that heartbeats prove to be running,
 * exited or lost.
 */
class FleetScenario {
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
    const placement = new TaskPlacement(startGroup(this.job, { agentEpoch }), task, stage);
    this.job.placements.set(task, placement);
    this.fleet.addPlacement(placement, 0);
    return placement;
  }

  /** Applies a heartbeat and returns the commands of its answer. */
  heartbeat(at: number, fields: Partial<WorkerHeartbeat>): string[] {
    return this.fleet
      .applyHeartbeat(heartbeatWith(fields), TYPE, at, true)
      .map((command) => `${command.kind} ${command.task}`);
  }

  /** Applies the response to a direct command. */
  directResponse(fields: Partial<WorkerHeartbeat>): void {
    this.fleet.applyDirectResponse(heartbeatWith(fields));
  }
}

function heartbeatWith(fields: Partial<WorkerHeartbeat>): WorkerHeartbeat {
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
    ...fields,
  };
}

const statusOf = (task: number, state: TaskStatus['state']): TaskStatus => ({
  job: 'req-1',
  task,
  attempt: 1,
  state,
  exitReason: state === 'exited' ? 'done' : null,
  checkpointed: false,
});

test('delayed copies of heartbeats do not make a partitioned machine look reachable', () => {
  const scenario = new FleetScenario();
  scenario.heartbeat(0, { sequence: 5 });
  for (const at of [1000, 2000, 3000, 4000]) scenario.heartbeat(at, { sequence: 3 });
  assert.equal(scenario.machine.isSchedulable(3000, MAX_HEARTBEAT_AGE_MS), true);
  assert.equal(scenario.machine.isSchedulable(4000, MAX_HEARTBEAT_AGE_MS), false);
});

test('a lease that expired in a partition does not count as unanswered because copies arrived meanwhile', () => {
  const scenario = new FleetScenario();
  scenario.heartbeat(0, { sequence: 5 });
  for (let at = 1000; at < 14_000; at += 1000) scenario.heartbeat(at, { sequence: 3 });
  scenario.heartbeat(14_000, { agentEpoch: 2, sequence: 6 });
  assert.equal(scenario.machine.isFaulty, false);
});

test('a machine whose heartbeats arrive while its leases expire does not receive our answers', () => {
  const scenario = new FleetScenario();
  for (let at = 0; at < 12_000; at += 1000) scenario.heartbeat(at, { sequence: 5 + at });
  scenario.heartbeat(12_000, { agentEpoch: 2, sequence: 20_000 });
  assert.equal(scenario.machine.isFaulty, true);
});

test('a delayed copy does not postpone the lease expiry of an unresponsive machine', () => {
  const scenario = new FleetScenario();
  scenario.place(0, 'recorded');
  scenario.heartbeat(0, { sequence: 5 });
  scenario.heartbeat(6000, { sequence: 5 });
  scenario.heartbeat(7000, { sequence: 3 });
  scenario.fleet.expireLeases(LEASE_MS + 10);
  assert.deepEqual(scenario.lost, []);
  scenario.fleet.expireLeases(LEASE_MS + 100);
  assert.deepEqual(scenario.lost, [0]);
});

test('a heartbeat overtaken by the response to a direct command still renews the lease', () => {
  const scenario = new FleetScenario();
  scenario.place(0, 'recorded');
  scenario.heartbeat(0, { sequence: 5 });
  scenario.directResponse({ sequence: 7 });
  scenario.heartbeat(6000, { sequence: 6 });
  scenario.fleet.expireLeases(LEASE_MS + 5900);
  assert.deepEqual(scenario.lost, []);
  scenario.fleet.expireLeases(LEASE_MS + 6100);
  assert.deepEqual(scenario.lost, [0]);
});

test('for a new leader an old heartbeat that arrives first postpones lease expiry', () => {
  const scenario = new FleetScenario();
  scenario.place(0, 'recovered');
  scenario.heartbeat(8000, { sequence: 3, fencingToken: 4 });
  scenario.fleet.expireLeases(LEASE_MS + 7900);
  assert.deepEqual(scenario.lost, []);
  scenario.fleet.expireLeases(LEASE_MS + 8100);
  assert.deepEqual(scenario.lost, [0]);
});

test('a released machine gets no work when a copy of its heartbeat arrives', () => {
  const scenario = new FleetScenario();
  scenario.heartbeat(0, { sequence: 5 });
  scenario.fleet.confirmReleased('host-1');
  scenario.heartbeat(1000, { sequence: 4 });
  assert.equal(scenario.machine.isSchedulable(1000, MAX_HEARTBEAT_AGE_MS), false);
});

test('for a new leader old heartbeats prove nothing lost, in whatever order they arrive', () => {
  const scenario = new FleetScenario();
  scenario.place(0, 'recovered');
  scenario.place(1, 'recovered');
  // Copies from before its term; the first was sent before the start of task 0 was executed.
  assert.deepEqual(scenario.heartbeat(0, { sequence: 3, fencingToken: 4 }), []);
  assert.deepEqual(
    scenario.heartbeat(10, { sequence: 2, fencingToken: 4, tasks: [statusOf(1, 'exited')] }),
    [],
  );
  assert.deepEqual(
    scenario.heartbeat(20, { sequence: 4, fencingToken: 4, tasks: [statusOf(0, 'running')] }),
    [],
  );
  assert.deepEqual([scenario.exited, scenario.lost], [[], []]);
  // Only a heartbeat with its own token counts for tasks that are not reported.
  scenario.heartbeat(30, { sequence: 9, tasks: [statusOf(0, 'running')] });
  assert.deepEqual([scenario.lost, scenario.running], [[], [0]]);
  assert.deepEqual(scenario.heartbeat(40, { sequence: 10, tasks: [statusOf(0, 'running')] }), [
    'start 1',
  ]);
});

test('a copy from an earlier agent epoch does not affect what was started in a later one', () => {
  const scenario = new FleetScenario();
  scenario.place(0, 'recovered', 3);
  scenario.heartbeat(0, {
    agentEpoch: 2,
    sequence: 5,
    fencingToken: 4,
    tasks: [statusOf(0, 'exited')],
  });
  assert.deepEqual([scenario.exited, scenario.lost], [[], []]);
  scenario.heartbeat(10, { agentEpoch: 3, sequence: 8, tasks: [statusOf(0, 'running')] });
  scenario.heartbeat(20, { agentEpoch: 2, sequence: 6, fencingToken: 4 });
  assert.deepEqual([scenario.exited, scenario.lost, scenario.running], [[], [], [0]]);
  scenario.heartbeat(30, { agentEpoch: 4, sequence: 9 });
  assert.deepEqual(scenario.lost, [0]);
});

test('a start sent in the answer to a copy is sent again in the answer to the worker itself', () => {
  const scenario = new FleetScenario();
  scenario.heartbeat(0, { sequence: 3 });
  scenario.place(0, 'recorded');
  assert.deepEqual(scenario.heartbeat(10, { sequence: 4 }), ['start 0']);
  assert.deepEqual(scenario.heartbeat(20, { sequence: 9 }), ['start 0']);
  assert.deepEqual(scenario.heartbeat(30, { sequence: 8 }), []);
  scenario.heartbeat(40, { sequence: 10, tasks: [statusOf(0, 'fetching')] });
  assert.deepEqual([scenario.exited, scenario.lost], [[], []]);
});
