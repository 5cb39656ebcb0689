import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster, type LogLine } from './fakes/simulated-cluster.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

/** Lines of one message, without the members that wrote them. */
const lines = (cluster: SimulatedCluster, message: string): LogLine[] =>
  cluster.logged.filter((line) => line.message === message);

test('machines that hang show as one event at info level, with what their leases cost', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ pieces: 32, runMs: 120_000 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 32, 10, 'all run');
  await simulatedCluster.pass(3);
  assert.deepEqual(lines(simulatedCluster, 'machines unresponsive'), []);
  const hanging = [...simulatedCluster.workers.keys()].slice(0, 2);
  const tasks = hanging.reduce(
    (sum, id) => sum + simulatedCluster.workers.get(id)!.pieces.length,
    0,
  );
  for (const id of hanging) simulatedCluster.workers.get(id)!.hung = true;
  await simulatedCluster.pass(16);
  const event = { count: 2, machines: hanging, tasks };
  assert.deepEqual(
    lines(simulatedCluster, 'machines unresponsive').map((line) => line.fields),
    [event],
  );
  const expired = lines(simulatedCluster, 'leases of unresponsive machines expired').map(
    (line) => line.fields,
  ) as {
    tasks: number;
  }[];
  assert.equal(
    expired.reduce((sum, e) => sum + e.tasks, 0),
    tasks,
  );
  for (const id of hanging) simulatedCluster.workers.get(id)!.hung = false;
  await simulatedCluster.pass(6);
  assert.ok(lines(simulatedCluster, 'machines responsive again').length > 0);
  await simulatedCluster.close();
});

test('a controller says that it stood still, and that it sends its users away', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  await simulatedCluster.start();
  assert.equal(lines(simulatedCluster, 'ready for users').length, 3);
  assert.deepEqual(lines(simulatedCluster, 'stood still'), []);
  const follower = (simulatedCluster.leader + 1) % 3;
  simulatedCluster.freeze(follower, 6000);
  await simulatedCluster.pass(8);
  const [stall] = lines(simulatedCluster, 'stood still');
  assert.equal(stall?.member, simulatedCluster.nodes[follower]!.name);
  assert.ok((stall?.fields as { ms: number }).ms > 4000);

  simulatedCluster.nodes[follower]!.fate = () => 'refuse';
  void simulatedCluster.user(follower).query('req-000001');
  await simulatedCluster.pass(7);
  assert.deepEqual(
    lines(simulatedCluster, 'not ready for users, the load balancer routes them elsewhere').map(
      (line) => line.member,
    ),
    [simulatedCluster.nodes[follower]!.name],
  );
  simulatedCluster.nodes[follower]!.fate = () => 'serve';
  await simulatedCluster.pass(5);
  assert.equal(lines(simulatedCluster, 'ready for users').length, 4);
  await simulatedCluster.close();
});

// A fleet with idle machines and waiting work looks stalled: the log has to say that a limit is why.
test("work that waits for nothing but its team's limit says so, and when it is over", async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const held = 'work waits for the limit of its team';
  const over = 'no work waits for the limit of its team any more';
  const full = await simulatedCluster.submit({
    crew: 'vision',
    pieces: 16,
    gpus: 1,
    runMs: 20_000,
  });
  await simulatedCluster.until(() => simulatedCluster.running(full) === 16, 10, 'all run');
  await simulatedCluster.pass(5);
  assert.deepEqual(lines(simulatedCluster, held), []);
  await simulatedCluster.submit({ crew: 'vision', pieces: 32, gpus: 1, runMs: 20_000 });
  await simulatedCluster.pass(6);
  assert.deepEqual(
    lines(simulatedCluster, held).map((line) => line.fields),
    [{ team: 'vision', tasks: 16, gpus: 32, gpusLimit: 32 }],
  );
  assert.deepEqual(lines(simulatedCluster, over), []);
  await simulatedCluster.pass(40);
  assert.equal(lines(simulatedCluster, held).length, 1);
  const fields = lines(simulatedCluster, over).map((line) => line.fields as { team: string });
  assert.deepEqual(
    fields.map((field) => field.team),
    ['vision'],
  );
  await simulatedCluster.close();
});

// The line stands for lost work; a leader that only has to look whether a zone delegate answered has lost none.
test('machines that a zone delegate keeps alive behind a cut do not show as lost', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  simulatedCluster.split(true);
  await simulatedCluster.pass(30);
  assert.equal(simulatedCluster.running(job), 4);
  assert.ok(lines(simulatedCluster, 'machines unresponsive').length > 0);
  assert.deepEqual(lines(simulatedCluster, 'leases of unresponsive machines expired'), []);
  simulatedCluster.split(false);
  await simulatedCluster.pass(10);
  assert.ok(lines(simulatedCluster, 'machines responsive again').length > 0);
  await simulatedCluster.close();
});
