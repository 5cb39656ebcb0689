import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '../src/peer/frames.js';
import { SimulatedCluster, type SimulatedController } from './fakes/simulated-cluster.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const OUTAGE_S = 40;
/** Longer than a lease, shorter than work is kept without knowing the cancellations. */
const SHORT_OUTAGE_S = 12;
/** Longer than a promise not to campaign, shorter than the workers' lease. */
const SILENCE_S = 3;
const service = { shape: 'service', pieces: 4, gpus: 4, runMs: 0, urgency: 'production' } as const;

interface Fleet {
  w: SimulatedCluster;
  job: string;
  starts: number;
}

async function runningFleet(fate: SimulatedController['fate'] = () => 'serve'): Promise<Fleet> {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  for (const node of simulatedCluster.nodes) node.fate = fate;
  await simulatedCluster.start();
  const job = await simulatedCluster.submit(service);
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 20, 'replicas run');
  return { w: simulatedCluster, job, starts: simulatedCluster.starts.length };
}

const others = (cluster: SimulatedCluster, node: number): number[] =>
  cluster.nodes.map((_node, i) => i).filter((i) => i !== node);

/** An outage so long, in which a follower cannot be asked for a while, so that the right lapses. */
async function outageWithCut(cluster: SimulatedCluster, seconds: number): Promise<void> {
  const { name } = cluster.nodes[others(cluster, cluster.leader)[0]!]!;
  cluster.store.down = true;
  await cluster.pass(2);
  cluster.wire.cut.add(name);
  await cluster.pass(SILENCE_S);
  cluster.wire.cut.delete(name);
  await cluster.pass(seconds);
}

/** All work ran through the outage, or none of it did; afterwards it runs. */
async function afterOutage({ w: cluster, job, starts }: Fleet, kept: boolean): Promise<void> {
  assert.equal(cluster.running(job), kept ? 4 : 0);
  assert.equal(cluster.starts.length, starts);
  for (const node of cluster.nodes) node.fate = () => 'serve';
  cluster.store.restore();
  await cluster.until(() => cluster.running(job) === 4, 60, 'replicas run again');
  if (kept) assert.equal(cluster.starts.length, starts);
  assert.deepEqual(cluster.wire.unreadable, []);
  await cluster.close();
}

test('in an outage a leader that could not ask the others for a while keeps the work all the same', async () => {
  const fleet = await runningFleet();
  await outageWithCut(fleet.w, OUTAGE_S);
  await afterOutage(fleet, true);
});

test('a leader that is refused alone until its lease is nearly over is kept by the outage that follows', async () => {
  const fleet = await runningFleet();
  const { w: cluster } = fleet;
  const { leader } = cluster;
  cluster.nodes[leader]!.fate = () => 'refuse';
  // The store's lease of 3 s began to run with a renewal at most 0.6 s before.
  await cluster.clock.advance(2300);
  cluster.store.down = true;
  cluster.wire.loses = (_from, _to, message) => message.kind === 'leaseExtensionVote';
  await cluster.pass(OUTAGE_S);
  assert.equal(cluster.leader, leader);
  await afterOutage(fleet, true);
});

test('a controller that ended in the outage attests nothing, and the work ends with its leases', async () => {
  const fleet = await runningFleet();
  const { w: cluster } = fleet;
  const ended = others(cluster, cluster.leader)[0]!;
  cluster.store.down = true;
  await cluster.pass(2);
  cluster.crash(ended);
  await cluster.pass(SILENCE_S);
  cluster.restart(ended);
  await cluster.pass(SHORT_OUTAGE_S);
  await afterOutage(fleet, false);
});

test('a leader with an expired lease is not reinstated where another has led since, but the other is', async () => {
  const fleet = await runningFleet();
  const { w: cluster, job } = fleet;
  const { leader } = cluster;
  cluster.nodes[leader]!.fate = () => 'refuse';
  await cluster.until(() => others(cluster, leader).includes(cluster.leader), 8, 'another leads');
  const next = cluster.leader;
  await cluster.pass(SILENCE_S);
  cluster.store.down = true;
  await cluster.pass(OUTAGE_S);
  assert.equal(cluster.running(job), 4, 'the deposed leader is no hindrance to the promises');
  assert.equal(cluster.leader, next);
  await afterOutage(fleet, true);
});

test('a leader with an expired lease that hears of no later term is not reinstated while another remembers one', async () => {
  const { w: cluster, job } = await runningFleet();
  const { leader } = cluster;
  const cutOff = cluster.nodes[leader]!;
  cutOff.fate = () => 'refuse';
  cluster.wire.cut.add(cutOff.name);
  await cluster.until(() => others(cluster, leader).includes(cluster.leader), 8, 'another leads');
  const next = cluster.leader;
  await cluster.pass(SILENCE_S);
  cluster.store.down = true;
  cluster.crash(next);
  cluster.wire.cut.delete(cutOff.name);
  await cluster.pass(1);
  cluster.restart(next);
  await cluster.pass(SHORT_OUTAGE_S);
  assert.equal(cluster.running(job), 0);
  assert.ok(!cluster.logged.some((line) => line.message === 'leadership reinstated by vote'));
  cutOff.fate = () => 'serve';
  cluster.store.restore();
  await cluster.until(() => cluster.running(job) === 4, 60, 'replicas run again');
  await cluster.close();
});

test('controllers that are not known to read reinstatement frames are sent none', async () => {
  const fleet = await runningFleet((_method, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"write":"members/') ? 'refuse' : 'serve',
  );
  const { w: cluster } = fleet;
  for (const node of cluster.nodes) cluster.wire.previousVersion.add(node.name);
  await outageWithCut(cluster, SHORT_OUTAGE_S);
  await afterOutage(fleet, false);
});

test('reinstatement votes are frames of a later version', () => {
  assert.equal(
    encode({
      kind: 'reinstatementRequest',
      requestId: 1,
      fencingToken: 7,
      durationMs: 900,
    }).readUInt8(2),
    5,
  );
  assert.equal(encode({ kind: 'reinstatementVote', requestId: 1, granted: true }).readUInt8(2), 5);
});
