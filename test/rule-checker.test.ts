import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobApi } from '../src/jobs/job-api.js';
import { SUBMISSION } from './fakes/samples.js';
import {
  RuleChecker,
  type ObservedMachine,
  type Rule,
  type TaskState,
} from './fakes/rule-checker.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const CANCEL_MS = 35_000;
const CAPACITY = { cpus: 48, gpus: 8, memoryGb: 288 };

/** A rule checker with machines and a clock that a test case controls. */
class Scenario {
  time = 0;
  readonly machines: ObservedMachine[] = [];
  readonly checker = new RuleChecker({
    fleet: {
      types: new Map([
        ['g8', { room: CAPACITY, zones: ['a', 'b'] }],
        ['g4', { room: { cpus: 24, gpus: 4, memoryGb: 144 }, zones: ['a'] }],
      ]),
      teams: new Map([
        ['vision', { cpus: Infinity, gpus: 16 }],
        ['desk', { cpus: 10, gpus: Infinity }],
      ]),
    },
    cancelMs: CANCEL_MS,
    now: () => this.time,
    machines: () => this.machines,
  });

  machine(zone = 'a', { type = 'g8', spot = false, usable = true } = {}): ObservedMachine {
    const id = `host-${this.machines.length}`;
    const machine = { id, type, zone, spot, usable, tasks: [] };
    this.machines.push(machine);
    return machine;
  }

  /** A user sends a request and gets the response at once. */
  request(
    action: 'submit' | 'query' | 'abort',
    ref: string,
    status: number,
    phase: string | null = null,
    body?: unknown,
  ): void {
    const pendingRequest = this.checker.asked(action, ref, 'berth-0', body);
    this.checker.answered(pendingRequest, { status, phase }, body);
  }

  accept(ref: string, overrides: object = {}): object {
    const body = { ...BODY, ref, ...overrides };
    this.request('submit', ref, 201, 'pending', body);
    return body;
  }

  start(machine: ObservedMachine, job: string, task = 0, state: TaskState = 'running'): void {
    machine.tasks.push({ job, task, state });
    if (state !== 'fetching') this.checker.started(machine, job, task);
  }

  /** Advances the time and checks the rules every second. */
  pass(ms: number): void {
    for (const until = this.time + ms; this.time < until;) {
      this.time = Math.min(until, this.time + 1000);
      this.checker.check();
    }
  }

  rules(): Rule[] {
    this.checker.check();
    return [...new Set(this.checker.violations.map((violation) => violation.rule))];
  }
}

const BODY = { ...SUBMISSION, pieces: 2, snapshotEveryS: 0 };

/** Test cases: what happens, the rule that it violates, or null for none, and the steps. */
const CASES: [string, Rule | null, (scenario: Scenario) => void][] = [
  [
    'a task starts while it is on another machine',
    'ran_twice',
    (scenario) => {
      scenario.accept('req-1');
      scenario.start(scenario.machine(), 'req-1');
      scenario.start(scenario.machine(), 'req-1');
    },
  ],
  [
    'a task starts while it fetches its image on another machine',
    null,
    (scenario) => {
      scenario.accept('req-1');
      scenario.start(scenario.machine(), 'req-1', 0, 'fetching');
      scenario.start(scenario.machine(), 'req-1');
    },
  ],
  [
    'a team uses more GPUs than its limit, including those of an unreachable machine',
    'quota',
    (scenario) => {
      scenario.accept('req-1', { gpus: 8, pieces: 3 });
      scenario.start(scenario.machine('a', { usable: false }), 'req-1', 0);
      scenario.start(scenario.machine(), 'req-1', 1);
      scenario.start(scenario.machine(), 'req-1', 2);
    },
  ],
  [
    'a team uses more CPUs than its limit',
    'quota',
    (scenario) => {
      scenario.accept('req-1', { crew: 'desk', gpus: 0, vcpus: 6 });
      scenario.start(scenario.machine(), 'req-1', 0);
      scenario.start(scenario.machine(), 'req-1', 1);
    },
  ],
  [
    'a team uses exactly its limit',
    null,
    (scenario) => {
      scenario.accept('req-1', { gpus: 8 });
      scenario.start(scenario.machine(), 'req-1', 0);
      scenario.start(scenario.machine(), 'req-1', 1);
    },
  ],
  [
    'a task runs on a machine type that is not allowed',
    'wrong_place',
    (scenario) => {
      scenario.accept('req-1', { hulls: ['g8'] });
      scenario.start(scenario.machine('a', { type: 'g4' }), 'req-1');
    },
  ],
  [
    'a task runs in a zone that is not allowed',
    'wrong_place',
    (scenario) => {
      scenario.accept('req-1', { yard: 'b' });
      scenario.start(scenario.machine('a'), 'req-1');
    },
  ],
  [
    'a task runs on a spot machine although that is not allowed',
    'wrong_place',
    (scenario) => {
      scenario.accept('req-1');
      scenario.start(scenario.machine('a', { spot: true }), 'req-1');
    },
  ],
  [
    'tasks of a single-zone job run in two zones',
    'wrong_place',
    (scenario) => {
      scenario.accept('req-1', { samePlace: true });
      scenario.start(scenario.machine('a'), 'req-1', 0);
      scenario.start(scenario.machine('b'), 'req-1', 1);
    },
  ],
  [
    'more than half of the tasks of a spread job run in one zone',
    'wrong_place',
    (scenario) => {
      scenario.accept('req-1', { apart: true, pieces: 3 });
      for (const task of [0, 1, 2]) scenario.start(scenario.machine('a'), 'req-1', task);
    },
  ],
  [
    'half of the tasks of a spread job, rounded up, run in one zone, on allowed spot machines',
    null,
    (scenario) => {
      scenario.accept('req-1', {
        apart: true,
        pieces: 3,
        driftwood: true,
        hulls: ['g8'],
        yard: 'a',
      });
      for (const task of [0, 1])
        scenario.start(scenario.machine('a', { spot: true }), 'req-1', task);
    },
  ],
  [
    'a cancelled task stays on a machine that hangs',
    'ran_cancelled',
    (scenario) => {
      scenario.accept('req-1');
      scenario.start(scenario.machine('a', { usable: false }), 'req-1');
      scenario.request('abort', 'req-1', 200, 'withdrawn');
      scenario.pass(CANCEL_MS + 1);
    },
  ],
  [
    'a task keeps running although a query reported the job as cancelled',
    'ran_cancelled',
    (scenario) => {
      scenario.accept('req-1');
      scenario.start(scenario.machine(), 'req-1');
      scenario.request('abort', 'req-1', 503);
      scenario.request('query', 'req-1', 200, 'withdrawn');
      scenario.pass(CANCEL_MS + 1);
    },
  ],
  [
    'a task keeps running although a repeated submission reported the job as cancelled',
    'ran_cancelled',
    (scenario) => {
      const body = scenario.accept('req-1');
      scenario.start(scenario.machine(), 'req-1');
      scenario.request('abort', 'req-1', 0);
      scenario.request('submit', 'req-1', 200, 'withdrawn', body);
      scenario.pass(CANCEL_MS + 1);
    },
  ],
  [
    'a task starts long after its job was cancelled',
    'ran_cancelled',
    (scenario) => {
      scenario.accept('req-1');
      scenario.request('abort', 'req-1', 200, 'withdrawn');
      scenario.pass(CANCEL_MS + 1);
      scenario.start(scenario.machine(), 'req-1');
    },
  ],
  [
    'a cancelled task stops in time',
    null,
    (scenario) => {
      scenario.accept('req-1');
      const machine = scenario.machine();
      scenario.start(machine, 'req-1');
      scenario.request('abort', 'req-1', 200, 'withdrawn');
      scenario.pass(CANCEL_MS - 1);
      machine.tasks.length = 0;
      scenario.pass(10_000);
    },
  ],
  [
    'an accepted job is unknown',
    'forgotten',
    (scenario) => {
      scenario.accept('req-1');
      scenario.request('query', 'req-1', 404);
    },
  ],
  ...[400, 422].map((status): [string, Rule, (scenario: Scenario) => void] => [
    `a repeat of an accepted job gets ${status}`,
    'forgotten',
    (scenario) => {
      const body = scenario.accept('req-1');
      scenario.request('submit', 'req-1', status, null, body);
    },
  ]),
  [
    'no query of a job is answered for 75 s after all faults have ended',
    'forgotten',
    (scenario) => {
      scenario.accept('req-1');
      scenario.checker.faultsEnded();
      for (let i = 0; i <= 75; i++, scenario.pass(1000)) scenario.request('query', 'req-1', 503);
    },
  ],
  [
    'no query of any job is answered during 75 s of faults',
    null,
    (scenario) => {
      scenario.accept('req-1');
      for (let i = 0; i <= 75; i++, scenario.pass(1000)) scenario.request('query', 'req-1', 0);
    },
  ],
  [
    'no query of a job is answered during 90 s of faults, while queries of others are',
    'forgotten',
    (scenario) => {
      scenario.accept('req-1');
      scenario.accept('req-2');
      for (let i = 0; i <= 90; i++, scenario.pass(1000)) {
        scenario.request('query', 'req-1', 503);
        scenario.request('query', 'req-2', 200, 'pending');
      }
    },
  ],
  [
    'a job that was queried before it was accepted is unknown',
    null,
    (scenario) => {
      const earlyQuery = scenario.checker.asked('query', 'req-1', 'berth-1');
      scenario.pass(10);
      scenario.accept('req-1');
      scenario.checker.answered(earlyQuery, { status: 404, phase: null });
    },
  ],
  [
    'a job that nobody submitted is known',
    'invented',
    (scenario) => scenario.request('query', 'req-9', 200, 'done'),
  ],
  [
    'a job that nobody submitted is unknown',
    null,
    (scenario) => scenario.request('query', 'req-9', 404),
  ],
  [
    'a job is reported as done before its last task is done',
    'not_done',
    (scenario) => {
      scenario.accept('req-1');
      scenario.checker.completed('req-1', 0);
      scenario.request('query', 'req-1', 200, 'done');
    },
  ],
  [
    'a service is reported as done',
    'not_done',
    (scenario) => {
      scenario.accept('req-1', { shape: 'service', pieces: 1 });
      scenario.checker.completed('req-1', 0);
      scenario.request('query', 'req-1', 200, 'done');
    },
  ],
  [
    'a gang is reported as done once one of its tasks is done',
    null,
    (scenario) => {
      scenario.accept('req-1', { shape: 'gang' });
      scenario.checker.completed('req-1', 1);
      scenario.request('query', 'req-1', 200, 'done');
    },
  ],
  ...['pending', 'running', 'withdrawn'].map(
    (phase): [string, Rule, (scenario: Scenario) => void] => [
      `a job that is done is reported as ${phase}`,
      'went_back',
      (scenario) => {
        scenario.accept('req-1', { pieces: 1 });
        scenario.checker.completed('req-1', 0);
        scenario.request('query', 'req-1', 200, 'done');
        scenario.request('abort', 'req-1', 200, phase);
      },
    ],
  ),
  [
    'a cancelled job is reported as running',
    'went_back',
    (scenario) => {
      scenario.accept('req-1');
      scenario.request('abort', 'req-1', 200, 'withdrawn');
      scenario.request('query', 'req-1', 200, 'running');
    },
  ],
  [
    'a job that nobody cancelled is reported as withdrawn',
    'went_back',
    (scenario) => {
      scenario.accept('req-1');
      scenario.request('query', 'req-1', 200, 'withdrawn');
    },
  ],
  [
    'the response to an earlier query is outdated',
    null,
    (scenario) => {
      scenario.accept('req-1');
      const earlyQuery = scenario.checker.asked('query', 'req-1', 'berth-1');
      scenario.pass(10);
      scenario.request('abort', 'req-1', 200, 'withdrawn');
      scenario.checker.answered(earlyQuery, { status: 200, phase: 'running' });
    },
  ],
  [
    'a job that lacks a field is accepted',
    'accepted_unsound',
    (scenario) => void scenario.accept('req-1', { crate: undefined }),
  ],
  [
    'a job that fits no machine is accepted',
    'accepted_unsound',
    (scenario) => void scenario.accept('req-1', { gpus: 5, hulls: ['g4'] }),
  ],
  [
    'a job that exceeds the limit of its team is accepted',
    'accepted_unsound',
    (scenario) => void scenario.accept('req-1', { shape: 'gang', gpus: 8, pieces: 3 }),
  ],
  [
    'a job that depends on a job that nobody submitted is accepted',
    'accepted_unsound',
    (scenario) => void scenario.accept('req-1', { waitsOn: ['req-2'] }),
  ],
  [
    'a job that depends on a job that nobody submitted is rejected',
    null,
    (scenario) =>
      scenario.request('submit', 'req-1', 422, null, { ...BODY, ref: 'req-1', waitsOn: ['req-2'] }),
  ],
  [
    'a job that can run is rejected',
    'refused_sound',
    (scenario) => scenario.request('submit', 'req-1', 422, null, { ...BODY, ref: 'req-1' }),
  ],
  [
    'a task is pending for 90 s after all faults have ended although a machine has capacity',
    'left_waiting',
    (scenario) => {
      scenario.accept('req-1');
      scenario.machine();
      scenario.checker.faultsEnded();
      scenario.pass(92_000);
    },
  ],
  [
    'a gang is pending although there is capacity for all of it',
    'left_waiting',
    (scenario) => {
      scenario.accept('req-1', { shape: 'gang', gpus: 8, samePlace: true });
      for (const zone of ['a', 'b', 'b']) scenario.machine(zone);
      scenario.checker.faultsEnded();
      scenario.pass(92_000);
    },
  ],
  [
    'a gang is pending while there is capacity for all of it, but not in one zone',
    null,
    (scenario) => {
      scenario.accept('req-1', { shape: 'gang', gpus: 8, samePlace: true });
      for (const zone of ['a', 'b']) scenario.machine(zone);
      scenario.checker.faultsEnded();
      scenario.pass(92_000);
    },
  ],
  [
    'a task is pending while its team uses all of its limit',
    null,
    (scenario) => {
      scenario.accept('req-1', { gpus: 8, pieces: 3 });
      scenario.start(scenario.machine(), 'req-1', 0);
      scenario.start(scenario.machine(), 'req-1', 1);
      scenario.machine();
      scenario.checker.faultsEnded();
      scenario.pass(92_000);
    },
  ],
  [
    'a machine holds more tasks than it has capacity for',
    'overfull',
    (scenario) => {
      scenario.accept('req-1', { gpus: 5 });
      const machine = scenario.machine();
      for (const task of [0, 1]) scenario.start(machine, 'req-1', task, 'fetching');
    },
  ],
  [
    'a task starts before a job that it depends on is done',
    'too_early',
    (scenario) => {
      scenario.accept('req-1', { pieces: 1 });
      scenario.accept('req-2', { waitsOn: ['req-1'] });
      scenario.start(scenario.machine(), 'req-2');
    },
  ],
  [
    'a task starts when the job that it depends on is done',
    null,
    (scenario) => {
      scenario.accept('req-1', { pieces: 1 });
      scenario.accept('req-2', { waitsOn: ['req-1'] });
      scenario.checker.completed('req-1', 0);
      scenario.start(scenario.machine(), 'req-2');
    },
  ],
  [
    'a job is reported as pending long after an indirect dependency was cancelled',
    'orphaned',
    (scenario) => {
      scenario.accept('req-1');
      scenario.accept('req-2', { waitsOn: ['req-1'] });
      scenario.accept('req-3', { waitsOn: ['req-2'] });
      scenario.request('abort', 'req-1', 200, 'withdrawn');
      scenario.pass(CANCEL_MS + 1);
      scenario.request('query', 'req-3', 200, 'pending');
    },
  ],
  [
    'a job is reported as withdrawn since a job that it depends on was cancelled',
    null,
    (scenario) => {
      scenario.accept('req-1');
      scenario.accept('req-2', { waitsOn: ['req-1'] });
      scenario.request('abort', 'req-1', 200, 'withdrawn');
      scenario.request('query', 'req-2', 200, 'withdrawn');
    },
  ],
];

for (const [description, rule, play] of CASES) {
  test(`rule checker: ${description}: ${rule ?? 'no violation'}`, () => {
    const scenario = new Scenario();
    play(scenario);
    assert.deepEqual(scenario.rules(), rule === null ? [] : [rule]);
  });
}

test('rule checker: a start after a confirmed cancellation is counted even if it violates no rule yet', () => {
  const scenario = new Scenario();
  scenario.accept('req-1');
  scenario.request('abort', 'req-1', 200, 'withdrawn');
  scenario.time = 700;
  scenario.start(scenario.machine(), 'req-1', 1);
  assert.deepEqual(scenario.checker.startsAfterCancel, [{ task: 'req-1/1', afterMs: 700 }]);
  assert.deepEqual(scenario.rules(), []);
});

const TWO_MACHINES = [{ yard: 'a' }, { yard: 'b' }];

/** Closes a cluster in which rules were violated on purpose, and returns the violated rules. */
async function closeAndListViolations(cluster: SimulatedCluster): Promise<Rule[]> {
  await assert.rejects(cluster.close());
  return [...new Set(cluster.checker.violations.map((violation) => violation.rule))];
}

test('rule checker: a simulation in which a controller starts a task a second time fails', async () => {
  const simulatedCluster = new SimulatedCluster(TWO_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 1, 10, 'runs');
  const other = [...simulatedCluster.workers.values()].find(
    (worker) => worker.pieces.length === 0,
  )!;
  const commands = [{ verb: 'launch', piece: `${job}/0`, try: 9 }];
  other.direct({ baton: other.baton, shift: other.shift, orders: commands });
  other.mute = true;
  await simulatedCluster.advance(4);
  assert.deepEqual(await closeAndListViolations(simulatedCluster), ['ran_twice']);
});

test('rule checker: a simulation in which a leader never stops a cancelled task fails', async () => {
  const simulatedCluster = new SimulatedCluster(TWO_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 1, 10, 'runs');
  const holder = [...simulatedCluster.workers.values()].find((worker) => worker.pieces.length > 0)!;
  assert.equal((await simulatedCluster.ask(simulatedCluster.user(1).abort(job))).status, 200);
  // The worker hangs and its lease never expires, as if its leader renewed it and never sent a stop.
  holder.hung = true;
  Object.defineProperty(holder, 'expired', { get: () => false });
  holder.pieces[0]!.phase = 'running';
  await simulatedCluster.advance(37);
  assert.deepEqual(await closeAndListViolations(simulatedCluster), ['ran_cancelled']);
});

test('rule checker: a simulation in which one controller gives wrong answers to users fails', async () => {
  for (const [wrongAnswer, rule] of [
    [{ status: 404, body: {} }, 'forgotten'],
    [{ status: 200, body: { phase: 'done' } }, 'not_done'],
    [{ status: 200, body: { phase: 'withdrawn' } }, 'went_back'],
  ] as const) {
    const simulatedCluster = new SimulatedCluster(TWO_MACHINES);
    await simulatedCluster.start();
    const job = await simulatedCluster.submit({ runMs: 60_000 });
    simulatedCluster.nodes[1]!.controller = {
      jobApi: { query: async () => wrongAnswer } as unknown as JobApi,
    } as never;
    await simulatedCluster.ask(simulatedCluster.user(1).query(job));
    assert.deepEqual(await closeAndListViolations(simulatedCluster), [rule]);
  }
});
