import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ask,
  begin,
  finish,
  MAX_SURGE,
  phaseIs,
  phaseOf,
  REPLICAS,
  start,
} from './fakes/rollout-scenario.js';

test('a good version takes over in steps, and never fewer replicas serve than before', async () => {
  const story = await begin();
  const { w: cluster, models, checker, to } = story;
  await start(story);
  await phaseIs(cluster, 'done');
  assert.equal(models.serving(to), REPLICAS);
  assert.equal(checker.lowest, REPLICAS);
  await finish(story, 'to');
});

test('the leader is killed in the middle of a withdrawal; the next one goes on', async () => {
  const story = await begin({ seed: 1 });
  const { w: cluster, checker } = story;
  await start(story, {}, 1);
  await phaseIs(cluster, 'withdrawing');
  cluster.crash(cluster.leader);
  await phaseIs(cluster, 'done');
  assert.equal(checker.lowest, REPLICAS);
  await finish(story, 'to');
});

test('a version that is slow under load goes back, and never fewer replicas serve than before', async () => {
  const story = await begin({ seed: 2 });
  const { w: cluster, models, checker, from, to } = story;
  models.models.set(to, {
    readyMs: 500,
    latencyMs: (serving) => (serving > 2 ? 250 : 100),
    errorRate: 0,
  });
  await start(story);
  await phaseIs(cluster, 'rolled-back');
  assert.equal(models.serving(from), REPLICAS);
  assert.equal(checker.lowest, REPLICAS);
  const { rollouts } = (await ask(cluster, 0, (api) => api.status())).body as {
    rollouts: { waitsFor: string; reason: string }[];
  };
  assert.match(rollouts[0]!.waitsFor, /stays open without replicas/);
  assert.match(rollouts[0]!.reason, /worse under load/);
  await finish(story, 'from');
});

test('a version that is never ready goes back after the bound, and no old replica is withdrawn', async () => {
  const story = await begin({ seed: 3 });
  const { w: cluster, models, from, to } = story;
  models.models.set(to, { readyMs: Infinity, latencyMs: () => 100, errorRate: 0 });
  const starts = cluster.starts.filter((start) => start.startsWith(from)).length;
  await start(story);
  await phaseIs(cluster, 'surging');
  await phaseIs(cluster, 'rolled-back');
  assert.equal(cluster.starts.filter((start) => start.startsWith(from)).length, starts);
  assert.equal(phaseOf(cluster), 'rolled-back');
  const withdrawn = cluster.logged.filter(({ message }) => message === 'replica withdrawn').length;
  assert.equal(withdrawn, MAX_SURGE, 'no new replica is started again on the way back');
  await finish(story, 'from');
});
