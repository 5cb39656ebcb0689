import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ApiAnswer } from '@leverhatch/operators/answer';
import {
  askShares,
  EIGHT,
  movePhase,
  shareApi,
  withShares,
  type ShareChecker,
} from './fakes/share-checker.js';
import type { Fate } from './fakes/store.js';
import { World } from './fakes/world.js';

/** What is moved in most stories: a third of what the team speech may use. */
const MOVE = {
  id: 'm1',
  from: 'speech',
  to: 'vision',
  guarantee: { gpus: 8 },
  limit: { gpus: 24 },
};

interface Story {
  w: World;
  checker: ShareChecker;
}

/** As many GPUs as the limits of both teams add up to: nobody's limit has slack to pass on. */
const TWELVE = [...EIGHT, ...EIGHT.slice(2, 6)];

/** Machines with eight GPUs each, none to be rented, and three controllers. */
async function begin(seed = 0, machines = EIGHT): Promise<Story> {
  const w = new World(machines, 3, seed);
  w.cloud.capacity = machines.length;
  const checker = withShares(w);
  await w.start();
  return { w, checker };
}

const submit = (w: World, body: object, node = 0): Promise<ApiAnswer> =>
  askShares(w, node, (api) => api.submit(body));

const phaseIs = (w: World, id: string, phase: string, seconds = 60): Promise<void> =>
  w.until(() => movePhase(w, id) === phase, seconds, `${id} is ${phase}`);

test('a share is moved while jobs run: the donor drains by itself and nothing that fits is stopped', async () => {
  const { w } = await begin();
  const tuning = await w.submit({ pieces: 56, crew: 'speech', runMs: 30_000 });
  await w.until(() => w.running(tuning) === 56, 20, 'the tuning run has its machines');
  assert.equal((await submit(w, MOVE, 1)).status, 201);
  await phaseIs(w, 'm1', 'draining');
  assert.equal(w.running(tuning), 56, 'nobody waits for it, so nothing is stopped');
  await phaseIs(w, 'm1', 'done', 90);
  await w.settle();
  assert.equal(w.starts.filter((s) => s.startsWith(tuning)).length, 56, 'each task started once');
  await w.close();
});

test('replicas of the receiver start within a minute on machines that a tuning run holds', async () => {
  const { w } = await begin();
  const tuning = await w.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  await w.until(() => w.running(tuning) === 64, 20, 'the tuning run has every machine');
  await submit(w, { ...MOVE, guarantee: { gpus: 16 }, limit: { gpus: 16 } });
  // Within the guarantee as it is after the move, and beyond the one before.
  const replicas = await w.submit({ shape: 'service', pieces: 28, runMs: 0 });
  await w.until(() => w.running(replicas) === 28, 60, 'the replicas run');
  assert.ok(w.running(tuning) >= 64 - 28 - 1, 'no more is stopped than they need');
  await w.close();
});

test('what the receiver waits for at its limit is drained, and no more; the youngest work goes', async () => {
  const { w } = await begin(0, TWELVE);
  await submit(w, {
    ...MOVE,
    id: 'm0',
    from: 'vision',
    to: 'speech',
    guarantee: {},
    limit: { gpus: 16 },
  });
  await phaseIs(w, 'm0', 'done');
  const replicas = await w.submit({ shape: 'service', pieces: 16, runMs: 0 });
  const old = await w.submit({ pieces: 70, crew: 'speech', runMs: 600_000 });
  await w.until(() => w.running(replicas) === 16 && w.running(old) === 70, 20, 'all run');
  await w.pass(5);
  const young = await w.submit({ pieces: 10, crew: 'speech', runMs: 600_000 });
  await w.until(() => w.running(young) === 10, 20, 'every machine is full');
  const more = await w.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await w.pass(5);
  assert.equal(w.running(more), 0, 'the team is at its limit');
  await submit(w, { ...MOVE, limit: { gpus: 8 } });
  await w.until(() => w.running(more) === 4, 60, 'the replicas run');
  await w.pass(10);
  assert.deepEqual([w.running(old), w.running(young)], [70, 6]);
  assert.equal(movePhase(w, 'm1'), 'draining', 'nobody waits for the rest, so it ends by itself');
  await w.close();
});

test('a repeat gets the same answer at any controller, another move under its id is refused', async () => {
  const { w } = await begin();
  assert.equal((await submit(w, MOVE, 0)).status, 201);
  assert.equal((await submit(w, MOVE, 2)).status, 200);
  assert.equal((await submit(w, { ...MOVE, limit: { gpus: 9 } }, 1)).status, 409);
  await phaseIs(w, 'm1', 'done');
  assert.equal((await submit(w, MOVE, 1)).status, 200);
  assert.equal((await askShares(w, 1, (d) => d.cancel('m1'))).status, 409, 'it is over');
  assert.equal((await askShares(w, 1, (d) => d.cancel('m9'))).status, 404);
  await w.close();
});

test('a move, its cancellation and its opposite in one second at three controllers', async () => {
  const { w } = await begin();
  const work = await w.submit({ pieces: 64, crew: 'speech', runMs: 20_000 });
  await w.until(() => w.running(work) === 64, 20, 'runs');
  const opposite = { ...MOVE, id: 'm2', from: 'vision', to: 'speech', limit: { gpus: 8 } };
  const accepted = [submit(w, MOVE, 0), submit(w, opposite, 1)];
  await w.pass(0.5);
  assert.equal((await askShares(w, 2, (d) => d.cancel('m1'))).status, 200);
  for (const answer of await Promise.all(accepted)) assert.equal(answer.status, 201);
  await phaseIs(w, 'm1', 'cancelled', 90);
  await phaseIs(w, 'm2', 'done', 90);
  await w.settle();
  await w.close();
});

test('a loan goes back although the leader ends at that very moment', async () => {
  const { w } = await begin();
  await submit(w, { ...MOVE, forSeconds: 40 });
  await phaseIs(w, 'm1', 'lent');
  const until = (w.store.get('shares/moves/m1') as { until: number }).until;
  await w.until(() => w.clock.wall() >= until, 60, 'its time is over');
  w.crash(w.leader);
  await phaseIs(w, 'm1', 'returned');
  await w.close();
});

test('while machines are cut off their work still counts, the receiver waits and operators see for what', async () => {
  const { w } = await begin();
  const work = await w.submit({ pieces: 64, crew: 'speech', runMs: 15_000 });
  await w.until(() => w.running(work) === 64, 20, 'runs');
  for (const worker of [...w.workers.values()].slice(0, 4)) worker.hung = true;
  await submit(w, MOVE);
  await phaseIs(w, 'm1', 'draining');
  await w.pass(2);
  const shown = await askShares(w, w.leader, (d) => d.show());
  const { moves } = shown.body as { moves: { waitsFor: string }[] };
  assert.match(moves[0]!.waitsFor, /GPUs .* team speech still holds/);
  await phaseIs(w, 'm1', 'done', 90);
  await w.close();
});

test('users cancel what is being drained', async () => {
  const { w } = await begin();
  const work = await w.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  await w.until(() => w.running(work) === 64, 20, 'runs');
  await submit(w, MOVE);
  await phaseIs(w, 'm1', 'draining');
  await w.cancel(work, 1);
  await phaseIs(w, 'm1', 'done');
  await w.settle();
  await w.close();
});

test('every team is at its limit and has work waiting: nothing is stopped, the share moves as work ends', async () => {
  const { w } = await begin(0, TWELVE);
  const lending = await w.submit({ pieces: 80, crew: 'speech', runMs: 20_000 });
  const asking = await w.submit({ pieces: 60, runMs: 20_000 });
  await w.until(() => w.running(lending) === 64 && w.running(asking) === 32, 20, 'both are full');
  // Its new guarantee is below what it uses: it has no claim to stop anybody's work.
  await submit(w, { ...MOVE, limit: { gpus: 8 } });
  await phaseIs(w, 'm1', 'done', 90);
  await w.settle();
  const starts = w.starts.filter((name) => name.startsWith(lending));
  assert.equal(starts.length, 80, 'each task started once');
  await w.close();
});

test('a zone is cut off while its delegate serves: what runs there counts until it is heard of', async () => {
  const { w } = await begin();
  const work = await w.submit({ pieces: 64, crew: 'speech', runMs: 15_000 });
  await w.until(() => w.running(work) === 64, 20, 'runs');
  w.split(true);
  await submit(w, { ...MOVE, limit: { gpus: 40 } }, w.leader);
  await phaseIs(w, 'm1', 'draining');
  await w.pass(20);
  assert.equal(movePhase(w, 'm1'), 'draining', 'half of it may still run behind the cut');
  w.split(false);
  await phaseIs(w, 'm1', 'done');
  await w.settle();
  await w.close();
});

test('no move begins while a controller has shares switched off; it begins once that one has', async () => {
  const w = new World(EIGHT, 3);
  withShares(w);
  const off = w.nodes[2]!;
  const shares = off.extensions.get('shares')!;
  off.extensions.clear();
  await w.start();
  await submit(w, MOVE, 0);
  await w.pass(20);
  assert.equal(movePhase(w, 'm1'), 'requested');
  w.crash(2);
  off.extensions.set('shares', shares);
  w.restart(2);
  await phaseIs(w, 'm1', 'done');
  await w.close();
});

test('a record that cannot be read stops moves and not scheduling, and is shown with its key', async () => {
  const { w } = await begin();
  w.store.write('shares/moves/broken', { nonsense: true });
  await submit(w, MOVE);
  const job = await w.submit({ pieces: 4, runMs: 3000 });
  await w.settle();
  assert.equal(await w.phase(job), 'done');
  assert.equal(movePhase(w, 'm1'), 'requested');
  const { unreadable } = (await askShares(w, 0, (d) => d.show())).body as { unreadable: string[] };
  assert.deepEqual(unreadable, ['shares/moves/broken']);
  await w.close();
});

test('the store is out for longer than cancel_s in the middle of a drain', async () => {
  const { w } = await begin();
  const work = await w.submit({ pieces: 64, crew: 'speech', runMs: 20_000 });
  await w.until(() => w.running(work) === 64, 20, 'runs');
  await submit(w, MOVE);
  await phaseIs(w, 'm1', 'draining');
  w.store.down = true;
  await w.pass(45);
  w.store.restore();
  await phaseIs(w, 'm1', 'done', 90);
  await w.settle();
  await w.close();
});

test('five hundred moves queue and all are carried out, in the order in which they came', async () => {
  const { w, checker } = await begin();
  for (let i = 0; i < 500; i++) {
    const [from, to] = i % 2 ? ['speech', 'vision'] : ['vision', 'speech'];
    const record = { id: `m${i}`, from, to, limit: { gpus: 1 } };
    const answers = shareApi(w, i % 3)!.submit(record);
    void answers.catch(() => undefined);
    if (i % 10 === 9) await w.pass(1);
  }
  const phases = (): string[] =>
    [...w.store.keys]
      .filter(([key]) => key.startsWith('shares/moves/'))
      .map(([, { value }]) => (value as { phase: string }).phase);
  await w.until(() => phases().every((p) => p === 'done'), 300, 'all are done');
  await w.until(() => phases().length <= 200, 300, 'the history is bounded');
  assert.ok(checker.changes < 1000, `${checker.changes} changes of the table`);
  await w.close();
});

// ---- each step of a move against each failure of the leader that writes it

type Failure = (w: World, leader: number) => Fate;

const FAILURES: Record<string, Failure> = {
  'the leader ends before the store has it': (w, leader) => {
    w.crash(leader);
    void w.clock.sleep(8000).then(() => w.restart(leader));
    return 'lose request';
  },
  'the leader ends after the store has it': (w, leader) => {
    void w.clock.sleep(1).then(() => w.crash(leader));
    void w.clock.sleep(8000).then(() => w.restart(leader));
    return 'lose answer';
  },
  'the leader stands still past its lease': (w, leader) => {
    w.freeze(leader, 8000);
    return 'serve';
  },
  'the store refuses the leader alone': (w, leader) => {
    const until = w.clock.now() + 8000;
    w.nodes[leader]!.fate = () => (w.clock.now() < until ? 'refuse' : 'serve');
    return 'refuse';
  },
  'only the answer is lost': () => 'lose answer',
  'it is applied seconds later': () => ({ applyAfterMs: 6000 }),
};

const STEPS = ['accepted', 'begun', 'passed on', 'passed on again', 'going back', 'back'];

for (const [name, fail] of Object.entries(FAILURES)) {
  for (const [step, what] of STEPS.entries()) {
    test(`a loan survives when it is being ${what} and ${name}`, async () => {
      const { w } = await begin(step);
      const work = await w.submit({ pieces: 56, crew: 'speech', runMs: 12_000 });
      const rest = await w.submit({ pieces: 40, crew: 'vision', runMs: 6000 });
      await w.until(() => w.running(work) > 40, 20, 'runs');
      let writes = 0;
      w.trouble.storeFaults.add(({ node, path, body }) => {
        if (path !== '/txn' || !JSON.stringify(body).includes('"write":"shares/')) return 'serve';
        return writes++ === step ? fail(w, node) : 'serve';
      });
      void shareApi(w, 1)!.submit({ ...MOVE, forSeconds: 40 });
      await w.pass(1);
      await submit(w, { ...MOVE, forSeconds: 40 }, 2);
      await phaseIs(w, 'm1', 'returned', 150);
      assert.ok(writes > step, 'the failure came about');
      // Until the last trouble is over, so that every controller answers.
      await w.pass(10);
      await w.settle();
      assert.equal(await w.phase(rest, 1), 'done');
      await w.close();
    });
  }
}
