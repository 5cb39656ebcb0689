import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

test('a leader that stalled for longer than its lease sends no commands when it resumes', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({
    shape: 'service',
    pieces: 4,
    runMs: 0,
    urgency: 'production',
  });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const firstLeader = simulatedCluster.leader;
  simulatedCluster.freeze(firstLeader, 12_000);
  await simulatedCluster.until(
    () => simulatedCluster.leader === 1 - firstLeader,
    10,
    'another leads',
  );
  const secondJob = await simulatedCluster.submit({ pieces: 6, runMs: 8000 }, 1 - firstLeader);
  await simulatedCluster.advance(40);
  assert.equal(simulatedCluster.running(job), 4);
  assert.equal(await simulatedCluster.phase(secondJob, 1 - firstLeader), 'done');
  assert.equal(await simulatedCluster.phase(secondJob, firstLeader), 'done');
  assert.equal(simulatedCluster.starts.length, 10, 'no task was started twice');
  await simulatedCluster.close();
});

test('a leader that stalls between writing a run record and the launch leaves the start to the next leader', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const firstLeader = simulatedCluster.leader;
  const job = await simulatedCluster.submit({ pieces: 3, runMs: 8000 }, 1 - firstLeader);
  while (simulatedCluster.store.get(`runs/${job}/0`) === undefined)
    await simulatedCluster.clock.advance(1);
  simulatedCluster.freeze(firstLeader, 9000);
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 3,
    25,
    'it runs nevertheless',
  );
  await simulatedCluster.advance(25);
  assert.equal(await simulatedCluster.phase(job, 1 - firstLeader), 'done');
  assert.equal(simulatedCluster.starts.length, 3);
  await simulatedCluster.close();
});

test('a leader that stalled for less than its lease keeps leading, though it received nothing meanwhile', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const firstLeader = simulatedCluster.leader;
  const fencingToken = simulatedCluster.store.keys.get('leader')!.stamp;
  // Its lease lasts 3 s and is renewed every 0.6 s.
  simulatedCluster.freeze(firstLeader, 2000);
  await simulatedCluster.advance(10);
  assert.equal(simulatedCluster.store.keys.get('leader')!.stamp, fencingToken);
  const job = await simulatedCluster.submit({ pieces: 3 }, firstLeader);
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 3,
    5,
    'it schedules soon afterwards',
  );
  await simulatedCluster.close();
});

test('a follower that stalled after a promise not to campaign does not campaign on outdated responses', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 2, runMs: 60_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'runs');
  const firstLeader = simulatedCluster.leader;
  simulatedCluster.store.down = true;
  await simulatedCluster.advance(2);
  simulatedCluster.freeze(1 - firstLeader, 6000);
  await simulatedCluster.advance(3);
  simulatedCluster.store.restore();
  await simulatedCluster.advance(30);
  assert.equal(simulatedCluster.starts.filter((start) => start.startsWith(job)).length <= 4, true);
  await simulatedCluster.until(() => simulatedCluster.running(job) === 2, 10, 'both tasks run');
  await simulatedCluster.close();
});

test('workers are not redirected to an unresponsive leader until it is known to lead', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const leader = simulatedCluster.leader;
  // A worker of the leader's zone: the follower itself would keep those of its own zone alive.
  const worker = [...simulatedCluster.workers.values()].find(
    (candidate) => candidate.yard === (leader === 1 ? 'b' : 'a'),
  );
  const redirectTarget = async (): Promise<unknown> => {
    const answer = simulatedCluster.deliver(1 - leader, worker!.body());
    await simulatedCluster.clock.advance(20);
    return ((await answer).body as { foreman?: string }).foreman ?? null;
  };
  const leaderName = simulatedCluster.nodes[leader]!.name;
  assert.equal(await redirectTarget(), leaderName);
  simulatedCluster.peerNetwork.disconnected.add(leaderName);
  await simulatedCluster.advance(2.5);
  assert.equal(await redirectTarget(), null);
  await simulatedCluster.advance(3);
  assert.equal(simulatedCluster.leader, leader);
  assert.equal(await redirectTarget(), leaderName);
  await simulatedCluster.close();
});
