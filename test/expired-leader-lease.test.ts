import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '../src/peer/frames.js';
import { SimulatedCluster, type SimulatedController } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const OUTAGE_S = 40;
/** Longer than a lease, shorter than the time for which work is kept without cancellation lists. */
const SHORT_OUTAGE_S = 12;
/** Longer than a promise not to campaign, shorter than the workers' lease. */
const UNREACHABLE_S = 3;
const serviceTemplate = {
  shape: 'service',
  pieces: 4,
  gpus: 4,
  runMs: 0,
  urgency: 'production',
} as const;

interface RunningService {
  w: SimulatedCluster;
  job: string;
  starts: number;
}

async function startService(
  fate: SimulatedController['storeOutcome'] = () => 'serve',
): Promise<RunningService> {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  for (const node of simulatedCluster.nodes) node.storeOutcome = fate;
  await simulatedCluster.start();
  const job = await simulatedCluster.submit(serviceTemplate);
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 20, 'replicas run');
  return { w: simulatedCluster, job, starts: simulatedCluster.starts.length };
}

const otherControllers = (cluster: SimulatedCluster, node: number): number[] =>
  cluster.nodes.map((_node, i) => i).filter((i) => i !== node);

/**
 * A store outage of `seconds` that begins with a follower unreachable for a while, so that the
 * leader's lease extension expires.
 */
async function outageWithUnreachableFollower(
  cluster: SimulatedCluster,
  seconds: number,
): Promise<void> {
  const { name } = cluster.nodes[otherControllers(cluster, cluster.leader)[0]!]!;
  cluster.store.down = true;
  await cluster.advance(2);
  cluster.peerNetwork.disconnected.add(name);
  await cluster.advance(UNREACHABLE_S);
  cluster.peerNetwork.disconnected.delete(name);
  await cluster.advance(seconds);
}

/** Asserts that all replicas ran through the outage, or none did, and that all run afterwards. */
async function assertAfterOutage(
  { w: cluster, job, starts }: RunningService,
  workKept: boolean,
): Promise<void> {
  assert.equal(cluster.running(job), workKept ? 4 : 0);
  assert.equal(cluster.starts.length, starts);
  for (const node of cluster.nodes) node.storeOutcome = () => 'serve';
  cluster.store.restore();
  await cluster.until(() => cluster.running(job) === 4, 60, 'replicas run again');
  if (workKept) assert.equal(cluster.starts.length, starts);
  assert.deepEqual(cluster.peerNetwork.unreadable, []);
  await cluster.close();
}

test('in an outage work keeps running although a follower was unreachable for the leader for a while', async () => {
  const running = await startService();
  await outageWithUnreachableFollower(running.w, OUTAGE_S);
  await assertAfterOutage(running, true);
});

test('a leader that the store refuses until just before its lease expires keeps leading in the outage that follows', async () => {
  const running = await startService();
  const { w: cluster } = running;
  const { leader } = cluster;
  cluster.nodes[leader]!.storeOutcome = () => 'refuse';
  // The leader lease lasts 3 s and was last renewed at most 0.6 s before.
  await cluster.clock.advance(2300);
  cluster.store.down = true;
  cluster.peerNetwork.isLost = (_from, _to, message) => message.kind === 'leaseExtensionVote';
  await cluster.advance(OUTAGE_S);
  assert.equal(cluster.leader, leader);
  await assertAfterOutage(running, true);
});

test('a controller that restarts during the outage grants no vote, and the work stops as its leases expire', async () => {
  const running = await startService();
  const { w: cluster } = running;
  const restarted = otherControllers(cluster, cluster.leader)[0]!;
  cluster.store.down = true;
  await cluster.advance(2);
  cluster.crash(restarted);
  await cluster.advance(UNREACHABLE_S);
  cluster.restart(restarted);
  await cluster.advance(SHORT_OUTAGE_S);
  await assertAfterOutage(running, false);
});

test('a leader with an expired lease is not reinstated if another has led since, but the other one is', async () => {
  const running = await startService();
  const { w: cluster, job } = running;
  const { leader } = cluster;
  cluster.nodes[leader]!.storeOutcome = () => 'refuse';
  await cluster.until(
    () => otherControllers(cluster, leader).includes(cluster.leader),
    8,
    'another leads',
  );
  const successor = cluster.leader;
  await cluster.advance(UNREACHABLE_S);
  cluster.store.down = true;
  await cluster.advance(OUTAGE_S);
  assert.equal(cluster.running(job), 4, 'the deposed leader does not prevent the votes');
  assert.equal(cluster.leader, successor);
  await assertAfterOutage(running, true);
});

test('a leader with an expired lease that knows of no later term is not reinstated while another controller knows one', async () => {
  const { w: cluster, job } = await startService();
  const { leader } = cluster;
  const isolated = cluster.nodes[leader]!;
  isolated.storeOutcome = () => 'refuse';
  cluster.peerNetwork.disconnected.add(isolated.name);
  await cluster.until(
    () => otherControllers(cluster, leader).includes(cluster.leader),
    8,
    'another leads',
  );
  const successor = cluster.leader;
  await cluster.advance(UNREACHABLE_S);
  cluster.store.down = true;
  cluster.crash(successor);
  cluster.peerNetwork.disconnected.delete(isolated.name);
  await cluster.advance(1);
  cluster.restart(successor);
  await cluster.advance(SHORT_OUTAGE_S);
  assert.equal(cluster.running(job), 0);
  assert.ok(!cluster.logged.some((line) => line.message === 'leadership reinstated by vote'));
  isolated.storeOutcome = () => 'serve';
  cluster.store.restore();
  await cluster.until(() => cluster.running(job) === 4, 60, 'replicas run again');
  await cluster.close();
});

test('no reinstatement frames are sent to controllers that are not known to read them', async () => {
  const running = await startService((_method, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"write":"members/') ? 'refuse' : 'serve',
  );
  const { w: cluster } = running;
  for (const node of cluster.nodes) cluster.peerNetwork.previousVersion.add(node.name);
  await outageWithUnreachableFollower(cluster, SHORT_OUTAGE_S);
  await assertAfterOutage(running, false);
});

test('reinstatement messages are encoded as frames of version 5', () => {
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
