import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machines, play, type Meeting } from './fakes/meeting.js';
import { makeOld, NEXT } from './fakes/upgrade.js';
import { World } from './fakes/world.js';

const WISH = { runMs: 120_000, fetchMs: 500, crew: 'speech' };

interface Tree {
  root: string;
  /** All that need the root, directly or through others: more than one transaction may change. */
  dependents: string[];
  /** A pipeline of its own, which nobody cancels. */
  others: string[];
}

async function tree(w: World): Promise<Tree> {
  const root = await w.accept({ ...WISH, pieces: 6 });
  const dependents: string[] = [];
  for (let i = 0; i < 18; i++) {
    const waitsOn = i < 6 ? [root] : [dependents[i - 6]!, dependents[i - 5]!];
    dependents.push(await w.accept({ ...WISH, shape: i % 5 === 4 ? 'gang' : 'array', waitsOn }));
  }
  const first = await w.accept({ runMs: 30_000, pieces: 2 });
  const others = [first, await w.accept({ runMs: 3000, waitsOn: [first] })];
  await w.until(() => w.running(root) === 6 && w.running(first) === 2, 40, 'both run');
  return { root, dependents, others };
}

/** What every story ends with: nothing of the tree has run or runs, and nothing else is cancelled. */
async function check(w: World, { root, dependents, others }: Tree): Promise<void> {
  await w.settle();
  for (const ref of [root, ...dependents]) {
    for (const node of [0, 1, 2]) assert.equal(await w.phase(ref, node), 'withdrawn', ref);
  }
  for (const ref of dependents) assert.ok(!w.starts.some((name) => name.startsWith(`${ref}/`)));
  for (const ref of others) assert.equal(w.stored(ref), 'done');
  await w.until(() => dependents.every((ref) => w.stored(ref) === 'cancelled'), 60, 'records');
}

/** Cancels the root through a node that does not lead and ends at once. */
async function cancelAndEnd(w: World, { root }: Tree, leader: number): Promise<number> {
  const node = (leader + 1) % 3;
  assert.equal(await w.cancel(root, node), 'withdrawn');
  w.crash(node);
  return node;
}

const MEETINGS: Meeting[] = [
  {
    name: 'a cascade through the gap: the store refuses the leader, then everybody, and its limits fall',
    state: { next: NEXT },
    play: async (w, seed) => {
      const all = await tree(w);
      const { leader } = w;
      w.trouble.refuse(leader);
      await w.pass(0.5 * seed);
      const ended = await cancelAndEnd(w, all, leader);
      await w.pass(0.5);
      w.trouble.outage();
      w.restart(ended);
      w.store.limits = NEXT;
      // Longer than a cancellation may take.
      await w.pass(38);
      assert.equal(w.on(all.root).length, 0);
      w.trouble.outageOver();
      w.trouble.serve(leader);
      for (const waitsOn of [[all.root], [all.dependents[17]!], [all.dependents[3]!]]) {
        const ref = await w.accept({ ...WISH, waitsOn });
        all.dependents.push(ref);
      }
      await check(w, all);
    },
  },
  {
    name: 'a cascade of more than a transaction as leaders end, refused peers and lost answers about',
    state: { next: NEXT },
    play: async (w, seed) => {
      const all = await tree(w);
      w.store.limits = NEXT;
      w.trouble.refusePeers();
      w.trouble.share.lostAnswers = 0.15;
      w.trouble.share.lateWrites = 0.1;
      const ended = await cancelAndEnd(w, all, w.leader);
      for (let i = 0; i < 3; i++) {
        await w.pass(0.7 * seed);
        await w.trouble.endLeader(1);
        all.dependents.push(await w.accept({ ...WISH, waitsOn: [all.dependents[5 * i]!] }));
      }
      if (!w.nodes[ended]!.controller) w.restart(ended);
      await check(w, all);
    },
  },
  {
    name: 'a cascade while the upgrade is not complete and the limits fall before it is',
    state: { next: NEXT },
    before: (w) => makeOld(w, 1),
    play: async (w, seed) => {
      const all = await tree(w);
      w.store.limits = NEXT;
      await w.pass(seed);
      await w.cancel(all.root);
      for (let i = 0; i < 2; i++) {
        await w.trouble.endLeader(2);
        await w.pass(6);
      }
      all.dependents.push(
        await w.accept({ ...WISH, waitsOn: [all.dependents[7]!, all.others[1]!] }),
      );
      await check(w, all);
    },
  },
];

play(MEETINGS);

test('the records of six hundred jobs cancelled with another hold up nobody else', async () => {
  const w = new World(machines('aabb'), 2, 0, NEXT);
  await w.start();
  const root = await w.submit({ ...WISH, pieces: 2 });
  const { at, spec } = w.store.get(`jobs/${root}`) as { at: number; spec: object };
  const dependents = Array.from({ length: 600 }, (_, i) => `req-5${String(i).padStart(5, '0')}`);
  for (const ref of dependents) {
    const record = { w: 'w', phase: 'open', tasks: 2, at, spec, needs: { ids: [root] } };
    w.store.write(`jobs/${ref}`, record);
  }
  w.store.limits = NEXT;
  await w.pass(3);
  assert.equal(await w.cancel(root), 'withdrawn');
  await w.pass(1);
  const other = await w.submit({ pieces: 12, runMs: 5000, fetchMs: 500 }, 1);
  await w.until(() => w.running(other) === 12, 5, 'another job runs');
  const open = (): number => dependents.filter((ref) => w.stored(ref) === 'open').length;
  assert.ok(open() > 400, 'its records were not waited for');
  await w.until(() => open() === 0, 120, 'and follow all the same');
  await w.close();
});
