import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Submits a pipeline of three jobs, each of which depends on the previous one. */
async function submitPipeline(cluster: SimulatedCluster, runMs = 4000): Promise<string[]> {
  const template = { runMs, fetchMs: 500, crew: 'speech' };
  const first = await cluster.accept({ ...template, pieces: 3 });
  const second = await cluster.accept({ ...template, pieces: 4, waitsOn: [first] });
  const third = await cluster.accept({ ...template, shape: 'gang', pieces: 2, waitsOn: [second] });
  return [first, second, third];
}

const SCENARIOS: FaultScenario[] = [
  {
    name: 'pipelines continue while the leader crashes repeatedly as their tasks complete',
    run: async (cluster, seed) => {
      const pipelines = [
        await submitPipeline(cluster),
        await submitPipeline(cluster),
        await submitPipeline(cluster),
      ];
      let completions = 0;
      cluster.onDone = (task) => {
        void cluster.queryEverywhere(task.job);
        if (++completions % 7 === seed) void cluster.faults.restartLeader(2);
      };
      await cluster.advance(25);
      void cluster.cancelInBackground(pipelines[0]![2]!);
      await cluster.advance(10);
    },
  },
  {
    name: 'the first job of a pipeline is cancelled as its tasks complete',
    run: async (cluster, seed) => {
      const pipelines = [
        await submitPipeline(cluster),
        await submitPipeline(cluster),
        await submitPipeline(cluster),
        await submitPipeline(cluster),
      ];
      const firsts = new Set(pipelines.map(([first]) => first!));
      cluster.onDone = (task) => {
        const { job } = task;
        if (!firsts.delete(job)) return;
        const delayMs = cluster.random.pick([0, 20, 400, 1000, 1600]) * seed;
        void cluster.clock.sleep(delayMs).then(async () => {
          await cluster.cancelInBackground(job);
          for (const ref of pipelines.find((refs) => refs[0] === job)!)
            void cluster.queryEverywhere(ref);
        });
      };
      await cluster.advance(25);
    },
  },
  {
    name: 'a job with dependents is cancelled while writes are delayed and the leader crashes',
    run: async (cluster, seed) => {
      cluster.faults.share.lateWrites = 0.2;
      const pipelines = [
        await submitPipeline(cluster, 8000),
        await submitPipeline(cluster, 8000),
        await submitPipeline(cluster, 8000),
      ];
      await cluster.advance(seed);
      void cluster.cancelInBackground(pipelines[0]![0]!);
      void cluster.cancelInBackground(pipelines[1]![1]!);
      await cluster.advance(1);
      await cluster.faults.restartLeader(3);
      // A job that depends on a cancelled one is submitted only afterwards.
      void cluster.acceptInBackground({
        crew: 'speech',
        waitsOn: [pipelines[0]![0]!, pipelines[2]![0]!],
      });
      await cluster.advance(20);
    },
  },
  {
    name: 'a job with dependents is cancelled while its machines hang, then the store is down',
    run: async (cluster, seed) => {
      const pipelines = [await submitPipeline(cluster, 5000), await submitPipeline(cluster, 5000)];
      await cluster.until(() => cluster.running(pipelines[0]![1]!) > 0, 30, 'the second runs');
      cluster.faults.hang(cluster.machinesWith(pipelines[0]![1]!), 7 * seed);
      void cluster.cancelInBackground(pipelines[0]![1]!);
      await cluster.advance(1);
      cluster.faults.startStoreOutage();
      await cluster.advance(6 * seed);
      cluster.faults.endStoreOutage();
      await cluster.advance(10);
    },
  },
  {
    name: 'a pipeline is submitted and cancelled at once, through different controllers',
    run: async (cluster, seed) => {
      cluster.faults.share.lostAnswers = 0.1 * seed;
      for (let i = 0; i < 4; i++) {
        const refs = await submitPipeline(cluster);
        void cluster
          .cancelInBackground(refs[i % 3]!)
          .then(() => refs.map((ref) => cluster.queryEverywhere(ref)));
        await cluster.advance(1);
      }
      await cluster.advance(15);
    },
  },
];

runScenarios(SCENARIOS);
