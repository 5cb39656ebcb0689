import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from '../src/fleet/fleet.js';
import type { Placement } from '../src/jobs/tracked-job.js';
import { Job } from '../src/jobs/tracked-job.js';
import type { WorkerHeartbeat } from '../src/wire/worker-heartbeat.js';
import { SPEC, TYPE } from './fakes/samples.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

test('a cancelled batch leaves its machine at once, or with the next report where commands get lost', async () => {
  for (const [open, withinMs] of [
    [true, 100],
    [false, 2500],
  ] as const) {
    const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }]);
    await simulatedCluster.start();
    const job = await simulatedCluster.submit({ pieces: 4, runMs: 60_000 });
    await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'runs');
    simulatedCluster.directOpen = open;
    await simulatedCluster.clock.advance(100);
    const from = simulatedCluster.clock.now();
    assert.equal(
      (await simulatedCluster.ask(simulatedCluster.user(simulatedCluster.leader).abort(job)))
        .status,
      200,
    );
    while (simulatedCluster.on(job).length > 0 && simulatedCluster.clock.now() - from < 5000)
      await simulatedCluster.clock.advance(10);
    // The cancellation itself takes up to a step of the scenario's clock.
    const took = simulatedCluster.clock.now() - from;
    assert.ok(took <= 250 + withinMs, `direct ${open}: ${took} ms`);
    await simulatedCluster.close();
  }
});

const report = (
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

test('the answer to a direct command proves no start gone, and renews no lease', () => {
  const gone: Placement[] = [];
  const exited: Placement[] = [];
  const fleet = new Fleet(
    {
      running: () => {},
      exited: (placement) => exited.push(placement),
      lost: (placement) => gone.push(placement),
    },
    7,
    0,
    10_000,
    { expiryOf: () => -Infinity, confirmedAsOf: Infinity },
  );
  fleet.applyHeartbeat(report(1, []), TYPE, 100, true);
  const machine = fleet.machines.get('host-1')!;
  const job = new Job('req-1', SPEC, 0, 1, 100);
  const place = (task: number): Placement => ({
    job,
    task,
    attempt: 1,
    machine: 'host-1',
    agentEpoch: 1,
    zone: 'a',
    stage: 'recorded',
    state: null,
    placedAt: 0,
    runningSince: null,
    stop: null,
  });
  const [one, two] = [place(0), place(1)];
  for (const placement of [one, two]) fleet.addPlacement(placement, 100);
  // Both starts are on their way in the answer to a heartbeat, when a stop of the first overtakes them.
  assert.equal(fleet.applyHeartbeat(report(2, []), TYPE, 200, true).length, 2);
  one.stop = { graceMs: 0 };
  const leaseExpiry = fleet.leaseExpiryOf(machine);
  fleet.applyDirectResponse(report(3, []));
  assert.deepEqual(gone, []);
  // An ordinary report does prove it: the answer before it was carried out or dropped by then.
  fleet.applyHeartbeat(report(4, []), TYPE, 300, true);
  assert.deepEqual(gone, [one]);
  assert.ok(fleet.leaseExpiryOf(machine) > leaseExpiry);
  const before = fleet.leaseExpiryOf(machine);
  const shown = {
    job: 'req-1',
    task: 1,
    attempt: 1,
    exitReason: null,
    checkpointed: false,
  } as const;
  fleet.applyDirectResponse(report(9, [{ ...shown, state: 'exited', exitReason: 'stopped' }], 2));
  assert.deepEqual(exited, [], 'of another session nothing is taken');
  fleet.applyDirectResponse(report(5, [{ ...shown, state: 'exited', exitReason: 'stopped' }]));
  assert.deepEqual(exited, [two]);
  assert.equal(fleet.leaseExpiryOf(machine), before);
});
