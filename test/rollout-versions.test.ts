import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RELEASES } from './fakes/released.js';
import { rolloutStatus } from './fakes/rollout-checker.js';
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
} from './fakes/rollout-scenario.js';
import { changeVersion, setVersions, transferLeadership } from './fakes/versions.js';

// Controllers of earlier versions run the released code, from the bundles in test/fixtures/controllers.

for (const release of RELEASES) {
  test(`no rollout starts before the last controller of ${release} is upgraded, whichever controller leads`, async () => {
    const scenario = await startScenario({
      before: (cluster) => setVersions(cluster, ['current', 'current', release]),
    });
    const { w, models, from, to } = scenario;
    await ask(w, 0, (api) => api.start({ ...REQUEST, from, to }));
    for (const leader of [2, 0, 1]) {
      await transferLeadership(w, leader);
      await w.advance(5);
      assert.equal(rolloutStatus(w, 'r1'), undefined);
    }
    assert.equal(models.serving(from), REPLICAS);
    await changeVersion(w, 2, 'current');
    await submitNext(scenario);
    await untilPhase(w, 'done');
    await finishScenario(scenario, 'to');
  });
}

test('a controller restarts with rollouts disabled: no rollout advances until it has them enabled', async () => {
  const scenario = await startScenario();
  const { w: cluster, models, checker, to } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'judging');
  const disabledNode = (cluster.leader + 1) % 3;
  const rollout = cluster.nodes[disabledNode]!.extensions.get('rollout')!;
  cluster.nodes[disabledNode]!.extensions.clear();
  cluster.crash(disabledNode);
  await cluster.advance(3);
  cluster.restart(disabledNode);
  await cluster.advance(10);
  const stoppedState = [phaseOf(cluster), models.serving(to)];
  await cluster.advance(30);
  assert.deepEqual([phaseOf(cluster), models.serving(to)], stoppedState);
  const status = (await ask(cluster, cluster.leader, (api) => api.status())).body as {
    rollouts: { waitsFor: string }[];
  };
  assert.match(status.rollouts[0]!.waitsFor, /every controller/);
  cluster.nodes[disabledNode]!.extensions.set('rollout', rollout);
  cluster.crash(disabledNode);
  cluster.restart(disabledNode);
  await untilPhase(cluster, 'done');
  assert.equal(checker.lowestServing, REPLICAS);
  await finishScenario(scenario, 'to');
});

test('a leader with rollouts disabled leaves the records unchanged, and its successor continues', async () => {
  const scenario = await startScenario();
  const { w: cluster, models, checker, to } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'judging');
  const rollout = cluster.nodes[2]!.extensions.get('rollout')!;
  cluster.nodes[2]!.extensions.clear();
  cluster.crash(2);
  await cluster.advance(3);
  cluster.restart(2);
  await transferLeadership(cluster, 2);
  const before = JSON.stringify(rolloutStatus(cluster, 'r1'));
  await cluster.advance(20);
  assert.equal(JSON.stringify(rolloutStatus(cluster, 'r1')), before);
  // It knows no ceilings, so it starts as many replicas of both as it can, which exceeds the surge.
  // The number of serving replicas must still not fall below the required one.
  assert.equal(models.serving(to), REPLICAS);
  checker.violations.clear();
  cluster.nodes[2]!.extensions.set('rollout', rollout);
  cluster.crash(2);
  cluster.restart(2);
  await untilPhase(cluster, 'done');
  assert.ok(checker.lowestServing >= REPLICAS);
  checker.violations.clear();
  await finishScenario(scenario, 'to');
});
