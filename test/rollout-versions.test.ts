import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RELEASES } from './fakes/released.js';
import { rolloutStatus } from './fakes/rollout-checker.js';
import {
  ask,
  begin,
  finish,
  phaseIs,
  phaseOf,
  REPLICAS,
  REQUEST,
  start,
  submitNext,
} from './fakes/rollout-scenario.js';
import { change, install, passOffice } from './fakes/versions.js';

// Controllers of earlier versions are the real ones, from the bundles in test/fixtures/controllers.

for (const release of RELEASES) {
  test(`nothing begins before the last ${release} is upgraded, whoever leads`, async () => {
    const story = await begin({
      before: (cluster) => install(cluster, ['current', 'current', release]),
    });
    const { w, models, from, to } = story;
    await ask(w, 0, (api) => api.start({ ...REQUEST, from, to }));
    for (const leader of [2, 0, 1]) {
      await passOffice(w, leader);
      await w.pass(5);
      assert.equal(rolloutStatus(w, 'r1'), undefined);
    }
    assert.equal(models.serving(from), REPLICAS);
    await change(w, 2, 'current');
    await submitNext(story);
    await phaseIs(w, 'done');
    await finish(story, 'to');
  });
}

test('a controller that comes back with rollouts switched off: they stand still until it has them', async () => {
  const story = await begin();
  const { w: cluster, models, checker, to } = story;
  await start(story);
  await phaseIs(cluster, 'judging');
  const off = (cluster.leader + 1) % 3;
  const rollout = cluster.nodes[off]!.extensions.get('rollout')!;
  cluster.nodes[off]!.extensions.clear();
  cluster.crash(off);
  await cluster.pass(3);
  cluster.restart(off);
  await cluster.pass(10);
  const stopped = [phaseOf(cluster), models.serving(to)];
  await cluster.pass(30);
  assert.deepEqual([phaseOf(cluster), models.serving(to)], stopped);
  const shown = (await ask(cluster, cluster.leader, (api) => api.status())).body as {
    rollouts: { waitsFor: string }[];
  };
  assert.match(shown.rollouts[0]!.waitsFor, /every controller/);
  cluster.nodes[off]!.extensions.set('rollout', rollout);
  cluster.crash(off);
  cluster.restart(off);
  await phaseIs(cluster, 'done');
  assert.equal(checker.lowest, REPLICAS);
  await finish(story, 'to');
});

test('a leader with rollouts switched off leaves the records as they are; the next goes on', async () => {
  const story = await begin();
  const { w: cluster, models, checker, to } = story;
  await start(story);
  await phaseIs(cluster, 'judging');
  const rollout = cluster.nodes[2]!.extensions.get('rollout')!;
  cluster.nodes[2]!.extensions.clear();
  cluster.crash(2);
  await cluster.pass(3);
  cluster.restart(2);
  await passOffice(cluster, 2);
  const before = JSON.stringify(rolloutStatus(cluster, 'r1'));
  await cluster.pass(20);
  assert.equal(JSON.stringify(rolloutStatus(cluster, 'r1')), before);
  // It knows no ceilings, and starts what it can of both: more than the surge, never less than the level.
  assert.equal(models.serving(to), REPLICAS);
  checker.broken.clear();
  cluster.nodes[2]!.extensions.set('rollout', rollout);
  cluster.crash(2);
  cluster.restart(2);
  await phaseIs(cluster, 'done');
  assert.ok(checker.lowest >= REPLICAS);
  checker.broken.clear();
  await finish(story, 'to');
});
