import assert from 'node:assert/strict';
import { machines, runScenarios, type FaultScenario } from './fakes/fault-scenario.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

const UNRESPONSIVE_S = 90;
const LEADER_LEASE_S = 3;
const DISCONNECTIONS = 10;

/** Starts a service and a long array and waits until they run; returns the service. */
async function startWork(cluster: SimulatedCluster): Promise<string> {
  cluster.useLoadBalancer = true;
  const service = await cluster.accept({
    shape: 'service',
    pieces: 3,
    runMs: 0,
    urgency: 'production',
    crew: 'speech',
  });
  const array = await cluster.accept({ pieces: 4, runMs: 90_000 });
  await cluster.until(
    () => cluster.running(service) === 3 && cluster.running(array) === 4,
    20,
    'all run',
  );
  return service;
}

/** Submits small jobs at any controller that accepts them and cancels about half of them. */
async function submitSmallJobs(cluster: SimulatedCluster): Promise<void> {
  while (!cluster.settling) {
    void cluster
      .acceptInBackground({ pieces: 2, runMs: 3000, fetchMs: 500, crew: 'speech' })
      .then(async (ref) => {
        if (cluster.random.next() < 0.5) return;
        await cluster.clock.sleep(cluster.random.between(0, 4000));
        await cluster.cancelInBackground(ref);
        void cluster.queryEverywhere(ref);
      });
    await cluster.clock.sleep(2000);
  }
}

function countTerms(cluster: SimulatedCluster): () => number {
  let terms = 0;
  cluster.store.onWrite = (key) => void (terms += key === 'leader' ? 1 : 0);
  return () => terms;
}

async function waitForAnotherLeader(
  cluster: SimulatedCluster,
  formerLeader: number,
  seconds: number,
): Promise<void> {
  await cluster.until(
    () => cluster.leader !== formerLeader && cluster.leader >= 0,
    seconds,
    'another leads',
  );
}

/** Disconnects one leader after the other from its workers, each for half a minute. */
async function disconnectLeaders(cluster: SimulatedCluster, service: string): Promise<void> {
  for (let i = 0; i < DISCONNECTIONS; i++) {
    const disconnected = cluster.leader;
    cluster.nodes[disconnected]!.reachableByWorkers = false;
    await waitForAnotherLeader(cluster, disconnected, 8);
    await cluster.advance(30);
    assert.equal(cluster.running(service), 3, `disconnection ${i}`);
    cluster.nodes[disconnected]!.reachableByWorkers = true;
    await cluster.advance(cluster.random.between(0, 3));
  }
}

const SCENARIOS: FaultScenario[] = [
  {
    name: 'the leader is unresponsive for 90 s, with commands and responses in flight',
    machines: machines('aabbaa'),
    run: async (cluster, seed) => {
      const service = await startWork(cluster);
      void submitSmallJobs(cluster);
      // Preemptions, launches and cancellations are in flight when it stalls.
      void cluster.acceptInBackground({
        pieces: 12,
        runMs: 5000,
        urgency: 'urgent',
        crew: 'speech',
      });
      await cluster.advance(0.25 * seed);
      const formerLeader = cluster.leader;
      cluster.freeze(formerLeader, UNRESPONSIVE_S * 1000);
      await waitForAnotherLeader(cluster, formerLeader, LEADER_LEASE_S * 2);
      await cluster.advance(UNRESPONSIVE_S + 10);
      assert.equal(cluster.running(service), 3);
    },
  },
  {
    name: 'a follower is unresponsive for 90 s: the others lead, vote and answer without waiting for it',
    run: async (cluster, seed) => {
      await startWork(cluster);
      const terms = countTerms(cluster);
      const { leader } = cluster;
      const unresponsive = (leader + seed) % 3;
      cluster.freeze(unresponsive, UNRESPONSIVE_S * 1000);
      const others = [0, 1, 2].filter((i) => i !== unresponsive);
      for (let i = 0; i < UNRESPONSIVE_S; i += 5) {
        const startedAt = cluster.clock.now();
        const job = await cluster.submit(
          { runMs: 1500, fetchMs: 500, crew: 'speech' },
          others[i % 2],
        );
        assert.ok(
          cluster.clock.now() - startedAt <= 500,
          `accepted after ${cluster.clock.now() - startedAt} ms`,
        );
        await cluster.advance(5);
        assert.equal(await cluster.phase(job, others[(i + 1) % 2]), 'done');
      }
      // If workers would try the unresponsive controller next, leadership is transferred once to the
      // one after it, unless it is the only one in its zone, which may be partitioned.
      const zoneOf = (i: number): string => cluster.zoneOf(cluster.nodes[i]!);
      const maybePartitioned = !others.some((i) => zoneOf(i) === zoneOf(unresponsive));
      assert.equal(terms(), unresponsive === (leader + 1) % 3 && !maybePartitioned ? 1 : 0);
    },
  },
  {
    name: 'two controllers are unresponsive at once, and one resumes as the third stalls',
    machines: machines('aabbaa'),
    run: async (cluster, seed) => {
      await startWork(cluster);
      void submitSmallJobs(cluster);
      const [first, second] = [cluster.leader, (cluster.leader + 1) % 3];
      const third = (cluster.leader + 2) % 3;
      cluster.freeze(first, (40 + seed) * 1000);
      cluster.freeze(second, UNRESPONSIVE_S * 1000);
      await cluster.until(() => cluster.leader === third, LEADER_LEASE_S * 3, 'the third leads');
      await cluster.advance(36);
      // The first controller resumes within a second of the third one's stall.
      cluster.freeze(third, UNRESPONSIVE_S * 1000);
      await cluster.until(
        () => cluster.leader === first,
        LEADER_LEASE_S * 3 + 5,
        'the first leads again',
      );
      await cluster.advance(UNRESPONSIVE_S + 5);
    },
  },
  {
    name: 'ten leaders in a row are disconnected from their workers for 30 s each',
    seeds: [1, 2, 3],
    run: async (cluster) => {
      const service = await startWork(cluster);
      const terms = countTerms(cluster);
      await disconnectLeaders(cluster, service);
      assert.equal(terms(), DISCONNECTIONS, 'one leader change for each disconnection');
    },
  },
  {
    name: 'a leader that users or peers cannot reach keeps leading',
    run: async (cluster, seed) => {
      const service = await startWork(cluster);
      const terms = countTerms(cluster);
      const { leader } = cluster;
      if (seed === 1) cluster.nodes[leader]!.reachableByUsers = false;
      else cluster.peerNetwork.disconnected.add(cluster.nodes[leader]!.name);
      for (let i = 0; i < 6; i++) {
        const job = await cluster.accept({ pieces: 2, runMs: 1500, fetchMs: 500, crew: 'speech' });
        await cluster.advance(5);
        assert.equal(await cluster.phase(job, (leader + 1) % 3), 'done');
      }
      assert.equal(terms(), 0);
      assert.equal(cluster.running(service), 3);
    },
  },
];

runScenarios(SCENARIOS);
