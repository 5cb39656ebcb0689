import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobApi } from '../src/jobs/job-api.js';
import { SUBMISSION } from './fakes/samples.js';
import { RuleChecker, type MachineSeen, type Rule, type TaskState } from './fakes/rule-checker.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const CANCEL_MS = 35_000;
const ROOM = { cpus: 48, gpus: 8, memoryGb: 288 };

/** A checker with machines that a scenario moves by hand. */
class Scene {
  time = 0;
  readonly machines: MachineSeen[] = [];
  readonly checker = new RuleChecker({
    fleet: {
      types: new Map([
        ['g8', { room: ROOM, zones: ['a', 'b'] }],
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

  machine(zone = 'a', { type = 'g8', spot = false, usable = true } = {}): MachineSeen {
    const id = `host-${this.machines.length}`;
    const machine = { id, type, zone, spot, usable, tasks: [] };
    this.machines.push(machine);
    return machine;
  }

  /** A user asks and is answered at once. */
  ask(
    action: 'submit' | 'query' | 'abort',
    ref: string,
    status: number,
    phase: string | null = null,
    body?: unknown,
  ): void {
    const question = this.checker.asked(action, ref, 'berth-0', body);
    this.checker.answered(question, { status, phase }, body);
  }

  accept(ref: string, wish: object = {}): object {
    const body = { ...BODY, ref, ...wish };
    this.ask('submit', ref, 201, 'pending', body);
    return body;
  }

  start(machine: MachineSeen, job: string, task = 0, state: TaskState = 'running'): void {
    machine.tasks.push({ job, task, state });
    if (state !== 'fetching') this.checker.started(machine, job, task);
  }

  /** Time passes, with a look every second. */
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

/** What happens, and the rule that it breaks; null: none. */
const CASES: [string, Rule | null, (s: Scene) => void][] = [
  [
    'a task starts while it is on another machine',
    'ran_twice',
    (s) => {
      s.accept('req-1');
      s.start(s.machine(), 'req-1');
      s.start(s.machine(), 'req-1');
    },
  ],
  [
    'a task starts while it waits for its image elsewhere',
    null,
    (s) => {
      s.accept('req-1');
      s.start(s.machine(), 'req-1', 0, 'fetching');
      s.start(s.machine(), 'req-1');
    },
  ],
  [
    'a team has more GPUs than its limit, one machine being out of reach',
    'quota',
    (s) => {
      s.accept('req-1', { gpus: 8, pieces: 3 });
      s.start(s.machine('a', { usable: false }), 'req-1', 0);
      s.start(s.machine(), 'req-1', 1);
      s.start(s.machine(), 'req-1', 2);
    },
  ],
  [
    'a team has more CPUs than its limit',
    'quota',
    (s) => {
      s.accept('req-1', { crew: 'desk', gpus: 0, vcpus: 6 });
      s.start(s.machine(), 'req-1', 0);
      s.start(s.machine(), 'req-1', 1);
    },
  ],
  [
    'a team has all of its limit',
    null,
    (s) => {
      s.accept('req-1', { gpus: 8 });
      s.start(s.machine(), 'req-1', 0);
      s.start(s.machine(), 'req-1', 1);
    },
  ],
  [
    'a type that is not allowed',
    'wrong_place',
    (s) => {
      s.accept('req-1', { hulls: ['g8'] });
      s.start(s.machine('a', { type: 'g4' }), 'req-1');
    },
  ],
  [
    'a zone that is not allowed',
    'wrong_place',
    (s) => {
      s.accept('req-1', { yard: 'b' });
      s.start(s.machine('a'), 'req-1');
    },
  ],
  [
    'a spot machine that is not allowed',
    'wrong_place',
    (s) => {
      s.accept('req-1');
      s.start(s.machine('a', { spot: true }), 'req-1');
    },
  ],
  [
    'tasks of one zone in two',
    'wrong_place',
    (s) => {
      s.accept('req-1', { samePlace: true });
      s.start(s.machine('a'), 'req-1', 0);
      s.start(s.machine('b'), 'req-1', 1);
    },
  ],
  [
    'more than half of a spread job in one zone',
    'wrong_place',
    (s) => {
      s.accept('req-1', { apart: true, pieces: 3 });
      for (const task of [0, 1, 2]) s.start(s.machine('a'), 'req-1', task);
    },
  ],
  [
    'half of a spread job, rounded up, in one zone, on spot machines that are allowed',
    null,
    (s) => {
      s.accept('req-1', { apart: true, pieces: 3, driftwood: true, hulls: ['g8'], yard: 'a' });
      for (const task of [0, 1]) s.start(s.machine('a', { spot: true }), 'req-1', task);
    },
  ],
  [
    'a cancelled task stays on a machine that hangs',
    'ran_cancelled',
    (s) => {
      s.accept('req-1');
      s.start(s.machine('a', { usable: false }), 'req-1');
      s.ask('abort', 'req-1', 200, 'withdrawn');
      s.pass(CANCEL_MS + 1);
    },
  ],
  [
    'a task whose user was told by a question alone that it is cancelled stays',
    'ran_cancelled',
    (s) => {
      s.accept('req-1');
      s.start(s.machine(), 'req-1');
      s.ask('abort', 'req-1', 503);
      s.ask('query', 'req-1', 200, 'withdrawn');
      s.pass(CANCEL_MS + 1);
    },
  ],
  [
    'a task whose user was told by a repeated submission that it is cancelled stays',
    'ran_cancelled',
    (s) => {
      const body = s.accept('req-1');
      s.start(s.machine(), 'req-1');
      s.ask('abort', 'req-1', 0);
      s.ask('submit', 'req-1', 200, 'withdrawn', body);
      s.pass(CANCEL_MS + 1);
    },
  ],
  [
    'a task starts long after its job was cancelled',
    'ran_cancelled',
    (s) => {
      s.accept('req-1');
      s.ask('abort', 'req-1', 200, 'withdrawn');
      s.pass(CANCEL_MS + 1);
      s.start(s.machine(), 'req-1');
    },
  ],
  [
    'a cancelled task is gone in time',
    null,
    (s) => {
      s.accept('req-1');
      const machine = s.machine();
      s.start(machine, 'req-1');
      s.ask('abort', 'req-1', 200, 'withdrawn');
      s.pass(CANCEL_MS - 1);
      machine.tasks.length = 0;
      s.pass(10_000);
    },
  ],
  [
    'an accepted job is unknown',
    'forgotten',
    (s) => {
      s.accept('req-1');
      s.ask('query', 'req-1', 404);
    },
  ],
  ...[400, 422].map((status): [string, Rule, (s: Scene) => void] => [
    `a repeat of an accepted job gets ${status}`,
    'forgotten',
    (s) => {
      const body = s.accept('req-1');
      s.ask('submit', 'req-1', status, null, body);
    },
  ]),
  [
    'no question about a job is answered for 75 s after all troubles',
    'forgotten',
    (s) => {
      s.accept('req-1');
      s.checker.calm();
      for (let i = 0; i <= 75; i++, s.pass(1000)) s.ask('query', 'req-1', 503);
    },
  ],
  [
    'no question about any job is answered for 75 s of trouble',
    null,
    (s) => {
      s.accept('req-1');
      for (let i = 0; i <= 75; i++, s.pass(1000)) s.ask('query', 'req-1', 0);
    },
  ],
  [
    'no question about a job is answered for 90 s of trouble, while others are',
    'forgotten',
    (s) => {
      s.accept('req-1');
      s.accept('req-2');
      for (let i = 0; i <= 90; i++, s.pass(1000)) {
        s.ask('query', 'req-1', 503);
        s.ask('query', 'req-2', 200, 'pending');
      }
    },
  ],
  [
    'a job that was asked for before it was accepted is unknown',
    null,
    (s) => {
      const early = s.checker.asked('query', 'req-1', 'berth-1');
      s.pass(10);
      s.accept('req-1');
      s.checker.answered(early, { status: 404, phase: null });
    },
  ],
  ['a job that nobody submitted is known', 'invented', (s) => s.ask('query', 'req-9', 200, 'done')],
  ['a job that nobody submitted is unknown', null, (s) => s.ask('query', 'req-9', 404)],
  [
    'a job is called done before its last task is',
    'not_done',
    (s) => {
      s.accept('req-1');
      s.checker.completed('req-1', 0);
      s.ask('query', 'req-1', 200, 'done');
    },
  ],
  [
    'a service is called done',
    'not_done',
    (s) => {
      s.accept('req-1', { shape: 'service', pieces: 1 });
      s.checker.completed('req-1', 0);
      s.ask('query', 'req-1', 200, 'done');
    },
  ],
  [
    'a gang of which one task is done is called done',
    null,
    (s) => {
      s.accept('req-1', { shape: 'gang' });
      s.checker.completed('req-1', 1);
      s.ask('query', 'req-1', 200, 'done');
    },
  ],
  ...['pending', 'running', 'withdrawn'].map((phase): [string, Rule, (s: Scene) => void] => [
    `a job that is done is called ${phase}`,
    'went_back',
    (s) => {
      s.accept('req-1', { pieces: 1 });
      s.checker.completed('req-1', 0);
      s.ask('query', 'req-1', 200, 'done');
      s.ask('abort', 'req-1', 200, phase);
    },
  ]),
  [
    'a cancelled job is called running',
    'went_back',
    (s) => {
      s.accept('req-1');
      s.ask('abort', 'req-1', 200, 'withdrawn');
      s.ask('query', 'req-1', 200, 'running');
    },
  ],
  [
    'a job that nobody cancelled is called withdrawn',
    'went_back',
    (s) => {
      s.accept('req-1');
      s.ask('query', 'req-1', 200, 'withdrawn');
    },
  ],
  [
    'an answer to an earlier question is older',
    null,
    (s) => {
      s.accept('req-1');
      const early = s.checker.asked('query', 'req-1', 'berth-1');
      s.pass(10);
      s.ask('abort', 'req-1', 200, 'withdrawn');
      s.checker.answered(early, { status: 200, phase: 'running' });
    },
  ],
  [
    'a job that lacks a field is accepted',
    'accepted_unsound',
    (s) => void s.accept('req-1', { crate: undefined }),
  ],
  [
    'a job that fits no machine is accepted',
    'accepted_unsound',
    (s) => void s.accept('req-1', { gpus: 5, hulls: ['g4'] }),
  ],
  [
    'a job of more than its team may have is accepted',
    'accepted_unsound',
    (s) => void s.accept('req-1', { shape: 'gang', gpus: 8, pieces: 3 }),
  ],
  [
    'a job that names one that nobody submitted is accepted',
    'accepted_unsound',
    (s) => void s.accept('req-1', { waitsOn: ['req-2'] }),
  ],
  [
    'a job that names one that nobody submitted is refused',
    null,
    (s) => s.ask('submit', 'req-1', 422, null, { ...BODY, ref: 'req-1', waitsOn: ['req-2'] }),
  ],
  [
    'a job that can run is refused',
    'refused_sound',
    (s) => s.ask('submit', 'req-1', 422, null, { ...BODY, ref: 'req-1' }),
  ],
  [
    'a task waits beside a machine with room for 90 s after all troubles',
    'left_waiting',
    (s) => {
      s.accept('req-1');
      s.machine();
      s.checker.calm();
      s.pass(92_000);
    },
  ],
  [
    'a gang waits beside room for all of it',
    'left_waiting',
    (s) => {
      s.accept('req-1', { shape: 'gang', gpus: 8, samePlace: true });
      for (const zone of ['a', 'b', 'b']) s.machine(zone);
      s.checker.calm();
      s.pass(92_000);
    },
  ],
  [
    'a gang waits beside room for all of it, though not in one zone',
    null,
    (s) => {
      s.accept('req-1', { shape: 'gang', gpus: 8, samePlace: true });
      for (const zone of ['a', 'b']) s.machine(zone);
      s.checker.calm();
      s.pass(92_000);
    },
  ],
  [
    'a task waits while its team has all of its limit',
    null,
    (s) => {
      s.accept('req-1', { gpus: 8, pieces: 3 });
      s.start(s.machine(), 'req-1', 0);
      s.start(s.machine(), 'req-1', 1);
      s.machine();
      s.checker.calm();
      s.pass(92_000);
    },
  ],
  [
    'a machine holds more than it has room for',
    'overfull',
    (s) => {
      s.accept('req-1', { gpus: 5 });
      const machine = s.machine();
      for (const task of [0, 1]) s.start(machine, 'req-1', task, 'fetching');
    },
  ],
  [
    'a task starts before a job that it needs is done',
    'too_early',
    (s) => {
      s.accept('req-1', { pieces: 1 });
      s.accept('req-2', { waitsOn: ['req-1'] });
      s.start(s.machine(), 'req-2');
    },
  ],
  [
    'a task starts when the job that it needs is done',
    null,
    (s) => {
      s.accept('req-1', { pieces: 1 });
      s.accept('req-2', { waitsOn: ['req-1'] });
      s.checker.completed('req-1', 0);
      s.start(s.machine(), 'req-2');
    },
  ],
  [
    'a job is called pending long after one that it needs through another was cancelled',
    'orphaned',
    (s) => {
      s.accept('req-1');
      s.accept('req-2', { waitsOn: ['req-1'] });
      s.accept('req-3', { waitsOn: ['req-2'] });
      s.ask('abort', 'req-1', 200, 'withdrawn');
      s.pass(CANCEL_MS + 1);
      s.ask('query', 'req-3', 200, 'pending');
    },
  ],
  [
    'a job is called withdrawn since one that it needs was cancelled',
    null,
    (s) => {
      s.accept('req-1');
      s.accept('req-2', { waitsOn: ['req-1'] });
      s.ask('abort', 'req-1', 200, 'withdrawn');
      s.ask('query', 'req-2', 200, 'withdrawn');
    },
  ],
];

for (const [what, rule, story] of CASES) {
  test(`checker: ${what}: ${rule ?? 'no rule broken'}`, () => {
    const scene = new Scene();
    story(scene);
    assert.deepEqual(scene.rules(), rule === null ? [] : [rule]);
  });
}

test('checker: a start after a confirmed cancellation is counted even where it breaks no rule yet', () => {
  const scene = new Scene();
  scene.accept('req-1');
  scene.ask('abort', 'req-1', 200, 'withdrawn');
  scene.time = 700;
  scene.start(scene.machine(), 'req-1', 1);
  assert.deepEqual(scene.checker.startsAfterCancel, [{ task: 'req-1/1', afterMs: 700 }]);
  assert.deepEqual(scene.rules(), []);
});

const TWO = [{ yard: 'a' }, { yard: 'b' }];

/** Ends a scenario in which rules were broken on purpose. */
async function brokenRules(cluster: SimulatedCluster): Promise<Rule[]> {
  await assert.rejects(cluster.close());
  return [...new Set(cluster.checker.violations.map((violation) => violation.rule))];
}

test('checker: a story in which a controller starts a task a second time fails', async () => {
  const simulatedCluster = new SimulatedCluster(TWO);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 1, 10, 'runs');
  const other = [...simulatedCluster.workers.values()].find((x) => x.pieces.length === 0)!;
  const commands = [{ verb: 'launch', piece: `${job}/0`, try: 9 }];
  other.direct({ baton: other.baton, shift: other.shift, orders: commands });
  other.mute = true;
  await simulatedCluster.pass(4);
  assert.deepEqual(await brokenRules(simulatedCluster), ['ran_twice']);
});

test('checker: a story in which a leader never stops what was cancelled fails', async () => {
  const simulatedCluster = new SimulatedCluster(TWO);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 1, 10, 'runs');
  const holder = [...simulatedCluster.workers.values()].find((x) => x.pieces.length > 0)!;
  assert.equal((await simulatedCluster.ask(simulatedCluster.user(1).abort(job))).status, 200);
  // It hangs and never loses its lease, as if its controller kept it alive and never stopped it.
  holder.hung = true;
  Object.defineProperty(holder, 'expired', { get: () => false });
  holder.pieces[0]!.phase = 'running';
  await simulatedCluster.pass(37);
  assert.deepEqual(await brokenRules(simulatedCluster), ['ran_cancelled']);
});

test('checker: a story in which one controller lies to users fails', async () => {
  for (const [lie, rule] of [
    [{ status: 404, body: {} }, 'forgotten'],
    [{ status: 200, body: { phase: 'done' } }, 'not_done'],
    [{ status: 200, body: { phase: 'withdrawn' } }, 'went_back'],
  ] as const) {
    const simulatedCluster = new SimulatedCluster(TWO);
    await simulatedCluster.start();
    const job = await simulatedCluster.submit({ runMs: 60_000 });
    simulatedCluster.nodes[1]!.controller = {
      jobApi: { query: async () => lie } as unknown as JobApi,
    } as never;
    await simulatedCluster.ask(simulatedCluster.user(1).query(job));
    assert.deepEqual(await brokenRules(simulatedCluster), [rule]);
  }
});
