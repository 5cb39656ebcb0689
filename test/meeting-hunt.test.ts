import assert from 'node:assert/strict';
import { machines, play, type Meeting } from './fakes/meeting.js';
import type { World } from './fakes/world.js';

const LEASE_S = 10;
const CANCEL_S = 35;

/** Each team has as much running as its limit allows, or more than that waiting. */
async function fillLimits(w: World): Promise<string[]> {
  const jobs = [
    await w.accept({ pieces: 12, gpus: 2, runMs: 40_000 }),
    await w.accept({ pieces: 12, gpus: 2, runMs: 40_000, crew: 'speech' }),
    await w.accept({ shape: 'service', pieces: 2, runMs: 0, urgency: 'production' }),
  ];
  await w.until(() => jobs.every((job) => w.running(job) > 0), 20, 'all teams run');
  return jobs;
}

/** Users submit small jobs, and call off some of them as they end. */
async function trickle(w: World): Promise<void> {
  while (!w.settling) {
    void w.accepting({ pieces: 2, runMs: 3000, fetchMs: 500, crew: 'speech' }).then(async (ref) => {
      if (w.random.next() < 0.5) return;
      await w.clock.sleep(w.random.between(2500, 5000));
      await w.cancelling(ref);
      void w.queryEverywhere(ref);
    });
    await w.clock.sleep(2500);
  }
}

const MEETINGS: Meeting[] = [
  {
    name: 'every leader stands still past its lease within 20 s, answers are lost, jobs are called off',
    play: async (w) => {
      await fillLimits(w);
      void trickle(w);
      w.trouble.share.lostAnswers = 0.2;
      w.trouble.share.reportsForNext = 0.3;
      for (let i = 0; i < 5; i++) {
        if (w.leader >= 0) w.freeze(w.leader, w.random.between(3500, LEASE_S * 1400));
        await w.pass(20);
      }
    },
  },
  {
    name: 'the store is out for longer than a lease, all controllers end in it, all workers return at once',
    machines: machines('aabbaa'),
    play: async (w, seed) => {
      const jobs = await fillLimits(w);
      void trickle(w);
      w.trouble.share.lateReports = 0.3;
      for (const outageS of [LEASE_S * 2, CANCEL_S + 5]) {
        void w.cancelling(jobs.shift()!);
        await w.pass(0.25 * seed);
        w.trouble.outage();
        await w.trouble.restartAll(4);
        await w.pass(outageS - LEASE_S);
        await w.trouble.restartAll(1);
        await w.pass(LEASE_S - 5);
        w.trouble.outageOver();
        w.trouble.share.lateWrites = 0.2;
        await w.pass(25);
        w.trouble.share.lateWrites = 0;
      }
    },
  },
  {
    name: 'machines out of reach hear nothing from the second on in which the leader ends',
    machines: machines('aabbab'),
    play: async (w, seed) => {
      const jobs = await fillLimits(w);
      w.trouble.share.reportsForNext = 0.5;
      w.trouble.share.lateReports = 0.3;
      const some = [...w.workers.values()].slice(0, 3);
      for (let i = 0; i < 3; i++) {
        w.trouble.mute(some);
        await w.pass(LEASE_S - 3 + seed * 2);
        for (const x of some) x.mute = false;
        w.trouble.deafen(some);
        if (jobs.length > 1) void w.cancelling(jobs.shift()!);
        await w.trouble.endLeader(seed * 0.5);
        await w.pass(LEASE_S + 2);
        for (const x of some) x.deaf = false;
        await w.pass(6);
      }
    },
  },
  {
    name: 'a large job that fails everywhere is sent in while the leader is silent, and another ends',
    play: async (w, seed) => {
      const service = await w.accept({ shape: 'service', pieces: 3, runMs: 0, crew: 'speech' });
      await w.until(() => w.running(service) === 3, 20, 'the service runs');
      w.freeze(w.leader, 60_000);
      const broken = await w.accept({ pieces: 2500, gpus: 0, failsAfterMs: 800 });
      await w.pass(5 + seed);
      await w.trouble.endLeader(30);
      const sound = await w.accept({ pieces: 8, runMs: 5000 });
      await w.until(() => w.stored(sound) === 'done', 60, 'work of the same team is done');
      const starts = w.starts.filter((name) => name.startsWith(`${broken}/`)).length;
      // Each leader tries it as a whole twice at most, as far as there is room.
      assert.ok(starts < 1000, `${starts} starts of the job that fails`);
      await w.cancel(broken);
      assert.equal(w.running(service), 3);
      await w.pass(60);
    },
  },
  {
    // The fake workers kept their tasks until an answer that they waited for was given up.
    name: 'nothing is on a machine once its lease has ended, also while it waits for an answer',
    seeds: [1],
    play: async (w) => {
      await fillLimits(w);
      const silentFrom = w.clock.now();
      for (const [node] of w.nodes.entries()) w.freeze(node, LEASE_S * 2000);
      await w.until(() => w.clock.now() > silentFrom + LEASE_S * 1000, 20, 'all leases have ended');
      assert.deepEqual(
        w.machines.seen().flatMap((m) => m.tasks),
        [],
      );
      await w.pass(LEASE_S);
    },
  },
];

play(MEETINGS);
