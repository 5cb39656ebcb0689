import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority, type JobSpec } from '../src/jobs/job.js';
import type {
  JobView,
  MachineView,
  Snapshot,
  TeamView,
  PreemptionCandidate,
} from '../src/scheduler/scheduling-model.js';
import { withinGuarantee } from '../src/scheduler/job-order.js';
import { schedule } from '../src/scheduler/scheduling-cycle.js';
import { jobView, machine, snapshotWith, SPEC, TYPE } from './fakes/samples.js';

let createdJobs = 0;
function job(spec: Partial<JobSpec>, view: Partial<JobView> = {}): JobView {
  const order = ++createdJobs;
  return jobView(`req-${order}`, { ...SPEC, ...spec }, { readyAt: order, dueAt: order, ...view });
}

const team = (used: number, guarantee = 8, limit = 16): TeamView => ({
  guarantee: { cpus: 0, gpus: guarantee },
  limit: { cpus: Infinity, gpus: limit },
  used: { cpus: used, gpus: used },
});

function snapshot(overrides: Partial<Snapshot>): Snapshot {
  const teams = new Map([
    ['vision', team(0)],
    ['speech', team(0)],
  ]);
  return snapshotWith(teams, overrides);
}

const startedTasks = (plan: ReturnType<typeof schedule>, id: string): number =>
  plan.starts
    .filter((start) => start.job === id)
    .reduce(
      (sum, start) =>
        sum + start.assignments.reduce((count, assignment) => count + assignment.count, 0),
      0,
    );

/** The first tasks of a job, running on machine m1; stopping one loses no work. */
const runningTasks = (view: JobView, count: number): PreemptionCandidate[] =>
  Array.from({ length: count }, (_, task) => ({
    job: view.id,
    task,
    machine: 'm1',
    spec: view.spec,
    priority: view.priority,
    lostWorkMs: 0,
    wasStoppedWithoutCheckpoint: false,
    remainingMs: 10_000,
    isGangMember: false,
    isStopping: false,
  }));

test('a task that was told to stop counts against its team until it has exited', () => {
  // The team is at its limit, and its tasks are preempted for a replica of another team. What they
  // use of the limit must not be given out again in the same scheduling cycle.
  const running = job({ tasks: 20 }, { waitingTasks: 4 });
  const replica = job({
    team: 'speech',
    kind: 'service',
    priority: Priority.Production,
    tasks: 1,
    need: { cpus: 8, gpus: 8, memoryGb: 40 },
  });
  const candidates = Array.from({ length: 8 }, (_, task) => ({
    job: running.id,
    task,
    machine: 'm1',
    spec: running.spec,
    priority: running.priority,
    lostWorkMs: 0,
    wasStoppedWithoutCheckpoint: false,
    remainingMs: 10_000,
    isGangMember: false,
    isStopping: false,
  }));
  const result = schedule(
    snapshot({
      machines: [
        machine('m1', { free: { cpus: 40, gpus: 0, memoryGb: 256 }, images: new Set(['img-1']) }),
        machine('m2', { free: { cpus: 48, gpus: 7, memoryGb: 288 } }),
      ],
      jobs: [running, replica],
      teams: new Map([
        ['vision', team(16)],
        ['speech', team(0)],
      ]),
      preemptionCandidates: candidates,
    }),
  );
  assert.equal(result.stops.length, 8);
  assert.equal(startedTasks(result, running.id), 0);
});

test('a spread job places at most half of its tasks in one zone', () => {
  const spread = job({ kind: 'service', tasks: 2, spread: true });
  const result = schedule(snapshot({ machines: [machine('m1'), machine('m2')], jobs: [spread] }));
  assert.equal(startedTasks(result, spread.id), 1);
  const both = schedule(
    snapshot({ machines: [machine('m1'), machine('m2', { zone: 'b' })], jobs: [spread] }),
  );
  assert.equal(startedTasks(both, spread.id), 2);
});

test('preemption for a spread job frees capacity only in a zone that may hold more of it', () => {
  // Zone a has its half already. Preemption there would not let the replica start, and it would be
  // repeated in every scheduling cycle while the replica waits.
  const replicas = job(
    { team: 'speech', kind: 'service', priority: Priority.Production, tasks: 2, spread: true },
    { waitingTasks: 1, tasksByZone: new Map([['a', 1]]) },
  );
  const batch = job({ tasks: 16 }, { waitingTasks: 0 });
  const full = { cpus: 40, gpus: 0, memoryGb: 256 };
  const candidates = ['m1', 'm2'].map((machine, task) => ({
    job: batch.id,
    task,
    machine,
    spec: batch.spec,
    priority: batch.priority,
    lostWorkMs: machine === 'm1' ? 0 : 5000,
    wasStoppedWithoutCheckpoint: false,
    remainingMs: 10_000,
    isGangMember: false,
    isStopping: false,
  }));
  const result = schedule(
    snapshot({
      machines: [machine('m1', { free: full }), machine('m2', { free: full, zone: 'b' })],
      jobs: [replicas, batch],
      teams: new Map([
        ['vision', team(16)],
        ['speech', team(1)],
      ]),
      preemptionCandidates: candidates,
    }),
  );
  assert.deepEqual(result.stops, [{ job: batch.id, task: 1 }]);
});

test('a one-zone job stays in the zone where one of its tasks may still run', () => {
  const placedJob = job(
    { oneZone: true, tasks: 3 },
    { waitingTasks: 2, tasksByZone: new Map([['b', 1]]) },
  );
  const plan = schedule(snapshot({ machines: [machine('m1')], jobs: [placedJob] }));
  assert.equal(startedTasks(plan, placedJob.id), 0);
});

test('only jobs that allow spot instances get one, and nothing is provisioned beside a booting machine', () => {
  const plain = job({ tasks: 8 });
  const offers = [true, false].map((spot) => ({
    type: TYPE,
    zone: 'a',
    spot,
    price: spot ? 7 : 20,
  }));
  const result = schedule(
    snapshot({ machines: [machine('m1', { spot: true })], jobs: [plain], offers }),
  );
  assert.equal(startedTasks(result, plain.id), 0);
  assert.deepEqual(result.scaleOut, [{ type: 'g8', zone: 'a', spot: false, count: 1 }]);
  const booting = schedule(
    snapshot({ machines: [machine('m1', { isUp: false })], jobs: [plain], offers }),
  );
  assert.deepEqual(booting.scaleOut, []);
});

test('work does not preempt work of equal priority, except to give a team its guarantee', () => {
  const holder = job({ team: 'speech', tasks: 8 }, { waitingTasks: 0 });
  const candidates = runningTasks(holder, 8);
  const full = (): MachineView => machine('m1', { free: { cpus: 40, gpus: 0, memoryGb: 256 } });
  const waitingJob = job({ tasks: 2 });
  const planWithGuarantee = (guarantee: number): ReturnType<typeof schedule> =>
    schedule(
      snapshot({
        machines: [full()],
        jobs: [holder, waitingJob],
        teams: new Map([
          ['vision', team(0, guarantee)],
          ['speech', team(8, 4)],
        ]),
        preemptionCandidates: candidates,
      }),
    );
  assert.equal(planWithGuarantee(0).stops.length, 0);
  assert.equal(planWithGuarantee(8).stops.length, 2);
});

test('of two gangs that wait for capacity one is admitted, and one that fits on free capacity starts', () => {
  const largeGang = (): JobView =>
    job({ kind: 'gang', tasks: 2, need: { cpus: 40, gpus: 8, memoryGb: 200 } });
  const [first, second] = [largeGang(), largeGang()];
  const small = job({ kind: 'gang', tasks: 2, need: { cpus: 4, gpus: 1, memoryGb: 8 } });
  const offers = [{ type: TYPE, zone: 'a', spot: false, price: 20 }];
  const teams = new Map([['vision', team(0, 8, 64)]]);
  const result = schedule(
    snapshot({ machines: [machine('m1')], jobs: [first, second, small], offers, teams }),
  );
  assert.equal(result.admittedGang, first.id);
  assert.equal(startedTasks(result, second.id), 0);
  // The one machine is reserved for the gang that was admitted.
  assert.equal(startedTasks(result, small.id), 0);
  const more = schedule(
    snapshot({
      machines: [machine('m1'), machine('m2', { free: { cpus: 8, gpus: 2, memoryGb: 20 } })],
      jobs: [first, second, small],
      offers,
      teams: new Map([['vision', team(0, 8, 64)]]),
    }),
  );
  assert.equal(startedTasks(more, small.id), 2);
});

test('work is not preempted for a job that comes after it in the order, since it would take the capacity back', () => {
  const batch = job({ priority: Priority.Low, tasks: 8 }, { waitingTasks: 0 });
  const candidates = runningTasks(batch, 8);
  const gang = job({ kind: 'gang', team: 'speech', tasks: 1, need: TYPE.capacity });
  const stops = (guarantee: number): number =>
    schedule(
      snapshot({
        machines: [machine('m1', { free: { cpus: 40, gpus: 0, memoryGb: 256 } })],
        jobs: [batch, gang],
        teams: new Map([
          ['vision', team(8, guarantee)],
          ['speech', team(0, 4)],
        ]),
        preemptionCandidates: candidates,
      }),
    ).stops.length;
  assert.equal(stops(8), 0);
  assert.equal(stops(4), 8);
});

test('tasks without GPUs go to machines without free GPUs first, then to as few others as possible', () => {
  const step = (tasks: number): JobView =>
    job({ tasks, need: { cpus: 2, gpus: 0, memoryGb: 4 }, imageGb: 1 });
  const machines = (): MachineView[] => [
    machine('empty'),
    machine('half', {
      free: { cpus: 30, gpus: 4, memoryGb: 160 },
      tasksByJob: new Map([['x', 4]]),
    }),
    machine('full', { free: { cpus: 8, gpus: 0, memoryGb: 100 }, tasksByJob: new Map([['x', 8]]) }),
  ];
  const placedByMachine = (tasks: number): Record<string, number> => {
    const result = schedule(snapshot({ machines: machines(), jobs: [step(tasks)] }));
    return Object.fromEntries(
      result.starts.flatMap((start) =>
        start.assignments.map((assignment) => [assignment.machine, assignment.count]),
      ),
    );
  };
  assert.deepEqual(placedByMachine(4), { full: 4 });
  // Each free GPU of the half-full machine keeps its 6 CPUs.
  assert.deepEqual(placedByMachine(7), { full: 4, half: 3 });
  assert.deepEqual(placedByMachine(10), { full: 4, half: 6 });
  assert.deepEqual(placedByMachine(25), { full: 4, half: 15, empty: 6 });
});

test('a pipeline step has the priority of its dependents: it preempts lower work and is not preempted by it', () => {
  const batch = job({ priority: Priority.Normal, tasks: 8 }, { waitingTasks: 0 });
  const step = job(
    { priority: Priority.Low, tasks: 1, need: { cpus: 8, gpus: 0, memoryGb: 4 } },
    { priority: Priority.High },
  );
  const stops = (holder: JobView, waitingJob: JobView): number => {
    const candidates = runningTasks(holder, 8);
    const full = machine('m1', { free: { cpus: 7, gpus: 1, memoryGb: 100 } });
    // The team has no guarantee, so that priority alone decides.
    const teams = new Map([['vision', team(8, 0)]]);
    return schedule(
      snapshot({
        machines: [full],
        jobs: [holder, waitingJob],
        preemptionCandidates: candidates,
        teams,
      }),
    ).stops.length;
  };
  assert.equal(stops(batch, step), 1);
  assert.equal(stops(batch, { ...step, priority: Priority.Low }), 0);
  const steps: JobView = { ...step, waitingTasks: 0 };
  const waitingJob = job({ priority: Priority.Normal, need: { cpus: 8, gpus: 0, memoryGb: 4 } });
  assert.equal(stops(steps, waitingJob), 0);
  // Jobs without GPUs do not preempt it, since its capacity is free soon; jobs that need GPUs do.
  assert.equal(stops({ ...steps, priority: Priority.Low }, waitingJob), 0);
  const withGpu = job({
    priority: Priority.Normal,
    tasks: 1,
    need: { cpus: 8, gpus: 0.5, memoryGb: 4 },
  });
  assert.equal(stops({ ...steps, priority: Priority.Low }, withGpu), 1);
});

test('backfill preempts nothing, and scales out only for capacity that other backfill will not free', () => {
  const need = { cpus: 8, gpus: 0, memoryGb: 4 };
  const batch = job({ priority: Priority.Low, tasks: 8 }, { waitingTasks: 0 });
  const candidates = runningTasks(batch, 8);
  const offers = [{ type: TYPE, zone: 'a', spot: false, price: 20 }];
  const steps = job({ tasks: 25, need });
  const gang = job({ kind: 'gang', tasks: 2, need });
  const run = (backfill: boolean, overrides: Partial<Snapshot> = {}): ReturnType<typeof schedule> =>
    schedule(
      snapshot({
        machines: [machine('m1', { free: { cpus: 12, gpus: 0, memoryGb: 100 } })],
        jobs: [batch, { ...steps, isBackfill: backfill }, { ...gang, isBackfill: backfill }],
        teams: new Map([['vision', team(8, 0, 64)]]),
        offers,
        preemptionCandidates: candidates,
        ...overrides,
      }),
    );
  const provisioned = (plan: ReturnType<typeof schedule>): number =>
    plan.scaleOut.reduce((sum, request) => sum + request.count, 0);
  const waitingPlan = run(true);
  assert.equal(startedTasks(waitingPlan, steps.id), 1);
  assert.deepEqual([waitingPlan.stops, waitingPlan.admittedGang], [[], null]);
  // 24 tasks of the array and 2 of the gang found no capacity, and a machine holds 6.
  assert.equal(provisioned(waitingPlan), 5);
  // Capacity that running tasks free soon counts for the tasks that fit on it.
  assert.equal(provisioned(run(true, { cpusFreedSoon: 13 * 8 })), 3);
  assert.equal(provisioned(run(true, { cpusFreedSoon: 26 * 8 })), 0);
  // Jobs that still wait for dependencies count too, and none of their tasks starts.
  const upcoming = [job({ tasks: 12, need })];
  assert.equal(provisioned(run(true, { cpusFreedSoon: 26 * 8, upcomingJobs: upcoming })), 2);
  const regularPlan = run(false);
  assert.ok(regularPlan.stops.length > 0);
  assert.equal(provisioned(regularPlan), 5);
  assert.equal(regularPlan.admittedGang, gang.id);
});

test('a whole machine goes to a gang rather than to backfill', () => {
  const need = { cpus: 2, gpus: 0, memoryGb: 4 };
  const steps = job({ tasks: 30, need }, { priority: Priority.High });
  const gang = job({ kind: 'gang', tasks: 1, need: { cpus: 43, gpus: 8, memoryGb: 200 } });
  const run = (backfill: boolean): ReturnType<typeof schedule> =>
    schedule(
      snapshot({
        machines: [
          machine('m1'),
          machine('m2', {
            free: { cpus: 8, gpus: 0, memoryGb: 100 },
            tasksByJob: new Map([['x', 8]]),
          }),
        ],
        jobs: [{ ...steps, isBackfill: backfill }, gang],
        teams: new Map([['vision', team(0, 0)]]),
      }),
    );
  assert.equal(startedTasks(run(true), gang.id), 1);
  // Four tasks beside the other work on m2, two beside the gang on m1.
  assert.equal(startedTasks(run(true), steps.id), 4 + 2);
  assert.equal(startedTasks(run(false), gang.id), 0);
});

test('a job that uses none of the guaranteed resources is not within the guarantee', () => {
  const need = { cpus: 8, gpus: 0, memoryGb: 4 };
  const [small, large, steps] = [job({ tasks: 4 }), job({ tasks: 5 }), job({ need })];
  const teams = new Map([['vision', team(0, 8)]]);
  assert.deepEqual([...withinGuarantee([small, large, steps], teams)], [small.id]);
  const cpus = { ...team(0, 8), guarantee: { cpus: 64, gpus: 8 } };
  const both = withinGuarantee([small, steps], new Map([['vision', cpus]]));
  assert.deepEqual([...both], [small.id, steps.id]);
});

/**
 * A low-priority job of a team without a guarantee.
 *
 * @param concurrency number of tasks that must run concurrently for it to be in time
 */
const opportunisticJob = (
  concurrency: number,
  spec: Partial<JobSpec> = {},
  view: Partial<JobView> = {},
): JobView =>
  job(
    {
      team: 'opportunistic',
      priority: Priority.Low,
      need: { cpus: 12, gpus: 0, memoryGb: 4 },
      ...spec,
    },
    { opportunisticConcurrency: concurrency, ...view },
  );

const withOpportunisticTeam = (overrides: Partial<Snapshot>): Snapshot =>
  snapshot({
    offers: [{ type: TYPE, zone: 'a', spot: false, price: 20 }],
    teams: new Map([
      ['vision', team(0)],
      ['opportunistic', team(0, 0, Infinity)],
    ]),
    ...overrides,
  });

test('opportunistic work uses machines that are up, and scales out only as far as it needs to be in time', () => {
  const jobs = [opportunisticJob(0, { tasks: 500 })];
  const waitingPlan = schedule(withOpportunisticTeam({ machines: [machine('m1')], jobs }));
  assert.equal(startedTasks(waitingPlan, jobs[0]!.id), 4);
  assert.deepEqual(waitingPlan.scaleOut, []);
  // Of ten concurrent tasks four fit on this machine, and six need two more machines.
  const inTime = schedule(
    withOpportunisticTeam({
      machines: [machine('m1')],
      jobs: [opportunisticJob(10, { tasks: 500 })],
    }),
  );
  assert.equal(inTime.scaleOut[0]?.count, 2);
  // A job with a guarantee goes first, and opportunistic work leaves its reservation alone.
  const guaranteedGang = job({
    kind: 'gang',
    tasks: 2,
    need: { cpus: 43, gpus: 8, memoryGb: 230 },
  });
  const both = schedule(
    withOpportunisticTeam({ machines: [machine('m1')], jobs: [...jobs, guaranteedGang] }),
  );
  assert.equal(startedTasks(both, jobs[0]!.id), 0);
});

test('a machine that runs only opportunistic work is idle, and drainable if all of it fits elsewhere', () => {
  // A few opportunistic tasks on each of 100 machines once kept all of them up for minutes.
  const placedJob = opportunisticJob(0, { tasks: 5 }, { waitingTasks: 0 });
  const replica = job({ kind: 'service', priority: Priority.Production }, { waitingTasks: 0 });
  const candidatesOn = (machineId: string, tasks: number[]): PreemptionCandidate[] =>
    tasks.map((task) => ({ ...runningTasks(placedJob, 1)[0]!, task, machine: machineId }));
  const used = (count: number): Partial<MachineView> => ({
    free: { cpus: 48 - 12 * count, gpus: 8, memoryGb: 288 - 4 * count },
    tasksByJob: new Map([[placedJob.id, count]]),
  });
  const inUse = {
    free: { cpus: 20, gpus: 1, memoryGb: 9 },
    tasksByJob: new Map([[replica.id, 3]]),
  };
  const run = (
    candidateOverrides: Partial<PreemptionCandidate>,
    tasksOnM2: number,
  ): ReturnType<typeof schedule> =>
    schedule(
      withOpportunisticTeam({
        machines: [machine('m1', used(1)), machine('m2', used(tasksOnM2)), machine('m3', inUse)],
        jobs: [placedJob, replica],
        preemptionCandidates: [
          ...candidatesOn('m1', [0]).map((candidate) => ({ ...candidate, ...candidateOverrides })),
          ...candidatesOn('m2', [1, 2, 3, 4].slice(0, tasksOnM2)),
        ],
      }),
    );
  assert.deepEqual(run({}, 4).idleMachines, ['m1', 'm2']);
  assert.deepEqual(run({}, 4).drainableMachines, ['m1']);
  // A task that was already stopped without a checkpoint, or that would lose more work than is left
  // of it, is not moved: it might never finish.
  assert.deepEqual(run({ wasStoppedWithoutCheckpoint: true }, 4).drainableMachines, []);
  assert.deepEqual(run({ lostWorkMs: 40_000 }, 4).drainableMachines, []);
});
