import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import { preventMemberRecord, ANNOUNCED_LIMITS, isRangedRunKey, runKeys } from './fakes/upgrade.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

const SEEDS = [1, 2, 3];

/** Submits jobs of all shapes, with an array too large for one record under the announced limits. */
async function submitJobs(cluster: SimulatedCluster): Promise<string[]> {
  return [
    await cluster.accept({ pieces: 70, gpus: 0, runMs: 25_000, crew: 'speech' }),
    await cluster.accept({ shape: 'gang', pieces: 3, gpus: 2, runMs: 40_000, samePlace: true }),
    await cluster.accept({ shape: 'service', pieces: 2, runMs: 0, crew: 'speech' }),
    await cluster.accept({ pieces: 12, gpus: 1, runMs: 8000 }),
  ];
}

/**
 * Upgrades all controllers and lowers the store's limits while jobs are submitted and cancelled.
 * `injectFault` is called after each upgrade and after the limits drop.
 */
async function runRollingUpgrade(
  cluster: SimulatedCluster,
  seed: number,
  injectFault: (cluster: SimulatedCluster, node: number) => Promise<void>,
): Promise<void> {
  const jobs = await submitJobs(cluster);
  for (let i = 0; i < 3; i++) {
    const node = (seed + i) % 3;
    cluster.crash(node);
    await cluster.advance(2 + (seed % 3));
    cluster.restart(node);
    await cluster.advance(seed % 4);
    await injectFault(cluster, node);
    jobs.push(...(await submitJobs(cluster)));
    await cluster.cancel(jobs.shift()!);
  }
  await cluster.advance(seed % 5);
  cluster.store.limits = ANNOUNCED_LIMITS;
  jobs.push(...(await submitJobs(cluster)));
  await injectFault(cluster, seed % 3);
  await cluster.cancel(jobs.shift()!);
  await cluster.advance(20);
  assert.ok(runKeys(cluster).every(isRangedRunKey), runKeys(cluster).join(' '));
}

const createScenario = (
  name: string,
  injectFault: (cluster: SimulatedCluster, node: number, seed: number) => Promise<void>,
): FaultScenario => ({
  name: `upgrade: ${name}`,
  seeds: SEEDS,
  machines: machines('aabbab'),
  state: { next: ANNOUNCED_LIMITS },
  prepare: (cluster) => [0, 1, 2].forEach((node) => preventMemberRecord(cluster, node)),
  run: (cluster, seed) =>
    runRollingUpgrade(cluster, seed, (cluster, node) => injectFault(cluster, node, seed)),
});

const SCENARIOS: FaultScenario[] = [
  createScenario('the leader crashes each time', async (cluster) => {
    await cluster.faults.restartLeader(3);
  }),
  createScenario('responses of the store are lost and writes are delayed', async (cluster) => {
    cluster.faults.share.lostAnswers = 0.1;
    cluster.faults.share.lateWrites = 0.05;
    await cluster.advance(4);
    cluster.faults.share.lostAnswers = 0;
    cluster.faults.share.lateWrites = 0;
  }),
  createScenario(
    'controllers refuse connections of each other, and the store is down for a while',
    async (cluster, _node, seed) => {
      cluster.faults.refusePeers();
      cluster.faults.startStoreOutage();
      await cluster.advance(2 + seed);
      cluster.faults.endStoreOutage();
      await cluster.advance(4);
    },
  ),
  createScenario('all controllers crash at once', async (cluster) => {
    await cluster.faults.restartAll(2);
    await cluster.advance(6);
  }),
];

runScenarios(SCENARIOS);
