import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseHeartbeat } from '../src/wire/worker-heartbeat.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const LEASE_S = 10;
const BOOT_S = 40;

/** Counts the terms that begin while a scenario goes on. */
function countTerms(cluster: SimulatedCluster): () => number {
  const tokens = new Set<number>();
  const look = (): void => {
    const key = cluster.store.keys.get('leader');
    if (key) tokens.add(key.stamp);
  };
  void (async () => {
    for (;;) {
      look();
      await cluster.clock.sleep(100);
    }
  })();
  return () => tokens.size;
}

/** All machines die at once; `listed`: the cloud goes on listing them as running. */
function allMachinesDie(cluster: SimulatedCluster, listed: boolean): void {
  for (const worker of cluster.workers.values()) {
    worker.dead = true;
    if (!listed) cluster.cloud.hosts.delete(worker.id);
  }
}

for (const listed of [false, true]) {
  for (const leaderEnds of [false, true]) {
    const name = `${listed ? 'are listed all the same' : 'are no longer listed'}${leaderEnds ? ', and the leader ends' : ''}`;
    test(`all machines die and ${name}: others are rented and the jobs end`, async () => {
      const simulatedCluster = new SimulatedCluster(FOUR, 3);
      await simulatedCluster.start();
      const job = await simulatedCluster.submit({ pieces: 4, gpus: 8, runMs: 15_000 });
      await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'all run');
      const terms = countTerms(simulatedCluster);
      allMachinesDie(simulatedCluster, listed);
      if (leaderEnds) {
        const old = simulatedCluster.leader;
        simulatedCluster.crash(old);
        await simulatedCluster.pass(10);
        simulatedCluster.restart(old);
      }
      // Each controller may give leadership up once before it waits for the proof that nothing runs.
      const givingUpS = listed ? 3 * LEASE_S : 0;
      await simulatedCluster.until(
        () => simulatedCluster.running(job) === 4,
        givingUpS + 2 * LEASE_S + BOOT_S + 20,
        'runs anew',
      );
      await simulatedCluster.pass(25);
      for (const node of simulatedCluster.nodes.keys())
        assert.equal(await simulatedCluster.phase(job, node), 'done');
      assert.ok(terms() <= (listed ? 5 : 2), `${terms()} terms`);
      await simulatedCluster.close();
    });
  }
}

test('where machines are listed but never report, leaders give office up ever less often', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  simulatedCluster.cloud.capacity = 4;
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 4, gpus: 8, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'all run');
  const terms = countTerms(simulatedCluster);
  allMachinesDie(simulatedCluster, true);
  await simulatedCluster.pass(400);
  const first = terms();
  await simulatedCluster.pass(800);
  assert.ok(first <= 9, `${first} terms at first`);
  assert.ok(terms() - first <= 4, `${terms() - first} more terms`);
  await simulatedCluster.close();
});

test('a leader that is cut from its workers again gives office up as soon as before', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  for (let round = 0; round < 3; round++) {
    const cut = simulatedCluster.leader;
    simulatedCluster.nodes[cut]!.open = false;
    await simulatedCluster.until(
      () => simulatedCluster.leader !== cut && simulatedCluster.leader >= 0,
      8,
      `handed over, round ${round}`,
    );
    await simulatedCluster.pass(12);
    assert.equal(simulatedCluster.running(job), 4);
    simulatedCluster.nodes[cut]!.open = true;
    await simulatedCluster.pass(12);
  }
  assert.equal(simulatedCluster.starts.length, 4);
  await simulatedCluster.close();
});

test('late copies of reports do not keep a leader in office that no worker reaches', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const cut = simulatedCluster.leader;
  const copies = [...simulatedCluster.workers.values()].map((worker) => worker.sent.at(-1)!);
  const { controller } = simulatedCluster.nodes[cut]!;
  simulatedCluster.nodes[cut]!.open = false;
  const handedOver = (): boolean => simulatedCluster.leader !== cut && simulatedCluster.leader >= 0;
  for (let i = 0; i < 8 && !handedOver(); i++) {
    for (const copy of copies) void controller!.receiveHeartbeat(parseHeartbeat(copy)!);
    await simulatedCluster.pass(1);
  }
  assert.ok(handedOver());
  await simulatedCluster.pass(12);
  assert.equal(simulatedCluster.running(job), 4);
  await simulatedCluster.close();
});

test('after an outage in which workers were turned away their leader keeps office', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 4, runMs: 120_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'all run');
  const terms = countTerms(simulatedCluster);
  // Promises not to contest come, lists of cancellations do not: past the bound workers are turned away.
  simulatedCluster.wire.loses = (_from, _to, message) => message.kind === 'cancellationsResponse';
  simulatedCluster.store.down = true;
  await simulatedCluster.pass(60);
  assert.equal(simulatedCluster.running(job), 0);
  simulatedCluster.store.restore();
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 15, 'runs anew');
  assert.equal(terms(), 1);
  await simulatedCluster.close();
});

// Workers try two silent controllers before they come to the third, which takes a lease. That one
// heard nobody for half a lease, resigned and turned all of them away for another round.
test('the only controller that is left takes office again before its workers come', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const frozen = simulatedCluster.leader;
  const [down, alone] = [(frozen + 1) % 3, (frozen + 2) % 3];
  simulatedCluster.crash(down);
  simulatedCluster.nodes[down]!.open = false;
  simulatedCluster.freeze(frozen, 40_000);
  // From the last answer before the silence, the leases have run out when they come to the third.
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 0,
    LEASE_S + 1,
    'leases run out',
  );
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 4, 'replicas run again');
  assert.equal(simulatedCluster.leader, alone);
  simulatedCluster.nodes[down]!.open = true;
  simulatedCluster.restart(down);
  await simulatedCluster.pass(40);
  await simulatedCluster.close();
});

// It is back in leadership with nobody to hand it to, and waits for leases and a boot before it resigns again.
test('a leader that no worker reaches hands over to the first controller that comes back', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const [first, second, alone] = [
    simulatedCluster.leader,
    (simulatedCluster.leader + 1) % 3,
    (simulatedCluster.leader + 2) % 3,
  ];
  simulatedCluster.nodes[alone]!.open = false;
  for (const ended of [first, second]) simulatedCluster.crash(ended);
  await simulatedCluster.pass(LEASE_S * 2);
  assert.equal(simulatedCluster.leader, alone);
  simulatedCluster.restart(second);
  await simulatedCluster.until(() => simulatedCluster.leader === second, 8, 'handed over');
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run again');
  await simulatedCluster.close();
});
