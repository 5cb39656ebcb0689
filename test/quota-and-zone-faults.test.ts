import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Fills the limits of both teams with GPUs, with more jobs pending; returns the running jobs. */
async function fillLimits(cluster: SimulatedCluster): Promise<string[]> {
  const jobs: string[] = [];
  for (let i = 0; i < 4; i++)
    jobs.push(await cluster.accept({ pieces: 4, gpus: 2, runMs: 90_000 }));
  for (let i = 0; i < 4; i++) {
    jobs.push(await cluster.accept({ pieces: 2, gpus: 8, runMs: 90_000, crew: 'speech' }));
  }
  await cluster.until(() => jobs.every((job) => cluster.running(job) > 0), 30, 'all run');
  for (let i = 0; i < 4; i++) await cluster.accept({ pieces: 4, gpus: 2, runMs: 8000 });
  for (let i = 0; i < 3; i++) await cluster.accept({ gpus: 8, runMs: 8000, crew: 'speech' });
  return jobs;
}

/** More capacity than the teams' limits allow, so that only the limits hold back pending jobs. */
const LARGE_FLEET = machines('aaaaaaaabbbbbbbb');

const SCENARIOS: FaultScenario[] = [
  {
    name: 'every team is at its limit, jobs are cancelled whose machines hang, and the leader crashes',
    machines: LARGE_FLEET,
    run: async (cluster, seed) => {
      const jobs = await fillLimits(cluster);
      for (const job of [jobs[0]!, jobs[4]!]) {
        // Some machines resume within their lease, others only after it.
        cluster.faults.hang(cluster.machinesWith(job), cluster.random.pick([4, 8, 14]));
        void cluster.cancelInBackground(job);
      }
      await cluster.advance(0.5 * seed);
      await cluster.faults.restartLeader(3);
      await cluster.advance(20);
    },
  },
  {
    name: 'every team is at its limit, jobs are cancelled whose machines are unreachable, and the leader crashes',
    machines: LARGE_FLEET,
    run: async (cluster, seed) => {
      const jobs = await fillLimits(cluster);
      const unreachable = [jobs[1]!, jobs[5]!].flatMap((job) => cluster.machinesWith(job));
      cluster.faults.cutOff(unreachable);
      await cluster.advance(0.5 * seed);
      for (const job of [jobs[1]!, jobs[5]!]) void cluster.cancelInBackground(job);
      await cluster.faults.restartLeader(2);
      await cluster.advance(4 + seed);
      for (const worker of unreachable) worker.deaf = worker.mute = false;
      await cluster.advance(15);
    },
  },
  {
    name: 'a team is at its limit, the leader changes twice, and a job on silent machines is cancelled',
    machines: LARGE_FLEET,
    run: async (cluster, seed) => {
      const jobs = await fillLimits(cluster);
      const silent = cluster.machinesWith(jobs[2]!);
      cluster.faults.loseHeartbeatsOf(silent);
      await cluster.faults.restartLeader(2);
      void cluster.cancelInBackground(jobs[2]!);
      cluster.directCommandsEnabled = false;
      await cluster.advance(seed);
      await cluster.faults.restartLeader(2);
      await cluster.advance(3);
      cluster.directCommandsEnabled = true;
      await cluster.advance(10);
    },
  },
  {
    name: 'outdated heartbeats report no tasks to the next leader while cancelled tasks hang, at the limits',
    machines: LARGE_FLEET,
    run: async (cluster, seed) => {
      const reportsWithoutTasks = [...cluster.workers.values()].map((worker) =>
        structuredClone(worker.sent.at(-1)!),
      );
      const jobs = await fillLimits(cluster);
      cluster.faults.keepForNextLeader(reportsWithoutTasks);
      const cancelled = [jobs[0]!, jobs[4]!];
      cluster.faults.hang(
        cancelled.flatMap((job) => cluster.machinesWith(job)),
        7 + seed,
      );
      for (const job of cancelled) void cluster.cancelInBackground(job);
      await cluster.advance(0.5);
      await cluster.faults.restartLeader(3);
      for (const report of reportsWithoutTasks) cluster.faults.deliverToAll(report);
      await cluster.advance(15);
    },
  },
  {
    name: 'a team with only a CPU limit stays within it while machines hang and the leader crashes',
    run: async (cluster, seed) => {
      const template = { crew: 'desk', gpus: 0, vcpus: 4, pieces: 4 };
      const first = await cluster.accept({ ...template, runMs: 30_000 });
      await cluster.accept({ ...template, runMs: 5000 });
      await cluster.until(() => cluster.running(first) === 4, 15, 'the limit is used');
      cluster.faults.hang(cluster.machinesWith(first).slice(0, 2), 6 + 3 * seed);
      void cluster.cancelInBackground(first);
      await cluster.advance(1);
      await cluster.faults.restartLeader(2);
      await cluster.advance(20);
    },
  },
  {
    name: 'jobs restricted to one zone, including arrays, lose machines',
    machines: machines('aaabbb'),
    run: async (cluster, seed) => {
      const template = { runMs: 30_000, samePlace: true };
      const jobs = [
        await cluster.accept({ ...template, pieces: 10, gpus: 2 }),
        await cluster.accept({ ...template, shape: 'gang', pieces: 2, gpus: 8, crew: 'speech' }),
        await cluster.accept({
          ...template,
          shape: 'service',
          pieces: 3,
          runMs: 0,
          crew: 'speech',
        }),
        await cluster.accept({ pieces: 4, gpus: 2, runMs: 30_000, yard: 'b', crew: 'speech' }),
        await cluster.accept({ pieces: 4, runMs: 30_000, apart: true, crew: 'speech' }),
      ];
      await cluster.until(() => jobs.every((job) => cluster.running(job) > 0), 30, 'all run');
      const lost = jobs.slice(0, 3).map((job) => cluster.random.pick(cluster.machinesWith(job)));
      lost[0]!.hung = true;
      for (const worker of lost.slice(1)) {
        cluster.kill(worker.id);
        cluster.cloud.hosts.delete(worker.id);
      }
      await cluster.advance(seed * 2);
      await cluster.faults.restartLeader(2);
      await cluster.advance(6 * seed);
      lost[0]!.hung = false;
      await cluster.advance(15);
    },
  },
  {
    name: 'a zone with workers and a controller is partitioned for longer than a lease',
    machines: machines('aaabbb'),
    run: async (cluster, seed) => {
      const jobs = [
        await cluster.accept({ shape: 'service', pieces: 6, gpus: 2, runMs: 0 }),
        await cluster.accept({ pieces: 8, gpus: 2, runMs: 40_000, crew: 'speech' }),
        await cluster.accept({ shape: 'gang', pieces: 2, gpus: 4, runMs: 40_000, crew: 'speech' }),
      ];
      await cluster.until(() => jobs.every((job) => cluster.running(job) > 0), 30, 'all run');
      cluster.setPartitioned(true);
      await cluster.advance(seed * 2);
      void cluster.cancelInBackground(jobs[seed % 3]!);
      await cluster.advance(6);
      if (seed > 1) await cluster.faults.restartLeader(4);
      await cluster.advance(16);
      cluster.setPartitioned(false);
      await cluster.advance(12);
    },
  },
  {
    name: 'work of all priorities exceeds the capacity, and responses to workers are delayed',
    run: async (cluster, seed) => {
      cluster.cloud.capacity = 4;
      for (const [i] of cluster.nodes.entries()) cluster.faults.holdAnswers(i, 300 * seed);
      for (let i = 0; i < 12; i++) {
        void cluster.acceptInBackground({
          shape: cluster.random.pick(['array', 'array', 'gang']),
          pieces: cluster.random.pick([1, 2, 4]),
          gpus: cluster.random.pick([1, 2, 4]),
          runMs: 6000,
          crew: cluster.random.pick(['vision', 'speech']),
          urgency: cluster.random.pick(['production', 'urgent', 'standard', 'best_effort']),
        });
        await cluster.advance(1);
      }
      await cluster.advance(5);
      await cluster.faults.restartLeader(2);
      await cluster.advance(20);
    },
  },
];

runScenarios(SCENARIOS);
