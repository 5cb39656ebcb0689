import assert from 'node:assert/strict';
import { runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Users submit small jobs for a while, and do something with each. */
async function stream(
  cluster: SimulatedCluster,
  count: number,
  everyMs: number,
  then: (ref: string, i: number) => void,
): Promise<void> {
  for (let i = 0; i < count; i++) {
    const runMs = cluster.random.between(1500, 4000);
    void cluster
      .accepting({ runMs, fetchMs: 500, crew: i % 2 ? 'vision' : 'speech' })
      .then((ref) => {
        void cluster.queryEverywhere(ref);
        then(ref, i);
      });
    await cluster.pass(everyMs / 1000);
  }
}

const MEETINGS: FaultScenario[] = [
  {
    name: 'users ask at all nodes within milliseconds after a job was accepted, ended or cancelled',
    play: async (cluster) => {
      cluster.onDone = (piece) => {
        for (const ms of [0, 900, 1500, 3000]) {
          void cluster.clock.sleep(ms).then(() => cluster.queryEverywhere(piece.job));
        }
      };
      await stream(cluster, 16, 1000, (ref, i) => {
        if (i % 3 === 0) void cluster.cancelling(ref).then(() => cluster.queryEverywhere(ref));
      });
      await cluster.pass(10);
    },
  },
  {
    name: 'a cancellation, a question or a repeat meets the end of the last task',
    play: async (cluster) => {
      cluster.onDone = (piece) => {
        const afterMs = cluster.random.pick([0, 3, 20, 300, 800, 1100, 1500]);
        void cluster.clock.sleep(afterMs).then(() => {
          void cluster.queryEverywhere(piece.job);
          void cluster.cancelling(piece.job).then(() => cluster.queryEverywhere(piece.job));
        });
      };
      await stream(cluster, 20, 500, () => undefined);
      await cluster.pass(12);
    },
  },
  {
    name: 'one-task jobs come four a second for a minute, a quarter of them cancelled',
    seeds: [1],
    play: async (cluster) => {
      await stream(cluster, 240, 250, (ref, i) => {
        if (i % 4 !== 0) return;
        const afterMs = cluster.random.between(0, 3000);
        void cluster.clock.sleep(afterMs).then(() => cluster.cancelling(ref));
      });
      await cluster.pass(10);
    },
  },
  {
    name: 'odd requests: what cannot run or lacks a field, and cancellations of what is done',
    play: async (cluster) => {
      const done = await cluster.accept({ runMs: 2000 });
      const open = await cluster.accept({ shape: 'service', runMs: 0 });
      const bodies = [
        { ...cluster.wish({}).body, crate: undefined },
        { ...cluster.wish({}).body, pieces: 0 },
        { ...cluster.wish({}).body, crew: 'nobody' },
        { ...cluster.wish({}).body, gpus: 9 },
        { ...cluster.wish({}).body, hulls: ['g9'] },
        { ...cluster.wish({}).body, yard: 'c' },
        { ...cluster.wish({ shape: 'gang', gpus: 8, pieces: 5 }).body },
        { ...cluster.wish({ crew: 'desk', gpus: 0, vcpus: 17 }).body },
      ];
      await cluster.pass(8);
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
    name: 'users ask closely while answers get lost, the store lags and the leader ends',
    play: async (cluster) => {
      cluster.onDone = (piece) => void cluster.queryEverywhere(piece.job);
      cluster.faults.share.lostAnswers = 0.3;
      cluster.faults.share.lateWrites = 0.2;
      const rush = stream(cluster, 20, 500, (ref, i) => {
        if (i % 2 === 0) void cluster.cancelling(ref).then(() => cluster.queryEverywhere(ref));
      });
      await cluster.pass(4);
      await cluster.faults.endLeader(2);
      await rush;
      await cluster.pass(10);
    },
  },
  {
    name: 'answers of one controller are held up for seconds while users cancel and ask',
    play: async (cluster, seed) => {
      cluster.faults.holdAnswers(seed % 3, 3000);
      cluster.onDone = (piece) => void cluster.queryEverywhere(piece.job);
      await stream(cluster, 16, 700, (ref, i) => {
        if (i % 2 === 0) void cluster.cancelling(ref).then(() => cluster.queryEverywhere(ref));
      });
      await cluster.pass(10);
    },
  },
];

runScenarios(MEETINGS);
