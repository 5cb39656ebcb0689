import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  LeaderShares,
  type Amounts,
  type SchedulerPort,
  type SharePorts,
} from '@leverhatch/shares';
import { Store } from '../src/state/store.js';
import { FakeClock } from './fakes/clock.js';
import { EIGHT, movePhase, shareApi, withShares } from './fakes/share-checker.js';
import { mostOn, writes } from './fakes/observe.js';
import { FakeStore } from './fakes/store.js';
import { fakeRandom, settings, World } from './fakes/world.js';

/** It leaves the team speech with a limit of 40 GPUs of the 64 that there are. */
const MOVE = { id: 'm1', from: 'speech', to: 'vision', limit: { gpus: 24 } };
const LEFT = 40;

async function begin(): Promise<World> {
  const w = new World(EIGHT, 3);
  w.cloud.capacity = EIGHT.length;
  withShares(w);
  await w.start();
  return w;
}

const submit = (w: World): void => {
  const answer = shareApi(w, 0)!.submit(MOVE);
  void answer.then(({ status }) => assert.equal(status, 201));
};

test('starts that were decided on the former table are not recorded, however late they reach the store', async () => {
  const w = await begin();
  const until = w.clock.now() + 5000;
  w.trouble.storeFaults.add(({ body }) =>
    writes(body, 'runs/') && w.clock.now() < until ? { applyAfterMs: 4000 } : 'serve',
  );
  const work = await w.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  submit(w);
  await w.until(() => movePhase(w, 'm1') === 'done', 10, 'the move is done');
  assert.ok(w.clock.now() < until, 'the starts are still on their way');
  await w.clock.advance(until - w.clock.now() - 200);
  w.crash(w.leader);
  assert.equal(await mostOn(w, work, 30), LEFT);
  await w.close();
});

test('starts that wait to be written are taken back when the share falls, and planned anew', async () => {
  const w = await begin();
  const until = w.clock.now() + 3000;
  w.trouble.storeFaults.add(({ body }) =>
    writes(body, 'runs/') && w.clock.now() < until ? 'refuse' : 'serve',
  );
  const work = await w.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  submit(w);
  await w.until(() => movePhase(w, 'm1') === 'done', 10, 'the move is done');
  assert.equal(await mostOn(w, work, 20), LEFT);
  await w.close();
});

test('while nobody knows whether a share has fallen, nothing starts that would not fit if it has', async () => {
  const w = await begin();
  let until = Infinity;
  w.trouble.storeFaults.add(({ body, path }) => {
    // Nor does the leader learn of it by following the records.
    const unknown = until < Infinity && w.clock.now() < until;
    if (path.startsWith('/follow?starts=shares') && unknown) return 'refuse';
    if (!writes(body, 'shares/head') || w.clock.now() > until) return 'serve';
    if (until === Infinity) until = w.clock.now() + 3000;
    return 'lose answer';
  });
  submit(w);
  await w.until(() => until < Infinity, 10, 'the table is being changed');
  const work = await w.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  assert.equal(await mostOn(w, work, 20), LEFT);
  await w.close();
});

test('a new leader starts nothing before it has read the table', async () => {
  const w = await begin();
  submit(w);
  await w.until(() => movePhase(w, 'm1') === 'done', 10, 'the move is done');
  const work = await w.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  await w.until(() => w.running(work) === LEFT, 20, 'what fits runs');
  w.crash(w.leader);
  // Its first reading of the shares takes long, and what it could start waits.
  const late = w.clock.now() + 6000;
  w.trouble.storeFaults.add(({ path }) =>
    path.includes('starts=shares') && w.clock.now() < late ? 'refuse' : 'serve',
  );
  assert.equal(await mostOn(w, work, 30), LEFT);
  await w.close();
});

test('a cancellation that comes between the leader reading a move and writing it is not lost', async () => {
  const w = await begin();
  let cancelled = false;
  w.trouble.storeFaults.add(({ body }) => {
    if (writes(body, 'shares/head') && !cancelled) {
      cancelled = true;
      const record = w.store.get('shares/moves/m1') as object;
      w.store.write('shares/moves/m1', { ...record, cancelRequested: true });
    }
    return 'serve';
  });
  submit(w);
  await w.until(() => movePhase(w, 'm1') === 'cancelled', 20, 'the move is cancelled');
  await w.close();
});

/** One leader's shares alone, with a request in the store. */
async function alone(leaderVersion: number, part: Partial<SharePorts & SchedulerPort> = {}) {
  const clock = new FakeClock();
  const fakeStore = new FakeStore(clock);
  const log = { error() {}, warn() {}, info() {}, debug() {} };
  const runtime = { clock, random: fakeRandom('r'), log, startedAt: 0 };
  const store = new Store(
    fakeStore.link(() => 'serve'),
    runtime,
    settings(),
    1000,
  );
  const end = new AbortController();
  const shares = new LeaderShares(
    {
      ...{ store, clock, log, random: runtime.random, base: settings().teams, clockErrorMs: 100 },
      stepMs: 500,
      transactionChanges: () => 20,
      allControllersKnowShares: async () => true,
      ...part,
    },
    {
      id: 'term',
      signal: end.signal,
      leaderCondition: () => ({ key: 'leader', version: leaderVersion }),
      leased: () => true,
      end: () => end.abort(),
    },
    {
      used: () => new Map<string, Amounts>(),
      waiting: () => new Map<string, Amounts>(),
      withdrawStarts: () => undefined,
      changed: () => undefined,
      candidates: () => [],
      ...part,
    },
  );
  fakeStore.write('leader', { member: 'another' });
  fakeStore.write('leader', { member: 'another' });
  const record = {
    ...{ w: 'w', id: 'm1', from: 'speech', to: 'vision', until: null, drainBy: null },
    ...{ requestedAt: 1, changedAt: 1, phase: 'requested', order: 0, outcome: null, reason: null },
    ...{ guaranteePassed: false, cancelRequested: false, passed: { cpus: 0, gpus: 0 } },
    ...{ guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 8 } },
  };
  fakeStore.write('shares/moves/m1', record);
  const loaded = shares.load(end.signal);
  await clock.advance(100);
  await loaded;
  return { clock, fakeStore, shares, end, record };
}

test('who leads no more changes nothing, and learns of it', async () => {
  const { clock, fakeStore, shares, end, record } = await alone(1);
  void shares.run(end.signal);
  await clock.advance(3000);
  assert.ok(end.signal.aborted, 'its term is over');
  assert.deepEqual(fakeStore.get('shares/moves/m1'), record);
});

test('a cancellation that is heard of while the controllers are looked up is not lost', async () => {
  let lookUp = async (): Promise<void> => undefined;
  const { clock, fakeStore, shares, end, record } = await alone(2, {
    allControllersKnowShares: () => lookUp().then(() => true),
  });
  lookUp = async () => {
    fakeStore.write('shares/moves/m1', { ...record, cancelRequested: true });
    await clock.sleep(1000);
  };
  void shares.run(end.signal);
  await clock.advance(5000);
  assert.equal((fakeStore.get('shares/moves/m1') as { phase: string }).phase, 'cancelled');
  end.abort();
});

test('starts whose table has changed are judged by the new one before they are tried again', async () => {
  const judgedBy: number[] = [];
  const { clock, fakeStore, shares, end, record } = await alone(2, {
    withdrawStarts: (teams) => judgedBy.push(teams.get('speech')!.limit.gpus),
  });
  const failed = shares.condition();
  const begun = { ...record, phase: 'draining', order: 1 };
  fakeStore.write('shares/moves/m1', begun);
  fakeStore.write('shares/head', { w: 'w', revision: 1 });
  const known = shares.conditionFailed(failed);
  await clock.advance(100);
  await known;
  assert.deepEqual(judgedBy, [56]);
  end.abort();
});
