import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import { RELEASES, type Release } from './fakes/released.js';
import { ANNOUNCED_LIMITS, isRangedRunKey, runKeys } from './fakes/upgrade.js';
import {
  allRun,
  changeVersion,
  setVersions,
  LONG_MS,
  startLongWork,
  startsOf,
  type LongWork,
} from './fakes/versions.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

const ALL_NODES = [0, 1, 2];

/** The number of upgrades, of three, after which the store's limits drop; null: they never do. */
type UpgradesBeforeDrop = 0 | 1 | 2 | 3 | null;

interface RollingUpgrade {
  name: string;
  upgradesBeforeDrop: UpgradesBeforeDrop;
  /** Injects a fault; called after each upgrade. */
  injectFault(cluster: SimulatedCluster, seed: number, upgraded: number): Promise<void>;
  /** Running work survives the faults: none of it is started again. */
  keepsWork?: true;
  seeds?: number[];
}

/** A scenario in which released controllers are upgraded one by one while jobs come and go. */
const createScenario = (
  release: Release,
  { name, upgradesBeforeDrop, injectFault, keepsWork, seeds = [1, 2] }: RollingUpgrade,
): FaultScenario => ({
  name: `rolling upgrade from ${release}: ${name}`,
  seeds,
  machines: machines('abababab'),
  state: { next: ANNOUNCED_LIMITS },
  prepare: (cluster) => setVersions(cluster, [release, release, release]),
  run: async (cluster, seed) => {
    const work = await startLongWork(cluster);
    const starts = startsOf(cluster, work);
    await dropLimits(cluster, upgradesBeforeDrop === 0);
    // With the first seed the leader is upgraded first each time, so that leadership changes each time.
    const notUpgraded = new Set(ALL_NODES);
    for (let upgraded = 1; notUpgraded.size > 0; upgraded++) {
      const node =
        seed === 1 && notUpgraded.has(cluster.leader) ? cluster.leader : [...notUpgraded][0]!;
      notUpgraded.delete(node);
      await submitShortJobs(cluster);
      await changeVersion(cluster, node, 'current');
      await cluster.advance(seed * 2);
      await injectFault(cluster, seed, upgraded);
      await dropLimits(cluster, upgradesBeforeDrop === upgraded);
    }
    cluster.faults.endAll();
    await submitShortJobs(cluster);
    await cluster.until(
      () => runKeys(cluster).every(isRangedRunKey),
      90,
      'all run records use the ranged layout',
    );
    assert.ok(cluster.nodes.every((node) => node.program.version === 'current'));
    if (keepsWork) assert.equal(startsOf(cluster, work), starts, 'no task is started again');
    await cluster.until(() => allRun(cluster, work), 120, 'the long-running jobs run');
    await cancelLongWork(cluster, work);
  },
});

async function dropLimits(cluster: SimulatedCluster, due: boolean): Promise<void> {
  if (!due) return;
  cluster.store.limits = ANNOUNCED_LIMITS;
  await cluster.advance(5);
}

/** Submits jobs that complete, one that is cancelled, and pipelines if all controllers support them. */
async function submitShortJobs(cluster: SimulatedCluster): Promise<void> {
  const prerequisite = await cluster.accept({ pieces: 5, gpus: 0, runMs: 6000, crew: 'speech' });
  const cancelled = await cluster.accept({ shape: 'gang', pieces: 2, gpus: 2, runMs: LONG_MS });
  if (cluster.nodes.every((node) => node.program.version !== '78ff1b1')) {
    await cluster.accept({
      shape: 'gang',
      pieces: 2,
      gpus: 1,
      runMs: 4000,
      waitsOn: [prerequisite],
    });
    await cluster.accept({ pieces: 2, runMs: 4000, waitsOn: [cancelled] });
  }
  await cluster.advance(3);
  assert.equal(await cluster.cancel(cancelled), 'withdrawn');
}

/** Cancels the jobs that would outlast the scenario. */
async function cancelLongWork(cluster: SimulatedCluster, work: LongWork): Promise<void> {
  await cluster.cancel(work.array);
  await cluster.cancel(work.gang);
}

const noFault = async (cluster: SimulatedCluster): Promise<void> => cluster.advance(5);

const ROLLING_UPGRADES: RollingUpgrade[] = [
  ...([0, 1, 2, 3] as const).map((upgradesBeforeDrop): RollingUpgrade => ({
    name: `limits drop after ${upgradesBeforeDrop} upgrades`,
    upgradesBeforeDrop,
    injectFault: noFault,
    seeds: [1 + (upgradesBeforeDrop % 2)],
  })),
  { name: 'limits do not drop', upgradesBeforeDrop: null, injectFault: noFault, keepsWork: true },
  {
    name: 'a process restarts with the old version before its upgrade',
    upgradesBeforeDrop: 3,
    injectFault: async (cluster) => {
      const notUpgraded = cluster.nodes.findIndex((node) => node.program.version !== 'current');
      if (notUpgraded >= 0) await cluster.faults.restart(notUpgraded, 2);
      await cluster.advance(5);
    },
    keepsWork: true,
  },
  {
    name: 'all controllers crash right after the last upgrade',
    upgradesBeforeDrop: 3,
    injectFault: async (cluster, seed, upgraded) => {
      if (upgraded === 3) await cluster.faults.restartAll(seed);
    },
  },
  {
    name: 'the store is down for a while after each upgrade',
    upgradesBeforeDrop: 2,
    injectFault: async (cluster, seed) => {
      cluster.faults.startStoreOutage();
      await cluster.advance(3 + seed * 10);
      cluster.faults.endStoreOutage();
      await cluster.advance(6);
    },
  },
  {
    name: 'controllers refuse connections of each other',
    upgradesBeforeDrop: 2,
    injectFault: async (cluster) => {
      cluster.faults.refusePeers();
      await cluster.advance(6);
    },
  },
  {
    name: 'the leader loses the store and the other controllers',
    upgradesBeforeDrop: 2,
    injectFault: async (cluster, seed) => {
      const { leader } = cluster;
      if (leader < 0) return;
      cluster.faults.isolate(leader);
      await cluster.advance(4 + seed * 4);
      cluster.faults.rejoin(leader);
      await cluster.advance(4);
    },
  },
  {
    name: 'responses of the store are lost, writes and heartbeats are delayed',
    upgradesBeforeDrop: 3,
    injectFault: async (cluster) => {
      Object.assign(cluster.faults.share, { lostAnswers: 0.1, lateWrites: 0.05, lateReports: 0.1 });
      await cluster.advance(6);
      Object.assign(cluster.faults.share, { lostAnswers: 0, lateWrites: 0, lateReports: 0 });
    },
  },
];

runScenarios(
  RELEASES.flatMap((release) =>
    ROLLING_UPGRADES.map((rollingUpgrade) => createScenario(release, rollingUpgrade)),
  ),
);
