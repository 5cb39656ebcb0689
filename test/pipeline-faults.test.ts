import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** A pipeline of three jobs, each of which needs the one before. */
async function pipeline(cluster: SimulatedCluster, runMs = 4000): Promise<string[]> {
  const wish = { runMs, fetchMs: 500, crew: 'speech' };
  const first = await cluster.accept({ ...wish, pieces: 3 });
  const second = await cluster.accept({ ...wish, pieces: 4, waitsOn: [first] });
  const third = await cluster.accept({ ...wish, shape: 'gang', pieces: 2, waitsOn: [second] });
  return [first, second, third];
}

const MEETINGS: FaultScenario[] = [
  {
    name: 'pipelines go on while leaders change at the end of each of their jobs',
    play: async (cluster, seed) => {
      const all = [await pipeline(cluster), await pipeline(cluster), await pipeline(cluster)];
      let ends = 0;
      cluster.onDone = (piece) => {
        void cluster.queryEverywhere(piece.job);
        if (++ends % 7 === seed) void cluster.faults.endLeader(2);
      };
      await cluster.pass(25);
      void cluster.cancelling(all[0]![2]!);
      await cluster.pass(10);
    },
  },
  {
    name: 'the first job of a pipeline is cancelled as its last task ends',
    play: async (cluster, seed) => {
      const all = [
        await pipeline(cluster),
        await pipeline(cluster),
        await pipeline(cluster),
        await pipeline(cluster),
      ];
      const firsts = new Set(all.map(([first]) => first!));
      cluster.onDone = (piece) => {
        const { job } = piece;
        if (!firsts.delete(job)) return;
        const afterMs = cluster.random.pick([0, 20, 400, 1000, 1600]) * seed;
        void cluster.clock.sleep(afterMs).then(async () => {
          await cluster.cancelling(job);
          for (const ref of all.find((refs) => refs[0] === job)!) void cluster.queryEverywhere(ref);
        });
      };
      await cluster.pass(25);
    },
  },
  {
    name: 'a job that others need is cancelled while writes come late and the leader ends',
    play: async (cluster, seed) => {
      cluster.faults.share.lateWrites = 0.2;
      const all = [
        await pipeline(cluster, 8000),
        await pipeline(cluster, 8000),
        await pipeline(cluster, 8000),
      ];
      await cluster.pass(seed);
      void cluster.cancelling(all[0]![0]!);
      void cluster.cancelling(all[1]![1]!);
      await cluster.pass(1);
      await cluster.faults.endLeader(3);
      // One that needs a cancelled job is submitted only now.
      void cluster.accepting({ crew: 'speech', waitsOn: [all[0]![0]!, all[2]![0]!] });
      await cluster.pass(20);
    },
  },
  {
    name: 'a job that others need is cancelled while their machines hang, then the store is out',
    play: async (cluster, seed) => {
      const all = [await pipeline(cluster, 5000), await pipeline(cluster, 5000)];
      await cluster.until(() => cluster.running(all[0]![1]!) > 0, 30, 'the second runs');
      cluster.faults.hang(cluster.holding(all[0]![1]!), 7 * seed);
      void cluster.cancelling(all[0]![1]!);
      await cluster.pass(1);
      cluster.faults.outage();
      await cluster.pass(6 * seed);
      cluster.faults.outageOver();
      await cluster.pass(10);
    },
  },
  {
    name: 'a pipeline is handed in and cancelled at once, through different controllers',
    play: async (cluster, seed) => {
      cluster.faults.share.lostAnswers = 0.1 * seed;
      for (let i = 0; i < 4; i++) {
        const refs = await pipeline(cluster);
        void cluster
          .cancelling(refs[i % 3]!)
          .then(() => refs.map((ref) => cluster.queryEverywhere(ref)));
        await cluster.pass(1);
      }
      await cluster.pass(15);
    },
  },
];

runScenarios(MEETINGS);
