import { machines, play, type Meeting } from './fakes/meeting.js';
import type { World } from './fakes/world.js';

/** Both teams with GPUs are at their limits, with more waiting behind; the machines are full. */
async function full(w: World): Promise<string[]> {
  const jobs: string[] = [];
  for (let i = 0; i < 4; i++) jobs.push(await w.accept({ pieces: 4, gpus: 2, runMs: 90_000 }));
  for (let i = 0; i < 4; i++) {
    jobs.push(await w.accept({ pieces: 2, gpus: 8, runMs: 90_000, crew: 'speech' }));
  }
  await w.until(() => jobs.every((job) => w.running(job) > 0), 30, 'all run');
  for (let i = 0; i < 4; i++) await w.accept({ pieces: 4, gpus: 2, runMs: 8000 });
  for (let i = 0; i < 3; i++) await w.accept({ gpus: 8, runMs: 8000, crew: 'speech' });
  return jobs;
}

const LARGE = machines('aaaaaabbbbbb');

const MEETINGS: Meeting[] = [
  {
    name: 'every team is at its limit, jobs are cancelled whose machines hang, and the leader ends',
    machines: LARGE,
    play: async (w, seed) => {
      const jobs = await full(w);
      for (const job of [jobs[0]!, jobs[4]!]) {
        // Some go on within their lease, some only after it.
        w.trouble.hang(w.holding(job), w.random.pick([4, 8, 14]));
        void w.cancelling(job);
      }
      await w.pass(0.5 * seed);
      await w.trouble.endLeader(3);
      await w.pass(20);
    },
  },
  {
    name: 'every team is at its limit, jobs are cancelled whose machines are cut off, and the leader ends',
    machines: LARGE,
    play: async (w, seed) => {
      const jobs = await full(w);
      const cut = [jobs[1]!, jobs[5]!].flatMap((job) => w.holding(job));
      w.trouble.cutOff(cut);
      await w.pass(0.5 * seed);
      for (const job of [jobs[1]!, jobs[5]!]) void w.cancelling(job);
      await w.trouble.endLeader(2);
      await w.pass(4 + seed);
      for (const worker of cut) worker.deaf = worker.mute = false;
      await w.pass(15);
    },
  },
  {
    name: 'a team is at its limit, its leader changes twice, and a job on silent machines is cancelled',
    machines: LARGE,
    play: async (w, seed) => {
      const jobs = await full(w);
      const silent = w.holding(jobs[2]!);
      w.trouble.mute(silent);
      await w.trouble.endLeader(2);
      void w.cancelling(jobs[2]!);
      w.directOpen = false;
      await w.pass(seed);
      await w.trouble.endLeader(2);
      await w.pass(3);
      w.directOpen = true;
      await w.pass(10);
    },
  },
  {
    name: 'a team of CPUs alone stays within its limit while machines hang and the leader ends',
    play: async (w, seed) => {
      const wish = { crew: 'desk', gpus: 0, vcpus: 4, pieces: 4 };
      const first = await w.accept({ ...wish, runMs: 30_000 });
      await w.accept({ ...wish, runMs: 5000 });
      await w.until(() => w.running(first) === 4, 15, 'the limit is used');
      w.trouble.hang(w.holding(first).slice(0, 2), 6 + 3 * seed);
      void w.cancelling(first);
      await w.pass(1);
      await w.trouble.endLeader(2);
      await w.pass(20);
    },
  },
  {
    name: 'jobs bound to one zone, arrays too, lose machines',
    machines: machines('aaabbb'),
    play: async (w, seed) => {
      const wish = { runMs: 30_000, samePlace: true };
      const jobs = [
        await w.accept({ ...wish, pieces: 10, gpus: 2 }),
        await w.accept({ ...wish, shape: 'gang', pieces: 2, gpus: 8, crew: 'speech' }),
        await w.accept({ ...wish, shape: 'service', pieces: 3, runMs: 0, crew: 'speech' }),
        await w.accept({ pieces: 4, gpus: 2, runMs: 30_000, yard: 'b', crew: 'speech' }),
        await w.accept({ pieces: 4, runMs: 30_000, apart: true, crew: 'speech' }),
      ];
      await w.until(() => jobs.every((job) => w.running(job) > 0), 30, 'all run');
      const lost = jobs.slice(0, 3).map((job) => w.random.pick(w.holding(job)));
      lost[0]!.hung = true;
      for (const worker of lost.slice(1)) {
        w.kill(worker.id);
        w.cloud.hosts.delete(worker.id);
      }
      await w.pass(seed * 2);
      await w.trouble.endLeader(2);
      await w.pass(6 * seed);
      lost[0]!.hung = false;
      await w.pass(15);
    },
  },
  {
    name: 'a zone with workers and a controller is cut off for longer than a lease',
    machines: machines('aaabbb'),
    play: async (w, seed) => {
      const jobs = [
        await w.accept({ shape: 'service', pieces: 6, gpus: 2, runMs: 0 }),
        await w.accept({ pieces: 8, gpus: 2, runMs: 40_000, crew: 'speech' }),
        await w.accept({ shape: 'gang', pieces: 2, gpus: 4, runMs: 40_000, crew: 'speech' }),
      ];
      await w.until(() => jobs.every((job) => w.running(job) > 0), 30, 'all run');
      w.split(true);
      await w.pass(seed * 2);
      void w.cancelling(jobs[seed % 3]!);
      await w.pass(6);
      if (seed > 1) await w.trouble.endLeader(4);
      await w.pass(16);
      w.split(false);
      await w.pass(12);
    },
  },
  {
    name: 'there is more work than room, urgent and not, and answers to workers come late',
    play: async (w, seed) => {
      w.cloud.capacity = 4;
      for (const [i] of w.nodes.entries()) w.trouble.holdAnswers(i, 300 * seed);
      for (let i = 0; i < 12; i++) {
        void w.accepting({
          shape: w.random.pick(['array', 'array', 'gang']),
          pieces: w.random.pick([1, 2, 4]),
          gpus: w.random.pick([1, 2, 4]),
          runMs: 6000,
          crew: w.random.pick(['vision', 'speech']),
          urgency: w.random.pick(['production', 'urgent', 'standard', 'best_effort']),
        });
        await w.pass(1);
      }
      await w.pass(5);
      await w.trouble.endLeader(2);
      await w.pass(20);
    },
  },
];

play(MEETINGS);
