import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseHeartbeat } from '../src/wire/worker-heartbeat.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const LEASE_S = 10;
const BOOT_S = 40;

/** Counts the leader terms from now on, including the current one. */
function countTerms(cluster: SimulatedCluster): () => number {
  const tokens = new Set<number>();
  const recordTerm = (): void => {
    const key = cluster.store.keys.get('leader');
    if (key) tokens.add(key.stamp);
  };
  void (async () => {
    for (;;) {
      recordTerm();
      await cluster.clock.sleep(100);
    }
  })();
  return () => tokens.size;
}

/** All machines die at once; if `listed`, the cloud still lists them as running. */
function allMachinesDie(cluster: SimulatedCluster, listed: boolean): void {
  for (const worker of cluster.workers.values()) {
    worker.dead = true;
    if (!listed) cluster.cloud.hosts.delete(worker.id);
  }
}

for (const listed of [false, true]) {
  for (const leaderEnds of [false, true]) {
    const name = `${listed ? 'are still listed' : 'are no longer listed'}${leaderEnds ? ', and the leader crashes' : ''}`;
    test(`all machines die and ${name}: others are rented and the jobs complete`, async () => {
      const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
      await simulatedCluster.start();
      const job = await simulatedCluster.submit({ pieces: 4, gpus: 8, runMs: 15_000 });
      await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'all run');
      const terms = countTerms(simulatedCluster);
      allMachinesDie(simulatedCluster, listed);
      if (leaderEnds) {
        const formerLeader = simulatedCluster.leader;
        simulatedCluster.crash(formerLeader);
        await simulatedCluster.advance(10);
        simulatedCluster.restart(formerLeader);
      }
      // Each controller may resign once before one waits for the proof that nothing runs.
      const resignationsS = listed ? 3 * LEASE_S : 0;
      await simulatedCluster.until(
        () => simulatedCluster.running(job) === 4,
        resignationsS + 2 * LEASE_S + BOOT_S + 20,
        'all run again',
      );
      await simulatedCluster.advance(25);
      for (const node of simulatedCluster.nodes.keys())
        assert.equal(await simulatedCluster.phase(job, node), 'done');
      assert.ok(terms() <= (listed ? 5 : 2), `${terms()} terms`);
      await simulatedCluster.close();
    });
  }
}

test('if machines are listed but never report, leaders resign less and less often', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  simulatedCluster.cloud.capacity = 4;
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 4, gpus: 8, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'all run');
  const terms = countTerms(simulatedCluster);
  allMachinesDie(simulatedCluster, true);
  await simulatedCluster.advance(400);
  const first = terms();
  await simulatedCluster.advance(800);
  assert.ok(first <= 9, `${first} terms at first`);
  assert.ok(terms() - first <= 4, `${terms() - first} more terms`);
  await simulatedCluster.close();
});

test('a leader that is disconnected from its workers again resigns as soon as the first time', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  for (let round = 0; round < 3; round++) {
    const disconnected = simulatedCluster.leader;
    simulatedCluster.nodes[disconnected]!.reachableByWorkers = false;
    await simulatedCluster.until(
      () => simulatedCluster.leader !== disconnected && simulatedCluster.leader >= 0,
      8,
      `another leads, round ${round}`,
    );
    await simulatedCluster.advance(12);
    assert.equal(simulatedCluster.running(job), 4);
    simulatedCluster.nodes[disconnected]!.reachableByWorkers = true;
    await simulatedCluster.advance(12);
  }
  assert.equal(simulatedCluster.starts.length, 4);
  await simulatedCluster.close();
});

test('late copies of heartbeats do not keep a leader that no worker reaches from resigning', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const disconnected = simulatedCluster.leader;
  const copies = [...simulatedCluster.workers.values()].map((worker) => worker.sent.at(-1)!);
  const { controller } = simulatedCluster.nodes[disconnected]!;
  simulatedCluster.nodes[disconnected]!.reachableByWorkers = false;
  const anotherLeads = (): boolean =>
    simulatedCluster.leader !== disconnected && simulatedCluster.leader >= 0;
  for (let i = 0; i < 8 && !anotherLeads(); i++) {
    for (const copy of copies) void controller!.receiveHeartbeat(parseHeartbeat(copy)!);
    await simulatedCluster.advance(1);
  }
  assert.ok(anotherLeads());
  await simulatedCluster.advance(12);
  assert.equal(simulatedCluster.running(job), 4);
  await simulatedCluster.close();
});

test('the leader keeps leading after an outage in which it rejected its workers', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 4, runMs: 120_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'all run');
  const terms = countTerms(simulatedCluster);
  // Promises not to campaign arrive, cancellation lists do not: past the bound workers are rejected.
  simulatedCluster.peerNetwork.isLost = (_from, _to, message) =>
    message.kind === 'cancellationsResponse';
  simulatedCluster.store.down = true;
  await simulatedCluster.advance(60);
  assert.equal(simulatedCluster.running(job), 0);
  simulatedCluster.store.restore();
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 15, 'all run again');
  assert.equal(terms(), 1);
  await simulatedCluster.close();
});

// Workers try two unresponsive controllers before the third one, which takes as long as a lease. The
// third one had received no heartbeat for half a lease, resigned, and rejected all of them for
// another round.
test('the only remaining controller leads again before its workers reach it', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const frozen = simulatedCluster.leader;
  const [crashed, remaining] = [(frozen + 1) % 3, (frozen + 2) % 3];
  simulatedCluster.crash(crashed);
  simulatedCluster.nodes[crashed]!.reachableByWorkers = false;
  simulatedCluster.freeze(frozen, 40_000);
  // Leases count from the last response before the stall: they expire before the third one is tried.
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 0,
    LEASE_S + 1,
    'leases expire',
  );
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 4, 'replicas run again');
  assert.equal(simulatedCluster.leader, remaining);
  simulatedCluster.nodes[crashed]!.reachableByWorkers = true;
  simulatedCluster.restart(crashed);
  await simulatedCluster.advance(40);
  await simulatedCluster.close();
});

// A leader that resigned without a successor leads again. It must not wait for leases and a machine
// boot before it resigns to a controller that restarts.
test('a leader that no worker reaches resigns in favor of the first controller that restarts', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const [first, second, remaining] = [
    simulatedCluster.leader,
    (simulatedCluster.leader + 1) % 3,
    (simulatedCluster.leader + 2) % 3,
  ];
  simulatedCluster.nodes[remaining]!.reachableByWorkers = false;
  for (const crashed of [first, second]) simulatedCluster.crash(crashed);
  await simulatedCluster.advance(LEASE_S * 2);
  assert.equal(simulatedCluster.leader, remaining);
  simulatedCluster.restart(second);
  await simulatedCluster.until(
    () => simulatedCluster.leader === second,
    8,
    'the restarted controller leads',
  );
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run again');
  await simulatedCluster.close();
});
