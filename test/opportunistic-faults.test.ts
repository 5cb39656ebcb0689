import assert from 'node:assert/strict';
import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** What the store allows, and what the controllers' settings say of it. */
const WRITES_PER_SECOND = 20;

/** Run records of jobs of which the store holds only the final state. */
const leftovers = (cluster: SimulatedCluster): string[] =>
  [...cluster.store.keys.keys()].filter((key) => {
    const [prefix, id] = key.split('/');
    const job =
      prefix === 'runs' && (cluster.store.get(`jobs/${id}`) as { spec?: object } | undefined);
    return job && !job.spec;
  });

/** One-task jobs of a team without a guarantee, six a second, a quarter of them cancelled. */
async function probes(cluster: SimulatedCluster, seconds: number): Promise<void> {
  for (let i = 0; i < seconds * 6; i++) {
    const wish = { crew: 'guests', gpus: 0, vcpus: 0.25, urgency: 'best_effort', fetchMs: 500 };
    void cluster
      .accepting({ ...wish, runMs: cluster.random.between(2000, 6000) })
      .then(async (ref) => {
        if (i % 4 !== 0) return;
        await cluster.clock.sleep(cluster.random.between(0, 4000));
        await cluster.cancelling(ref);
      });
    // Two come together, then one alone.
    if (i % 3 > 0) await cluster.pass(0.25);
  }
}

const MEETINGS: FaultScenario[] = [
  {
    name: 'one-task jobs come six a second at the limit of the store, and leaders end among them',
    state: { writeRps: WRITES_PER_SECOND },
    before: (cluster) => (cluster.store.limits = { writeRps: WRITES_PER_SECOND }),
    play: async (cluster, seed) => {
      const steady = await cluster.accept({ shape: 'service', pieces: 4, runMs: 0 });
      await cluster.until(
        () => cluster.running(steady) === 4,
        20,
        'a service with a guarantee runs',
      );
      let most = 0;
      for (let i = 0; i < 3; i++) {
        await probes(cluster, 8);
        most = Math.max(most, leftovers(cluster).length);
        if (i === seed - 1) cluster.faults.share.lostAnswers = 0.2;
        const waits = await cluster.accept({ pieces: 4, runMs: 5000 });
        await cluster.until(() => cluster.running(waits) === 4, 12, 'a guarantee is not delayed');
        if (i < 2) await cluster.faults.endLeader(2);
      }
      cluster.faults.share.lostAnswers = 0;
      assert.ok(most > 0, 'ends were written before what they leave was deleted');
      await cluster.until(() => leftovers(cluster).length === 0, 40, 'the rest is deleted');
    },
  },
  {
    name: 'a leader ends between the end of a job and the deletes of its run records',
    seeds: [1],
    before: (cluster) => {
      cluster.doneBefore('req-900000');
      const placed = [[0, 1, 'host-000001', 1, 'a']];
      for (const ref of ['req-900000', 'req-900001']) {
        cluster.store.write(`runs/${ref}/0`, { w: 'w', attempt: 1, done: [], placed });
      }
    },
    play: async (cluster) => {
      const gone = (): boolean => cluster.store.get('runs/req-900000/0') === undefined;
      await cluster.until(gone, 10, 'its successor deletes what was left');
      assert.equal(await cluster.phase('req-900000'), 'done');
      // Of a job that has no record at all nobody knows what it means.
      assert.notEqual(cluster.store.get('runs/req-900001/0'), undefined);
      assert.deepEqual(cluster.starts, []);
    },
  },
  {
    name: 'the store deletes what jobs left, its answer is lost, and the leader ends',
    state: { writeRps: WRITES_PER_SECOND },
    before: (cluster) => (cluster.store.limits = { writeRps: WRITES_PER_SECOND }),
    play: async (cluster, seed) => {
      await probes(cluster, 8);
      cluster.faults.share.lostAnswers = 0.5;
      await cluster.pass(3 * seed);
      await cluster.faults.endLeader(2);
      cluster.faults.share.lostAnswers = 0;
      await cluster.until(() => leftovers(cluster).length === 0, 40, 'the rest is deleted');
    },
  },
];

runScenarios(MEETINGS);
