import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority, type JobSpec } from '../src/jobs/job.js';
import type { JobView, MachineView, ReplicaView } from '../src/scheduler/scheduling-model.js';
import { consolidate } from '../src/scheduler/consolidation.js';
import { jobView, machine, SPEC } from './fakes/samples.js';

const REPLICA: JobSpec = {
  ...SPEC,
  kind: 'service',
  priority: Priority.Production,
  need: { cpus: 8, gpus: 2, memoryGb: 40 },
};

/** Services given by the machines of their replicas: `['m1', 'm2']` is one with two replicas. */
function fleetWith(
  services: string[][],
  overrides: { spec?: Partial<JobSpec>; machine?: Partial<MachineView>; zones?: string[] } = {},
): { movable: ReplicaView[]; up: MachineView[]; jobs: JobView[] } {
  const ids = [...new Set(services.flat())].sort();
  const zoneOf = (id: string): string => overrides.zones?.[ids.indexOf(id)] ?? 'a';
  const movable: ReplicaView[] = [];
  const jobs = services.map((machines, i) => {
    const spec = { ...REPLICA, ...overrides.spec, tasks: machines.length };
    const tasksByZone = new Map<string, number>();
    machines.forEach((id, task) => {
      movable.push({ job: `req-${i}`, task, machine: id, spec });
      tasksByZone.set(zoneOf(id), (tasksByZone.get(zoneOf(id)) ?? 0) + 1);
    });
    const placed: Partial<JobView> = { readyAt: i, dueAt: i, waitingTasks: 0, tasksByZone };
    return jobView(`req-${i}`, spec, placed);
  });
  const up = ids.map((id) => {
    const tasksOf = new Map<string, number>();
    let replicas = 0;
    for (const replica of movable) {
      if (replica.machine !== id) continue;
      replicas++;
      tasksOf.set(replica.job, (tasksOf.get(replica.job) ?? 0) + 1);
    }
    return machine(id, {
      zone: zoneOf(id),
      free: { cpus: 48 - 8 * replicas, gpus: 8 - 2 * replicas, memoryGb: 288 - 40 * replicas },
      images: new Set(['img-1']),
      tasksByJob: tasksOf,
      replicas,
      ...overrides.machine,
    });
  });
  return { movable, up, jobs };
}

const movedReplicas = (setup: ReturnType<typeof fleetWith>): string[] =>
  consolidate(setup.movable, setup.up, setup.jobs).map(({ job, task }) => `${job}/${task}`);

test('single replicas on two machines are consolidated on one, and stay there', () => {
  assert.deepEqual(movedReplicas(fleetWith([['m1'], ['m2']])), ['req-1/0']);
  assert.deepEqual(movedReplicas(fleetWith([['m1'], ['m1']])), []);
});

test('the emptiest machine is drained, and only if all of its replicas fit elsewhere', () => {
  assert.deepEqual(movedReplicas(fleetWith([['m1'], ['m1'], ['m1'], ['m2']])), ['req-3/0']);
  // Four replicas fill a machine, so that only one of the two on m2 would fit on m1.
  assert.deepEqual(movedReplicas(fleetWith([['m1'], ['m1'], ['m1'], ['m2'], ['m2']])), []);
});

test('replicas do not move to a machine without their image, nor off a machine that is kept anyway', () => {
  assert.deepEqual(
    movedReplicas(fleetWith([['m1'], ['m2']], { machine: { images: new Set() } })),
    [],
  );
  assert.deepEqual(movedReplicas(fleetWith([['m1'], ['m2']], { machine: { incomingGb: 70 } })), []);
  assert.deepEqual(
    movedReplicas(fleetWith([['m1'], ['m2']], { machine: { idleTimeoutMs: 200_000 } })),
    [],
  );
});

test('replicas of one service stay on different machines and within the limits per zone', () => {
  assert.deepEqual(movedReplicas(fleetWith([['m1', 'm2']])), []);
  const zones = ['a', 'a', 'b'];
  // Zone b has its half of the first service already, so that the replica in zone a may not move
  // there.
  const spread = fleetWith([['m2', 'm3'], ['m3']], { spec: { spread: true }, zones: ['a', 'b'] });
  assert.deepEqual(movedReplicas(spread), []);
  const inside = fleetWith([['m2', 'm3'], ['m1']], { spec: { spread: true }, zones });
  assert.deepEqual(movedReplicas(inside), ['req-0/0']);
  // The replica on m2 would be the second of two in zone b; the one on m4 stays within its zone.
  const services = [['m2', 'm4'], ['m3'], ['m3']];
  const across = fleetWith(services, { spec: { spread: true }, zones: ['a', 'b', 'b'] });
  assert.deepEqual(movedReplicas(across), ['req-0/1']);
});
