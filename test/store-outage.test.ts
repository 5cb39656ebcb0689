import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Submits a small job each second, cancels some of them, and queries all of them everywhere. */
async function submitAndQueryJobs(cluster: SimulatedCluster, seconds: number): Promise<void> {
  cluster.onDone = (task) => void cluster.queryEverywhere(task.job);
  for (let i = 0; i < seconds && !cluster.settling; i++) {
    const template = { pieces: 1 + (i % 3), runMs: 3000, fetchMs: 500 };
    void cluster
      .acceptInBackground({ ...template, crew: i % 2 ? 'vision' : 'speech' })
      .then(async (ref) => {
        void cluster.queryEverywhere(ref);
        if (cluster.random.next() < 0.6) return;
        await cluster.clock.sleep(cluster.random.between(0, 2500));
        await cluster.cancelInBackground(ref);
        void cluster.queryEverywhere(ref);
      });
    await cluster.advance(1);
  }
}

const SCENARIOS: FaultScenario[] = [
  {
    name: 'transactions without a response are applied late, after newer ones',
    run: async (cluster, seed) => {
      cluster.faults.share.lateWrites = 0.15 + 0.1 * seed;
      await cluster.accept({ shape: 'service', pieces: 2, runMs: 0 });
      await submitAndQueryJobs(cluster, 18);
      await cluster.advance(8);
    },
  },
  {
    name: 'transactions are applied late while leaders change',
    run: async (cluster, seed) => {
      cluster.faults.share.lateWrites = 0.3;
      await cluster.accept({ shape: 'gang', pieces: 2, gpus: 4, runMs: 15_000 });
      void submitAndQueryJobs(cluster, 20);
      for (let i = 0; i < 3; i++) {
        await cluster.advance(2 + seed);
        await cluster.faults.restartLeader(2);
      }
      await cluster.advance(12);
    },
  },
  {
    name: 'responses to transactions are lost, while other controllers read what they wrote',
    run: async (cluster, seed) => {
      cluster.faults.share.lostAnswers = 0.2 + 0.15 * seed;
      await submitAndQueryJobs(cluster, 18);
      if (seed > 1) await cluster.faults.restartLeader(2);
      await cluster.advance(8);
    },
  },
  {
    name: 'the store is slow, refuses only the leader and then all controllers, while users cancel',
    seeds: [1, 2],
    run: async (cluster, seed) => {
      const services = [1, 2, 3].map(() => ({ shape: 'service' as const, pieces: 2, runMs: 0 }));
      const jobs: string[] = [];
      for (const template of services) jobs.push(await cluster.accept(template));
      await cluster.until(() => jobs.every((job) => cluster.running(job) === 2), 20, 'all run');
      cluster.store.slowMs = 300 * seed;
      void submitAndQueryJobs(cluster, 10);
      await cluster.advance(4);
      void cluster.cancelInBackground(jobs[0]!);
      cluster.faults.refuse(cluster.leader);
      await cluster.advance(seed);
      cluster.store.slowMs = 0;
      cluster.faults.startStoreOutage();
      void cluster.cancelInBackground(jobs[1]!);
      await cluster.advance(42);
    },
  },
  {
    name: 'the store is so slow that no response arrives in time, while users cancel and query',
    run: async (cluster, seed) => {
      const job = await cluster.accept({ shape: 'service', pieces: 4, runMs: 0 });
      await cluster.until(() => cluster.running(job) === 4, 20, 'runs');
      cluster.store.slowMs = 500 + 300 * seed;
      void submitAndQueryJobs(cluster, 8);
      void cluster.cancelInBackground(job);
      await cluster.advance(12);
    },
  },
  {
    name: 'a delayed cancellation is applied while the store serves no leader',
    run: async (cluster, seed) => {
      const jobs: string[] = [];
      for (let i = 0; i < 3; i++) jobs.push(await cluster.accept({ pieces: 3, runMs: 60_000 }));
      await cluster.until(() => jobs.every((job) => cluster.running(job) === 3), 20, 'all run');
      cluster.faults.share.lateWrites = 1;
      for (const job of jobs) void cluster.cancelInBackground(job, (cluster.leader + 1) % 3);
      await cluster.advance(0.5);
      cluster.faults.share.lateWrites = 0;
      cluster.faults.refuse(cluster.leader);
      await cluster.advance(seed);
      cluster.faults.startStoreOutage();
      await cluster.advance(6);
      cluster.faults.endStoreOutage();
      await cluster.advance(1);
      cluster.faults.startStoreOutage();
      await cluster.advance(12);
    },
  },
];

runScenarios(SCENARIOS);
