import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority, type JobSpec } from '../src/jobs/job.js';
import type {
  JobView,
  InstanceOffer,
  ScaleOutRequest,
  Snapshot,
  PreemptionCandidate,
} from '../src/scheduler/scheduling-model.js';
import { schedule } from '../src/scheduler/scheduling-cycle.js';
import { jobView, machine, snapshotWith, SPEC, TYPE } from './fakes/samples.js';

/** Replicas of 2 GPUs each: four of them fill a machine. */
const REPLICA: JobSpec = {
  ...SPEC,
  jobClass: 'replicas',
  kind: 'service',
  priority: Priority.Production,
  need: { cpus: 8, gpus: 2, memoryGb: 40 },
};

/** A gang of two whole machines in one zone. */
const PAIR: JobSpec = {
  ...SPEC,
  kind: 'gang',
  priority: Priority.High,
  tasks: 2,
  oneZone: true,
  need: { cpus: 40, gpus: 8, memoryGb: 200 },
};

const OFFERS: InstanceOffer[] = ['a', 'b', 'c'].map((zone) => ({
  type: { ...TYPE, zones: ['a', 'b', 'c'] },
  zone,
  spot: false,
  price: TYPE.price,
}));

const waitingGang = (id: string, readyAt: number): JobView =>
  jobView(id, PAIR, { readyAt, dueAt: readyAt });

function snapshot(overrides: Partial<Snapshot>): Snapshot {
  const limit = { cpus: Infinity, gpus: Infinity };
  const team = { guarantee: { cpus: 0, gpus: 100 }, limit, used: { cpus: 0, gpus: 0 } };
  return snapshotWith(new Map([['vision', team]]), { offers: OFFERS, ...overrides });
}

const provisioned = (scaleOut: ScaleOutRequest[]): number =>
  scaleOut.reduce((sum, request) => sum + request.count, 0);

test('expected tasks that do not fit cause scale-out ahead of time, but no preemption', () => {
  const result = schedule(snapshot({ expectedTasks: [{ spec: REPLICA, count: 6 }] }));
  assert.equal(provisioned(result.scaleOut), 2);
  assert.deepEqual([result.starts, result.stops], [[], []]);
});

test('free capacity, booting machines and capacity that preemption would free count for expected tasks', () => {
  const batch: PreemptionCandidate = {
    job: 'req-1',
    task: 0,
    machine: 'm1',
    spec: { ...SPEC, priority: Priority.Low, need: { cpus: 8, gpus: 8, memoryGb: 40 } },
    priority: Priority.Low,
    lostWorkMs: 0,
    wasStoppedWithoutCheckpoint: false,
    remainingMs: 10_000,
    isGangMember: false,
    isStopping: false,
  };
  const full = { cpus: 40, gpus: 0, memoryGb: 248 };
  const withBatch = machine('m1', { free: full, tasksByJob: new Map([['req-1', 1]]) });
  const booting = machine('m2', { isUp: false });
  const free = machine('m3');
  for (const machines of [[withBatch], [booting], [free]]) {
    const withFourTasks = snapshot({
      machines,
      preemptionCandidates: machines[0] === withBatch ? [batch] : [],
      expectedTasks: [{ spec: REPLICA, count: 4 }],
    });
    assert.equal(provisioned(schedule(withFourTasks).scaleOut), 0);
    assert.deepEqual(schedule(withFourTasks).stops, []);
    const withFiveTasks = { ...withFourTasks, expectedTasks: [{ spec: REPLICA, count: 5 }] };
    assert.equal(provisioned(schedule(withFiveTasks).scaleOut), 1);
  }
});

test('two job classes do not count on the same capacity', () => {
  const other = { ...REPLICA, jobClass: 'others' };
  const both = snapshot({
    machines: [machine('m1')],
    expectedTasks: [
      { spec: REPLICA, count: 4 },
      { spec: other, count: 4 },
    ],
  });
  assert.equal(provisioned(schedule(both).scaleOut), 1);
});

test('gangs that all need scale-out go to different zones, so that the first zone is not used up', () => {
  const gangs = [1, 2, 3].map((i) => waitingGang(`req-${i}`, i));
  const { scaleOut } = schedule(snapshot({ jobs: gangs }));
  assert.deepEqual(
    scaleOut.map(({ zone, count }) => [zone, count]),
    [
      ['a', 2],
      ['b', 2],
      ['c', 2],
    ],
  );
});

test('a gang stays in the zone that lacks the least capacity for it, even if it has the most machines', () => {
  const machines = [1, 2, 3].map((i) => machine(`m${i}`, { zone: 'b', isUp: i === 1 }));
  const other = machine('m4', { zone: 'c' });
  const { scaleOut } = schedule(
    snapshot({ machines: [...machines, other], jobs: [waitingGang('r', 1)] }),
  );
  assert.deepEqual(scaleOut, []);
});
