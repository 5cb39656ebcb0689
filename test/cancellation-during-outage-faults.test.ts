import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/**
 * The store refuses only the leader, another controller confirms cancellations, and then the store
 * is down for all controllers, for longer than `cancel_s`, while workers still report to the old
 * leader. The cancelled tasks have to stop in time nevertheless.
 */
async function outageAfterCancellations(
  cluster: SimulatedCluster,
  seed: number,
  beforeOutage: (leader: number, confirming: number) => Promise<void>,
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
  await cluster.advance(0.25 * (seed % 4));
  for (const job of jobs.slice(0, 6)) void cluster.cancelInBackground(job, confirming);
  await cluster.advance(0.5);
  await beforeOutage(leader, confirming);
  await cluster.advance(0.25 * (seed % 3));
  cluster.faults.startStoreOutage();
  await cluster.advance(12);
  cluster.faults.serve(leader);
  await cluster.advance(40);
}

const SEEDS = [1, 4, 6];

const SCENARIOS: FaultScenario[] = [
  {
    name: 'outage after cancellations: the leader learns of them from its peer',
    run: (cluster, seed) => outageAfterCancellations(cluster, seed, async () => undefined),
  },
  {
    name: 'outage after cancellations: the message about them is lost',
    seeds: SEEDS,
    run: (cluster, seed) => {
      cluster.faults.loseMessages('jobCancelled');
      return outageAfterCancellations(cluster, seed, async () => undefined);
    },
  },
  {
    name: 'outage after cancellations: controllers refuse connections of each other',
    seeds: SEEDS,
    run: (cluster, seed) => {
      cluster.faults.refusePeers();
      return outageAfterCancellations(cluster, seed, async () => undefined);
    },
  },
  {
    name: 'outage after cancellations: the confirming controller restarts and loses its list of them',
    seeds: SEEDS,
    run: (cluster, seed) => {
      cluster.faults.loseMessages('jobCancelled');
      return outageAfterCancellations(cluster, seed, async (_leader, confirming) => {
        await cluster.faults.restart(confirming, 0.25);
      });
    },
  },
  {
    name: 'outage after cancellations: the write is applied and its response is lost',
    seeds: SEEDS,
    run: (cluster, seed) => {
      cluster.faults.loseMessages('jobCancelled');
      cluster.faults.share.lostAnswers = 0.5;
      return outageAfterCancellations(cluster, seed, async () => {
        cluster.faults.share.lostAnswers = 0;
      });
    },
  },
];

runScenarios(SCENARIOS);
