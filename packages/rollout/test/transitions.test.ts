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
import { chooseWithdrawals, type ReplicaReadiness } from '@leverhatch/rollout/withdrawal';

const REPLICAS = 10;

const specOf = (change: object = {}): SpecRecord =>
  newSpec(parseRequest({ id: 'r', from: 'old', to: 'new', maxSurge: 2, ...change }), 'w', 0);

const jobOf = (id: string, change: Partial<ScheduledJob> = {}): ScheduledJob => ({
  ...{ id, state: 'open', isService: true, team: 't', replicas: REPLICAS, image: `${id}-image` },
  ...{ resources: { cpus: 1, gpus: 1 }, placed: 0, failing: false },
  ...change,
});

const PASSING_EVIDENCE: Evidence = {
  ...{ verdict: 'better-or-same', oldRequests: 9, newRequests: 9 },
  ...{ latencyRatio: 1, errorIncrease: 0 },
};

const observationOf = (change: Partial<Observation> = {}): Observation => ({
  wall: 1,
  jobs: { from: jobOf('old'), to: jobOf('new') },
  isNewJobFinished: false,
  from: { placed: REPLICAS, proven: REPLICAS, unserved: 0 },
  to: { placed: 0, proven: 0, unserved: 0 },
  ...{ neverReady: null, evidence: null, conflict: null },
  ...change,
});

test('the leader refuses an ineligible rollout and names the field', () => {
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
    const status = nextStatus(specOf(), null, observationOf(change), 'w')!;
    assert.equal(status.phase, 'refused');
    assert.match(status.reason!, why);
    assert.deepEqual(status.ceilings, { from: null, to: null });
  }
});

test('a rollback requested before the first status leaves the new job without replicas', () => {
  const status = nextStatus({ ...specOf(), rollback: true }, null, observationOf(), 'w')!;
  assert.deepEqual([status.phase, status.ceilings.to], ['rolled-back', 0]);
});

test('steps with the same target, which occur with few replicas, are taken once', () => {
  const spec = specOf({ steps: [0.01, 0.02, 0.1, 1], maxSurge: 20 });
  assert.deepEqual(
    [0, 1, 2, 3].map((step) => stepTarget(spec, step, REPLICAS)),
    [1, 1, 1, 10],
  );
  const visited = runToCompletion(spec).map(({ phase, ceilings }) => `${phase} ${ceilings.to}`);
  assert.deepEqual(
    visited.filter((v) => v.startsWith('surging')),
    ['surging 1', 'surging 10'],
  );
});

/** Runs a rollout without failures or commands and returns all its statuses. */
function runToCompletion(spec: SpecRecord): StatusRecord[] {
  const visited: StatusRecord[] = [];
  let status: StatusRecord | null = null;
  for (let i = 0; i < 200 && (!status || !isFinal(status.phase)); i++) {
    const to: number = status?.ceilings.to ?? 0;
    const from: number = Math.min(REPLICAS, status?.ceilings.from ?? REPLICAS);
    const observation = observationOf({
      from: { placed: from, proven: from, unserved: 0 },
      to: { placed: to, proven: to, unserved: 0 },
      evidence: PASSING_EVIDENCE,
    });
    const next = nextStatus(spec, status, observation, `w${i}`);
    assert.ok(next, `no transition after ${i} steps`);
    status = next;
    visited.push(status);
  }
  return visited;
}

// ---- random histories: losses, starts, probe results, commands and verdicts in random order

interface Simulation {
  status: StatusRecord | null;
  spec: SpecRecord;
  replicas: { old: ReplicaReadiness[]; new: ReplicaReadiness[] };
  next: number;
}

const replicaOf = (job: string, task: number): Replica => ({
  key: `${job}/${task}`,
  ...{ job, task, attempt: 1, machine: `m${task}`, agentEpoch: 1, address: 'a:1', image: 'i' },
  ...{ running: true, starting: false, stopping: false },
});

function observe(simulation: Simulation, change: Partial<Observation>): Observation {
  const of = (list: ReplicaReadiness[]): Observation['from'] => ({
    placed: list.length,
    proven: list.filter(({ proven }) => proven).length,
    unserved: list.filter(({ neverServed }) => neverServed).length,
  });
  return observationOf({
    from: of(simulation.replicas.old),
    to: of(simulation.replicas.new),
    ...change,
  });
}

/** Simulates the scheduler: places replicas up to the ceilings; new ones are not proven. */
function placeReplicas(simulation: Simulation, maxStarts: number): void {
  for (const [job, side] of [['old', 'from'] as const, ['new', 'to'] as const]) {
    const initialCeiling = simulation.status === null && job === 'new' ? 0 : null;
    const ceiling = initialCeiling ?? simulation.status?.ceilings[side] ?? REPLICAS;
    const list = simulation.replicas[job];
    for (let i = 0; i < maxStarts && list.length < ceiling; i++) {
      const replica = { ...replicaOf(job, simulation.next++), starting: true, running: false };
      list.push({ replica, proven: false, neverServed: true });
    }
  }
}

function withdrawReplicas(simulation: Simulation): void {
  const { status, replicas } = simulation;
  if (status?.phase !== 'withdrawing' && status?.phase !== 'rolling-back') return;
  const isRollback = status.phase === 'rolling-back';
  const [candidates, otherReplicas] = isRollback
    ? [replicas.new, replicas.old]
    : [replicas.old, replicas.new];
  const ceiling = isRollback ? status.ceilings.to! : status.ceilings.from!;
  const proven = (): number => [...candidates, ...otherReplicas].filter((r) => r.proven).length;
  const before = proven();
  const chosen = chooseWithdrawals(candidates, otherReplicas, status.replicas, ceiling, isRollback);
  for (const replica of chosen) {
    const index = candidates.findIndex((r) => r.replica === replica);
    candidates.splice(index, 1);
  }
  assert.ok(
    proven() >= Math.min(before, status.replicas),
    'a withdrawal leaves fewer proven replicas than required',
  );
}

test('in 400 random histories withdrawals keep the required capacity, ceilings hold, and all rollouts end', () => {
  const finalPhases = new Map<string, number>();
  for (let seed = 1; seed <= 400; seed++) {
    const generator = xoroshiro128plus(seed);
    const upTo = (max: number): number => uniformInt(generator, 0, max);
    const simulation: Simulation = {
      status: null,
      spec: specOf(),
      replicas: { old: [], new: [] },
      next: 0,
    };
    const calmAfterSteps = 60;
    for (let i = 0; i < 400 && !(simulation.status && isFinal(simulation.status.phase)); i++) {
      const isCalm = i > calmAfterSteps;
      if (isCalm) simulation.spec = { ...simulation.spec, paused: false };
      else if (upTo(14) === 0) simulation.spec = { ...simulation.spec, paused: upTo(1) === 0 };
      else if (upTo(60) === 0) simulation.spec = { ...simulation.spec, rollback: true };
      placeReplicas(simulation, upTo(3));
      for (const list of Object.values(simulation.replicas)) {
        for (const replicaReadiness of list) {
          if (isCalm || upTo(2) > 0)
            Object.assign(replicaReadiness, { proven: true, neverServed: false });
          else if (upTo(9) === 0) replicaReadiness.proven = false;
        }
        if (!isCalm && upTo(5) === 0) list.splice(upTo(list.length), 1);
      }
      const verdicts = [
        null,
        PASSING_EVIDENCE,
        PASSING_EVIDENCE,
        { ...PASSING_EVIDENCE, verdict: 'worse' } as const,
      ];
      const evidence = isCalm ? PASSING_EVIDENCE : verdicts[upTo(3)]!;
      const before = simulation.status;
      simulation.status =
        nextStatus(simulation.spec, before, observe(simulation, { evidence }), `w${i}`) ?? before;
      checkCeilings(simulation);
      withdrawReplicas(simulation);
    }
    assert.ok(
      simulation.status && isFinal(simulation.status.phase),
      `seed ${seed}: ${simulation.status?.phase}`,
    );
    finalPhases.set(simulation.status.phase, (finalPhases.get(simulation.status.phase) ?? 0) + 1);
  }
  assert.ok(
    (finalPhases.get('done') ?? 0) > 20 && (finalPhases.get('rolled-back') ?? 0) > 20,
    'both final phases occur',
  );
});

function checkCeilings({ status, replicas, spec }: Simulation): void {
  if (!status || isFinal(status.phase)) return;
  assert.ok(ROLLOUT_PHASES.includes(status.phase));
  const { from, to } = status.ceilings;
  assert.ok(from! <= REPLICAS && to! <= REPLICAS && from! >= 0 && to! >= 0);
  const total = Math.max(from!, replicas.old.length) + Math.max(to!, replicas.new.length);
  assert.ok(total <= REPLICAS + spec.maxSurge, `${status.phase}: ${total} may be placed`);
}
