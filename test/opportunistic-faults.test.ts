import assert from 'node:assert/strict';
import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** The write rate that the store allows and that the controllers' settings state. */
const WRITES_PER_SECOND = 20;

/** Keys of run records that remain although their job record holds only the final state. */
const remainingRunRecords = (cluster: SimulatedCluster): string[] =>
  [...cluster.store.keys.keys()].filter((key) => {
    const [prefix, id] = key.split('/');
    const job =
      prefix === 'runs' && (cluster.store.get(`jobs/${id}`) as { spec?: object } | undefined);
    return job && !job.spec;
  });

/** Submits one-task jobs of a team without a guarantee, six per second, and cancels a quarter. */
async function submitOpportunisticJobs(cluster: SimulatedCluster, seconds: number): Promise<void> {
  for (let i = 0; i < seconds * 6; i++) {
    const template = { crew: 'guests', gpus: 0, vcpus: 0.25, urgency: 'best_effort', fetchMs: 500 };
    void cluster
      .acceptInBackground({ ...template, runMs: cluster.random.between(2000, 6000) })
      .then(async (ref) => {
        if (i % 4 !== 0) return;
        await cluster.clock.sleep(cluster.random.between(0, 4000));
        await cluster.cancelInBackground(ref);
      });
    // Pauses after two of three jobs, so that two are submitted together and one alone.
    if (i % 3 > 0) await cluster.advance(0.25);
  }
}

const SCENARIOS: FaultScenario[] = [
  {
    name: 'six one-task jobs per second reach the write limit of the store while leaders crash',
    state: { writeRps: WRITES_PER_SECOND },
    prepare: (cluster) => (cluster.store.limits = { writeRps: WRITES_PER_SECOND }),
    run: async (cluster, seed) => {
      const guaranteedService = await cluster.accept({ shape: 'service', pieces: 4, runMs: 0 });
      await cluster.until(
        () => cluster.running(guaranteedService) === 4,
        20,
        'the service of a team with a guarantee runs',
      );
      let maxRemaining = 0;
      for (let i = 0; i < 3; i++) {
        await submitOpportunisticJobs(cluster, 8);
        maxRemaining = Math.max(maxRemaining, remainingRunRecords(cluster).length);
        if (i === seed - 1) cluster.faults.share.lostAnswers = 0.2;
        const guaranteedJob = await cluster.accept({ pieces: 4, runMs: 5000 });
        await cluster.until(
          () => cluster.running(guaranteedJob) === 4,
          12,
          'guaranteed work is not delayed',
        );
        if (i < 2) await cluster.faults.restartLeader(2);
      }
      cluster.faults.share.lostAnswers = 0;
      assert.ok(maxRemaining > 0, 'completions are written before the run records are deleted');
      await cluster.until(
        () => remainingRunRecords(cluster).length === 0,
        40,
        'the remaining run records are deleted',
      );
    },
  },
  {
    name: 'a leader crashes between the completion of a job and the deletion of its run records',
    seeds: [1],
    prepare: (cluster) => {
      cluster.addDoneJob('req-900000');
      const placed = [[0, 1, 'host-000001', 1, 'a']];
      for (const ref of ['req-900000', 'req-900001']) {
        cluster.store.write(`runs/${ref}/0`, { w: 'w', attempt: 1, done: [], placed });
      }
    },
    run: async (cluster) => {
      const isDeleted = (): boolean => cluster.store.get('runs/req-900000/0') === undefined;
      await cluster.until(isDeleted, 10, 'the next leader deletes the remaining run record');
      assert.equal(await cluster.phase('req-900000'), 'done');
      // The run record of a job without a job record is kept, since its state is unknown.
      assert.notEqual(cluster.store.get('runs/req-900001/0'), undefined);
      assert.deepEqual(cluster.starts, []);
    },
  },
  {
    name: 'responses to the deletions of run records are lost, and the leader crashes',
    state: { writeRps: WRITES_PER_SECOND },
    prepare: (cluster) => (cluster.store.limits = { writeRps: WRITES_PER_SECOND }),
    run: async (cluster, seed) => {
      await submitOpportunisticJobs(cluster, 8);
      cluster.faults.share.lostAnswers = 0.5;
      await cluster.advance(3 * seed);
      await cluster.faults.restartLeader(2);
      cluster.faults.share.lostAnswers = 0;
      await cluster.until(
        () => remainingRunRecords(cluster).length === 0,
        40,
        'the remaining run records are deleted',
      );
    },
  },
];

runScenarios(SCENARIOS);
