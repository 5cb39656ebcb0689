import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseReport } from '../src/wire/report.js';
import { World } from './fakes/world.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const LEASE_S = 10;
const BOOT_S = 40;

/** Counts the terms that begin while a story goes on. */
function countTerms(w: World): () => number {
  const tokens = new Set<number>();
  const look = (): void => {
    const key = w.store.keys.get('leader');
    if (key) tokens.add(key.stamp);
  };
  void (async () => {
    for (;;) {
      look();
      await w.clock.sleep(100);
    }
  })();
  return () => tokens.size;
}

/** All machines die at once; `listed`: the cloud goes on listing them as running. */
function allMachinesDie(w: World, listed: boolean): void {
  for (const worker of w.workers.values()) {
    worker.dead = true;
    if (!listed) w.cloud.hosts.delete(worker.id);
  }
}

for (const listed of [false, true]) {
  for (const leaderEnds of [false, true]) {
    const name = `${listed ? 'are listed all the same' : 'are no longer listed'}${leaderEnds ? ', and the leader ends' : ''}`;
    test(`all machines die and ${name}: others are rented and the jobs end`, async () => {
      const w = new World(FOUR, 3);
      await w.start();
      const job = await w.submit({ pieces: 4, gpus: 8, runMs: 15_000 });
      await w.until(() => w.running(job) === 4, 10, 'all run');
      const terms = countTerms(w);
      allMachinesDie(w, listed);
      if (leaderEnds) {
        const old = w.leader;
        w.crash(old);
        await w.pass(10);
        w.restart(old);
      }
      // Each controller may give office up once before it waits for the proof that nothing runs.
      const givingUpS = listed ? 3 * LEASE_S : 0;
      await w.until(() => w.running(job) === 4, givingUpS + 2 * LEASE_S + BOOT_S + 20, 'runs anew');
      await w.pass(25);
      for (const node of w.nodes.keys()) assert.equal(await w.phase(job, node), 'done');
      assert.ok(terms() <= (listed ? 5 : 2), `${terms()} terms`);
      await w.close();
    });
  }
}

test('where machines are listed but never report, leaders give office up ever less often', async () => {
  const w = new World(FOUR, 3);
  w.cloud.capacity = 4;
  await w.start();
  const job = await w.submit({ pieces: 4, gpus: 8, runMs: 60_000 });
  await w.until(() => w.running(job) === 4, 10, 'all run');
  const terms = countTerms(w);
  allMachinesDie(w, true);
  await w.pass(400);
  const first = terms();
  await w.pass(800);
  assert.ok(first <= 9, `${first} terms at first`);
  assert.ok(terms() - first <= 4, `${terms() - first} more terms`);
  await w.close();
});

test('a leader that is cut from its workers again gives office up as soon as before', async () => {
  const w = new World(FOUR, 3);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await w.until(() => w.running(job) === 4, 10, 'replicas run');
  for (let round = 0; round < 3; round++) {
    const cut = w.leader;
    w.nodes[cut]!.open = false;
    await w.until(() => w.leader !== cut && w.leader >= 0, 8, `handed over, round ${round}`);
    await w.pass(12);
    assert.equal(w.running(job), 4);
    w.nodes[cut]!.open = true;
    await w.pass(12);
  }
  assert.equal(w.starts.length, 4);
  await w.close();
});

test('late copies of reports do not keep a leader in office that no worker reaches', async () => {
  const w = new World(FOUR, 3);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await w.until(() => w.running(job) === 4, 10, 'replicas run');
  const cut = w.leader;
  const copies = [...w.workers.values()].map((worker) => worker.sent.at(-1)!);
  const { controller } = w.nodes[cut]!;
  w.nodes[cut]!.open = false;
  const handedOver = (): boolean => w.leader !== cut && w.leader >= 0;
  for (let i = 0; i < 8 && !handedOver(); i++) {
    for (const copy of copies) void controller!.report(parseReport(copy)!);
    await w.pass(1);
  }
  assert.ok(handedOver());
  await w.pass(12);
  assert.equal(w.running(job), 4);
  await w.close();
});

test('after an outage in which workers were turned away their leader keeps office', async () => {
  const w = new World(FOUR, 3);
  await w.start();
  const job = await w.submit({ pieces: 4, runMs: 120_000 });
  await w.until(() => w.running(job) === 4, 10, 'all run');
  const terms = countTerms(w);
  // Promises not to contest come, lists of cancellations do not: past the bound workers are turned away.
  w.wire.loses = (_from, _to, m) => m.kind === 'cancellations';
  w.store.down = true;
  await w.pass(60);
  assert.equal(w.running(job), 0);
  w.store.restore();
  await w.until(() => w.running(job) === 4, 15, 'runs anew');
  assert.equal(terms(), 1);
  await w.close();
});

// Workers try two silent controllers before they come to the third, which takes a lease. That one
// heard nobody for half a lease, resigned and turned all of them away for another round.
test('the only controller that is left takes office again before its workers come', async () => {
  const w = new World(FOUR, 3);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await w.until(() => w.running(job) === 4, 10, 'replicas run');
  const frozen = w.leader;
  const [down, alone] = [(frozen + 1) % 3, (frozen + 2) % 3];
  w.crash(down);
  w.nodes[down]!.open = false;
  w.freeze(frozen, 40_000);
  // From the last answer before the silence, the leases have run out when they come to the third.
  await w.until(() => w.running(job) === 0, LEASE_S + 1, 'leases run out');
  await w.until(() => w.running(job) === 4, 4, 'replicas run again');
  assert.equal(w.leader, alone);
  w.nodes[down]!.open = true;
  w.restart(down);
  await w.pass(40);
  await w.close();
});

// It is back in office with nobody to hand it to, and waits for leases and a boot before it resigns again.
test('a leader that no worker reaches hands over to the first controller that comes back', async () => {
  const w = new World(FOUR, 3);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await w.until(() => w.running(job) === 4, 10, 'replicas run');
  const [first, second, alone] = [w.leader, (w.leader + 1) % 3, (w.leader + 2) % 3];
  w.nodes[alone]!.open = false;
  for (const ended of [first, second]) w.crash(ended);
  await w.pass(LEASE_S * 2);
  assert.equal(w.leader, alone);
  w.restart(second);
  await w.until(() => w.leader === second, 8, 'handed over');
  await w.until(() => w.running(job) === 4, 10, 'replicas run again');
  await w.close();
});
