import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import { RELEASES, type Release } from './fakes/released.js';
import { NEXT, ranged, runKeys } from './fakes/upgrade.js';
import {
  allRun,
  change,
  install,
  LONG_MS,
  startLongWork,
  startsOf,
  type LongWork,
} from './fakes/versions.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

const ALL = [0, 1, 2];

/** When the limits fall: after so many of the three upgrades; null: never. */
type Fall = 0 | 1 | 2 | 3 | null;

interface Roll {
  name: string;
  fall: Fall;
  /** Called after each upgrade. */
  trouble(cluster: SimulatedCluster, seed: number, upgraded: number): Promise<void>;
  /** The faults are such that running work survives them: nothing of it is started again. */
  keepsWork?: true;
  seeds?: number[];
}

/** The real controllers of a release are upgraded one after the other, while work comes and goes. */
const meeting = (
  release: Release,
  { name, fall, trouble, keepsWork, seeds = [1, 2] }: Roll,
): FaultScenario => ({
  name: `a roll from ${release}: ${name}`,
  seeds,
  machines: machines('abababab'),
  state: { next: NEXT },
  before: (cluster) => install(cluster, [release, release, release]),
  play: async (cluster, seed) => {
    const work = await startLongWork(cluster);
    const starts = startsOf(cluster, work);
    await limitsFall(cluster, fall === 0);
    // The leader goes first each time for the first seed, so that leadership passes on at each upgrade.
    const old = new Set(ALL);
    for (let upgraded = 1; old.size > 0; upgraded++) {
      const node = seed === 1 && old.has(cluster.leader) ? cluster.leader : [...old][0]!;
      old.delete(node);
      await someWork(cluster);
      await change(cluster, node, 'current');
      await cluster.pass(seed * 2);
      await trouble(cluster, seed, upgraded);
      await limitsFall(cluster, fall === upgraded);
    }
    cluster.faults.over();
    await someWork(cluster);
    await cluster.until(() => runKeys(cluster).every(ranged), 90, 'all records are ranged');
    assert.ok(cluster.nodes.every((node) => node.program.version === 'current'));
    if (keepsWork) assert.equal(startsOf(cluster, work), starts, 'nothing is started again');
    await cluster.until(() => allRun(cluster, work), 120, 'the long work runs');
    await cancelLong(cluster, work);
  },
});

async function limitsFall(cluster: SimulatedCluster, now: boolean): Promise<void> {
  if (!now) return;
  cluster.store.limits = NEXT;
  await cluster.pass(5);
}

/** Work that ends, work that is cancelled, and pipelines once every controller knows them. */
async function someWork(cluster: SimulatedCluster): Promise<void> {
  const first = await cluster.accept({ pieces: 5, gpus: 0, runMs: 6000, crew: 'speech' });
  const gone = await cluster.accept({ shape: 'gang', pieces: 2, gpus: 2, runMs: LONG_MS });
  if (cluster.nodes.every((node) => node.program.version !== '78ff1b1')) {
    await cluster.accept({ shape: 'gang', pieces: 2, gpus: 1, runMs: 4000, waitsOn: [first] });
    await cluster.accept({ pieces: 2, runMs: 4000, waitsOn: [gone] });
  }
  await cluster.pass(3);
  assert.equal(await cluster.cancel(gone), 'withdrawn');
}

/** What would outlast the scenario ends by its users. */
async function cancelLong(cluster: SimulatedCluster, work: LongWork): Promise<void> {
  await cluster.cancel(work.array);
  await cluster.cancel(work.gang);
}

const calm = async (cluster: SimulatedCluster): Promise<void> => cluster.pass(5);

const ROLLS: Roll[] = [
  ...([0, 1, 2, 3] as const).map((fall): Roll => ({
    name: `limits fall after ${fall} upgrades`,
    fall,
    trouble: calm,
    seeds: [1 + (fall % 2)],
  })),
  { name: 'no limits fall', fall: null, trouble: calm, keepsWork: true },
  {
    name: 'a process comes back old before its turn',
    fall: 3,
    trouble: async (cluster) => {
      const old = cluster.nodes.findIndex((node) => node.program.version !== 'current');
      if (old >= 0) await cluster.faults.restart(old, 2);
      await cluster.pass(5);
    },
    keepsWork: true,
  },
  {
    name: 'all controllers end right after the last upgrade',
    fall: 3,
    trouble: async (cluster, seed, upgraded) => {
      if (upgraded === 3) await cluster.faults.restartAll(seed);
    },
  },
  {
    name: 'the store is down for a while after each upgrade',
    fall: 2,
    trouble: async (cluster, seed) => {
      cluster.faults.outage();
      await cluster.pass(3 + seed * 10);
      cluster.faults.outageOver();
      await cluster.pass(6);
    },
  },
  {
    name: 'controllers refuse each other',
    fall: 2,
    trouble: async (cluster) => {
      cluster.faults.refusePeers();
      await cluster.pass(6);
    },
  },
  {
    name: 'the leader is cut off from the store and the others',
    fall: 2,
    trouble: async (cluster, seed) => {
      const { leader } = cluster;
      if (leader < 0) return;
      cluster.faults.isolate(leader);
      await cluster.pass(4 + seed * 4);
      cluster.faults.rejoin(leader);
      await cluster.pass(4);
    },
  },
  {
    name: 'answers of the store are lost, writes and reports come late',
    fall: 3,
    trouble: async (cluster) => {
      Object.assign(cluster.faults.share, { lostAnswers: 0.1, lateWrites: 0.05, lateReports: 0.1 });
      await cluster.pass(6);
      Object.assign(cluster.faults.share, { lostAnswers: 0, lateWrites: 0, lateReports: 0 });
    },
  },
];

runScenarios(RELEASES.flatMap((release) => ROLLS.map((roll) => meeting(release, roll))));
