import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import { makeOld, NEXT, ranged, runKeys } from './fakes/upgrade.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

const SEEDS = [1, 2, 3];

/** Work of all shapes; arrays too large for one record under the limits to come. */
async function someWork(cluster: SimulatedCluster): Promise<string[]> {
  return [
    await cluster.accept({ pieces: 70, gpus: 0, runMs: 25_000, crew: 'speech' }),
    await cluster.accept({ shape: 'gang', pieces: 3, gpus: 2, runMs: 40_000, samePlace: true }),
    await cluster.accept({ shape: 'service', pieces: 2, runMs: 0, crew: 'speech' }),
    await cluster.accept({ pieces: 12, gpus: 1, runMs: 8000 }),
  ];
}

/**
 * All controllers are upgraded, the limits fall, and work comes and is cancelled all the while.
 * `fault` is called after each upgrade and after the fall.
 */
async function roll(
  cluster: SimulatedCluster,
  seed: number,
  trouble: (w: SimulatedCluster, node: number) => Promise<void>,
): Promise<void> {
  const jobs = await someWork(cluster);
  for (let i = 0; i < 3; i++) {
    const node = (seed + i) % 3;
    cluster.crash(node);
    await cluster.pass(2 + (seed % 3));
    cluster.restart(node);
    await cluster.pass(seed % 4);
    await trouble(cluster, node);
    jobs.push(...(await someWork(cluster)));
    await cluster.cancel(jobs.shift()!);
  }
  await cluster.pass(seed % 5);
  cluster.store.limits = NEXT;
  jobs.push(...(await someWork(cluster)));
  await trouble(cluster, seed % 3);
  await cluster.cancel(jobs.shift()!);
  await cluster.pass(20);
  assert.ok(runKeys(cluster).every(ranged), runKeys(cluster).join(' '));
}

const upgrade = (
  name: string,
  trouble: (cluster: SimulatedCluster, node: number, seed: number) => Promise<void>,
): FaultScenario => ({
  name: `upgrade: ${name}`,
  seeds: SEEDS,
  machines: machines('aabbab'),
  state: { next: NEXT },
  before: (cluster) => [0, 1, 2].forEach((node) => makeOld(cluster, node)),
  play: (cluster, seed) => roll(cluster, seed, (world, node) => trouble(world, node, seed)),
});

const MEETINGS: FaultScenario[] = [
  upgrade('the leader ends each time', async (cluster) => {
    await cluster.faults.endLeader(3);
  }),
  upgrade('answers of the store are lost and writes come late', async (cluster) => {
    cluster.faults.share.lostAnswers = 0.1;
    cluster.faults.share.lateWrites = 0.05;
    await cluster.pass(4);
    cluster.faults.share.lostAnswers = 0;
    cluster.faults.share.lateWrites = 0;
  }),
  upgrade(
    'controllers refuse each other, and the store is down for a while',
    async (cluster, _node, seed) => {
      cluster.faults.refusePeers();
      cluster.faults.outage();
      await cluster.pass(2 + seed);
      cluster.faults.outageOver();
      await cluster.pass(4);
    },
  ),
  upgrade('all controllers end at once', async (cluster) => {
    await cluster.faults.restartAll(2);
    await cluster.pass(6);
  }),
];

runScenarios(MEETINGS);
