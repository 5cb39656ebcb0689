import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import { preventMemberRecord, ANNOUNCED_LIMITS } from './fakes/upgrade.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const TEMPLATE = { runMs: 120_000, fetchMs: 500, crew: 'speech' };

interface JobTree {
  root: string;
  /** All jobs that depend on the root, also indirectly: too many for a single transaction. */
  dependents: string[];
  /** An independent pipeline, which is not cancelled. */
  others: string[];
}

async function submitTree(cluster: SimulatedCluster): Promise<JobTree> {
  const root = await cluster.accept({ ...TEMPLATE, pieces: 6 });
  const dependents: string[] = [];
  for (let i = 0; i < 18; i++) {
    const waitsOn = i < 6 ? [root] : [dependents[i - 6]!, dependents[i - 5]!];
    dependents.push(
      await cluster.accept({ ...TEMPLATE, shape: i % 5 === 4 ? 'gang' : 'array', waitsOn }),
    );
  }
  const first = await cluster.accept({ runMs: 30_000, pieces: 2 });
  const others = [first, await cluster.accept({ runMs: 3000, waitsOn: [first] })];
  await cluster.until(
    () => cluster.running(root) === 6 && cluster.running(first) === 2,
    40,
    'both run',
  );
  return { root, dependents, others };
}

/** Asserts that the whole tree is cancelled, that no dependent job has started, and the rest is done. */
async function assertCascade(
  cluster: SimulatedCluster,
  { root, dependents, others }: JobTree,
): Promise<void> {
  await cluster.waitUntilSettled();
  for (const ref of [root, ...dependents]) {
    for (const node of [0, 1, 2]) assert.equal(await cluster.phase(ref, node), 'withdrawn', ref);
  }
  for (const ref of dependents)
    assert.ok(!cluster.starts.some((name) => name.startsWith(`${ref}/`)));
  for (const ref of others) assert.equal(cluster.storedPhase(ref), 'done');
  await cluster.until(
    () => dependents.every((ref) => cluster.storedPhase(ref) === 'cancelled'),
    60,
    'the records of all dependents say cancelled',
  );
}

/** Cancels the root through a follower that crashes right after the response; returns the follower. */
async function cancelAndCrash(
  cluster: SimulatedCluster,
  { root }: JobTree,
  leader: number,
): Promise<number> {
  const node = (leader + 1) % 3;
  assert.equal(await cluster.cancel(root, node), 'withdrawn');
  cluster.crash(node);
  return node;
}

const SCENARIOS: FaultScenario[] = [
  {
    name: 'a cascading cancellation: the store refuses the leader, then all controllers, and its limits drop',
    state: { next: ANNOUNCED_LIMITS },
    run: async (cluster, seed) => {
      const jobTree = await submitTree(cluster);
      const { leader } = cluster;
      cluster.faults.refuse(leader);
      await cluster.advance(0.5 * seed);
      const crashed = await cancelAndCrash(cluster, jobTree, leader);
      await cluster.advance(0.5);
      cluster.faults.startStoreOutage();
      cluster.restart(crashed);
      cluster.store.limits = ANNOUNCED_LIMITS;
      // Longer than `cancel_s`.
      await cluster.advance(38);
      assert.equal(cluster.tasksOf(jobTree.root).length, 0);
      cluster.faults.endStoreOutage();
      cluster.faults.serve(leader);
      for (const waitsOn of [[jobTree.root], [jobTree.dependents[17]!], [jobTree.dependents[3]!]]) {
        const ref = await cluster.accept({ ...TEMPLATE, waitsOn });
        jobTree.dependents.push(ref);
      }
      await assertCascade(cluster, jobTree);
    },
  },
  {
    name: 'a cascading cancellation of several transactions with crashing leaders, refused peers and lost responses',
    state: { next: ANNOUNCED_LIMITS },
    run: async (cluster, seed) => {
      const jobTree = await submitTree(cluster);
      cluster.store.limits = ANNOUNCED_LIMITS;
      cluster.faults.refusePeers();
      cluster.faults.share.lostAnswers = 0.15;
      cluster.faults.share.lateWrites = 0.1;
      const crashed = await cancelAndCrash(cluster, jobTree, cluster.leader);
      for (let i = 0; i < 3; i++) {
        await cluster.advance(0.7 * seed);
        await cluster.faults.restartLeader(1);
        jobTree.dependents.push(
          await cluster.accept({ ...TEMPLATE, waitsOn: [jobTree.dependents[5 * i]!] }),
        );
      }
      if (!cluster.nodes[crashed]!.controller) cluster.restart(crashed);
      await assertCascade(cluster, jobTree);
    },
  },
  {
    name: 'a cascading cancellation during an upgrade, with limits that drop before the upgrade is complete',
    state: { next: ANNOUNCED_LIMITS },
    prepare: (cluster) => preventMemberRecord(cluster, 1),
    run: async (cluster, seed) => {
      const jobTree = await submitTree(cluster);
      cluster.store.limits = ANNOUNCED_LIMITS;
      await cluster.advance(seed);
      await cluster.cancel(jobTree.root);
      for (let i = 0; i < 2; i++) {
        await cluster.faults.restartLeader(2);
        await cluster.advance(6);
      }
      jobTree.dependents.push(
        await cluster.accept({
          ...TEMPLATE,
          waitsOn: [jobTree.dependents[7]!, jobTree.others[1]!],
        }),
      );
      await assertCascade(cluster, jobTree);
    },
  },
];

runScenarios(SCENARIOS);

test('updating the records of 600 jobs cancelled with their prerequisite delays no other job', async () => {
  const simulatedCluster = new SimulatedCluster(machines('aabb'), 2, 0, ANNOUNCED_LIMITS);
  await simulatedCluster.start();
  const root = await simulatedCluster.submit({ ...TEMPLATE, pieces: 2 });
  const { at, spec } = simulatedCluster.store.get(`jobs/${root}`) as { at: number; spec: object };
  const dependents = Array.from({ length: 600 }, (_, i) => `req-5${String(i).padStart(5, '0')}`);
  for (const ref of dependents) {
    const record = { w: 'w', phase: 'open', tasks: 2, at, spec, needs: { ids: [root] } };
    simulatedCluster.store.write(`jobs/${ref}`, record);
  }
  simulatedCluster.store.limits = ANNOUNCED_LIMITS;
  await simulatedCluster.advance(3);
  assert.equal(await simulatedCluster.cancel(root), 'withdrawn');
  await simulatedCluster.advance(1);
  const other = await simulatedCluster.submit({ pieces: 12, runMs: 5000, fetchMs: 500 }, 1);
  await simulatedCluster.until(() => simulatedCluster.running(other) === 12, 5, 'another job runs');
  const open = (): number =>
    dependents.filter((ref) => simulatedCluster.storedPhase(ref) === 'open').length;
  assert.ok(open() > 400, 'the other job did not wait for the records');
  await simulatedCluster.until(() => open() === 0, 120, 'all records are updated nevertheless');
  await simulatedCluster.close();
});
