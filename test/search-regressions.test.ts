import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

const LEASE_S = 10;
const CANCEL_S = 35;

/** Submits enough work for each team to fill its limit; returns the jobs once all of them run. */
async function fillLimits(cluster: SimulatedCluster): Promise<string[]> {
  const jobs = [
    await cluster.accept({ pieces: 12, gpus: 2, runMs: 40_000 }),
    await cluster.accept({ pieces: 12, gpus: 2, runMs: 40_000, crew: 'speech' }),
    await cluster.accept({ shape: 'service', pieces: 2, runMs: 0, urgency: 'production' }),
  ];
  await cluster.until(() => jobs.every((job) => cluster.running(job) > 0), 20, 'all teams run');
  return jobs;
}

/** Submits small jobs and cancels about half of them around their completion. */
async function submitSmallJobs(cluster: SimulatedCluster): Promise<void> {
  while (!cluster.settling) {
    void cluster
      .acceptInBackground({ pieces: 2, runMs: 3000, fetchMs: 500, crew: 'speech' })
      .then(async (ref) => {
        if (cluster.random.next() < 0.5) return;
        await cluster.clock.sleep(cluster.random.between(2500, 5000));
        await cluster.cancelInBackground(ref);
        void cluster.queryEverywhere(ref);
      });
    await cluster.clock.sleep(2500);
  }
}

const SCENARIOS: FaultScenario[] = [
  {
    name: 'a leader stalls past its lease every 20 s, while responses are lost and jobs are cancelled',
    run: async (cluster) => {
      await fillLimits(cluster);
      void submitSmallJobs(cluster);
      cluster.faults.share.lostAnswers = 0.2;
      cluster.faults.share.reportsForNext = 0.3;
      for (let i = 0; i < 5; i++) {
        if (cluster.leader >= 0)
          cluster.freeze(cluster.leader, cluster.random.between(3500, LEASE_S * 1400));
        await cluster.advance(20);
      }
    },
  },
  {
    name: 'all controllers crash in a store outage longer than a lease, and all workers return at once',
    machines: machines('aabbaa'),
    run: async (cluster, seed) => {
      const jobs = await fillLimits(cluster);
      void submitSmallJobs(cluster);
      cluster.faults.share.lateReports = 0.3;
      for (const outageS of [LEASE_S * 2, CANCEL_S + 5]) {
        void cluster.cancelInBackground(jobs.shift()!);
        await cluster.advance(0.25 * seed);
        cluster.faults.startStoreOutage();
        await cluster.faults.restartAll(4);
        await cluster.advance(outageS - LEASE_S);
        await cluster.faults.restartAll(1);
        await cluster.advance(LEASE_S - 5);
        cluster.faults.endStoreOutage();
        cluster.faults.share.lateWrites = 0.2;
        await cluster.advance(25);
        cluster.faults.share.lateWrites = 0;
      }
    },
  },
  {
    name: 'machines that could not send can send again, but receive nothing, as the leader crashes',
    machines: machines('aabbab'),
    run: async (cluster, seed) => {
      const jobs = await fillLimits(cluster);
      cluster.faults.share.reportsForNext = 0.5;
      cluster.faults.share.lateReports = 0.3;
      const victims = [...cluster.workers.values()].slice(0, 3);
      for (let i = 0; i < 3; i++) {
        cluster.faults.loseHeartbeatsOf(victims);
        await cluster.advance(LEASE_S - 3 + seed * 2);
        for (const worker of victims) worker.mute = false;
        cluster.faults.loseResponsesTo(victims);
        if (jobs.length > 1) void cluster.cancelInBackground(jobs.shift()!);
        await cluster.faults.restartLeader(seed * 0.5);
        await cluster.advance(LEASE_S + 2);
        for (const worker of victims) worker.deaf = false;
        await cluster.advance(6);
      }
    },
  },
  {
    name: 'a large job that fails everywhere is submitted while a leader is unresponsive and the next crashes',
    run: async (cluster, seed) => {
      const service = await cluster.accept({
        shape: 'service',
        pieces: 3,
        runMs: 0,
        crew: 'speech',
      });
      await cluster.until(() => cluster.running(service) === 3, 20, 'the service runs');
      cluster.freeze(cluster.leader, 60_000);
      const failingJob = await cluster.accept({ pieces: 2500, gpus: 0, failsAfterMs: 800 });
      await cluster.advance(5 + seed);
      await cluster.faults.restartLeader(30);
      const healthyJob = await cluster.accept({ pieces: 8, runMs: 5000 });
      await cluster.until(
        () => cluster.storedPhase(healthyJob) === 'done',
        60,
        'other work of the same team is done',
      );
      const starts = cluster.starts.filter((name) => name.startsWith(`${failingJob}/`)).length;
      // Each leader tries the whole job at most twice, as far as the capacity allows.
      assert.ok(starts < 1000, `${starts} starts of the job that fails`);
      await cluster.cancel(failingJob);
      assert.equal(cluster.running(service), 3);
      await cluster.advance(60);
    },
  },
  {
    // The fake workers had kept their tasks until the request in flight timed out.
    name: 'no task is on a machine once its lease has expired, even while a response is outstanding',
    seeds: [1],
    run: async (cluster) => {
      await fillLimits(cluster);
      const leaseExpiry = cluster.clock.now();
      for (const [node] of cluster.nodes.entries()) cluster.freeze(node, LEASE_S * 2000);
      await cluster.until(
        () => cluster.clock.now() > leaseExpiry + LEASE_S * 1000,
        20,
        'all leases have expired',
      );
      assert.deepEqual(
        cluster.machines.observe().flatMap((m) => m.tasks),
        [],
      );
      await cluster.advance(LEASE_S);
    },
  },
];

runScenarios(SCENARIOS);
