import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Submits a small job each second, cancels some of them, and queries all of them everywhere. */
async function submitAndQueryJobs(cluster: SimulatedCluster, seconds: number): Promise<void> {
  cluster.onDone = (task) => void cluster.queryEverywhere(task.job);
  for (let i = 0; i < seconds && !cluster.settling; i++) {
    const template = { pieces: 1 + (i % 3), runMs: 3000, fetchMs: 500 };
    void cluster.accepting({ ...template, crew: i % 2 ? 'vision' : 'speech' }).then(async (ref) => {
      void cluster.queryEverywhere(ref);
      if (cluster.random.next() < 0.6) return;
      await cluster.clock.sleep(cluster.random.between(0, 2500));
      await cluster.cancelling(ref);
      void cluster.queryEverywhere(ref);
    });
    await cluster.pass(1);
  }
}

const SCENARIOS: FaultScenario[] = [
  {
    name: 'transactions without a response are applied late, after newer ones',
    play: async (cluster, seed) => {
      cluster.faults.share.lateWrites = 0.15 + 0.1 * seed;
      await cluster.accept({ shape: 'service', pieces: 2, runMs: 0 });
      await submitAndQueryJobs(cluster, 18);
      await cluster.pass(8);
    },
  },
  {
    name: 'transactions are applied late while leaders change',
    play: async (cluster, seed) => {
      cluster.faults.share.lateWrites = 0.3;
      await cluster.accept({ shape: 'gang', pieces: 2, gpus: 4, runMs: 15_000 });
      void submitAndQueryJobs(cluster, 20);
      for (let i = 0; i < 3; i++) {
        await cluster.pass(2 + seed);
        await cluster.faults.endLeader(2);
      }
      await cluster.pass(12);
    },
  },
  {
    name: 'responses to transactions are lost, while other controllers read what they wrote',
    play: async (cluster, seed) => {
      cluster.faults.share.lostAnswers = 0.2 + 0.15 * seed;
      await submitAndQueryJobs(cluster, 18);
      if (seed > 1) await cluster.faults.endLeader(2);
      await cluster.pass(8);
    },
  },
  {
    name: 'the store is slow, refuses only the leader and then all controllers, while users cancel',
    seeds: [1, 2],
    play: async (cluster, seed) => {
      const services = [1, 2, 3].map(() => ({ shape: 'service' as const, pieces: 2, runMs: 0 }));
      const jobs: string[] = [];
      for (const template of services) jobs.push(await cluster.accept(template));
      await cluster.until(() => jobs.every((job) => cluster.running(job) === 2), 20, 'all run');
      cluster.store.slowMs = 300 * seed;
      void submitAndQueryJobs(cluster, 10);
      await cluster.pass(4);
      void cluster.cancelling(jobs[0]!);
      cluster.faults.refuse(cluster.leader);
      await cluster.pass(seed);
      cluster.store.slowMs = 0;
      cluster.faults.outage();
      void cluster.cancelling(jobs[1]!);
      await cluster.pass(42);
    },
  },
  {
    name: 'the store is so slow that no response arrives in time, while users cancel and query',
    play: async (cluster, seed) => {
      const job = await cluster.accept({ shape: 'service', pieces: 4, runMs: 0 });
      await cluster.until(() => cluster.running(job) === 4, 20, 'runs');
      cluster.store.slowMs = 500 + 300 * seed;
      void submitAndQueryJobs(cluster, 8);
      void cluster.cancelling(job);
      await cluster.pass(12);
    },
  },
  {
    name: 'a delayed cancellation is applied while the store serves no leader',
    play: async (cluster, seed) => {
      const jobs: string[] = [];
      for (let i = 0; i < 3; i++) jobs.push(await cluster.accept({ pieces: 3, runMs: 60_000 }));
      await cluster.until(() => jobs.every((job) => cluster.running(job) === 3), 20, 'all run');
      cluster.faults.share.lateWrites = 1;
      for (const job of jobs) void cluster.cancelling(job, (cluster.leader + 1) % 3);
      await cluster.pass(0.5);
      cluster.faults.share.lateWrites = 0;
      cluster.faults.refuse(cluster.leader);
      await cluster.pass(seed);
      cluster.faults.outage();
      await cluster.pass(6);
      cluster.faults.outageOver();
      await cluster.pass(1);
      cluster.faults.outage();
      await cluster.pass(12);
    },
  },
];

runScenarios(SCENARIOS);
