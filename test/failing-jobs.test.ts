import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** How often tasks of a job have come onto a machine. */
const startsOf = (cluster: SimulatedCluster, ref: string): number =>
  cluster.starts.filter((name) => name.startsWith(`${ref}/`)).length;

const gangPhase = (cluster: SimulatedCluster, ref: string): string | undefined =>
  (cluster.store.get(`runs/${ref}/0`) as { gang?: { phase: string } } | undefined)?.gang?.phase;

/** Two arrays and a gang that fail wherever they are tried, of the team `vision`. */
async function brokenJobs(cluster: SimulatedCluster): Promise<string[]> {
  return [
    await cluster.accept({ pieces: 8, failsAfterMs: 1000 }),
    await cluster.accept({ pieces: 6, failsAfterMs: 700, fetchMs: 500 }),
    await cluster.accept({ shape: 'gang', pieces: 2, gpus: 3, failsAfterMs: 1000 }),
  ];
}

/** Four machines have work for long: they are not given back as idle. */
async function keepBusy(cluster: SimulatedCluster): Promise<string> {
  const job = await cluster.accept({ pieces: 4, gpus: 5, runMs: 100_000, crew: 'speech' });
  await cluster.until(() => cluster.running(job) === 4, 20, 'four machines are of use');
  return job;
}

async function cancelAll(cluster: SimulatedCluster, jobs: string[]): Promise<void> {
  for (const job of jobs) await cluster.cancel(job);
}

const MEETINGS: FaultScenario[] = [
  {
    // Each of them failed on every machine, and two made a machine faulty: the whole fleet went back.
    name: 'jobs that fail everywhere cost no machine and few starts, also when leaders end',
    play: async (cluster, seed) => {
      const base = await keepBusy(cluster);
      const broken = await brokenJobs(cluster);
      const sound = await cluster.accept({ pieces: 6, runMs: 40_000 });
      await cluster.until(() => cluster.running(sound) === 6, 20, 'the rest of the team runs');
      await cluster.pass(10 + seed);
      const before = broken.map((job) => startsOf(cluster, job));
      const written = cluster.store.changes;
      const machinesBefore = new Set(cluster.cloud.hosts.keys());
      await cluster.pass(50);
      for (const [i, job] of broken.entries()) {
        const more = startsOf(cluster, job) - before[i]!;
        assert.ok(more >= 2 && more <= 10, `${more} starts of ${job} in 50 s`);
      }
      // A trial is recorded when it starts and when it has ended.
      assert.ok(
        cluster.store.changes - written <= 60,
        `${cluster.store.changes - written} changes`,
      );
      const atOffice = broken.map((job) => startsOf(cluster, job));
      await cluster.faults.endLeader(3);
      await cluster.pass(20);
      for (const [i, job] of broken.entries()) {
        const { pieces } = cluster.facts.get(job)!;
        const more = startsOf(cluster, job) - atOffice[i]!;
        // As a whole on one machine, as a whole on another, then one by one.
        assert.ok(more <= pieces * 2 + 4, `${more} starts of ${job} after a change of leader`);
      }
      assert.equal(cluster.holding(base).length, 4);
      assert.ok([...cluster.workers.values()].slice(0, 4).every((x) => !x.dead));
      // None is rented for them. The one that came for the sound job is beyond need by now, and may go back.
      assert.ok([...cluster.cloud.hosts.keys()].every((id) => machinesBefore.has(id)));
      assert.ok(cluster.cloud.hosts.size >= machinesBefore.size - 1);
      await cancelAll(cluster, broken);
    },
  },
  {
    name: 'a faulty machine is found while jobs fail everywhere, and no other is given back',
    machines: machines('aabba'),
    play: async (cluster, seed) => {
      const base = await keepBusy(cluster);
      const busy = cluster.holding(base);
      const faulty = [...cluster.workers.values()].find((x) => !busy.includes(x))!;
      const broken = await brokenJobs(cluster);
      await cluster.pass(5 * seed);
      faulty.failsAfterMs = 500;
      for (let i = 0; i < 3; i++)
        await cluster.accept({ pieces: 6, runMs: 15_000, crew: 'speech' });
      await cluster.until(() => faulty.dead, 60, 'the faulty machine is given back');
      assert.ok(busy.every((x) => !x.dead));
      assert.equal(cluster.running(base), 4);
      await cancelAll(cluster, broken);
    },
  },
  {
    name: 'a gang that fails everywhere neither keeps the gate nor has machines rented',
    machines: machines('aa'),
    play: async (cluster) => {
      const broken = await cluster.accept({
        shape: 'gang',
        pieces: 2,
        gpus: 8,
        failsAfterMs: 1000,
      });
      await cluster.until(() => startsOf(cluster, broken) >= 4, 30, 'it has been tried twice');
      // Its machines are taken from it, so that it finds no room any more.
      const others = await cluster.accept({ pieces: 2, gpus: 8, runMs: 60_000, crew: 'speech' });
      await cluster.until(() => cluster.running(others) === 2, 40, 'others have its machines');
      for (let i = 0; i < 30; i++) {
        await cluster.pass(1);
        assert.notEqual(gangPhase(cluster, broken), 'admitted');
      }
      assert.equal(cluster.cloud.hosts.size, 2);
      const sound = await cluster.accept({ shape: 'gang', pieces: 2, gpus: 8, crew: 'speech' });
      await cluster.until(() => cluster.running(sound) === 2, 70, 'another gang passes the gate');
      await cluster.cancel(broken);
    },
  },
  {
    name: 'a job that failed on several machines runs soon once it does not fail any more',
    play: async (cluster, seed) => {
      await keepBusy(cluster);
      const jobs = await brokenJobs(cluster);
      await cluster.pass(40 + 7 * seed);
      for (const job of jobs) delete cluster.facts.get(job)!.failsAfterMs;
      // The longest pause, a trial and the proof that it goes well.
      const all = (): boolean =>
        jobs.every((job) => cluster.stored(job) === 'done' || cluster.running(job) > 1);
      await cluster.until(all, 40, 'all of them run');
    },
  },
];

runScenarios(MEETINGS);
