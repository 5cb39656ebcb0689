import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/**
 * The store refuses the leader alone, another controller confirms cancellations, and then the store
 * is down for all, for longer than `cancel_s`, while workers still report to the old leader.
 */
async function gap(
  cluster: SimulatedCluster,
  seed: number,
  between: (leader: number, confirming: number) => Promise<void>,
): Promise<void> {
  const jobs: string[] = [];
  for (let i = 0; i < 4; i++) {
    jobs.push(await cluster.accept({ pieces: 3, runMs: 90_000 }));
    jobs.push(await cluster.accept({ shape: 'service', pieces: 2, runMs: 0, crew: 'speech' }));
  }
  await cluster.until(() => jobs.every((job) => cluster.running(job) > 0), 20, 'all run');
  const { leader } = cluster;
  const confirming = (leader + 1 + (seed % 2)) % 3;
  cluster.faults.refuse(leader);
  await cluster.pass(0.25 * (seed % 4));
  for (const job of jobs.slice(0, 6)) void cluster.cancelling(job, confirming);
  await cluster.pass(0.5);
  await between(leader, confirming);
  await cluster.pass(0.25 * (seed % 3));
  cluster.faults.outage();
  await cluster.pass(12);
  cluster.faults.serve(leader);
  await cluster.pass(40);
}

const SEEDS = [1, 4, 6];

const MEETINGS: FaultScenario[] = [
  {
    name: 'gap: the leader hears of the cancellations from its peer',
    play: (cluster, seed) => gap(cluster, seed, async () => undefined),
  },
  {
    name: 'gap: the message of the cancellations is lost',
    seeds: SEEDS,
    play: (cluster, seed) => {
      cluster.faults.loseMessages('jobCancelled');
      return gap(cluster, seed, async () => undefined);
    },
  },
  {
    name: 'gap: controllers refuse each other',
    seeds: SEEDS,
    play: (cluster, seed) => {
      cluster.faults.refusePeers();
      return gap(cluster, seed, async () => undefined);
    },
  },
  {
    name: 'gap: the confirming controller ends, and has forgotten them when it is asked for them',
    seeds: SEEDS,
    play: (cluster, seed) => {
      cluster.faults.loseMessages('jobCancelled');
      return gap(cluster, seed, async (_leader, confirming) => {
        await cluster.faults.restart(confirming, 0.25);
      });
    },
  },
  {
    name: 'gap: the write is carried out and its answer lost',
    seeds: SEEDS,
    play: (cluster, seed) => {
      cluster.faults.loseMessages('jobCancelled');
      cluster.faults.share.lostAnswers = 0.5;
      return gap(cluster, seed, async () => {
        cluster.faults.share.lostAnswers = 0;
      });
    },
  },
];

runScenarios(MEETINGS);
