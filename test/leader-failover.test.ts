import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Some long work of each kind, running. */
async function work(cluster: SimulatedCluster, runMs = 40_000): Promise<string[]> {
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
  await cluster.until(() => jobs.every((job) => cluster.running(job) > 0), 20, 'all kinds run');
  return jobs;
}

/** Users submit and cancel small jobs in the background, until the faults are over. */
async function trickle(cluster: SimulatedCluster, seconds: number): Promise<void> {
  for (
    const until = cluster.clock.now() + seconds * 1000;
    cluster.clock.now() < until && !cluster.settling;
  ) {
    void cluster
      .accepting({ pieces: 2, runMs: 3000, fetchMs: 500, crew: 'speech' })
      .then(async (ref) => {
        if (cluster.random.next() < 0.5) return;
        await cluster.clock.sleep(cluster.random.between(0, 3000));
        await cluster.cancelling(ref);
        void cluster.queryEverywhere(ref);
      });
    await cluster.clock.sleep(1000);
  }
}

const MEETINGS: FaultScenario[] = [
  {
    name: 'a command of a leader that has ended arrives after the new leader began',
    play: async (cluster, seed) => {
      const jobs = await work(cluster);
      cluster.faults.share.lateCommands = 1;
      const stopped = await cluster.accept({ pieces: 8, runMs: 60_000, urgency: 'best_effort' });
      await cluster.until(() => cluster.running(stopped) > 0, 10, 'runs');
      void cluster.cancelling(stopped);
      await cluster.pass(0.25 * seed);
      const old = cluster.leader;
      cluster.crash(old);
      // Urgent work displaces what runs, by direct commands of the next leader that come late too.
      await cluster.accept({ pieces: 20, runMs: 5000, urgency: 'production', crew: 'speech' });
      await cluster.pass(2 + seed);
      cluster.restart(old);
      await cluster.pass(20);
      assert.ok(cluster.on(stopped).length === 0);
      assert.equal(jobs.length, 3);
    },
  },
  {
    name: 'a deposed leader goes on ordering until it learns that it is',
    play: async (cluster, seed) => {
      await work(cluster);
      void trickle(cluster, 20);
      const old = cluster.leader;
      cluster.faults.share.lateCommands = 0.5;
      cluster.freeze(old, 2500 + seed * 1500);
      await cluster.pass(12);
      cluster.freeze(cluster.leader, 4000);
      await cluster.pass(15);
    },
  },
  {
    name: 'controllers hand over and back, all end, and one returns within a second',
    play: async (cluster, seed) => {
      await work(cluster);
      void trickle(cluster, 25);
      for (let i = 0; i < 3; i++) {
        await cluster.faults.endLeader(0.5);
        await cluster.pass(1 + cluster.random.next() * 4);
      }
      for (const [i] of cluster.nodes.entries()) cluster.crash(i);
      await cluster.pass(0.75);
      cluster.restart(seed % 3);
      await cluster.pass(6);
      cluster.restartAll();
      await cluster.pass(10);
    },
  },
  {
    name: 'all controllers are away for longer than a lease, while jobs are cancelled',
    play: async (cluster, seed) => {
      const jobs = await work(cluster);
      for (const job of jobs.slice(0, 2)) void cluster.cancelling(job);
      await cluster.pass(0.25 * seed);
      await cluster.faults.restartAll(14);
      await cluster.pass(15);
    },
  },
  {
    name: 'leaders change ten times in two minutes',
    seeds: [1, 2],
    play: async (cluster) => {
      await work(cluster, 60_000);
      void trickle(cluster, 110);
      for (let i = 0; i < 10; i++) {
        await cluster.faults.endLeader(1 + cluster.random.next() * 4);
        await cluster.pass(4 + cluster.random.next() * 5);
      }
    },
  },
  {
    name: 'leaders change again and again inside an outage',
    play: async (cluster, seed) => {
      const jobs = await work(cluster);
      void cluster.cancelling(jobs[0]!);
      await cluster.pass(0.25 * seed);
      cluster.faults.outage();
      for (let i = 0; i < 5; i++) {
        await cluster.faults.restart(i % 3, 1 + cluster.random.next() * 3);
        await cluster.pass(4);
      }
      cluster.faults.outageOver();
      for (let i = 0; i < 3; i++) {
        await cluster.faults.endLeader(2);
        await cluster.pass(3);
      }
    },
  },
  {
    name: 'jobs of three tasks end far apart across a change of leader',
    play: async (cluster, seed) => {
      const refs: string[] = [];
      for (let i = 0; i < 5; i++) refs.push(await cluster.accept({ pieces: 3, runMs: 25_000 }));
      await cluster.until(() => refs.every((ref) => cluster.running(ref) === 3), 20, 'all run');
      for (const ref of refs) {
        // One task is faster than the others, and ends while nobody or an old leader hears it.
        const piece = cluster.on(ref)[cluster.random.pick([0, 1, 2])]!;
        piece.since -= 25_000 - cluster.random.between(500, 6000);
      }
      await cluster.pass(seed);
      await cluster.faults.endLeader(3);
      for (const ref of refs) cluster.on(ref)[0]!.since -= cluster.random.between(5000, 15_000);
      await cluster.pass(6);
      await cluster.faults.endLeader(3);
      await cluster.pass(15);
    },
  },
  {
    name: 'a leader is cut from store and peers, and jobs are cancelled through the new one',
    play: async (cluster, seed) => {
      const jobs = await work(cluster);
      const old = cluster.leader;
      cluster.faults.isolate(old);
      await cluster.pass(0.5 * seed);
      for (const job of jobs.slice(0, 2)) void cluster.cancelling(job, (old + 1) % 3);
      await cluster.until(() => cluster.leader !== old && cluster.leader >= 0, 12, 'another leads');
      await cluster.pass(2);
      const late = await cluster.accept({ pieces: 4, runMs: 30_000, crew: 'speech' });
      await cluster.pass(5);
      void cluster.cancelling(late, cluster.leader);
      await cluster.pass(25);
      cluster.faults.rejoin(old);
    },
  },
  {
    name: 'jobs are cancelled in the seconds in which one controller hands over its work',
    play: async (cluster, seed) => {
      const refs: string[] = [];
      for (let i = 0; i < 8; i++) {
        refs.push(
          await cluster.accept({ pieces: 2, runMs: 60_000, crew: i % 2 ? 'vision' : 'speech' }),
        );
      }
      await cluster.until(() => refs.every((ref) => cluster.running(ref) === 2), 20, 'all run');
      const old = cluster.leader;
      cluster.nodes[old]!.open = false;
      for (const ref of refs.slice(0, 6)) {
        void cluster.cancelling(ref).then(() => cluster.queryEverywhere(ref));
        await cluster.pass(0.25 * seed);
      }
      await cluster.until(() => cluster.leader !== old && cluster.leader >= 0, 15, 'handed over');
      cluster.nodes[old]!.open = true;
      await cluster.pass(10);
    },
  },
  {
    name: 'a leader ends while machines with long tasks cannot be reached, or do not hear its answers',
    machines: machines('aaabbb'),
    play: async (cluster, seed) => {
      const jobs = await work(cluster, 60_000);
      const [cut, deaf] = [cluster.holding(jobs[0]!), cluster.holding(jobs[1]!).slice(0, 1)];
      cluster.faults.cutOff(cut);
      cluster.faults.deafen(deaf);
      await cluster.pass(seed);
      await cluster.faults.endLeader(4);
      void cluster.cancelling(jobs[seed % 2]!);
      await cluster.pass(6);
      for (const worker of [...cut, ...deaf]) worker.deaf = worker.mute = false;
      await cluster.pass(12);
    },
  },
  {
    name: 'new machines are up at once and get work while writes lag, and the leader ends',
    machines: machines('ab'),
    play: async (cluster, seed) => {
      cluster.cloud.bootMs = 1500;
      cluster.faults.share.lateWrites = 0.25;
      const refs: string[] = [];
      for (let i = 0; i < 6; i++) {
        void cluster
          .accepting({ pieces: 4, gpus: 2, runMs: 12_000, crew: i % 2 ? 'vision' : 'speech' })
          .then((ref) => refs.push(ref));
        await cluster.pass(0.75);
      }
      await cluster.pass(seed);
      await cluster.faults.endLeader(3);
      if (refs[0]) void cluster.cancelling(refs[0]);
      await cluster.pass(8);
      await cluster.faults.endLeader(3);
      await cluster.pass(10);
    },
  },
];

runScenarios(MEETINGS);
