import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

async function work(cluster: SimulatedCluster, runMs = 30_000): Promise<string[]> {
  const jobs = [
    await cluster.accept({ pieces: 6, runMs }),
    await cluster.accept({ shape: 'service', pieces: 3, runMs: 0, urgency: 'production' }),
    await cluster.accept({ shape: 'gang', pieces: 2, gpus: 4, runMs, crew: 'speech' }),
  ];
  await cluster.until(() => jobs.every((job) => cluster.running(job) > 0), 20, 'all kinds run');
  return jobs;
}

/** Newest reports of all workers, as they are now. */
const reportsNow = (cluster: SimulatedCluster): object[] =>
  [...cluster.workers.values()].filter((x) => !x.dead).map((x) => structuredClone(x.sent.at(-1)!));

const MEETINGS: FaultScenario[] = [
  {
    name: 'an old report reaches every controller just as a new leader begins',
    seeds: [1, 2, 3, 4],
    play: async (cluster, seed) => {
      const empty = reportsNow(cluster);
      const jobs = await work(cluster);
      cluster.faults.keepForNext([...empty, ...reportsNow(cluster)]);
      void cluster.cancelling(jobs[0]!);
      await cluster.pass(0.25 * seed);
      const old = cluster.leader;
      cluster.crash(old);
      await cluster.anotherLeads(old, 10);
      await cluster.pass(seed);
      for (const report of empty) cluster.faults.everywhere(report);
      cluster.restart(old);
      await cluster.pass(15);
    },
  },
  {
    name: 'reports are kept for the next leader, and copies come late everywhere',
    seeds: [1, 2, 3, 4],
    play: async (cluster, seed) => {
      cluster.faults.share.reportsForNext = 0.3;
      cluster.faults.share.lateReports = 0.3;
      cluster.faults.copiesEverywhere = seed % 2 === 0;
      const jobs = await work(cluster);
      await cluster.accept({ pieces: 8, runMs: 4000, crew: 'speech' });
      await cluster.pass(3);
      await cluster.faults.endLeader(2);
      void cluster.cancelling(jobs[0]!);
      await cluster.accept({ pieces: 8, runMs: 4000, crew: 'speech' });
      await cluster.pass(5);
      await cluster.faults.endLeader(2);
      await cluster.pass(15);
    },
  },
  {
    name: 'a report that a start has overtaken arrives again at the leader that gave the start',
    play: async (cluster, seed) => {
      cluster.faults.share.lateReports = 0.5;
      for (let i = 0; i < 10; i++) {
        const ref = await cluster.accept({ pieces: 4, runMs: 3000, fetchMs: 500 });
        if (i % 3 === seed % 3) void cluster.cancelling(ref);
        await cluster.pass(1);
      }
      await cluster.pass(20);
    },
  },
  {
    name: 'an old report of an earlier session arrives after newer ones',
    play: async (cluster, seed) => {
      const jobs = await work(cluster, 60_000);
      const before = reportsNow(cluster);
      // Their leases run out, and they begin another session.
      const silent = cluster.holding(jobs[0]!);
      cluster.faults.cutOff(silent);
      await cluster.pass(11);
      for (const worker of silent) worker.deaf = worker.mute = false;
      for (let i = 0; i < 10; i++) {
        for (const report of before) cluster.faults.everywhere(report);
        await cluster.pass(0.5);
        if (i === seed * 2) void cluster.faults.endLeader(2);
      }
      void cluster.cancelling(jobs[0]!);
      for (const report of before) cluster.faults.everywhere(report);
      await cluster.pass(12);
    },
  },
  {
    name: 'commands and their answers are held up for seconds, and machines hang and go on',
    play: async (cluster, seed) => {
      cluster.faults.share.lateCommands = 0.6;
      const jobs = await work(cluster);
      await cluster.accept({ pieces: 12, runMs: 5000, urgency: 'production', crew: 'speech' });
      void cluster.cancelling(jobs[0]!);
      cluster.faults.hang(cluster.holding(jobs[0]!).slice(0, 2), 3 + 2 * seed);
      await cluster.pass(seed);
      void cluster.cancelling(jobs[1]!);
      await cluster.pass(5);
      await cluster.faults.endLeader(2);
      await cluster.pass(20);
    },
  },
  {
    name: 'cancelled tasks hang with their machines, for less and for longer than a lease',
    seeds: [1, 2, 3, 4],
    play: async (cluster, seed) => {
      const jobs = await work(cluster, 90_000);
      const held = jobs.slice(0, 2).flatMap((job) => cluster.holding(job));
      for (const job of jobs.slice(0, 2)) void cluster.cancelling(job);
      cluster.faults.hang(held, 5 * seed);
      await cluster.pass(1);
      if (seed % 2) await cluster.faults.endLeader(3);
      await cluster.pass(40);
    },
  },
  {
    name: 'workers open no connection to any controller, while direct commands reach them',
    play: async (cluster, seed) => {
      const jobs = await work(cluster);
      cluster.faults.mute([...cluster.workers.values()]);
      await cluster.pass(seed);
      void cluster.cancelling(jobs[seed % 3]!);
      await cluster.pass(5 + 4 * seed);
      for (const worker of cluster.workers.values()) worker.mute = false;
      await cluster.pass(12);
    },
  },
  {
    name: 'workers hear no answers, jobs are cancelled and the leader ends',
    play: async (cluster, seed) => {
      const jobs = await work(cluster);
      const deaf = [...cluster.workers.values()].filter((_x, i) => i % 2 === seed % 2);
      cluster.faults.deafen(deaf);
      await cluster.pass(seed);
      void cluster.cancelling(jobs[0]!);
      await cluster.pass(4);
      await cluster.faults.endLeader(3);
      await cluster.pass(5);
      for (const worker of deaf) worker.deaf = false;
      await cluster.pass(15);
    },
  },
];

runScenarios(MEETINGS);
