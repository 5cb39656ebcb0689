import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  startScenario,
  finishScenario,
  untilPhase,
  REPLICAS,
  startRollout,
  writesPhase,
} from './fakes/rollout-scenario.js';
import type { RequestOutcome } from './fakes/store.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/**
 * Combines every transition with every failure of the leader that writes it: 8 replicas on 4 machines, three
 * controllers. The rollout must end as it would without the failure, and capacity must be kept.
 */

type Failure = (cluster: SimulatedCluster, leader: number) => RequestOutcome;

const OUTAGE_MS = 8000;

const FAILURES: Record<string, Failure> = {
  'the leader is killed before the store receives it': (cluster, leader) => {
    cluster.crash(leader);
    void cluster.clock.sleep(OUTAGE_MS).then(() => cluster.restart(leader));
    return 'lose request';
  },
  'the leader is killed after the store receives it': (cluster, leader) => {
    void cluster.clock.sleep(1).then(() => cluster.crash(leader));
    void cluster.clock.sleep(OUTAGE_MS).then(() => cluster.restart(leader));
    return 'lose answer';
  },
  'the leader is suspended past its lease and resumes': (cluster, leader) => {
    cluster.freeze(leader, OUTAGE_MS);
    return 'serve';
  },
  'the store refuses requests of the leader only': (cluster, leader) => {
    const until = cluster.clock.now() + OUTAGE_MS;
    cluster.nodes[leader]!.storeOutcome = () => (cluster.clock.now() < until ? 'refuse' : 'serve');
    return 'refuse';
  },
  'the response is lost': () => 'lose answer',
  'it is applied late, after newer writes': () => ({ applyAfterMs: 6000 }),
};

/** The phases of a successful rollout, and the additional ones of a rollback in the second step. */
const FORWARD_PHASES = ['preparing', 'surging', 'judging', 'withdrawing', 'done'];
const ROLLBACK_PHASES = ['rolling-back', 'rolled-back'];

/**
 * Injects a failure into the first write of a phase. Also checks that no write is applied twice, even if an
 * earlier copy of it arrives late.
 *
 * @returns a function that tells whether the failure was injected
 */
function failFirstWriteOf(cluster: SimulatedCluster, phase: string, fail: Failure): () => boolean {
  let failed = false;
  const writeIds = new Set<string>();
  const before = cluster.store.onWrite;
  cluster.store.onWrite = (key) => {
    before(key);
    if (key !== 'rollouts/status/r1') return;
    const { w: writeId } = cluster.store.get(key) as { w: string };
    assert.ok(!writeIds.has(writeId), `${writeId} is applied once`);
    writeIds.add(writeId);
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
  for (const phase of FORWARD_PHASES) {
    test(`${phase} is written and ${name}: the rollout completes`, async () => {
      const scenario = await startScenario({ seed: seed++ });
      const { w: cluster, models, to } = scenario;
      const failed = failFirstWriteOf(cluster, phase, fail);
      await startRollout(scenario);
      await untilPhase(cluster, 'done', 240);
      assert.ok(failed(), 'the failure was injected');
      assert.equal(models.serving(to), REPLICAS);
      // Wait until the last fault has ended, so that every controller responds.
      await cluster.advance(OUTAGE_MS / 1000);
      await finishScenario(scenario, 'to');
    });
  }
  for (const phase of ROLLBACK_PHASES) {
    test(`${phase} is written and ${name}: the rollback completes`, async () => {
      const scenario = await startScenario({ seed: seed++ });
      const { w: cluster, models, from, to } = scenario;
      const latencyMs = (serving: number): number => (serving > 2 ? 300 : 100);
      models.models.set(to, { readyMs: 500, latencyMs, errorRate: 0 });
      const failed = failFirstWriteOf(cluster, phase, fail);
      await startRollout(scenario);
      await untilPhase(cluster, 'rolled-back', 240);
      assert.ok(failed(), 'the failure was injected');
      assert.equal(models.serving(from), REPLICAS);
      await cluster.advance(OUTAGE_MS / 1000);
      await finishScenario(scenario, 'from');
    });
  }
}
