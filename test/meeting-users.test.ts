import assert from 'node:assert/strict';
import { play, type Meeting } from './fakes/meeting.js';
import type { World } from './fakes/world.js';

/** Users submit small jobs for a while, and do something with each. */
async function stream(
  w: World,
  count: number,
  everyMs: number,
  then: (ref: string, i: number) => void,
): Promise<void> {
  for (let i = 0; i < count; i++) {
    const runMs = w.random.between(1500, 4000);
    void w.accepting({ runMs, fetchMs: 500, crew: i % 2 ? 'vision' : 'speech' }).then((ref) => {
      void w.queryEverywhere(ref);
      then(ref, i);
    });
    await w.pass(everyMs / 1000);
  }
}

const MEETINGS: Meeting[] = [
  {
    name: 'users ask at all nodes within milliseconds after a job was accepted, ended or cancelled',
    play: async (w) => {
      w.onDone = (piece) => {
        for (const ms of [0, 900, 1500, 3000]) {
          void w.clock.sleep(ms).then(() => w.queryEverywhere(piece.job));
        }
      };
      await stream(w, 16, 1000, (ref, i) => {
        if (i % 3 === 0) void w.cancelling(ref).then(() => w.queryEverywhere(ref));
      });
      await w.pass(10);
    },
  },
  {
    name: 'a cancellation, a question or a repeat meets the end of the last task',
    play: async (w) => {
      w.onDone = (piece) => {
        const afterMs = w.random.pick([0, 3, 20, 300, 800, 1100, 1500]);
        void w.clock.sleep(afterMs).then(() => {
          void w.queryEverywhere(piece.job);
          void w.cancelling(piece.job).then(() => w.queryEverywhere(piece.job));
        });
      };
      await stream(w, 20, 500, () => undefined);
      await w.pass(12);
    },
  },
  {
    name: 'one-task jobs come four a second for a minute, a quarter of them cancelled',
    seeds: [1],
    play: async (w) => {
      await stream(w, 240, 250, (ref, i) => {
        if (i % 4 !== 0) return;
        const afterMs = w.random.between(0, 3000);
        void w.clock.sleep(afterMs).then(() => w.cancelling(ref));
      });
      await w.pass(10);
    },
  },
  {
    name: 'odd requests: what cannot run or lacks a field, and cancellations of what is done',
    play: async (w) => {
      const done = await w.accept({ runMs: 2000 });
      const open = await w.accept({ shape: 'service', runMs: 0 });
      const bodies = [
        { ...w.wish({}).body, crate: undefined },
        { ...w.wish({}).body, pieces: 0 },
        { ...w.wish({}).body, crew: 'nobody' },
        { ...w.wish({}).body, gpus: 9 },
        { ...w.wish({}).body, hulls: ['g9'] },
        { ...w.wish({}).body, yard: 'c' },
        { ...w.wish({ shape: 'gang', gpus: 8, pieces: 5 }).body },
        { ...w.wish({ crew: 'desk', gpus: 0, vcpus: 17 }).body },
      ];
      await w.pass(8);
      for (const [i] of w.nodes.entries()) {
        for (const body of bodies) {
          assert.match(String((await w.ask(w.user(i).submit(body))).status), /400|422/);
          assert.equal((await w.ask(w.user(i).query((body as { ref: string }).ref))).status, 404);
        }
        assert.equal(await w.cancel(done, i), 'done');
        for (const ref of [done, open]) {
          const repeat = await w.ask(w.user(i).submit({ ref, crate: 7 }));
          assert.equal(repeat.status, 200);
        }
        assert.equal((await w.ask(w.user(i).abort('req-999999'))).status, 404);
      }
    },
  },
  {
    name: 'users ask closely while answers get lost, the store lags and the leader ends',
    play: async (w) => {
      w.onDone = (piece) => void w.queryEverywhere(piece.job);
      w.trouble.share.lostAnswers = 0.3;
      w.trouble.share.lateWrites = 0.2;
      const rush = stream(w, 20, 500, (ref, i) => {
        if (i % 2 === 0) void w.cancelling(ref).then(() => w.queryEverywhere(ref));
      });
      await w.pass(4);
      await w.trouble.endLeader(2);
      await rush;
      await w.pass(10);
    },
  },
  {
    name: 'answers of one controller are held up for seconds while users cancel and ask',
    play: async (w, seed) => {
      w.trouble.holdAnswers(seed % 3, 3000);
      w.onDone = (piece) => void w.queryEverywhere(piece.job);
      await stream(w, 16, 700, (ref, i) => {
        if (i % 2 === 0) void w.cancelling(ref).then(() => w.queryEverywhere(ref));
      });
      await w.pass(10);
    },
  },
];

play(MEETINGS);
