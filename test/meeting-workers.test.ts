import { play, type Meeting } from './fakes/meeting.js';
import type { World } from './fakes/world.js';

async function work(w: World, runMs = 30_000): Promise<string[]> {
  const jobs = [
    await w.accept({ pieces: 6, runMs }),
    await w.accept({ shape: 'service', pieces: 3, runMs: 0, urgency: 'production' }),
    await w.accept({ shape: 'gang', pieces: 2, gpus: 4, runMs, crew: 'speech' }),
  ];
  await w.until(() => jobs.every((job) => w.running(job) > 0), 20, 'all kinds run');
  return jobs;
}

/** Newest reports of all workers, as they are now. */
const reportsNow = (w: World): object[] =>
  [...w.workers.values()].filter((x) => !x.dead).map((x) => structuredClone(x.sent.at(-1)!));

const MEETINGS: Meeting[] = [
  {
    name: 'an old report reaches every controller just as a new leader begins',
    seeds: [1, 2, 3, 4],
    play: async (w, seed) => {
      const empty = reportsNow(w);
      const jobs = await work(w);
      w.trouble.keepForNext([...empty, ...reportsNow(w)]);
      void w.cancelling(jobs[0]!);
      await w.pass(0.25 * seed);
      const old = w.leader;
      w.crash(old);
      await w.anotherLeads(old, 10);
      await w.pass(seed);
      for (const report of empty) w.trouble.everywhere(report);
      w.restart(old);
      await w.pass(15);
    },
  },
  {
    name: 'reports are kept for the next leader, and copies come late everywhere',
    seeds: [1, 2, 3, 4],
    play: async (w, seed) => {
      w.trouble.share.reportsForNext = 0.3;
      w.trouble.share.lateReports = 0.3;
      w.trouble.copiesEverywhere = seed % 2 === 0;
      const jobs = await work(w);
      await w.accept({ pieces: 8, runMs: 4000, crew: 'speech' });
      await w.pass(3);
      await w.trouble.endLeader(2);
      void w.cancelling(jobs[0]!);
      await w.accept({ pieces: 8, runMs: 4000, crew: 'speech' });
      await w.pass(5);
      await w.trouble.endLeader(2);
      await w.pass(15);
    },
  },
  {
    name: 'a report that a start has overtaken arrives again at the leader that gave the start',
    play: async (w, seed) => {
      w.trouble.share.lateReports = 0.5;
      for (let i = 0; i < 10; i++) {
        const ref = await w.accept({ pieces: 4, runMs: 3000, fetchMs: 500 });
        if (i % 3 === seed % 3) void w.cancelling(ref);
        await w.pass(1);
      }
      await w.pass(20);
    },
  },
  {
    name: 'an old report of an earlier session arrives after newer ones',
    play: async (w, seed) => {
      const jobs = await work(w, 60_000);
      const before = reportsNow(w);
      // Their leases run out, and they begin another session.
      const silent = w.holding(jobs[0]!);
      w.trouble.cutOff(silent);
      await w.pass(11);
      for (const worker of silent) worker.deaf = worker.mute = false;
      for (let i = 0; i < 10; i++) {
        for (const report of before) w.trouble.everywhere(report);
        await w.pass(0.5);
        if (i === seed * 2) void w.trouble.endLeader(2);
      }
      void w.cancelling(jobs[0]!);
      for (const report of before) w.trouble.everywhere(report);
      await w.pass(12);
    },
  },
  {
    name: 'commands and their answers are held up for seconds, and machines hang and go on',
    play: async (w, seed) => {
      w.trouble.share.lateCommands = 0.6;
      const jobs = await work(w);
      await w.accept({ pieces: 12, runMs: 5000, urgency: 'production', crew: 'speech' });
      void w.cancelling(jobs[0]!);
      w.trouble.hang(w.holding(jobs[0]!).slice(0, 2), 3 + 2 * seed);
      await w.pass(seed);
      void w.cancelling(jobs[1]!);
      await w.pass(5);
      await w.trouble.endLeader(2);
      await w.pass(20);
    },
  },
  {
    name: 'cancelled tasks hang with their machines, for less and for longer than a lease',
    seeds: [1, 2, 3, 4],
    play: async (w, seed) => {
      const jobs = await work(w, 90_000);
      const held = jobs.slice(0, 2).flatMap((job) => w.holding(job));
      for (const job of jobs.slice(0, 2)) void w.cancelling(job);
      w.trouble.hang(held, 5 * seed);
      await w.pass(1);
      if (seed % 2) await w.trouble.endLeader(3);
      await w.pass(40);
    },
  },
  {
    name: 'workers open no connection to any controller, while direct commands reach them',
    play: async (w, seed) => {
      const jobs = await work(w);
      w.trouble.mute([...w.workers.values()]);
      await w.pass(seed);
      void w.cancelling(jobs[seed % 3]!);
      await w.pass(5 + 4 * seed);
      for (const worker of w.workers.values()) worker.mute = false;
      await w.pass(12);
    },
  },
  {
    name: 'workers hear no answers, jobs are cancelled and the leader ends',
    play: async (w, seed) => {
      const jobs = await work(w);
      const deaf = [...w.workers.values()].filter((_x, i) => i % 2 === seed % 2);
      w.trouble.deafen(deaf);
      await w.pass(seed);
      void w.cancelling(jobs[0]!);
      await w.pass(4);
      await w.trouble.endLeader(3);
      await w.pass(5);
      for (const worker of deaf) worker.deaf = false;
      await w.pass(15);
    },
  },
];

play(MEETINGS);
