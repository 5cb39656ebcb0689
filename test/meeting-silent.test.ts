import assert from 'node:assert/strict';
import { machines, play, type Meeting } from './fakes/meeting.js';
import type { World } from './fakes/world.js';

const SILENT_S = 90;
const LEADER_LEASE_S = 3;
const CUTS = 10;

/** Work of each kind that lasts, running. */
async function work(w: World): Promise<string> {
  w.balanced = true;
  const service = await w.accept({
    shape: 'service',
    pieces: 3,
    runMs: 0,
    urgency: 'production',
    crew: 'speech',
  });
  const array = await w.accept({ pieces: 4, runMs: 90_000 });
  await w.until(() => w.running(service) === 3 && w.running(array) === 4, 20, 'all run');
  return service;
}

/** Users submit and cancel small jobs, at any controller that takes them. */
async function trickle(w: World): Promise<void> {
  while (!w.settling) {
    void w.accepting({ pieces: 2, runMs: 3000, fetchMs: 500, crew: 'speech' }).then(async (ref) => {
      if (w.random.next() < 0.5) return;
      await w.clock.sleep(w.random.between(0, 4000));
      await w.cancelling(ref);
      void w.queryEverywhere(ref);
    });
    await w.clock.sleep(2000);
  }
}

function countTerms(w: World): () => number {
  let terms = 0;
  w.store.onWrite = (key) => void (terms += key === 'leader' ? 1 : 0);
  return () => terms;
}

async function replaced(w: World, old: number, seconds: number): Promise<void> {
  await w.until(() => w.leader !== old && w.leader >= 0, seconds, 'another leads');
}

/** Cuts one leader after the other from its workers, each for half a minute. */
async function cutLeaders(w: World, service: string): Promise<void> {
  for (let i = 0; i < CUTS; i++) {
    const cut = w.leader;
    w.nodes[cut]!.open = false;
    await replaced(w, cut, 8);
    await w.pass(30);
    assert.equal(w.running(service), 3, `cut ${i}`);
    w.nodes[cut]!.open = true;
    await w.pass(w.random.between(0, 3));
  }
}

const MEETINGS: Meeting[] = [
  {
    name: 'the leader is silent for 90 s, with orders and answers under way',
    machines: machines('aabbaa'),
    play: async (w, seed) => {
      const service = await work(w);
      void trickle(w);
      // Something to displace, to launch and to cancel is under way as it stops.
      void w.accepting({ pieces: 12, runMs: 5000, urgency: 'urgent', crew: 'speech' });
      await w.pass(0.25 * seed);
      const old = w.leader;
      w.freeze(old, SILENT_S * 1000);
      await replaced(w, old, LEADER_LEASE_S * 2);
      await w.pass(SILENT_S + 10);
      assert.equal(w.running(service), 3);
    },
  },
  {
    name: 'a follower is silent for 90 s: the others lead, vote and answer without waiting for it',
    play: async (w, seed) => {
      await work(w);
      const terms = countTerms(w);
      const { leader } = w;
      const silent = (leader + seed) % 3;
      w.freeze(silent, SILENT_S * 1000);
      const others = [0, 1, 2].filter((i) => i !== silent);
      for (let i = 0; i < SILENT_S; i += 5) {
        const from = w.clock.now();
        const job = await w.submit({ runMs: 1500, fetchMs: 500, crew: 'speech' }, others[i % 2]);
        assert.ok(w.clock.now() - from <= 500, `accepted after ${w.clock.now() - from} ms`);
        await w.pass(5);
        assert.equal(await w.phase(job, others[(i + 1) % 2]), 'done');
      }
      // Where the silent one is the next that workers would try, office goes once to the one behind it;
      // but not where it is alone in its zone, which may be cut off.
      const zoneOf = (i: number): string => w.zoneOf(w.nodes[i]!);
      const cutOff = !others.some((i) => zoneOf(i) === zoneOf(silent));
      assert.equal(terms(), silent === (leader + 1) % 3 && !cutOff ? 1 : 0);
    },
  },
  {
    name: 'two controllers are silent at once, and one returns as the third goes',
    machines: machines('aabbaa'),
    play: async (w, seed) => {
      await work(w);
      void trickle(w);
      const [first, second] = [w.leader, (w.leader + 1) % 3];
      const third = (w.leader + 2) % 3;
      w.freeze(first, (40 + seed) * 1000);
      w.freeze(second, SILENT_S * 1000);
      await w.until(() => w.leader === third, LEADER_LEASE_S * 3, 'the third leads');
      await w.pass(36);
      // The one returns within a second of the other's going.
      w.freeze(third, SILENT_S * 1000);
      await w.until(() => w.leader === first, LEADER_LEASE_S * 3 + 5, 'the first leads again');
      await w.pass(SILENT_S + 5);
    },
  },
  {
    name: 'ten leaders in a row lose their workers for 30 s each',
    seeds: [1, 2, 3],
    play: async (w) => {
      const service = await work(w);
      const terms = countTerms(w);
      await cutLeaders(w, service);
      assert.equal(terms(), CUTS, 'one change of leader for each cut');
    },
  },
  {
    name: 'a leader without users keeps office, and so does one without peers',
    play: async (w, seed) => {
      const service = await work(w);
      const terms = countTerms(w);
      const { leader } = w;
      if (seed === 1) w.nodes[leader]!.usersOpen = false;
      else w.wire.cut.add(w.nodes[leader]!.name);
      for (let i = 0; i < 6; i++) {
        const job = await w.accept({ pieces: 2, runMs: 1500, fetchMs: 500, crew: 'speech' });
        await w.pass(5);
        assert.equal(await w.phase(job, (leader + 1) % 3), 'done');
      }
      assert.equal(terms(), 0);
      assert.equal(w.running(service), 3);
    },
  },
];

play(MEETINGS);
