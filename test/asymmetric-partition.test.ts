import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Replicas and tasks that outlast the scenario, running. */
async function work(cluster: SimulatedCluster): Promise<string> {
  cluster.balanced = true;
  const wish = { pieces: 3, runMs: 0, urgency: 'production', crew: 'speech' };
  const service = await cluster.accept({ ...wish, shape: 'service' });
  await cluster.accept({ pieces: 4, runMs: 60_000 });
  await cluster.until(() => cluster.running(service) === 3, 20, 'replicas run');
  return service;
}

const MEETINGS: FaultScenario[] = [
  {
    // Its renewals were carried out and kept the key from the others, while it led no more: all
    // workers were turned away until their leases ran out.
    name: 'the leader reaches the store and hears no answer, and jobs are cancelled: another leads',
    play: async (cluster, seed) => {
      const service = await work(cluster);
      const extra = await cluster.accept({ pieces: 2, runMs: 90_000, crew: 'speech' });
      const old = cluster.leader;
      cluster.faults.storeFaults.add(({ node }) => (node === old ? 'lose answer' : 'serve'));
      await cluster.pass(seed);
      void cluster.cancelling(extra, (old + 1) % 3);
      await cluster.anotherLeads(old, 9);
      await cluster.pass(30);
      const starts = cluster.starts.filter((name) => name.startsWith(`${service}/`));
      assert.equal(starts.length, 3, 'no lease ran out');
    },
  },
  {
    name: 'reports reach the leader and its answers get lost: another leads, and no lease runs out',
    machines: machines('aabbaa'),
    play: async (cluster, seed) => {
      const service = await work(cluster);
      await cluster.pass(0.25 * seed);
      const old = cluster.leader;
      cluster.nodes[old]!.heldMs = 6000;
      await cluster.pass(40);
      assert.notEqual(cluster.leader, old);
      const starts = cluster.starts.filter((name) => name.startsWith(`${service}/`));
      assert.equal(starts.length, 3, 'no lease ran out');
    },
  },
  {
    name: 'a job of 25,000 tasks that fail everywhere comes while the leader is silent',
    machines: machines('aabbaa'),
    play: async (cluster, seed) => {
      const service = await work(cluster);
      const old = cluster.leader;
      cluster.freeze(old, 60_000);
      await cluster.pass(0.5 * seed);
      const broken = await cluster.accept({
        pieces: 25_000,
        gpus: 1,
        failsAfterMs: 700,
        fetchMs: 500,
      });
      await cluster.anotherLeads(old, 9);
      const sound = await cluster.accept({ pieces: 6, runMs: 3000, fetchMs: 500 });
      await cluster.until(
        () => cluster.stored(sound) === 'done',
        30,
        'the rest of the team goes on',
      );
      await cluster.pass(30);
      const tries = cluster.starts.filter((name) => name.startsWith(`${broken}/`)).length;
      assert.ok(tries <= 120, `${tries} starts`);
      assert.equal(cluster.running(service), 3);
      await cluster.cancel(broken);
    },
  },
];

runScenarios(MEETINGS);
