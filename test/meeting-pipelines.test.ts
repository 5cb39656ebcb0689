import { play, type Meeting } from './fakes/meeting.js';
import type { World } from './fakes/world.js';

/** A pipeline of three jobs, each of which needs the one before. */
async function pipeline(w: World, runMs = 4000): Promise<string[]> {
  const wish = { runMs, fetchMs: 500, crew: 'speech' };
  const first = await w.accept({ ...wish, pieces: 3 });
  const second = await w.accept({ ...wish, pieces: 4, waitsOn: [first] });
  const third = await w.accept({ ...wish, shape: 'gang', pieces: 2, waitsOn: [second] });
  return [first, second, third];
}

const MEETINGS: Meeting[] = [
  {
    name: 'pipelines go on while leaders change at the end of each of their jobs',
    play: async (w, seed) => {
      const all = [await pipeline(w), await pipeline(w), await pipeline(w)];
      let ends = 0;
      w.onDone = (piece) => {
        void w.queryEverywhere(piece.job);
        if (++ends % 7 === seed) void w.trouble.endLeader(2);
      };
      await w.pass(25);
      void w.cancelling(all[0]![2]!);
      await w.pass(10);
    },
  },
  {
    name: 'the first job of a pipeline is cancelled as its last task ends',
    play: async (w, seed) => {
      const all = [await pipeline(w), await pipeline(w), await pipeline(w), await pipeline(w)];
      const firsts = new Set(all.map(([first]) => first!));
      w.onDone = (piece) => {
        const { job } = piece;
        if (!firsts.delete(job)) return;
        const afterMs = w.random.pick([0, 20, 400, 1000, 1600]) * seed;
        void w.clock.sleep(afterMs).then(async () => {
          await w.cancelling(job);
          for (const ref of all.find((refs) => refs[0] === job)!) void w.queryEverywhere(ref);
        });
      };
      await w.pass(25);
    },
  },
  {
    name: 'a job that others need is cancelled while writes come late and the leader ends',
    play: async (w, seed) => {
      w.trouble.share.lateWrites = 0.2;
      const all = [await pipeline(w, 8000), await pipeline(w, 8000), await pipeline(w, 8000)];
      await w.pass(seed);
      void w.cancelling(all[0]![0]!);
      void w.cancelling(all[1]![1]!);
      await w.pass(1);
      await w.trouble.endLeader(3);
      // One that needs a cancelled job is submitted only now.
      void w.accepting({ crew: 'speech', waitsOn: [all[0]![0]!, all[2]![0]!] });
      await w.pass(20);
    },
  },
  {
    name: 'a job that others need is cancelled while their machines hang, then the store is out',
    play: async (w, seed) => {
      const all = [await pipeline(w, 5000), await pipeline(w, 5000)];
      await w.until(() => w.running(all[0]![1]!) > 0, 30, 'the second runs');
      w.trouble.hang(w.holding(all[0]![1]!), 7 * seed);
      void w.cancelling(all[0]![1]!);
      await w.pass(1);
      w.trouble.outage();
      await w.pass(6 * seed);
      w.trouble.outageOver();
      await w.pass(10);
    },
  },
  {
    name: 'a pipeline is handed in and cancelled at once, through different controllers',
    play: async (w, seed) => {
      w.trouble.share.lostAnswers = 0.1 * seed;
      for (let i = 0; i < 4; i++) {
        const refs = await pipeline(w);
        void w.cancelling(refs[i % 3]!).then(() => refs.map((ref) => w.queryEverywhere(ref)));
        await w.pass(1);
      }
      await w.pass(15);
    },
  },
];

play(MEETINGS);
