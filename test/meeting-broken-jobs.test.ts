import assert from 'node:assert/strict';
import { machines, play, type Meeting } from './fakes/meeting.js';
import type { World } from './fakes/world.js';

/** How often tasks of a job have come onto a machine. */
const startsOf = (w: World, ref: string): number =>
  w.starts.filter((name) => name.startsWith(`${ref}/`)).length;

const gangPhase = (w: World, ref: string): string | undefined =>
  (w.store.get(`runs/${ref}/0`) as { gang?: { phase: string } } | undefined)?.gang?.phase;

/** Two arrays and a gang that fail wherever they are tried, of the team `vision`. */
async function brokenJobs(w: World): Promise<string[]> {
  return [
    await w.accept({ pieces: 8, failsAfterMs: 1000 }),
    await w.accept({ pieces: 6, failsAfterMs: 700, fetchMs: 500 }),
    await w.accept({ shape: 'gang', pieces: 2, gpus: 3, failsAfterMs: 1000 }),
  ];
}

/** Four machines have work for long: they are not given back as idle. */
async function keepBusy(w: World): Promise<string> {
  const job = await w.accept({ pieces: 4, gpus: 5, runMs: 100_000, crew: 'speech' });
  await w.until(() => w.running(job) === 4, 20, 'four machines are of use');
  return job;
}

async function cancelAll(w: World, jobs: string[]): Promise<void> {
  for (const job of jobs) await w.cancel(job);
}

const MEETINGS: Meeting[] = [
  {
    // Each of them failed on every machine, and two made a machine faulty: the whole fleet went back.
    name: 'jobs that fail everywhere cost no machine and few starts, also when leaders end',
    play: async (w, seed) => {
      const base = await keepBusy(w);
      const broken = await brokenJobs(w);
      const sound = await w.accept({ pieces: 6, runMs: 40_000 });
      await w.until(() => w.running(sound) === 6, 20, 'the rest of the team runs');
      await w.pass(10 + seed);
      const before = broken.map((job) => startsOf(w, job));
      const written = w.store.changes;
      const machinesBefore = new Set(w.cloud.hosts.keys());
      await w.pass(50);
      for (const [i, job] of broken.entries()) {
        const more = startsOf(w, job) - before[i]!;
        assert.ok(more >= 2 && more <= 10, `${more} starts of ${job} in 50 s`);
      }
      // A trial is recorded when it starts and when it has ended.
      assert.ok(w.store.changes - written <= 60, `${w.store.changes - written} changes`);
      const atOffice = broken.map((job) => startsOf(w, job));
      await w.trouble.endLeader(3);
      await w.pass(20);
      for (const [i, job] of broken.entries()) {
        const { pieces } = w.facts.get(job)!;
        const more = startsOf(w, job) - atOffice[i]!;
        // As a whole on one machine, as a whole on another, then one by one.
        assert.ok(more <= pieces * 2 + 4, `${more} starts of ${job} after a change of leader`);
      }
      assert.equal(w.holding(base).length, 4);
      assert.ok([...w.workers.values()].slice(0, 4).every((x) => !x.dead));
      // None is rented for them. The one that came for the sound job is beyond need by now, and may go back.
      assert.ok([...w.cloud.hosts.keys()].every((id) => machinesBefore.has(id)));
      assert.ok(w.cloud.hosts.size >= machinesBefore.size - 1);
      await cancelAll(w, broken);
    },
  },
  {
    name: 'a faulty machine is found while jobs fail everywhere, and no other is given back',
    machines: machines('aabba'),
    play: async (w, seed) => {
      const base = await keepBusy(w);
      const busy = w.holding(base);
      const faulty = [...w.workers.values()].find((x) => !busy.includes(x))!;
      const broken = await brokenJobs(w);
      await w.pass(5 * seed);
      faulty.failsAfterMs = 500;
      for (let i = 0; i < 3; i++) await w.accept({ pieces: 6, runMs: 15_000, crew: 'speech' });
      await w.until(() => faulty.dead, 60, 'the faulty machine is given back');
      assert.ok(busy.every((x) => !x.dead));
      assert.equal(w.running(base), 4);
      await cancelAll(w, broken);
    },
  },
  {
    name: 'a gang that fails everywhere neither keeps the gate nor has machines rented',
    machines: machines('aa'),
    play: async (w) => {
      const broken = await w.accept({ shape: 'gang', pieces: 2, gpus: 8, failsAfterMs: 1000 });
      await w.until(() => startsOf(w, broken) >= 4, 30, 'it has been tried twice');
      // Its machines are taken from it, so that it finds no room any more.
      const others = await w.accept({ pieces: 2, gpus: 8, runMs: 60_000, crew: 'speech' });
      await w.until(() => w.running(others) === 2, 40, 'others have its machines');
      for (let i = 0; i < 30; i++) {
        await w.pass(1);
        assert.notEqual(gangPhase(w, broken), 'admitted');
      }
      assert.equal(w.cloud.hosts.size, 2);
      const sound = await w.accept({ shape: 'gang', pieces: 2, gpus: 8, crew: 'speech' });
      await w.until(() => w.running(sound) === 2, 70, 'another gang passes the gate');
      await w.cancel(broken);
    },
  },
  {
    name: 'a job that failed on several machines runs soon once it does not fail any more',
    play: async (w, seed) => {
      await keepBusy(w);
      const jobs = await brokenJobs(w);
      await w.pass(40 + 7 * seed);
      for (const job of jobs) delete w.facts.get(job)!.failsAfterMs;
      // The longest pause, a trial and the proof that it goes well.
      const all = (): boolean =>
        jobs.every((job) => w.stored(job) === 'done' || w.running(job) > 1);
      await w.until(all, 40, 'all of them run');
    },
  },
];

play(MEETINGS);
