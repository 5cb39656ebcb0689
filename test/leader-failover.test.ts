import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Submits a long array, service and gang and waits until each of them runs. */
async function startWork(cluster: SimulatedCluster, runMs = 40_000): Promise<string[]> {
  const jobs = [
    await cluster.accept({ pieces: 6, runMs }),
    await cluster.accept({ shape: 'service', pieces: 3, runMs: 0, urgency: 'production' }),
    await cluster.accept({
      shape: 'gang',
      pieces: 2,
      gpus: 4,
      runMs,
      crew: 'speech',
      samePlace: true,
    }),
  ];
  await cluster.until(() => jobs.every((job) => cluster.running(job) > 0), 20, 'all jobs run');
  return jobs;
}

/** Submits small jobs in the background and cancels about half of them until the faults end. */
async function submitSmallJobs(cluster: SimulatedCluster, seconds: number): Promise<void> {
  for (
    const until = cluster.clock.now() + seconds * 1000;
    cluster.clock.now() < until && !cluster.settling;
  ) {
    void cluster
      .acceptInBackground({ pieces: 2, runMs: 3000, fetchMs: 500, crew: 'speech' })
      .then(async (ref) => {
        if (cluster.random.next() < 0.5) return;
        await cluster.clock.sleep(cluster.random.between(0, 3000));
        await cluster.cancelInBackground(ref);
        void cluster.queryEverywhere(ref);
      });
    await cluster.clock.sleep(1000);
  }
}

const SCENARIOS: FaultScenario[] = [
  {
    name: 'a command of a crashed leader arrives after the next leader has taken over',
    run: async (cluster, seed) => {
      const jobs = await startWork(cluster);
      cluster.faults.share.lateCommands = 1;
      const stopped = await cluster.accept({ pieces: 8, runMs: 60_000, urgency: 'best_effort' });
      await cluster.until(() => cluster.running(stopped) > 0, 10, 'runs');
      void cluster.cancelInBackground(stopped);
      await cluster.advance(0.25 * seed);
      const formerLeader = cluster.leader;
      cluster.crash(formerLeader);
      // Production work preempts running work by direct commands of the next leader, also delayed.
      await cluster.accept({ pieces: 20, runMs: 5000, urgency: 'production', crew: 'speech' });
      await cluster.advance(2 + seed);
      cluster.restart(formerLeader);
      await cluster.advance(20);
      assert.ok(cluster.tasksOf(stopped).length === 0);
      assert.equal(jobs.length, 3);
    },
  },
  {
    name: 'a deposed leader goes on sending commands until it learns that it is deposed',
    run: async (cluster, seed) => {
      await startWork(cluster);
      void submitSmallJobs(cluster, 20);
      const formerLeader = cluster.leader;
      cluster.faults.share.lateCommands = 0.5;
      cluster.freeze(formerLeader, 2500 + seed * 1500);
      await cluster.advance(12);
      cluster.freeze(cluster.leader, 4000);
      await cluster.advance(15);
    },
  },
  {
    name: 'leadership changes repeatedly, all controllers crash, and one restarts within a second',
    run: async (cluster, seed) => {
      await startWork(cluster);
      void submitSmallJobs(cluster, 25);
      for (let i = 0; i < 3; i++) {
        await cluster.faults.restartLeader(0.5);
        await cluster.advance(1 + cluster.random.next() * 4);
      }
      for (const [i] of cluster.nodes.entries()) cluster.crash(i);
      await cluster.advance(0.75);
      cluster.restart(seed % 3);
      await cluster.advance(6);
      cluster.restartAll();
      await cluster.advance(10);
    },
  },
  {
    name: 'all controllers are down for longer than a lease while jobs are cancelled',
    run: async (cluster, seed) => {
      const jobs = await startWork(cluster);
      for (const job of jobs.slice(0, 2)) void cluster.cancelInBackground(job);
      await cluster.advance(0.25 * seed);
      await cluster.faults.restartAll(14);
      await cluster.advance(15);
    },
  },
  {
    name: 'the leader changes ten times in two minutes',
    seeds: [1, 2],
    run: async (cluster) => {
      await startWork(cluster, 60_000);
      void submitSmallJobs(cluster, 110);
      for (let i = 0; i < 10; i++) {
        await cluster.faults.restartLeader(1 + cluster.random.next() * 4);
        await cluster.advance(4 + cluster.random.next() * 5);
      }
    },
  },
  {
    name: 'the leader changes repeatedly during a store outage',
    run: async (cluster, seed) => {
      const jobs = await startWork(cluster);
      void cluster.cancelInBackground(jobs[0]!);
      await cluster.advance(0.25 * seed);
      cluster.faults.startStoreOutage();
      for (let i = 0; i < 5; i++) {
        await cluster.faults.restart(i % 3, 1 + cluster.random.next() * 3);
        await cluster.advance(4);
      }
      cluster.faults.endStoreOutage();
      for (let i = 0; i < 3; i++) {
        await cluster.faults.restartLeader(2);
        await cluster.advance(3);
      }
    },
  },
  {
    name: 'tasks of one job complete at distant times across leader changes',
    run: async (cluster, seed) => {
      const refs: string[] = [];
      for (let i = 0; i < 5; i++) refs.push(await cluster.accept({ pieces: 3, runMs: 25_000 }));
      await cluster.until(() => refs.every((ref) => cluster.running(ref) === 3), 20, 'all run');
      for (const ref of refs) {
        // One task completes earlier, while there is no leader or a former one receives the heartbeat.
        const task = cluster.tasksOf(ref)[cluster.random.pick([0, 1, 2])]!;
        task.since -= 25_000 - cluster.random.between(500, 6000);
      }
      await cluster.advance(seed);
      await cluster.faults.restartLeader(3);
      for (const ref of refs)
        cluster.tasksOf(ref)[0]!.since -= cluster.random.between(5000, 15_000);
      await cluster.advance(6);
      await cluster.faults.restartLeader(3);
      await cluster.advance(15);
    },
  },
  {
    name: 'a leader loses the store and its peers, and jobs are cancelled through the new leader',
    run: async (cluster, seed) => {
      const jobs = await startWork(cluster);
      const formerLeader = cluster.leader;
      cluster.faults.isolate(formerLeader);
      await cluster.advance(0.5 * seed);
      for (const job of jobs.slice(0, 2))
        void cluster.cancelInBackground(job, (formerLeader + 1) % 3);
      await cluster.until(
        () => cluster.leader !== formerLeader && cluster.leader >= 0,
        12,
        'another leads',
      );
      await cluster.advance(2);
      const lateJob = await cluster.accept({ pieces: 4, runMs: 30_000, crew: 'speech' });
      await cluster.advance(5);
      void cluster.cancelInBackground(lateJob, cluster.leader);
      await cluster.advance(25);
      cluster.faults.rejoin(formerLeader);
    },
  },
  {
    name: 'jobs are cancelled while the leader transfers leadership',
    run: async (cluster, seed) => {
      const refs: string[] = [];
      for (let i = 0; i < 8; i++) {
        refs.push(
          await cluster.accept({ pieces: 2, runMs: 60_000, crew: i % 2 ? 'vision' : 'speech' }),
        );
      }
      await cluster.until(() => refs.every((ref) => cluster.running(ref) === 2), 20, 'all run');
      const formerLeader = cluster.leader;
      cluster.nodes[formerLeader]!.reachableByWorkers = false;
      for (const ref of refs.slice(0, 6)) {
        void cluster.cancelInBackground(ref).then(() => cluster.queryEverywhere(ref));
        await cluster.advance(0.25 * seed);
      }
      await cluster.until(
        () => cluster.leader !== formerLeader && cluster.leader >= 0,
        15,
        'leadership is transferred',
      );
      cluster.nodes[formerLeader]!.reachableByWorkers = true;
      await cluster.advance(10);
    },
  },
  {
    name: 'a leader crashes while machines with long tasks are unreachable or lose its responses',
    machines: machines('aaabbb'),
    run: async (cluster, seed) => {
      const jobs = await startWork(cluster, 60_000);
      const [unreachable, deaf] = [
        cluster.machinesWith(jobs[0]!),
        cluster.machinesWith(jobs[1]!).slice(0, 1),
      ];
      cluster.faults.cutOff(unreachable);
      cluster.faults.loseResponsesTo(deaf);
      await cluster.advance(seed);
      await cluster.faults.restartLeader(4);
      void cluster.cancelInBackground(jobs[seed % 2]!);
      await cluster.advance(6);
      for (const worker of [...unreachable, ...deaf]) worker.deaf = worker.mute = false;
      await cluster.advance(12);
    },
  },
  {
    name: 'new machines boot quickly and get work while writes are delayed, and the leader crashes',
    machines: machines('ab'),
    run: async (cluster, seed) => {
      cluster.cloud.bootMs = 1500;
      cluster.faults.share.lateWrites = 0.25;
      const refs: string[] = [];
      for (let i = 0; i < 6; i++) {
        void cluster
          .acceptInBackground({
            pieces: 4,
            gpus: 2,
            runMs: 12_000,
            crew: i % 2 ? 'vision' : 'speech',
          })
          .then((ref) => refs.push(ref));
        await cluster.advance(0.75);
      }
      await cluster.advance(seed);
      await cluster.faults.restartLeader(3);
      if (refs[0]) void cluster.cancelInBackground(refs[0]);
      await cluster.advance(8);
      await cluster.faults.restartLeader(3);
      await cluster.advance(10);
    },
  },
];

runScenarios(SCENARIOS);
