import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as rollout from '@leverhatch/rollout';
import type { ExtensionHost } from '../src/control/extensions/extension.js';
import { ServiceRollouts } from '../src/control/extensions/service-rollouts.js';
import { Machine } from '../src/fleet/machine.js';
import type { Placement } from '../src/jobs/tracked-job.js';
import { PROBING } from './fakes/rollout-checker.js';
import { FakeClock } from './fakes/clock.js';
import { fakeRandom, settings } from './fakes/simulated-cluster.js';

const JOB = 'req-000001';

/** Returns a replica as the leader reports it, after `change` was applied to its machine and placement. */
function replicaWith(change: (machine: Machine, placement: Placement) => void): rollout.Replica {
  const clock = new FakeClock();
  const machine = new Machine('host-000001', 0);
  Object.assign(machine, {
    ...{ agentEpoch: 1, isTokenConfirmed: true, lastHeartbeatAt: 0, address: 'host:1' },
  });
  const job = { id: JOB, spec: { image: 'v1' }, placements: new Map<number, Placement>() };
  const placement = {
    ...{ job, task: 0, attempt: 1, machine: machine.id, agentEpoch: 1, zone: 'a' },
    ...{ stage: 'reported', state: 'running', runningSince: 0, stop: null },
  } as unknown as Placement;
  job.placements.set(0, placement);
  change(machine, placement);
  const log = { error() {}, warn() {}, info() {}, debug() {} };
  const term = { id: 't', fencingToken: 1, signal: new AbortController().signal };
  const host = {
    ...{ settings: settings(), term, jobs: new Map([[JOB, job]]) },
    now: () => clock.now(),
    isReady: () => true,
    machine: () => machine,
  } as unknown as ExtensionHost;
  const ports = {
    ...{
      store: {},
      clock,
      random: fakeRandom('r'),
      log,
      stepIntervalMs: 500,
      probe: {},
      probing: PROBING,
    },
  } as unknown as ConstructorParameters<typeof rollout.LeaderRollouts>[0];
  return new ServiceRollouts(host, rollout, ports).replicas(JOB)[0]!;
}

test('a replica counts as running only after a recent report of this start to this leader', () => {
  const runs = (change: (machine: Machine, placement: Placement) => void): boolean =>
    replicaWith(change).running;
  assert.ok(runs(() => undefined));
  assert.ok(
    !runs((machine) => (machine.isTokenConfirmed = false)),
    'its worker may still accept commands of a former leader',
  );
  assert.ok(!runs((machine) => (machine.lastHeartbeatAt = null)), 'no heartbeat in this term');
  assert.ok(!runs((machine) => (machine.lastHeartbeatAt = -4000)), 'no recent heartbeat');
  assert.ok(!runs((machine) => (machine.agentEpoch = 2)), 'its worker has restarted');
  assert.ok(!runs((machine) => (machine.isReleasing = true)), 'its machine is being released');
  assert.ok(
    !runs((_m, placement) => (placement.stage = 'recovered')),
    'recorded by an earlier leader only',
  );
  assert.ok(!runs((_m, placement) => (placement.state = 'fetching')));
});

test('a replica counts as starting while its start is unsent or fetching, but not when it was recovered', () => {
  const starting = (change: Partial<Placement>): boolean =>
    replicaWith((_machine, placement) => Object.assign(placement, change)).starting;
  assert.ok(starting({ stage: 'recording', state: null }));
  assert.ok(starting({ stage: 'recorded', state: null }));
  assert.ok(starting({ stage: 'reported', state: 'fetching' }));
  assert.ok(!starting({ stage: 'dispatched', state: null }), 'it may be running');
  assert.ok(!starting({ stage: 'recovered', state: null }), 'sent by an earlier leader');
  assert.ok(!starting({ stage: 'reported', state: 'running' }));
});
