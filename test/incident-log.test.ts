import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster, type LogLine } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

/** The log lines with this message. */
const linesOf = (cluster: SimulatedCluster, message: string): LogLine[] =>
  cluster.logged.filter((line) => line.message === message);

test('machines that hang together are logged as one event at info level, and the tasks lost with their leases are counted', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 32, runMs: 120_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 32, 10, 'all run');
  await simulatedCluster.advance(3);
  assert.deepEqual(linesOf(simulatedCluster, 'machines unresponsive'), []);
  const hungMachines = [...simulatedCluster.workers.keys()].slice(0, 2);
  const tasks = hungMachines.reduce(
    (sum, id) => sum + simulatedCluster.workers.get(id)!.pieces.length,
    0,
  );
  for (const id of hungMachines) simulatedCluster.workers.get(id)!.hung = true;
  await simulatedCluster.advance(16);
  const event = { count: 2, machines: hungMachines, tasks };
  assert.deepEqual(
    linesOf(simulatedCluster, 'machines unresponsive').map((line) => line.fields),
    [event],
  );
  const expired = linesOf(simulatedCluster, 'leases of unresponsive machines expired').map(
    (line) => line.fields,
  ) as {
    tasks: number;
  }[];
  assert.equal(
    expired.reduce((sum, e) => sum + e.tasks, 0),
    tasks,
  );
  for (const id of hungMachines) simulatedCluster.workers.get(id)!.hung = false;
  await simulatedCluster.advance(6);
  assert.ok(linesOf(simulatedCluster, 'machines responsive again').length > 0);
  await simulatedCluster.close();
});

test('a controller logs that it stalled, and that it is not ready for users', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  await simulatedCluster.start();
  assert.equal(linesOf(simulatedCluster, 'ready for users').length, 3);
  assert.deepEqual(linesOf(simulatedCluster, 'stood still'), []);
  const follower = (simulatedCluster.leader + 1) % 3;
  simulatedCluster.freeze(follower, 6000);
  await simulatedCluster.advance(8);
  const [stall] = linesOf(simulatedCluster, 'stood still');
  assert.equal(stall?.member, simulatedCluster.nodes[follower]!.name);
  assert.ok((stall?.fields as { ms: number }).ms > 4000);

  simulatedCluster.nodes[follower]!.storeOutcome = () => 'refuse';
  void simulatedCluster.user(follower).query('req-000001');
  await simulatedCluster.advance(7);
  assert.deepEqual(
    linesOf(simulatedCluster, 'not ready for users, the load balancer routes them elsewhere').map(
      (line) => line.member,
    ),
    [simulatedCluster.nodes[follower]!.name],
  );
  simulatedCluster.nodes[follower]!.storeOutcome = () => 'serve';
  await simulatedCluster.advance(5);
  assert.equal(linesOf(simulatedCluster, 'ready for users').length, 4);
  await simulatedCluster.close();
});

// A fleet with idle machines and pending work looks stalled: the log has to name the limit as cause.
test("work that waits only for its team's limit is logged, and so is the end of the wait", async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const limitWaitMessage = 'work waits for the limit of its team';
  const limitWaitOverMessage = 'no work waits for the limit of its team any more';
  const fillingJob = await simulatedCluster.submit({
    crew: 'vision',
    pieces: 16,
    gpus: 1,
    runMs: 20_000,
  });
  await simulatedCluster.until(() => simulatedCluster.running(fillingJob) === 16, 10, 'all run');
  await simulatedCluster.advance(5);
  assert.deepEqual(linesOf(simulatedCluster, limitWaitMessage), []);
  await simulatedCluster.submit({ crew: 'vision', pieces: 32, gpus: 1, runMs: 20_000 });
  await simulatedCluster.advance(6);
  assert.deepEqual(
    linesOf(simulatedCluster, limitWaitMessage).map((line) => line.fields),
    [{ team: 'vision', tasks: 16, gpus: 32, gpusLimit: 32 }],
  );
  assert.deepEqual(linesOf(simulatedCluster, limitWaitOverMessage), []);
  await simulatedCluster.advance(40);
  assert.equal(linesOf(simulatedCluster, limitWaitMessage).length, 1);
  const fields = linesOf(simulatedCluster, limitWaitOverMessage).map(
    (line) => line.fields as { team: string },
  );
  assert.deepEqual(
    fields.map((field) => field.team),
    ['vision'],
  );
  await simulatedCluster.close();
});

// The line about expired leases means lost work. A leader that only has to check whether a zone
// delegate has renewed the leases has lost none.
test('machines that a zone delegate keeps alive in a partitioned zone are not logged as lost', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  simulatedCluster.setPartitioned(true);
  await simulatedCluster.advance(30);
  assert.equal(simulatedCluster.running(job), 4);
  assert.ok(linesOf(simulatedCluster, 'machines unresponsive').length > 0);
  assert.deepEqual(linesOf(simulatedCluster, 'leases of unresponsive machines expired'), []);
  simulatedCluster.setPartitioned(false);
  await simulatedCluster.advance(10);
  assert.ok(linesOf(simulatedCluster, 'machines responsive again').length > 0);
  await simulatedCluster.close();
});
