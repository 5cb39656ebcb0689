import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Starts a service and an array that outlast the scenario; returns the service. */
async function startWork(cluster: SimulatedCluster): Promise<string> {
  cluster.useLoadBalancer = true;
  const template = { pieces: 3, runMs: 0, urgency: 'production', crew: 'speech' };
  const service = await cluster.accept({ ...template, shape: 'service' });
  await cluster.accept({ pieces: 4, runMs: 60_000 });
  await cluster.until(() => cluster.running(service) === 3, 20, 'replicas run');
  return service;
}

const SCENARIOS: FaultScenario[] = [
  {
    // The renewals of the old leader were applied and kept the leader key from the others although
    // it had stopped leading: all workers were rejected until their leases expired.
    name: 'the leader loses all responses of the store while jobs are cancelled: another leads',
    run: async (cluster, seed) => {
      const service = await startWork(cluster);
      const cancelledJob = await cluster.accept({ pieces: 2, runMs: 90_000, crew: 'speech' });
      const formerLeader = cluster.leader;
      cluster.faults.storeFaults.add(({ node }) =>
        node === formerLeader ? 'lose answer' : 'serve',
      );
      await cluster.advance(seed);
      void cluster.cancelInBackground(cancelledJob, (formerLeader + 1) % 3);
      await cluster.untilAnotherLeads(formerLeader, 9);
      await cluster.advance(30);
      const starts = cluster.starts.filter((name) => name.startsWith(`${service}/`));
      assert.equal(starts.length, 3, 'no lease expired');
    },
  },
  {
    name: 'the leader receives heartbeats but its responses are lost: another leads, and no lease expires',
    machines: machines('aabbaa'),
    run: async (cluster, seed) => {
      const service = await startWork(cluster);
      await cluster.advance(0.25 * seed);
      const formerLeader = cluster.leader;
      cluster.nodes[formerLeader]!.responseDelayMs = 6000;
      await cluster.advance(40);
      assert.notEqual(cluster.leader, formerLeader);
      const starts = cluster.starts.filter((name) => name.startsWith(`${service}/`));
      assert.equal(starts.length, 3, 'no lease expired');
    },
  },
  {
    name: 'a job of 25,000 tasks that fail everywhere is submitted while the leader is unresponsive',
    machines: machines('aabbaa'),
    run: async (cluster, seed) => {
      const service = await startWork(cluster);
      const formerLeader = cluster.leader;
      cluster.freeze(formerLeader, 60_000);
      await cluster.advance(0.5 * seed);
      const failingJob = await cluster.accept({
        pieces: 25_000,
        gpus: 1,
        failsAfterMs: 700,
        fetchMs: 500,
      });
      await cluster.untilAnotherLeads(formerLeader, 9);
      const healthyJob = await cluster.accept({ pieces: 6, runMs: 3000, fetchMs: 500 });
      await cluster.until(
        () => cluster.storedPhase(healthyJob) === 'done',
        30,
        'other work of the team completes',
      );
      await cluster.advance(30);
      const startCount = cluster.starts.filter((name) => name.startsWith(`${failingJob}/`)).length;
      assert.ok(startCount <= 120, `${startCount} starts`);
      assert.equal(cluster.running(service), 3);
      await cluster.cancel(failingJob);
    },
  },
];

runScenarios(SCENARIOS);
