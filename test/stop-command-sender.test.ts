import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from '../src/fleet/fleet.js';
import { markRecorded } from '../src/jobs/placement-stage.js';
import type { Placement } from '../src/jobs/tracked-job.js';
import { Job } from '../src/jobs/tracked-job.js';
import type { WorkerHeartbeat } from '../src/wire/worker-heartbeat.js';
import { SPEC, TYPE, unrecordedStart } from './fakes/samples.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

test('tasks of a cancelled batch job stop at once, or with the next heartbeat if direct commands are lost', async () => {
  for (const [isReachable, withinMs] of [
    [true, 100],
    [false, 2500],
  ] as const) {
    const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }]);
    await simulatedCluster.start();
    const job = await simulatedCluster.submit({ pieces: 4, runMs: 60_000 });
    await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'runs');
    simulatedCluster.directCommandsEnabled = isReachable;
    await simulatedCluster.clock.advance(100);
    const cancelledAt = simulatedCluster.clock.now();
    assert.equal(
      (await simulatedCluster.ask(simulatedCluster.user(simulatedCluster.leader).abort(job)))
        .status,
      200,
    );
    while (
      simulatedCluster.tasksOf(job).length > 0 &&
      simulatedCluster.clock.now() - cancelledAt < 5000
    )
      await simulatedCluster.clock.advance(10);
    // The cancellation itself takes up to one step of the simulated clock.
    const tookMs = simulatedCluster.clock.now() - cancelledAt;
    assert.ok(tookMs <= 250 + withinMs, `direct commands arrive: ${isReachable}, ${tookMs} ms`);
    await simulatedCluster.close();
  }
});

const heartbeat = (
  sequence: number,
  tasks: WorkerHeartbeat['tasks'],
  agentEpoch = 1,
): WorkerHeartbeat => ({
  machine: 'host-1',
  address: 'host-1:9000',
  type: 'g8',
  zone: 'a',
  spot: false,
  agentEpoch,
  sequence,
  fencingToken: 7,
  preemptionNoticeMs: null,
  tasks,
});

test('the response to a direct command does not prove a start lost and renews no lease', () => {
  const lost: Placement[] = [];
  const exited: Placement[] = [];
  const fleet = new Fleet(
    {
      running: () => {},
      exited: (placement) => exited.push(placement),
      lost: (placement) => lost.push(placement),
    },
    7,
    0,
    10_000,
    { expiryOf: () => -Infinity, confirmedAsOf: Infinity },
  );
  fleet.applyHeartbeat(heartbeat(1, []), TYPE, 100, true);
  const machine = fleet.machines.get('host-1')!;
  const job = new Job('req-1', SPEC, 0, 1, 100);
  const [first, second] = [unrecordedStart(job, 0), unrecordedStart(job, 1)];
  for (const placement of [first, second]) {
    markRecorded(placement);
    job.placements.set(placement.task, placement);
    fleet.addPlacement(placement, 100);
  }
  // Both starts are in the response to a heartbeat, and a direct stop of the first task overtakes it.
  assert.equal(fleet.applyHeartbeat(heartbeat(2, []), TYPE, 200, true).length, 2);
  first.stop = { graceMs: 0 };
  const leaseExpiry = fleet.leaseExpiryOf(machine);
  fleet.applyDirectResponse(heartbeat(3, []));
  assert.deepEqual(lost, []);
  // The next heartbeat proves the loss: by then the previous response was applied or dropped.
  fleet.applyHeartbeat(heartbeat(4, []), TYPE, 300, true);
  assert.deepEqual(lost, [first]);
  assert.ok(fleet.leaseExpiryOf(machine) > leaseExpiry);
  const before = fleet.leaseExpiryOf(machine);
  const status = {
    job: 'req-1',
    task: 1,
    attempt: 1,
    exitReason: null,
    checkpointed: false,
  } as const;
  fleet.applyDirectResponse(
    heartbeat(9, [{ ...status, state: 'exited', exitReason: 'stopped' }], 2),
  );
  assert.deepEqual(exited, [], 'a response of another agent epoch is ignored');
  fleet.applyDirectResponse(heartbeat(5, [{ ...status, state: 'exited', exitReason: 'stopped' }]));
  assert.deepEqual(exited, [second]);
  assert.equal(fleet.leaseExpiryOf(machine), before);
});
