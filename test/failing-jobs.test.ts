import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Number of task starts of a job. */
const startsOf = (cluster: SimulatedCluster, ref: string): number =>
  cluster.starts.filter((name) => name.startsWith(`${ref}/`)).length;

const gangPhase = (cluster: SimulatedCluster, ref: string): string | undefined =>
  (cluster.store.get(`runs/${ref}/0`) as { gang?: { phase: string } } | undefined)?.gang?.phase;

/** Submits two arrays and a gang of the team `vision` whose tasks fail on every machine. */
async function submitFailingJobs(cluster: SimulatedCluster): Promise<string[]> {
  return [
    await cluster.accept({ pieces: 8, failsAfterMs: 1000 }),
    await cluster.accept({ pieces: 6, failsAfterMs: 700, fetchMs: 500 }),
    await cluster.accept({ shape: 'gang', pieces: 2, gpus: 3, failsAfterMs: 1000 }),
  ];
}

/** Keeps four machines busy, so that they are not released as idle. */
async function keepBusy(cluster: SimulatedCluster): Promise<string> {
  const job = await cluster.accept({ pieces: 4, gpus: 5, runMs: 100_000, crew: 'speech' });
  await cluster.until(() => cluster.running(job) === 4, 20, 'four machines are busy');
  return job;
}

async function cancelJobs(cluster: SimulatedCluster, jobs: string[]): Promise<void> {
  for (const job of jobs) await cluster.cancel(job);
}

const SCENARIOS: FaultScenario[] = [
  {
    // Failures of two jobs on a machine once marked it as faulty, so that jobs that fail on every
    // machine caused the whole fleet to be released.
    name: 'jobs that fail on every machine cause few starts and no release of machines, also when leaders crash',
    run: async (cluster, seed) => {
      const baseJob = await keepBusy(cluster);
      const failing = await submitFailingJobs(cluster);
      const healthyJob = await cluster.accept({ pieces: 6, runMs: 40_000 });
      await cluster.until(
        () => cluster.running(healthyJob) === 6,
        20,
        'the healthy job of the team runs',
      );
      await cluster.advance(10 + seed);
      const before = failing.map((job) => startsOf(cluster, job));
      const written = cluster.store.changes;
      const machinesBefore = new Set(cluster.cloud.hosts.keys());
      await cluster.advance(50);
      for (const [i, job] of failing.entries()) {
        const newStarts = startsOf(cluster, job) - before[i]!;
        assert.ok(newStarts >= 2 && newStarts <= 10, `${newStarts} starts of ${job} in 50 s`);
      }
      // Each retry is recorded at its start and at its exit.
      assert.ok(
        cluster.store.changes - written <= 60,
        `${cluster.store.changes - written} changes`,
      );
      const startsAtTakeover = failing.map((job) => startsOf(cluster, job));
      await cluster.faults.restartLeader(3);
      await cluster.advance(20);
      for (const [i, job] of failing.entries()) {
        const { pieces } = cluster.facts.get(job)!;
        const newStarts = startsOf(cluster, job) - startsAtTakeover[i]!;
        // All tasks on one machine, all tasks on another, then single retries.
        assert.ok(
          newStarts <= pieces * 2 + 4,
          `${newStarts} starts of ${job} after a change of leader`,
        );
      }
      assert.equal(cluster.machinesWith(baseJob).length, 4);
      assert.ok([...cluster.workers.values()].slice(0, 4).every((worker) => !worker.dead));
      // No machine is provisioned for the failing jobs. The one that was provisioned for the
      // healthy job is no longer needed and may be released.
      assert.ok([...cluster.cloud.hosts.keys()].every((id) => machinesBefore.has(id)));
      assert.ok(cluster.cloud.hosts.size >= machinesBefore.size - 1);
      await cancelJobs(cluster, failing);
    },
  },
  {
    name: 'a faulty machine is detected while jobs fail on every machine, and no other machine is released',
    machines: machines('aabba'),
    run: async (cluster, seed) => {
      const baseJob = await keepBusy(cluster);
      const busy = cluster.machinesWith(baseJob);
      const faultyWorker = [...cluster.workers.values()].find((worker) => !busy.includes(worker))!;
      const failing = await submitFailingJobs(cluster);
      await cluster.advance(5 * seed);
      faultyWorker.failsAfterMs = 500;
      for (let i = 0; i < 3; i++)
        await cluster.accept({ pieces: 6, runMs: 15_000, crew: 'speech' });
      await cluster.until(() => faultyWorker.dead, 60, 'the faulty machine is released');
      assert.ok(busy.every((worker) => !worker.dead));
      assert.equal(cluster.running(baseJob), 4);
      await cancelJobs(cluster, failing);
    },
  },
  {
    name: 'a gang that fails on every machine neither holds the gate nor causes scale-out',
    machines: machines('aa'),
    run: async (cluster) => {
      const failing = await cluster.accept({
        shape: 'gang',
        pieces: 2,
        gpus: 8,
        failsAfterMs: 1000,
      });
      await cluster.until(() => startsOf(cluster, failing) >= 4, 30, 'it has been started twice');
      // Another team's job takes its machines, so that the gang finds no capacity any more.
      const otherTeamJob = await cluster.accept({
        pieces: 2,
        gpus: 8,
        runMs: 60_000,
        crew: 'speech',
      });
      await cluster.until(
        () => cluster.running(otherTeamJob) === 2,
        40,
        'the other job has its machines',
      );
      for (let i = 0; i < 30; i++) {
        await cluster.advance(1);
        assert.notEqual(gangPhase(cluster, failing), 'admitted');
      }
      assert.equal(cluster.cloud.hosts.size, 2);
      const healthyJob = await cluster.accept({
        shape: 'gang',
        pieces: 2,
        gpus: 8,
        crew: 'speech',
      });
      await cluster.until(
        () => cluster.running(healthyJob) === 2,
        70,
        'another gang passes the gate',
      );
      await cluster.cancel(failing);
    },
  },
  {
    name: 'a job that failed on several machines runs soon after its cause of failure is gone',
    run: async (cluster, seed) => {
      await keepBusy(cluster);
      const jobs = await submitFailingJobs(cluster);
      await cluster.advance(40 + 7 * seed);
      for (const job of jobs) delete cluster.facts.get(job)!.failsAfterMs;
      // The time limit covers the longest retry delay and a retry that proves that the job works.
      const allRun = (): boolean =>
        jobs.every((job) => cluster.storedPhase(job) === 'done' || cluster.running(job) > 1);
      await cluster.until(allRun, 40, 'all of them run');
    },
  },
];

runScenarios(SCENARIOS);
