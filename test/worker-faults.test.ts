import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

async function startWork(cluster: SimulatedCluster, runMs = 30_000): Promise<string[]> {
  const jobs = [
    await cluster.accept({ pieces: 6, runMs }),
    await cluster.accept({ shape: 'service', pieces: 3, runMs: 0, urgency: 'production' }),
    await cluster.accept({ shape: 'gang', pieces: 2, gpus: 4, runMs, crew: 'speech' }),
  ];
  await cluster.until(() => jobs.every((job) => cluster.running(job) > 0), 20, 'all jobs run');
  return jobs;
}

/** Copies of the latest heartbeats of all live workers. */
const latestReports = (cluster: SimulatedCluster): object[] =>
  [...cluster.workers.values()]
    .filter((worker) => !worker.dead)
    .map((worker) => structuredClone(worker.sent.at(-1)!));

const SCENARIOS: FaultScenario[] = [
  {
    name: 'an outdated heartbeat reaches every controller just as a new leader takes over',
    seeds: [1, 2, 3, 4],
    run: async (cluster, seed) => {
      const reportsWithoutTasks = latestReports(cluster);
      const jobs = await startWork(cluster);
      cluster.faults.keepForNextLeader([...reportsWithoutTasks, ...latestReports(cluster)]);
      void cluster.cancelInBackground(jobs[0]!);
      await cluster.advance(0.25 * seed);
      const formerLeader = cluster.leader;
      cluster.crash(formerLeader);
      await cluster.untilAnotherLeads(formerLeader, 10);
      await cluster.advance(seed);
      for (const report of reportsWithoutTasks) cluster.faults.deliverToAll(report);
      cluster.restart(formerLeader);
      await cluster.advance(15);
    },
  },
  {
    name: 'copies of heartbeats reach the next leader, and late copies arrive, also everywhere',
    seeds: [1, 2, 3, 4],
    run: async (cluster, seed) => {
      cluster.faults.share.reportsForNext = 0.3;
      cluster.faults.share.lateReports = 0.3;
      cluster.faults.copyToAllControllers = seed % 2 === 0;
      const jobs = await startWork(cluster);
      await cluster.accept({ pieces: 8, runMs: 4000, crew: 'speech' });
      await cluster.advance(3);
      await cluster.faults.restartLeader(2);
      void cluster.cancelInBackground(jobs[0]!);
      await cluster.accept({ pieces: 8, runMs: 4000, crew: 'speech' });
      await cluster.advance(5);
      await cluster.faults.restartLeader(2);
      await cluster.advance(15);
    },
  },
  {
    name: 'a heartbeat older than a start arrives again at the leader that commanded the start',
    run: async (cluster, seed) => {
      cluster.faults.share.lateReports = 0.5;
      for (let i = 0; i < 10; i++) {
        const ref = await cluster.accept({ pieces: 4, runMs: 3000, fetchMs: 500 });
        if (i % 3 === seed % 3) void cluster.cancelInBackground(ref);
        await cluster.advance(1);
      }
      await cluster.advance(20);
    },
  },
  {
    name: 'a heartbeat of an earlier agent epoch arrives after newer ones',
    run: async (cluster, seed) => {
      const jobs = await startWork(cluster, 60_000);
      const earlierReports = latestReports(cluster);
      // Their leases expire, and they begin another agent epoch.
      const silent = cluster.machinesWith(jobs[0]!);
      cluster.faults.cutOff(silent);
      await cluster.advance(11);
      for (const worker of silent) worker.deaf = worker.mute = false;
      for (let i = 0; i < 10; i++) {
        for (const report of earlierReports) cluster.faults.deliverToAll(report);
        await cluster.advance(0.5);
        if (i === seed * 2) void cluster.faults.restartLeader(2);
      }
      void cluster.cancelInBackground(jobs[0]!);
      for (const report of earlierReports) cluster.faults.deliverToAll(report);
      await cluster.advance(12);
    },
  },
  {
    name: 'commands and their responses are delayed for seconds, and machines hang and resume',
    run: async (cluster, seed) => {
      cluster.faults.share.lateCommands = 0.6;
      const jobs = await startWork(cluster);
      await cluster.accept({ pieces: 12, runMs: 5000, urgency: 'production', crew: 'speech' });
      void cluster.cancelInBackground(jobs[0]!);
      cluster.faults.hang(cluster.machinesWith(jobs[0]!).slice(0, 2), 3 + 2 * seed);
      await cluster.advance(seed);
      void cluster.cancelInBackground(jobs[1]!);
      await cluster.advance(5);
      await cluster.faults.restartLeader(2);
      await cluster.advance(20);
    },
  },
  {
    name: 'machines with cancelled tasks hang, for less and for longer than a lease',
    seeds: [1, 2, 3, 4],
    run: async (cluster, seed) => {
      const jobs = await startWork(cluster, 90_000);
      const holders = jobs.slice(0, 2).flatMap((job) => cluster.machinesWith(job));
      for (const job of jobs.slice(0, 2)) void cluster.cancelInBackground(job);
      cluster.faults.hang(holders, 5 * seed);
      await cluster.advance(1);
      if (seed % 2) await cluster.faults.restartLeader(3);
      await cluster.advance(40);
    },
  },
  {
    name: 'workers can connect to no controller, while direct commands reach them',
    run: async (cluster, seed) => {
      const jobs = await startWork(cluster);
      cluster.faults.loseHeartbeatsOf([...cluster.workers.values()]);
      await cluster.advance(seed);
      void cluster.cancelInBackground(jobs[seed % 3]!);
      await cluster.advance(5 + 4 * seed);
      for (const worker of cluster.workers.values()) worker.mute = false;
      await cluster.advance(12);
    },
  },
  {
    name: 'workers receive no responses, jobs are cancelled and the leader crashes',
    run: async (cluster, seed) => {
      const jobs = await startWork(cluster);
      const deaf = [...cluster.workers.values()].filter((_x, i) => i % 2 === seed % 2);
      cluster.faults.loseResponsesTo(deaf);
      await cluster.advance(seed);
      void cluster.cancelInBackground(jobs[0]!);
      await cluster.advance(4);
      await cluster.faults.restartLeader(3);
      await cluster.advance(5);
      for (const worker of deaf) worker.deaf = false;
      await cluster.advance(15);
    },
  },
];

runScenarios(SCENARIOS);
