import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

test('an idle worker gets a start as soon as it is recorded, not with its next heartbeat', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'b' }]);
  await simulatedCluster.start();
  const waitsMs: number[] = [];
  for (let i = 0; i < 6; i++) {
    // At various moments between two heartbeats.
    await simulatedCluster.clock.advance(1000 + i * 170);
    const from = simulatedCluster.clock.now();
    const job = await simulatedCluster.submit({ pieces: 1, runMs: 1000, fetchMs: 0 });
    while (simulatedCluster.tasksOf(job).length === 0 && simulatedCluster.clock.now() - from < 3000)
      await simulatedCluster.clock.advance(10);
    waitsMs.push(simulatedCluster.clock.now() - from);
    await simulatedCluster.advance(5);
  }
  waitsMs.sort((a, b) => a - b);
  assert.ok(waitsMs[3]! < 500, `waits: ${waitsMs.join(', ')} ms`);
  await simulatedCluster.close();
});

test('a superseded heartbeat gets no commands, and a delayed copy is not held', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const [worker] = [...simulatedCluster.workers.values()];
  const leader = simulatedCluster.leader;
  const lastHeartbeat = worker!.sent.at(-1)!;
  const answers: unknown[] = [];
  void simulatedCluster.deliver(leader, lastHeartbeat).then((answer) => answers.push(answer.body));
  await simulatedCluster.clock.advance(5);
  assert.equal(answers.length, 1, 'a copy is answered at once');
  assert.deepEqual((answers[0] as { orders: unknown[] }).orders, []);
  // The worker abandons its heartbeat and sends another: only the newer one may get the start.
  void simulatedCluster.deliver(leader, worker!.body()).then((answer) => answers.push(answer.body));
  await simulatedCluster.clock.advance(5);
  void simulatedCluster.deliver(leader, worker!.body()).then((answer) => answers.push(answer.body));
  await simulatedCluster.clock.advance(5);
  assert.equal(answers.length, 2);
  assert.deepEqual((answers[1] as { orders: unknown[] }).orders, []);
  const job = await simulatedCluster.submit({ pieces: 1 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 1, 10, 'it runs');
  assert.equal(simulatedCluster.starts.length, 1);
  await simulatedCluster.close();
});

test('a leader that loses leadership answers held heartbeats, without commands', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'b' }]);
  await simulatedCluster.start();
  const oldLeader = simulatedCluster.leader;
  simulatedCluster.nodes[oldLeader]!.storeOutcome = () => 'refuse';
  await simulatedCluster.until(
    () => simulatedCluster.leader === 1 - oldLeader,
    20,
    'another leads',
  );
  const job = await simulatedCluster.submit({ pieces: 4, runMs: 5000 }, 1 - oldLeader);
  await simulatedCluster.until(
    () => simulatedCluster.starts.length === 4,
    15,
    'it starts with the new leader',
  );
  await simulatedCluster.advance(10);
  assert.equal(await simulatedCluster.phase(job, 1 - oldLeader), 'done');
  assert.equal(simulatedCluster.starts.length, 4);
  await simulatedCluster.close();
});
