import assert from 'node:assert/strict';
import { play, type Meeting } from './fakes/meeting.js';
import type { World } from './fakes/world.js';

/** What the store allows, and what the controllers' settings say of it. */
const WRITES_PER_SECOND = 20;

/** Run records of jobs of which the store holds only the final state. */
const leftovers = (w: World): string[] =>
  [...w.store.keys.keys()].filter((key) => {
    const [prefix, id] = key.split('/');
    const job = prefix === 'runs' && (w.store.get(`jobs/${id}`) as { spec?: object } | undefined);
    return job && !job.spec;
  });

/** One-task jobs of a team without a guarantee, six a second, a quarter of them cancelled. */
async function probes(w: World, seconds: number): Promise<void> {
  for (let i = 0; i < seconds * 6; i++) {
    const wish = { crew: 'guests', gpus: 0, vcpus: 0.25, urgency: 'best_effort', fetchMs: 500 };
    void w.accepting({ ...wish, runMs: w.random.between(2000, 6000) }).then(async (ref) => {
      if (i % 4 !== 0) return;
      await w.clock.sleep(w.random.between(0, 4000));
      await w.cancelling(ref);
    });
    // Two come together, then one alone.
    if (i % 3 > 0) await w.pass(0.25);
  }
}

const MEETINGS: Meeting[] = [
  {
    name: 'one-task jobs come six a second at the limit of the store, and leaders end among them',
    state: { writeRps: WRITES_PER_SECOND },
    before: (w) => (w.store.limits = { writeRps: WRITES_PER_SECOND }),
    play: async (w, seed) => {
      const steady = await w.accept({ shape: 'service', pieces: 4, runMs: 0 });
      await w.until(() => w.running(steady) === 4, 20, 'a service with a guarantee runs');
      let most = 0;
      for (let i = 0; i < 3; i++) {
        await probes(w, 8);
        most = Math.max(most, leftovers(w).length);
        if (i === seed - 1) w.trouble.share.lostAnswers = 0.2;
        const waits = await w.accept({ pieces: 4, runMs: 5000 });
        await w.until(() => w.running(waits) === 4, 12, 'a guarantee is not delayed');
        if (i < 2) await w.trouble.endLeader(2);
      }
      w.trouble.share.lostAnswers = 0;
      assert.ok(most > 0, 'ends were written before what they leave was deleted');
      await w.until(() => leftovers(w).length === 0, 40, 'the rest is deleted');
    },
  },
  {
    name: 'a leader ends between the end of a job and the deletes of its run records',
    seeds: [1],
    before: (w) => {
      w.doneBefore('req-900000');
      const placed = [[0, 1, 'host-000001', 1, 'a']];
      for (const ref of ['req-900000', 'req-900001']) {
        w.store.write(`runs/${ref}/0`, { w: 'w', attempt: 1, done: [], placed });
      }
    },
    play: async (w) => {
      const gone = (): boolean => w.store.get('runs/req-900000/0') === undefined;
      await w.until(gone, 10, 'its successor deletes what was left');
      assert.equal(await w.phase('req-900000'), 'done');
      // Of a job that has no record at all nobody knows what it means.
      assert.notEqual(w.store.get('runs/req-900001/0'), undefined);
      assert.deepEqual(w.starts, []);
    },
  },
  {
    name: 'the store deletes what jobs left, its answer is lost, and the leader ends',
    state: { writeRps: WRITES_PER_SECOND },
    before: (w) => (w.store.limits = { writeRps: WRITES_PER_SECOND }),
    play: async (w, seed) => {
      await probes(w, 8);
      w.trouble.share.lostAnswers = 0.5;
      await w.pass(3 * seed);
      await w.trouble.endLeader(2);
      w.trouble.share.lostAnswers = 0;
      await w.until(() => leftovers(w).length === 0, 40, 'the rest is deleted');
    },
  },
];

play(MEETINGS);
