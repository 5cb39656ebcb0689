import assert from 'node:assert/strict';
import { test } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Replica, ScheduledJob } from '@leverhatch/rollout/ports';
import { newSpec, parseRequest } from '@leverhatch/rollout/request';
import { stepTarget, type SpecRecord } from '@leverhatch/rollout/spec';
import {
  isFinal,
  ROLLOUT_PHASES,
  type Evidence,
  type StatusRecord,
} from '@leverhatch/rollout/status';
import { nextStatus, type Observation } from '@leverhatch/rollout/transitions';
import { chooseWithdrawals, type JudgedReplica } from '@leverhatch/rollout/withdrawal';

const REPLICAS = 10;

const specOf = (change: object = {}): SpecRecord =>
  newSpec(parseRequest({ id: 'r', from: 'old', to: 'new', maxSurge: 2, ...change }), 'w', 0);

const jobOf = (id: string, change: Partial<ScheduledJob> = {}): ScheduledJob => ({
  ...{ id, state: 'open', isService: true, team: 't', replicas: REPLICAS, image: `${id}-image` },
  ...{ resources: { cpus: 1, gpus: 1 }, placed: 0, failing: false },
  ...change,
});

const GOOD: Evidence = {
  ...{ verdict: 'better-or-same', oldRequests: 9, newRequests: 9 },
  ...{ latencyRatio: 1, errorIncrease: 0 },
};

const seenOf = (change: Partial<Observation> = {}): Observation => ({
  wall: 1,
  jobs: { from: jobOf('old'), to: jobOf('new') },
  isNewJobOver: false,
  from: { placed: REPLICAS, proven: REPLICAS, unserved: 0 },
  to: { placed: 0, proven: 0, unserved: 0 },
  ...{ neverReady: null, evidence: null, conflict: null },
  ...change,
});

test('what cannot be a rollout is refused when the leader looks at it, with the field', () => {
  const cases: [Partial<Observation>, RegExp][] = [
    [{ conflict: { job: 'old', rollout: 'r0' } }, /^job old is named by rollout r0$/],
    [{ jobs: { from: null, to: null } }, /^from: job old is not open/],
    [{ jobs: { from: jobOf('old', { isService: false }), to: null } }, /^from: .* not a service/],
    [{ jobs: { from: jobOf('old'), to: jobOf('new', { team: 'u' }) } }, /^to: .* of team u, not t/],
    [{ jobs: { from: jobOf('old'), to: jobOf('new', { replicas: 3 }) } }, /^to: .* 3 replicas/],
    [
      { jobs: { from: jobOf('old'), to: jobOf('new', { placed: 1 }) } },
      /^to: .* 1 replicas already/,
    ],
    [
      { jobs: { from: jobOf('old'), to: jobOf('new', { image: 'old-image' }) } },
      /^to: .* same image/,
    ],
  ];
  for (const [change, why] of cases) {
    const status = nextStatus(specOf(), null, seenOf(change), 'w')!;
    assert.equal(status.phase, 'refused');
    assert.match(status.reason!, why);
    assert.deepEqual(status.ceilings, { from: null, to: null });
  }
});

test('a rollback that came before the leader looked leaves the new job without replicas', () => {
  const status = nextStatus({ ...specOf(), rollback: true }, null, seenOf(), 'w')!;
  assert.deepEqual([status.phase, status.ceilings.to], ['rolled-back', 0]);
});

test('steps of few replicas that come to the same are taken once', () => {
  const spec = specOf({ steps: [0.01, 0.02, 0.1, 1], maxSurge: 20 });
  assert.deepEqual(
    [0, 1, 2, 3].map((step) => stepTarget(spec, step, REPLICAS)),
    [1, 1, 1, 10],
  );
  const visited = forward(spec).map(({ phase, ceilings }) => `${phase} ${ceilings.to}`);
  assert.deepEqual(
    visited.filter((v) => v.startsWith('surging')),
    ['surging 1', 'surging 10'],
  );
});

/** All statuses of a rollout to which nothing happens. */
function forward(spec: SpecRecord): StatusRecord[] {
  const visited: StatusRecord[] = [];
  let status: StatusRecord | null = null;
  for (let i = 0; i < 200 && (!status || !isFinal(status.phase)); i++) {
    const to: number = status?.ceilings.to ?? 0;
    const from: number = Math.min(REPLICAS, status?.ceilings.from ?? REPLICAS);
    const seen = seenOf({
      from: { placed: from, proven: from, unserved: 0 },
      to: { placed: to, proven: to, unserved: 0 },
      evidence: GOOD,
    });
    const next = nextStatus(spec, status, seen, `w${i}`);
    assert.ok(next, `stands still after ${i} steps`);
    status = next;
    visited.push(status);
  }
  return visited;
}

// ---- random histories: losses, starts, probes, orders, verdicts and cancellations in any order

interface Sim {
  status: StatusRecord | null;
  spec: SpecRecord;
  replicas: { old: JudgedReplica[]; new: JudgedReplica[] };
  next: number;
}

const replicaOf = (job: string, task: number): Replica => ({
  key: `${job}/${task}`,
  ...{ job, task, attempt: 1, machine: `m${task}`, agentEpoch: 1, address: 'a:1', image: 'i' },
  ...{ running: true, starting: false, stopping: false },
});

function observe(sim: Sim, change: Partial<Observation>): Observation {
  const of = (list: JudgedReplica[]): Observation['from'] => ({
    placed: list.length,
    proven: list.filter(({ proven }) => proven).length,
    unserved: list.filter(({ neverServed }) => neverServed).length,
  });
  return seenOf({ from: of(sim.replicas.old), to: of(sim.replicas.new), ...change });
}

/** The scheduler places up to the ceilings; what is new is not proven. */
function place(sim: Sim, room: number): void {
  for (const [job, side] of [['old', 'from'] as const, ['new', 'to'] as const]) {
    const held = sim.status === null && job === 'new' ? 0 : null;
    const ceiling = held ?? sim.status?.ceilings[side] ?? REPLICAS;
    const list = sim.replicas[job];
    for (let i = 0; i < room && list.length < ceiling; i++) {
      const replica = { ...replicaOf(job, sim.next++), starting: true, running: false };
      list.push({ replica, proven: false, neverServed: true });
    }
  }
}

function withdraw(sim: Sim): void {
  const { status, replicas } = sim;
  if (status?.phase !== 'withdrawing' && status?.phase !== 'rolling-back') return;
  const back = status.phase === 'rolling-back';
  const [leaving, others] = back ? [replicas.new, replicas.old] : [replicas.old, replicas.new];
  const ceiling = back ? status.ceilings.to! : status.ceilings.from!;
  const proven = (): number => [...leaving, ...others].filter((r) => r.proven).length;
  const before = proven();
  const chosen = chooseWithdrawals(leaving, others, status.replicas, ceiling, back);
  for (const replica of chosen) {
    const at = leaving.findIndex((r) => r.replica === replica);
    leaving.splice(at, 1);
  }
  assert.ok(proven() >= Math.min(before, status.replicas), 'no withdrawal takes what is needed');
}

test('in 400 random histories no withdrawal takes what the level needs, ceilings hold, and all end', () => {
  const ends = new Map<string, number>();
  for (let seed = 1; seed <= 400; seed++) {
    const generator = xoroshiro128plus(seed);
    const upTo = (most: number): number => uniformInt(generator, 0, most);
    const sim: Sim = { status: null, spec: specOf(), replicas: { old: [], new: [] }, next: 0 };
    const calmAfter = 60;
    for (let i = 0; i < 400 && !(sim.status && isFinal(sim.status.phase)); i++) {
      const calm = i > calmAfter;
      if (calm) sim.spec = { ...sim.spec, paused: false };
      else if (upTo(14) === 0) sim.spec = { ...sim.spec, paused: upTo(1) === 0 };
      else if (upTo(60) === 0) sim.spec = { ...sim.spec, rollback: true };
      place(sim, upTo(3));
      for (const list of Object.values(sim.replicas)) {
        for (const judged of list) {
          if (calm || upTo(2) > 0) Object.assign(judged, { proven: true, neverServed: false });
          else if (upTo(9) === 0) judged.proven = false;
        }
        if (!calm && upTo(5) === 0) list.splice(upTo(list.length), 1);
      }
      const verdicts = [null, GOOD, GOOD, { ...GOOD, verdict: 'worse' } as const];
      const evidence = calm ? GOOD : verdicts[upTo(3)]!;
      const before = sim.status;
      sim.status = nextStatus(sim.spec, before, observe(sim, { evidence }), `w${i}`) ?? before;
      checkCeilings(sim);
      withdraw(sim);
    }
    assert.ok(sim.status && isFinal(sim.status.phase), `seed ${seed}: ${sim.status?.phase}`);
    ends.set(sim.status.phase, (ends.get(sim.status.phase) ?? 0) + 1);
  }
  assert.ok(
    (ends.get('done') ?? 0) > 20 && (ends.get('rolled-back') ?? 0) > 20,
    'both ends are met',
  );
});

function checkCeilings({ status, replicas, spec }: Sim): void {
  if (!status || isFinal(status.phase)) return;
  assert.ok(ROLLOUT_PHASES.includes(status.phase));
  const { from, to } = status.ceilings;
  assert.ok(from! <= REPLICAS && to! <= REPLICAS && from! >= 0 && to! >= 0);
  const most = Math.max(from!, replicas.old.length) + Math.max(to!, replicas.new.length);
  assert.ok(most <= REPLICAS + spec.maxSurge, `${status.phase}: ${most} may be placed`);
}
