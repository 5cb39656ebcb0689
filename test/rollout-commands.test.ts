import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ask,
  startScenario,
  finishScenario,
  untilPhase,
  phaseOf,
  REPLICAS,
  REQUEST,
  startRollout,
  submitNext,
  writesPhase,
  type RolloutScenario,
} from './fakes/rollout-scenario.js';
import { rolloutApi, rolloutStatus } from './fakes/rollout-checker.js';

// Operators' commands and users' cancellations that coincide with transitions of a rollout: 8 replicas on
// 4 machines, three controllers.

const OPEN_PHASES = ['preparing', 'surging', 'judging', 'withdrawing'];

const followerOf = ({ w: cluster }: RolloutScenario): number => (cluster.leader + 1) % 3;

/** Runs `act` when the store receives the first write of a phase; returns whether it has run. */
function onWriteOf(scenario: RolloutScenario, phase: string, act: () => void): () => boolean {
  let hasRun = false;
  scenario.w.faults.storeFaults.add(({ body }) => {
    if (writesPhase(body, phase) && !hasRun) {
      hasRun = true;
      act();
    }
    return 'serve';
  });
  return () => hasRun;
}

for (const phase of ['surging', 'judging', 'withdrawing']) {
  test(`a rollback is requested at another controller while ${phase} is being written`, async () => {
    const scenario = await startScenario();
    const { w: cluster, models, checker, from } = scenario;
    const ordered = onWriteOf(scenario, phase, () => {
      void rolloutApi(cluster, followerOf(scenario))!.order('r1', 'rollback');
    });
    await startRollout(scenario);
    await untilPhase(cluster, 'rolled-back');
    assert.ok(ordered());
    assert.equal(models.serving(from), REPLICAS);
    assert.equal(checker.lowestServing, REPLICAS);
    await finishScenario(scenario, 'from');
  });
}

test('a rollback halfway through the second step, with half of the old replicas withdrawn', async () => {
  const scenario = await startScenario();
  const { w: cluster, models, checker, from, to } = scenario;
  await startRollout(scenario);
  await cluster.until(
    () => models.serving(from) <= REPLICAS / 2,
    150,
    'half of the old replicas are withdrawn',
  );
  assert.equal(
    (await ask(cluster, followerOf(scenario), (api) => api.order('r1', 'rollback'))).status,
    200,
  );
  await untilPhase(cluster, 'rolled-back');
  assert.equal(checker.lowestServing, REPLICAS);
  assert.equal(models.serving(from), REPLICAS);
  assert.equal(cluster.tasksOf(to).length, 0);
  await finishScenario(scenario, 'from');
});

test('rollback and resume at the same time at two controllers: the rollback takes effect', async () => {
  const scenario = await startScenario();
  const { w: cluster } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'judging');
  await ask(cluster, 0, (api) => api.order('r1', 'pause'));
  await untilPhase(cluster, 'paused');
  const commands = [
    ask(cluster, 1, (a) => a.order('r1', 'resume')),
    ask(cluster, 2, (a) => a.order('r1', 'rollback')),
  ];
  const [resumed, rolledBack] = await Promise.all(commands);
  assert.equal(rolledBack!.status, 200);
  assert.ok([200, 409].includes(resumed!.status));
  await untilPhase(cluster, 'rolled-back');
  assert.equal((await ask(cluster, 1, (a) => a.order('r1', 'resume'))).status, 409);
  await finishScenario(scenario, 'from');
});

test('two rollouts of one job at the same time at two controllers: one is refused and names the other', async () => {
  const scenario = await startScenario();
  const { w: cluster, from, to } = scenario;
  const thirdVersion = cluster.createSubmission({
    shape: 'service',
    pieces: REPLICAS,
    gpus: 2,
    runMs: 0,
    crate: 'v3',
  });
  const request = { ...REQUEST, from };
  const answers = [
    ask(cluster, 0, (a) => a.start({ ...request, to })),
    ask(cluster, 1, (a) => a.start({ ...request, id: 'r2', to: thirdVersion.ref })),
  ];
  const statuses = (await Promise.all(answers)).map(({ status }) => status);
  const [accepted, refused] = statuses[0] === 201 ? ['r1', 'r2'] : ['r2', 'r1'];
  const otherStatus = statuses[accepted === 'r1' ? 1 : 0]!;
  if (otherStatus === 201) {
    await cluster.until(
      () => rolloutStatus(cluster, refused)?.phase === 'refused',
      20,
      'the later request is refused',
    );
    assert.match(
      rolloutStatus(cluster, refused)!.reason!,
      new RegExp(`named by rollout ${accepted}`),
    );
  } else assert.equal(otherStatus, 409);
  if (accepted === 'r2') return;
  await submitNext(scenario);
  await untilPhase(cluster, 'done');
  await finishScenario(scenario, 'to');
});

test('two conflicting requests are both stored: the leader refuses the later and names the earlier', async () => {
  const scenario = await startScenario();
  const { w: cluster, from, to } = scenario;
  // Writes a second spec directly, as if a controller that did not see the first had accepted it.
  await ask(cluster, 0, (a) => a.start({ ...REQUEST, from, to }));
  const first = cluster.store.get('rollouts/specs/r1') as object;
  cluster.store.write('rollouts/specs/r2', { ...first, id: 'r2', to: 'req-000999' });
  await cluster.until(() => rolloutStatus(cluster, 'r2')?.phase === 'refused', 20, 'r2 is refused');
  assert.match(rolloutStatus(cluster, 'r2')!.reason!, /job req-\d+ is named by rollout r1/);
  await submitNext(scenario);
  await untilPhase(cluster, 'done');
  await finishScenario(scenario, 'to');
});

test('a paused rollout does not advance across a change of leader, and continues when resumed', async () => {
  const scenario = await startScenario();
  const { w: cluster, models, checker, from, to } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'judging');
  await ask(cluster, 0, (api) => api.order('r1', 'pause'));
  await untilPhase(cluster, 'paused');
  const before = [models.serving(from), models.serving(to)];
  cluster.crash(cluster.leader);
  await cluster.advance(30);
  assert.equal(phaseOf(cluster), 'paused');
  assert.deepEqual([models.serving(from), models.serving(to)], before);
  await ask(cluster, cluster.leader, (api) => api.order('r1', 'resume'));
  await untilPhase(cluster, 'done');
  assert.equal(checker.lowestServing, REPLICAS);
  await finishScenario(scenario, 'to');
});

for (const [i, phase] of OPEN_PHASES.entries()) {
  test(`the user cancels the new job in ${phase}, and the leader crashes before its next step`, async () => {
    const scenario = await startScenario({ seed: i });
    const { w: cluster, models, from, to } = scenario;
    if (phase === 'preparing') keepInPreparing(scenario);
    await startRollout(scenario);
    await untilPhase(cluster, phase);
    const cancelled = cluster.cancel(to);
    cluster.crash(cluster.leader);
    await cancelled;
    models.faults.clear();
    await untilPhase(cluster, 'rolled-back');
    await cluster.until(() => models.serving(from) === REPLICAS, 60, 'all old replicas serve');
    assert.match(rolloutStatus(cluster, 'r1')!.reason!, /cancelled by its user/);
    await cluster.waitUntilSettled();
    await cluster.close();
    assert.deepEqual([...scenario.checker.violations], []);
  });

  test(`the user cancels the old job in ${phase}, and the leader crashes before its next step`, async () => {
    const scenario = await startScenario({ seed: i });
    const { w: cluster, models, from, to } = scenario;
    if (phase === 'preparing') keepInPreparing(scenario);
    await startRollout(scenario);
    await untilPhase(cluster, phase);
    const cancelled = cluster.cancel(from);
    cluster.crash(cluster.leader);
    await cancelled;
    await untilPhase(cluster, 'failed');
    await cluster.until(() => models.serving(to) === REPLICAS, 60, 'all new replicas serve');
    await cluster.waitUntilSettled();
    await cluster.close();
    assert.deepEqual([...scenario.checker.violations], []);
  });
}

/** Lets all probes fail, so that no replica is proven and the rollout stays in phase preparing. */
function keepInPreparing({ models }: RolloutScenario): void {
  models.faults.add(() => 'silence');
}

test('both jobs are cancelled during a rollout: it fails, and no replica is left', async () => {
  const scenario = await startScenario();
  const { w: cluster, from, to } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'judging');
  await Promise.all(
    [cluster.cancelInBackground(from), cluster.cancelInBackground(to)].map((p) => cluster.drive(p)),
  );
  await untilPhase(cluster, 'failed');
  await cluster.waitUntilSettled();
  await cluster.close();
});

test('a later rollout can return from the new version to the old job, which is still open', async () => {
  const scenario = await startScenario();
  const { w: cluster, models, from, to } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'done');
  const answer = await ask(cluster, 2, (a) =>
    a.start({ ...REQUEST, id: 'r2', from: to, to: from }),
  );
  assert.equal(answer.status, 201, JSON.stringify(answer.body));
  await untilPhase(cluster, 'done', 150, 'r2');
  assert.equal(models.serving(from), REPLICAS);
  await cluster.advance(20);
  assert.equal(cluster.tasksOf(to).length, 0);
  await cluster.cancel(to);
  await cluster.waitUntilSettled();
  await cluster.close();
  assert.deepEqual([...scenario.checker.violations], []);
});

test('any controller refuses invalid requests immediately and names the field', async () => {
  const scenario = await startScenario();
  const { w: cluster, from, to } = scenario;
  const array = await cluster.accept({ pieces: 2, runMs: 600_000, crate: 'v2' });
  const service = {
    shape: 'service',
    pieces: REPLICAS,
    gpus: 2,
    runMs: 0,
    crew: 'speech',
  } as const;
  const same = await cluster.accept({ ...service, pieces: 1, crate: 'v9' });
  const foreign = await cluster.accept({ ...service, crew: 'guests', pieces: 1, crate: 'v1' });
  const cases: [object, number, RegExp][] = [
    [{ from: 'req-009999' }, 422, /^from: unknown job/],
    [{ from: array }, 422, /^from: .*not a service/],
    [{ to: array }, 422, /^to: .*not a service/],
    [{ to: same }, 422, /^to: job .* has 1 replicas, not 8/],
    [{ to: foreign }, 422, /^to: job .* is of team guests, not speech/],
    [{ to: from }, 400, /^to: must be another job/],
    [{ steps: [0.5, 0.2, 1] }, 400, /^steps: must rise to 1/],
    [{ steps: [0.5] }, 400, /^steps: must rise to 1/],
    [{ minSamples: 10 }, 400, /^minSamples: must be 100 at least/],
    [{ maxSurge: 0 }, 400, /^maxSurge: /],
    [{ colour: 1 }, 400, /^colour: /],
  ];
  for (const [change, status, what] of cases) {
    const answer = await ask(cluster, 1, (a) => a.start({ ...REQUEST, from, to, ...change }));
    assert.equal(answer.status, status, JSON.stringify([change, answer.body]));
    assert.match((answer.body as { error: string }).error, what);
  }
  assert.equal([...cluster.store.keys.keys()].filter((k) => k.startsWith('rollouts/')).length, 0);
  const first = await ask(cluster, 0, (a) => a.start({ ...REQUEST, from, to }));
  const again = await ask(cluster, 2, (a) => a.start({ ...REQUEST, from, to }));
  const changed = await ask(cluster, 1, (a) => a.start({ ...REQUEST, from, to, maxSurge: 1 }));
  assert.deepEqual([first.status, again.status, changed.status], [201, 200, 409]);
  const plan = await ask(cluster, 0, (a) =>
    a.plan({ ...REQUEST, id: 'r3', from: same, to: 'req-009999' }),
  );
  assert.deepEqual((plan.body as { steps: unknown }).steps, [
    { step: 0, surge: 1, to: 1, from: 0 },
  ]);
  await cluster.close();
});
