import assert from 'node:assert/strict';
import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Submits small jobs at an interval, queries each of them everywhere and passes it to `then`. */
async function submitStream(
  cluster: SimulatedCluster,
  count: number,
  intervalMs: number,
  then: (ref: string, i: number) => void,
): Promise<void> {
  for (let i = 0; i < count; i++) {
    const runMs = cluster.random.between(1500, 4000);
    void cluster
      .acceptInBackground({ runMs, fetchMs: 500, crew: i % 2 ? 'vision' : 'speech' })
      .then((ref) => {
        void cluster.queryEverywhere(ref);
        then(ref, i);
      });
    await cluster.advance(intervalMs / 1000);
  }
}

const SCENARIOS: FaultScenario[] = [
  {
    name: 'users query all controllers within milliseconds after a job is accepted, completed or cancelled',
    run: async (cluster) => {
      cluster.onDone = (task) => {
        for (const ms of [0, 900, 1500, 3000]) {
          void cluster.clock.sleep(ms).then(() => cluster.queryEverywhere(task.job));
        }
      };
      await submitStream(cluster, 16, 1000, (ref, i) => {
        if (i % 3 === 0)
          void cluster.cancelInBackground(ref).then(() => cluster.queryEverywhere(ref));
      });
      await cluster.advance(10);
    },
  },
  {
    name: 'a cancellation, a query or a repeated submission coincides with the end of the last task',
    run: async (cluster) => {
      cluster.onDone = (task) => {
        const delayMs = cluster.random.pick([0, 3, 20, 300, 800, 1100, 1500]);
        void cluster.clock.sleep(delayMs).then(() => {
          void cluster.queryEverywhere(task.job);
          void cluster.cancelInBackground(task.job).then(() => cluster.queryEverywhere(task.job));
        });
      };
      await submitStream(cluster, 20, 500, () => undefined);
      await cluster.advance(12);
    },
  },
  {
    name: 'four one-task jobs are submitted per second for a minute, and a quarter of them cancelled',
    seeds: [1],
    run: async (cluster) => {
      await submitStream(cluster, 240, 250, (ref, i) => {
        if (i % 4 !== 0) return;
        const delayMs = cluster.random.between(0, 3000);
        void cluster.clock.sleep(delayMs).then(() => cluster.cancelInBackground(ref));
      });
      await cluster.advance(10);
    },
  },
  {
    name: 'invalid submissions, jobs that cannot run, and cancellations of completed and unknown jobs',
    run: async (cluster) => {
      const done = await cluster.accept({ runMs: 2000 });
      const open = await cluster.accept({ shape: 'service', runMs: 0 });
      const bodies = [
        { ...cluster.createSubmission({}).body, crate: undefined },
        { ...cluster.createSubmission({}).body, pieces: 0 },
        { ...cluster.createSubmission({}).body, crew: 'nobody' },
        { ...cluster.createSubmission({}).body, gpus: 9 },
        { ...cluster.createSubmission({}).body, hulls: ['g9'] },
        { ...cluster.createSubmission({}).body, yard: 'c' },
        { ...cluster.createSubmission({ shape: 'gang', gpus: 8, pieces: 5 }).body },
        { ...cluster.createSubmission({ crew: 'desk', gpus: 0, vcpus: 17 }).body },
      ];
      await cluster.advance(8);
      for (const [i] of cluster.nodes.entries()) {
        for (const body of bodies) {
          assert.match(String((await cluster.ask(cluster.user(i).submit(body))).status), /400|422/);
          assert.equal(
            (await cluster.ask(cluster.user(i).query((body as { ref: string }).ref))).status,
            404,
          );
        }
        assert.equal(await cluster.cancel(done, i), 'done');
        for (const ref of [done, open]) {
          const repeat = await cluster.ask(cluster.user(i).submit({ ref, crate: 7 }));
          assert.equal(repeat.status, 200);
        }
        assert.equal((await cluster.ask(cluster.user(i).abort('req-999999'))).status, 404);
      }
    },
  },
  {
    name: 'users query often while responses are lost, writes are delayed and the leader crashes',
    run: async (cluster) => {
      cluster.onDone = (task) => void cluster.queryEverywhere(task.job);
      cluster.faults.share.lostAnswers = 0.3;
      cluster.faults.share.lateWrites = 0.2;
      const submissions = submitStream(cluster, 20, 500, (ref, i) => {
        if (i % 2 === 0)
          void cluster.cancelInBackground(ref).then(() => cluster.queryEverywhere(ref));
      });
      await cluster.advance(4);
      await cluster.faults.restartLeader(2);
      await submissions;
      await cluster.advance(10);
    },
  },
  {
    name: 'responses of one controller are delayed for seconds while users cancel and query',
    run: async (cluster, seed) => {
      cluster.faults.holdAnswers(seed % 3, 3000);
      cluster.onDone = (task) => void cluster.queryEverywhere(task.job);
      await submitStream(cluster, 16, 700, (ref, i) => {
        if (i % 2 === 0)
          void cluster.cancelInBackground(ref).then(() => cluster.queryEverywhere(ref));
      });
      await cluster.advance(10);
    },
  },
];

runScenarios(SCENARIOS);
