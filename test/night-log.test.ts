import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World, type LogLine } from './fakes/world.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

/** Lines of one message, without the members that wrote them. */
const lines = (w: World, message: string): LogLine[] =>
  w.logged.filter((line) => line.message === message);

test('machines that hang show as one event at info level, with what their leases cost', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ pieces: 32, runMs: 120_000 });
  await w.until(() => w.running(job) === 32, 10, 'all run');
  await w.pass(3);
  assert.deepEqual(lines(w, 'machines fell silent'), []);
  const hanging = [...w.workers.keys()].slice(0, 2);
  const tasks = hanging.reduce((n, id) => n + w.workers.get(id)!.pieces.length, 0);
  for (const id of hanging) w.workers.get(id)!.hung = true;
  await w.pass(16);
  const event = { count: 2, machines: hanging, tasks };
  assert.deepEqual(
    lines(w, 'machines fell silent').map((l) => l.fields),
    [event],
  );
  const expired = lines(w, 'leases of silent machines ran out').map((l) => l.fields) as {
    tasks: number;
  }[];
  assert.equal(
    expired.reduce((n, e) => n + e.tasks, 0),
    tasks,
  );
  for (const id of hanging) w.workers.get(id)!.hung = false;
  await w.pass(6);
  assert.ok(lines(w, 'machines report again').length > 0);
  await w.close();
});

test('a controller says that it stood still, and that it sends its users away', async () => {
  const w = new World(FOUR, 3);
  await w.start();
  assert.equal(lines(w, 'ready for users').length, 3);
  assert.deepEqual(lines(w, 'stood still'), []);
  const follower = (w.leader + 1) % 3;
  w.freeze(follower, 6000);
  await w.pass(8);
  const [stall] = lines(w, 'stood still');
  assert.equal(stall?.member, w.nodes[follower]!.name);
  assert.ok((stall?.fields as { ms: number }).ms > 4000);

  w.nodes[follower]!.fate = () => 'refuse';
  void w.user(follower).query('req-000001');
  await w.pass(7);
  assert.deepEqual(
    lines(w, 'not ready for users, the balancer moves them').map((l) => l.member),
    [w.nodes[follower]!.name],
  );
  w.nodes[follower]!.fate = () => 'serve';
  await w.pass(5);
  assert.equal(lines(w, 'ready for users').length, 4);
  await w.close();
});

// A fleet with idle machines and waiting work looks stalled: the log has to say that a limit is why.
test("work that waits for nothing but its team's limit says so, and when it is over", async () => {
  const w = new World(FOUR);
  await w.start();
  const held = 'work waits for the limit of its team';
  const over = 'no work waits for the limit of its team any more';
  const full = await w.submit({ crew: 'vision', pieces: 16, gpus: 1, runMs: 20_000 });
  await w.until(() => w.running(full) === 16, 10, 'all run');
  await w.pass(5);
  assert.deepEqual(lines(w, held), []);
  await w.submit({ crew: 'vision', pieces: 32, gpus: 1, runMs: 20_000 });
  await w.pass(6);
  assert.deepEqual(
    lines(w, held).map((l) => l.fields),
    [{ team: 'vision', tasks: 16, gpus: 32, gpusLimit: 32 }],
  );
  assert.deepEqual(lines(w, over), []);
  await w.pass(40);
  assert.equal(lines(w, held).length, 1);
  const fields = lines(w, over).map((l) => l.fields as { team: string });
  assert.deepEqual(
    fields.map((f) => f.team),
    ['vision'],
  );
  await w.close();
});

// The line stands for lost work; a leader that only has to look whether a zone delegate answered has lost none.
test('machines that a zone delegate keeps alive behind a cut do not show as lost', async () => {
  const w = new World(FOUR);
  await w.start();
  const job = await w.submit({ shape: 'service', pieces: 4, gpus: 4, runMs: 0 });
  await w.until(() => w.running(job) === 4, 10, 'replicas run');
  w.split(true);
  await w.pass(30);
  assert.equal(w.running(job), 4);
  assert.ok(lines(w, 'machines fell silent').length > 0);
  assert.deepEqual(lines(w, 'leases of silent machines ran out'), []);
  w.split(false);
  await w.pass(10);
  assert.ok(lines(w, 'machines report again').length > 0);
  await w.close();
});
