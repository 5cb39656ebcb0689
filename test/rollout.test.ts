import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ask,
  startScenario,
  finishScenario,
  MAX_SURGE,
  untilPhase,
  phaseOf,
  REPLICAS,
  startRollout,
} from './fakes/rollout-scenario.js';

test('a good version is rolled out in steps without a drop in serving replicas', async () => {
  const scenario = await startScenario();
  const { w: cluster, models, checker, to } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'done');
  assert.equal(models.serving(to), REPLICAS);
  assert.equal(checker.lowestServing, REPLICAS);
  await finishScenario(scenario, 'to');
});

test('the leader crashes during a withdrawal, and its successor continues', async () => {
  const scenario = await startScenario({ seed: 1 });
  const { w: cluster, checker } = scenario;
  await startRollout(scenario, {}, 1);
  await untilPhase(cluster, 'withdrawing');
  cluster.crash(cluster.leader);
  await untilPhase(cluster, 'done');
  assert.equal(checker.lowestServing, REPLICAS);
  await finishScenario(scenario, 'to');
});

test('a version that is slow under load is rolled back without a drop in serving replicas', async () => {
  const scenario = await startScenario({ seed: 2 });
  const { w: cluster, models, checker, from, to } = scenario;
  models.models.set(to, {
    readyMs: 500,
    latencyMs: (serving) => (serving > 2 ? 250 : 100),
    errorRate: 0,
  });
  await startRollout(scenario);
  await untilPhase(cluster, 'rolled-back');
  assert.equal(models.serving(from), REPLICAS);
  assert.equal(checker.lowestServing, REPLICAS);
  const { rollouts } = (await ask(cluster, 0, (api) => api.status())).body as {
    rollouts: { waitsFor: string; reason: string }[];
  };
  assert.match(rollouts[0]!.waitsFor, /stays open without replicas/);
  assert.match(rollouts[0]!.reason, /worse under load/);
  await finishScenario(scenario, 'from');
});

test('a version that is never ready is rolled back after readySeconds, and no old replica is withdrawn', async () => {
  const scenario = await startScenario({ seed: 3 });
  const { w: cluster, models, from, to } = scenario;
  models.models.set(to, { readyMs: Infinity, latencyMs: () => 100, errorRate: 0 });
  const starts = cluster.starts.filter((start) => start.startsWith(from)).length;
  await startRollout(scenario);
  await untilPhase(cluster, 'surging');
  await untilPhase(cluster, 'rolled-back');
  assert.equal(cluster.starts.filter((start) => start.startsWith(from)).length, starts);
  assert.equal(phaseOf(cluster), 'rolled-back');
  const withdrawn = cluster.logged.filter(({ message }) => message === 'replica withdrawn').length;
  assert.equal(withdrawn, MAX_SURGE, 'the rollback restarts no new replica');
  await finishScenario(scenario, 'from');
});
