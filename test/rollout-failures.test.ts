import assert from 'node:assert/strict';
import { test } from 'node:test';
import { begin, finish, phaseIs, REPLICAS, start, writesPhase } from './fakes/rollout-scenario.js';
import type { Fate } from './fakes/store.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/**
 * Every transition against every failure of the leader that writes it: 8 replicas on 4 machines, three
 * controllers. However it fails, the rollout ends as it would have, and the level is held.
 */

type Failure = (cluster: SimulatedCluster, leader: number) => Fate;

const AWAY_MS = 8000;

const FAILURES: Record<string, Failure> = {
  'the leader is killed before the store has it': (cluster, leader) => {
    cluster.crash(leader);
    void cluster.clock.sleep(AWAY_MS).then(() => cluster.restart(leader));
    return 'lose request';
  },
  'the leader is killed after the store has it': (cluster, leader) => {
    void cluster.clock.sleep(1).then(() => cluster.crash(leader));
    void cluster.clock.sleep(AWAY_MS).then(() => cluster.restart(leader));
    return 'lose answer';
  },
  'the leader stands still past its lease and wakes': (cluster, leader) => {
    cluster.freeze(leader, AWAY_MS);
    return 'serve';
  },
  'the store refuses the leader alone': (cluster, leader) => {
    const until = cluster.clock.now() + AWAY_MS;
    cluster.nodes[leader]!.fate = () => (cluster.clock.now() < until ? 'refuse' : 'serve');
    return 'refuse';
  },
  'the answer is lost': () => 'lose answer',
  'it is carried out late, after newer ones': () => ({ applyAfterMs: 6000 }),
};

/** The phases that a rollout which succeeds enters, and those of one that goes back at its second step. */
const FORWARD = ['preparing', 'surging', 'judging', 'withdrawing', 'done'];
const BACK = ['rolling-back', 'rolled-back'];

/**
 * Lets the first write of a phase fail; answers whether it came to that. No write may be carried out twice,
 * also where an earlier copy of it comes late.
 */
function failAt(cluster: SimulatedCluster, phase: string, fail: Failure): () => boolean {
  let failed = false;
  const marks = new Set<string>();
  const before = cluster.store.onWrite;
  cluster.store.onWrite = (key) => {
    before(key);
    if (key !== 'rollouts/status/r1') return;
    const { w: mark } = cluster.store.get(key) as { w: string };
    assert.ok(!marks.has(mark), `${mark} is written once`);
    marks.add(mark);
  };
  cluster.faults.storeFaults.add(({ node, path, body }) => {
    if (failed || path !== '/txn' || !writesPhase(body, phase)) return 'serve';
    failed = true;
    return fail(cluster, node);
  });
  return () => failed;
}

let seed = 0;

for (const [name, fail] of Object.entries(FAILURES)) {
  for (const phase of FORWARD) {
    test(`${phase} is written and ${name}: the new version takes over`, async () => {
      const story = await begin({ seed: seed++ });
      const { w: cluster, models, to } = story;
      const failed = failAt(cluster, phase, fail);
      await start(story);
      await phaseIs(cluster, 'done', 240);
      assert.ok(failed(), 'the failure came about');
      assert.equal(models.serving(to), REPLICAS);
      // Until the last fault is over, so that every controller answers.
      await cluster.pass(AWAY_MS / 1000);
      await finish(story, 'to');
    });
  }
  for (const phase of BACK) {
    test(`${phase} is written and ${name}: the old version is back`, async () => {
      const story = await begin({ seed: seed++ });
      const { w: cluster, models, from, to } = story;
      const latencyMs = (serving: number): number => (serving > 2 ? 300 : 100);
      models.models.set(to, { readyMs: 500, latencyMs, errorRate: 0 });
      const failed = failAt(cluster, phase, fail);
      await start(story);
      await phaseIs(cluster, 'rolled-back', 240);
      assert.ok(failed(), 'the failure came about');
      assert.equal(models.serving(from), REPLICAS);
      await cluster.pass(AWAY_MS / 1000);
      await finish(story, 'from');
    });
  }
}
