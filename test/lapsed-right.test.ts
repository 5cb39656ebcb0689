import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '../src/peer/frames.js';
import { World, type Node } from './fakes/world.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const OUTAGE_S = 40;
/** Longer than a lease, shorter than work is kept without knowing the cancellations. */
const SHORT_OUTAGE_S = 12;
/** Longer than a promise not to contest, shorter than the workers' lease. */
const SILENCE_S = 3;
const service = { shape: 'service', pieces: 4, gpus: 4, runMs: 0, urgency: 'production' } as const;

interface Fleet {
  w: World;
  job: string;
  starts: number;
}

async function runningFleet(fate: Node['fate'] = () => 'serve'): Promise<Fleet> {
  const w = new World(FOUR, 3);
  for (const node of w.nodes) node.fate = fate;
  await w.start();
  const job = await w.submit(service);
  await w.until(() => w.running(job) === 4, 20, 'replicas run');
  return { w, job, starts: w.starts.length };
}

const others = (w: World, node: number): number[] =>
  w.nodes.map((_node, i) => i).filter((i) => i !== node);

/** An outage so long, in which a follower cannot be asked for a while, so that the right lapses. */
async function outageWithCut(w: World, seconds: number): Promise<void> {
  const { name } = w.nodes[others(w, w.leader)[0]!]!;
  w.store.down = true;
  await w.pass(2);
  w.wire.cut.add(name);
  await w.pass(SILENCE_S);
  w.wire.cut.delete(name);
  await w.pass(seconds);
}

/** All work ran through the outage, or none of it did; afterwards it runs. */
async function afterOutage({ w, job, starts }: Fleet, kept: boolean): Promise<void> {
  assert.equal(w.running(job), kept ? 4 : 0);
  assert.equal(w.starts.length, starts);
  for (const node of w.nodes) node.fate = () => 'serve';
  w.store.restore();
  await w.until(() => w.running(job) === 4, 60, 'replicas run again');
  if (kept) assert.equal(w.starts.length, starts);
  assert.deepEqual(w.wire.unreadable, []);
  await w.close();
}

test('in an outage a leader that could not ask the others for a while keeps the work all the same', async () => {
  const fleet = await runningFleet();
  await outageWithCut(fleet.w, OUTAGE_S);
  await afterOutage(fleet, true);
});

test('a leader that is refused alone until its lease is nearly over is kept by the outage that follows', async () => {
  const fleet = await runningFleet();
  const { w } = fleet;
  const { leader } = w;
  w.nodes[leader]!.fate = () => 'refuse';
  // The store's lease of 3 s began to run with a renewal at most 0.6 s before.
  await w.clock.advance(2300);
  w.store.down = true;
  w.wire.loses = (_from, _to, message) => message.kind === 'pledge';
  await w.pass(OUTAGE_S);
  assert.equal(w.leader, leader);
  await afterOutage(fleet, true);
});

test('a controller that ended in the outage vouches for nothing, and the work ends with its leases', async () => {
  const fleet = await runningFleet();
  const { w } = fleet;
  const ended = others(w, w.leader)[0]!;
  w.store.down = true;
  await w.pass(2);
  w.crash(ended);
  await w.pass(SILENCE_S);
  w.restart(ended);
  await w.pass(SHORT_OUTAGE_S);
  await afterOutage(fleet, false);
});

test('a lapsed leader is not kept where another has led since, but the other is', async () => {
  const fleet = await runningFleet();
  const { w, job } = fleet;
  const { leader } = w;
  w.nodes[leader]!.fate = () => 'refuse';
  await w.until(() => others(w, leader).includes(w.leader), 8, 'another leads');
  const next = w.leader;
  await w.pass(SILENCE_S);
  w.store.down = true;
  await w.pass(OUTAGE_S);
  assert.equal(w.running(job), 4, 'the deposed leader is no hindrance to the promises');
  assert.equal(w.leader, next);
  await afterOutage(fleet, true);
});

test('a lapsed leader that hears of no later term takes nothing up while another remembers one', async () => {
  const { w, job } = await runningFleet();
  const { leader } = w;
  const cutOff = w.nodes[leader]!;
  cutOff.fate = () => 'refuse';
  w.wire.cut.add(cutOff.name);
  await w.until(() => others(w, leader).includes(w.leader), 8, 'another leads');
  const next = w.leader;
  await w.pass(SILENCE_S);
  w.store.down = true;
  w.crash(next);
  w.wire.cut.delete(cutOff.name);
  await w.pass(1);
  w.restart(next);
  await w.pass(SHORT_OUTAGE_S);
  assert.equal(w.running(job), 0);
  assert.ok(!w.logged.some((line) => line.message === 'lapsed right taken up again'));
  cutOff.fate = () => 'serve';
  w.store.restore();
  await w.until(() => w.running(job) === 4, 60, 'replicas run again');
  await w.close();
});

test('controllers that are not known to read vouches are not asked for them', async () => {
  const fleet = await runningFleet((_method, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"write":"members/') ? 'refuse' : 'serve',
  );
  const { w } = fleet;
  for (const node of w.nodes) w.wire.previousVersion.add(node.name);
  await outageWithCut(w, SHORT_OUTAGE_S);
  await afterOutage(fleet, false);
});

test('vouches are frames of a later version', () => {
  assert.equal(encode({ kind: 'askVouch', ask: 1, token: 7, forMs: 900 }).readUInt8(2), 5);
  assert.equal(encode({ kind: 'vouch', ask: 1, granted: true }).readUInt8(2), 5);
});
