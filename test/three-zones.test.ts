import assert from 'node:assert/strict';
import { test } from 'node:test';
import { THREE_ZONES } from './fakes/deployment-shape.js';
import { machines } from './fakes/meeting.js';
import { World } from './fakes/world.js';

// Five controllers in three zones, reports every 2 s, leases of 16 s, a store of 30 changes a second and
// values of 32 KiB; 24 machines of 8 GPUs, and 16 more that can be rented.

const MACHINES = machines('aaaaaaaabbbbbbbbcccccccc');
const LEASE_S = THREE_ZONES.workers.leaseMs / 1000;
const BOOT_S = 40;
/** Nearly all of the fleet is within a guarantee, and no limit is smaller than it. */
const TEAM_SCALE = 8;

interface Work {
  replicas: string[];
  pair: string;
  sweep: string;
}

async function begin(seed: number): Promise<{ w: World; work: Work }> {
  const w = new World(MACHINES, THREE_ZONES, seed, {}, TEAM_SCALE);
  w.cloud.capacity = MACHINES.length + 16;
  await w.start();
  const replicas: string[] = [];
  for (let i = 0; i < 8; i++) {
    const wish = { pieces: 3, gpus: 2, runMs: 0, crew: 'speech', urgency: 'production' };
    replicas.push(await w.accept({ ...wish, shape: 'service', apart: true }));
  }
  const pair = await w.accept({
    ...{ shape: 'gang', pieces: 2, gpus: 8, vcpus: 40, runMs: 90_000 },
    ...{ samePlace: true, urgency: 'urgent' },
  });
  const sweep = await w.accept({ pieces: 24, runMs: 40_000, urgency: 'best_effort' });
  const all = [...replicas, pair, sweep];
  await w.until(() => all.every((job) => w.running(job) > 0), 40, 'all run');
  return { w, work: { replicas, pair, sweep } };
}

/** A zone loses its machines and its controllers for good. */
function loseZone(w: World, zone: string): void {
  for (const [i, node] of w.nodes.entries()) if (w.zoneOf(node) === zone) w.crash(i);
  for (const worker of [...w.workers.values()]) {
    if (worker.yard !== zone) continue;
    w.cloud.hosts.delete(worker.id);
    w.kill(worker.id);
  }
}

async function replicasRunElsewhere(w: World, { replicas }: Work, zone: string): Promise<void> {
  const whole = (job: string): boolean => w.running(job) === 3;
  const elsewhere = (job: string): boolean => w.holding(job).every(({ yard }) => yard !== zone);
  const seconds = 2 * LEASE_S + BOOT_S + 20;
  await w.until(() => replicas.every((j) => whole(j) && elsewhere(j)), seconds, 'run elsewhere');
}

for (const zone of ['a', 'c']) {
  test(`zone ${zone} is lost with its controllers, and the leader ends: all goes on in the others`, async () => {
    const { w, work } = await begin(1);
    loseZone(w, zone);
    if (w.leader >= 0) w.crash(w.leader);
    await w.pass(3);
    for (const [i, node] of w.nodes.entries())
      if (w.zoneOf(node) !== zone && !node.controller) w.restart(i);
    await replicasRunElsewhere(w, work, zone);
    await w.until(() => w.stored(work.pair) === 'done', 200, 'the pair is done');
    await w.until(() => w.stored(work.sweep) === 'done', 60, 'the sweep is done');
    assert.equal(w.holding(work.pair).length, 0);
    for (const [i, node] of w.nodes.entries()) if (!node.controller) w.restart(i);
    await w.settle(150);
    await w.close();
  });
}

test('zones that are cut off from each other for longer than a lease keep their work, also when the leader ends', async () => {
  const { w, work } = await begin(2);
  const starts = w.starts.length;
  w.split(true);
  await w.pass(2);
  w.crash(w.leader);
  await w.pass(LEASE_S + 4);
  w.split(false);
  for (const [i, node] of w.nodes.entries()) if (!node.controller) w.restart(i);
  await w.pass(10);
  for (const job of work.replicas) assert.equal(w.running(job), 3);
  assert.equal(w.starts.length, starts, 'nothing had to start again');
  await w.settle(150);
  await w.close();
});

test('all five controllers end in an outage of the store', async () => {
  const { w } = await begin(3);
  w.trouble.outage();
  await w.pass(17);
  for (const i of w.nodes.keys()) w.crash(i);
  await w.pass(3);
  for (const i of w.nodes.keys()) w.restart(i);
  await w.pass(10);
  w.trouble.outageOver();
  await w.settle(200);
  await w.close();
});

test('all controllers are restarted one after the other while the cloud is out', async () => {
  const { w, work } = await begin(4);
  w.cloud.down = true;
  for (const i of w.nodes.keys()) {
    w.crash(i);
    await w.pass(3);
    w.restart(i);
    await w.pass(17);
    for (const job of work.replicas) assert.equal(w.running(job), 3, `after controller ${i}`);
  }
  w.cloud.down = false;
  await w.settle(150);
  await w.close();
});
