import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import { makeOld, NEXT } from './fakes/upgrade.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const WISH = { runMs: 120_000, fetchMs: 500, crew: 'speech' };

interface Tree {
  root: string;
  /** All that need the root, directly or through others: more than one transaction may change. */
  dependents: string[];
  /** A pipeline of its own, which nobody cancels. */
  others: string[];
}

async function tree(cluster: SimulatedCluster): Promise<Tree> {
  const root = await cluster.accept({ ...WISH, pieces: 6 });
  const dependents: string[] = [];
  for (let i = 0; i < 18; i++) {
    const waitsOn = i < 6 ? [root] : [dependents[i - 6]!, dependents[i - 5]!];
    dependents.push(
      await cluster.accept({ ...WISH, shape: i % 5 === 4 ? 'gang' : 'array', waitsOn }),
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

/** What every scenario ends with: nothing of the tree has run or runs, and nothing else is cancelled. */
async function check(cluster: SimulatedCluster, { root, dependents, others }: Tree): Promise<void> {
  await cluster.settle();
  for (const ref of [root, ...dependents]) {
    for (const node of [0, 1, 2]) assert.equal(await cluster.phase(ref, node), 'withdrawn', ref);
  }
  for (const ref of dependents)
    assert.ok(!cluster.starts.some((name) => name.startsWith(`${ref}/`)));
  for (const ref of others) assert.equal(cluster.stored(ref), 'done');
  await cluster.until(
    () => dependents.every((ref) => cluster.stored(ref) === 'cancelled'),
    60,
    'records',
  );
}

/** Cancels the root through a node that does not lead and ends at once. */
async function cancelAndEnd(
  cluster: SimulatedCluster,
  { root }: Tree,
  leader: number,
): Promise<number> {
  const node = (leader + 1) % 3;
  assert.equal(await cluster.cancel(root, node), 'withdrawn');
  cluster.crash(node);
  return node;
}

const MEETINGS: FaultScenario[] = [
  {
    name: 'a cascade through the gap: the store refuses the leader, then everybody, and its limits fall',
    state: { next: NEXT },
    play: async (cluster, seed) => {
      const all = await tree(cluster);
      const { leader } = cluster;
      cluster.faults.refuse(leader);
      await cluster.pass(0.5 * seed);
      const ended = await cancelAndEnd(cluster, all, leader);
      await cluster.pass(0.5);
      cluster.faults.outage();
      cluster.restart(ended);
      cluster.store.limits = NEXT;
      // Longer than a cancellation may take.
      await cluster.pass(38);
      assert.equal(cluster.on(all.root).length, 0);
      cluster.faults.outageOver();
      cluster.faults.serve(leader);
      for (const waitsOn of [[all.root], [all.dependents[17]!], [all.dependents[3]!]]) {
        const ref = await cluster.accept({ ...WISH, waitsOn });
        all.dependents.push(ref);
      }
      await check(cluster, all);
    },
  },
  {
    name: 'a cascade of more than a transaction as leaders end, refused peers and lost answers about',
    state: { next: NEXT },
    play: async (cluster, seed) => {
      const all = await tree(cluster);
      cluster.store.limits = NEXT;
      cluster.faults.refusePeers();
      cluster.faults.share.lostAnswers = 0.15;
      cluster.faults.share.lateWrites = 0.1;
      const ended = await cancelAndEnd(cluster, all, cluster.leader);
      for (let i = 0; i < 3; i++) {
        await cluster.pass(0.7 * seed);
        await cluster.faults.endLeader(1);
        all.dependents.push(await cluster.accept({ ...WISH, waitsOn: [all.dependents[5 * i]!] }));
      }
      if (!cluster.nodes[ended]!.controller) cluster.restart(ended);
      await check(cluster, all);
    },
  },
  {
    name: 'a cascade while the upgrade is not complete and the limits fall before it is',
    state: { next: NEXT },
    before: (cluster) => makeOld(cluster, 1),
    play: async (cluster, seed) => {
      const all = await tree(cluster);
      cluster.store.limits = NEXT;
      await cluster.pass(seed);
      await cluster.cancel(all.root);
      for (let i = 0; i < 2; i++) {
        await cluster.faults.endLeader(2);
        await cluster.pass(6);
      }
      all.dependents.push(
        await cluster.accept({ ...WISH, waitsOn: [all.dependents[7]!, all.others[1]!] }),
      );
      await check(cluster, all);
    },
  },
];

runScenarios(MEETINGS);

test('the records of six hundred jobs cancelled with another hold up nobody else', async () => {
  const simulatedCluster = new SimulatedCluster(machines('aabb'), 2, 0, NEXT);
  await simulatedCluster.start();
  const root = await simulatedCluster.submit({ ...WISH, pieces: 2 });
  const { at, spec } = simulatedCluster.store.get(`jobs/${root}`) as { at: number; spec: object };
  const dependents = Array.from({ length: 600 }, (_, i) => `req-5${String(i).padStart(5, '0')}`);
  for (const ref of dependents) {
    const record = { w: 'w', phase: 'open', tasks: 2, at, spec, needs: { ids: [root] } };
    simulatedCluster.store.write(`jobs/${ref}`, record);
  }
  simulatedCluster.store.limits = NEXT;
  await simulatedCluster.pass(3);
  assert.equal(await simulatedCluster.cancel(root), 'withdrawn');
  await simulatedCluster.pass(1);
  const other = await simulatedCluster.submit({ pieces: 12, runMs: 5000, fetchMs: 500 }, 1);
  await simulatedCluster.until(() => simulatedCluster.running(other) === 12, 5, 'another job runs');
  const open = (): number =>
    dependents.filter((ref) => simulatedCluster.stored(ref) === 'open').length;
  assert.ok(open() > 400, 'its records were not waited for');
  await simulatedCluster.until(() => open() === 0, 120, 'and follow all the same');
  await simulatedCluster.close();
});
