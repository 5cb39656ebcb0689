import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancellationLog } from '../src/jobs/cancellation-log.js';
import { Decoder, encode, type PeerMessage } from '../src/peer/frames.js';
import { STORE_PATHS } from '../src/wire/store.js';
import { FakeClock } from './fakes/clock.js';
import type { RequestOutcome } from './fakes/store.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const CANCEL_MS = 35_000;
const serviceTemplate = { shape: 'service', pieces: 2, runMs: 0, urgency: 'production' } as const;

interface RefusedLeader {
  w: SimulatedCluster;
  leader: number;
  /** The controller that confirms the cancellation, and the third one. */
  confirming: number;
  other: number;
  /** Jobs with two running tasks each. */
  cancelled: string;
  kept: string;
}

/** Refuses the member record, which a controller of the previous version does not write. */
const refuseMemberRecord = (_method: string, path: string, body: unknown): RequestOutcome =>
  path === '/txn' && JSON.stringify(body).includes('"write":"members/') ? 'refuse' : 'serve';

/** Starts three controllers and two services, and lets the store refuse only the leader. */
async function startWithRefusedLeader(formatsKnown = true): Promise<RefusedLeader> {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3);
  if (!formatsKnown)
    for (const node of simulatedCluster.nodes) node.storeOutcome = refuseMemberRecord;
  await simulatedCluster.start();
  const cancelled = await simulatedCluster.submit(serviceTemplate);
  const kept = await simulatedCluster.submit(serviceTemplate);
  await simulatedCluster.until(
    () => simulatedCluster.running(cancelled) + simulatedCluster.running(kept) === 4,
    10,
    'replicas run',
  );
  // The outcome must not depend on the message that tells the leader of a cancellation.
  simulatedCluster.peerNetwork.isLost = (_from, _to, message) => message.kind === 'jobCancelled';
  const { leader } = simulatedCluster;
  simulatedCluster.nodes[leader]!.storeOutcome = () => 'refuse';
  await simulatedCluster.clock.advance(300);
  return {
    w: simulatedCluster,
    leader,
    confirming: (leader + 1) % 3,
    other: (leader + 2) % 3,
    cancelled,
    kept,
  };
}

async function cancelJob({ w: cluster, confirming, cancelled }: RefusedLeader): Promise<void> {
  const answer = await cluster.ask(cluster.user(confirming).abort(cancelled));
  assert.deepEqual(answer.body, { ref: cancelled, phase: 'withdrawn' });
}

/** The store is down for `seconds`; cancelled tasks have to be gone within `CANCEL_MS`. */
async function runOutage(
  { w: cluster, leader, cancelled }: RefusedLeader,
  seconds: number,
): Promise<void> {
  const confirmedAt = cluster.clock.now();
  cluster.store.down = true;
  for (let passed = 0; passed < seconds; passed += 0.25) {
    await cluster.advance(0.25);
    const overdue = cluster.clock.now() - confirmedAt >= CANCEL_MS;
    if (overdue)
      assert.equal(cluster.tasksOf(cancelled).length, 0, `still there after ${passed} s`);
  }
  cluster.nodes[leader]!.storeOutcome = () => 'serve';
  cluster.store.restore();
}

async function finish({ w: cluster, cancelled, kept }: RefusedLeader): Promise<void> {
  await cluster.until(() => cluster.running(kept) === 2, 40, 'the job that was not cancelled runs');
  assert.equal(cluster.tasksOf(cancelled).length, 0);
  for (const node of cluster.nodes.keys())
    assert.equal(await cluster.phase(cancelled, node), 'withdrawn');
  await cluster.close();
}

test('in a long outage work goes on, and a job whose cancellation another controller confirmed stops', async () => {
  const scenario = await startWithRefusedLeader();
  const starts = scenario.w.starts.length;
  await cancelJob(scenario);
  await runOutage(scenario, 60);
  assert.equal(scenario.w.running(scenario.kept), 2);
  assert.equal(scenario.w.starts.length, starts);
  await finish(scenario);
});

const CASES: {
  name: string;
  confirm?(scenario: RefusedLeader): Promise<void>;
  injectFault?(scenario: RefusedLeader): Promise<void>;
  /** False: no controller is known to read the current frame versions. */
  formatsKnown?: false;
  /** All controllers can still list their cancellations, so that other work goes on. */
  keepsOtherWork?: true;
}[] = [
  {
    name: 'connections between controllers are refused',
    injectFault: ({ w: cluster }) => {
      for (const { name } of cluster.nodes) cluster.peerNetwork.disconnected.add(name);
      return Promise.resolve();
    },
  },
  {
    name: 'the confirming controller restarts and loses its list of cancellations',
    injectFault: async ({ w: cluster, confirming }) => {
      cluster.crash(confirming);
      await cluster.clock.advance(300);
      cluster.restart(confirming);
    },
  },
  {
    name: 'the confirming controller crashes and stays down',
    injectFault: ({ w: cluster, confirming }) => Promise.resolve(cluster.crash(confirming)),
  },
  {
    name: 'the confirming controller stalls',
    injectFault: ({ w: cluster, confirming }) =>
      Promise.resolve(cluster.freeze(confirming, 45_000)),
  },
  {
    name: 'the others run the previous version',
    formatsKnown: false,
    injectFault: ({ w: cluster, confirming, other }) => {
      for (const i of [confirming, other])
        cluster.peerNetwork.previousVersion.add(cluster.nodes[i]!.name);
      return Promise.resolve();
    },
  },
  {
    name: 'cancellation lists are lost, but promises not to campaign arrive',
    injectFault: ({ w: cluster }) => {
      cluster.peerNetwork.isLost = (_from, _to, message) =>
        message.kind === 'jobCancelled' || message.kind === 'cancellationsResponse';
      return Promise.resolve();
    },
  },
  {
    name: 'cancellation lists arrive too late',
    injectFault: ({ w: cluster, leader }) => {
      cluster.peerNetwork.delayMs = (_from, to) => (to === cluster.nodes[leader]!.name ? 600 : 2);
      return Promise.resolve();
    },
  },
  {
    name: 'the leader stalls for a while',
    injectFault: ({ w: cluster, leader }) => Promise.resolve(cluster.freeze(leader, 1200)),
    keepsOtherWork: true,
  },
  {
    name: 'the response to the cancellation is lost, and another controller reports it',
    confirm: async ({ w: cluster, confirming, other, cancelled }) => {
      const node = cluster.nodes[confirming]!;
      node.storeOutcome = (_method, path, body) =>
        path === '/txn' && JSON.stringify(body).includes('"write":"jobs/')
          ? 'lose answer'
          : 'serve';
      void cluster.user(confirming).abort(cancelled);
      await cluster.clock.advance(50);
      node.storeOutcome = () => 'refuse';
      assert.equal(await cluster.phase(cancelled, other), 'withdrawn');
    },
    keepsOtherWork: true,
  },
  {
    name: 'the cancellation is applied late, and a repeated submission reports it',
    confirm: async ({ w: cluster, confirming, other, cancelled }) => {
      const node = cluster.nodes[confirming]!;
      node.storeOutcome = (_method, path, body) =>
        path === '/txn' && JSON.stringify(body).includes('"write":"jobs/') ? 'apply late' : 'serve';
      void cluster.user(confirming).abort(cancelled);
      await cluster.clock.advance(50);
      node.storeOutcome = () => 'refuse';
      assert.equal(cluster.store.late[0]!().status, 200);
      const answer = await cluster.ask(
        cluster.user(other).submit({ ...cluster.createSubmission({}).body, ref: cancelled }),
      );
      assert.deepEqual(answer.body, { ref: cancelled, phase: 'withdrawn' });
    },
    keepsOtherWork: true,
  },
];

for (const { name, formatsKnown, confirm, injectFault, keepsOtherWork } of CASES) {
  test(`cancelled tasks are gone in time in an outage when ${name}`, async () => {
    const scenario = await startWithRefusedLeader(formatsKnown);
    await (confirm ?? cancelJob)(scenario);
    await injectFault?.(scenario);
    await runOutage(scenario, 50);
    assert.equal(scenario.w.running(scenario.kept), keepsOtherWork ? 2 : 0);
    assert.deepEqual(scenario.w.peerNetwork.unreadable, []);
    scenario.w.nodes[scenario.confirming]!.storeOutcome = () => 'serve';
    for (const { name: node } of scenario.w.nodes) scenario.w.peerNetwork.disconnected.delete(node);
    if (!scenario.w.nodes[scenario.confirming]!.controller) scenario.w.restart(scenario.confirming);
    await finish(scenario);
  });
}

test('a leader whose job watch alone fails reads the records without it, and keeps its workers', async () => {
  const scenario = await startWithRefusedLeader();
  const { w: cluster, leader, cancelled, kept } = scenario;
  const starts = cluster.starts.length;
  cluster.nodes[leader]!.storeOutcome = (_method, path) =>
    path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve';
  await cancelJob(scenario);
  await cluster.until(() => cluster.tasksOf(cancelled).length === 0, 12, 'gone');
  await cluster.advance(60);
  assert.equal(cluster.leader, leader);
  assert.equal(cluster.running(kept), 2);
  assert.equal(cluster.starts.length, starts);
  await cluster.close();
});

test('a leader that cannot read the records renews no lease', async () => {
  const scenario = await startWithRefusedLeader();
  const { w: cluster, leader, confirming, other, cancelled } = scenario;
  // The successor can acquire the leader lease, but cannot read the records.
  cluster.nodes[other]!.storeOutcome = (_method, path) =>
    path.startsWith('/store?') ? 'refuse' : 'serve';
  cluster.crash(leader);
  cluster.nodes[confirming]!.storeOutcome = (_method, path) =>
    path === '/grants' ? 'refuse' : 'serve';
  await cluster.until(() => cluster.leader === other, 10, 'the successor leads');
  await cancelJob(scenario);
  await cluster.advance(CANCEL_MS / 1000);
  assert.equal(cluster.tasksOf(cancelled).length, 0);
  cluster.nodes[other]!.storeOutcome = () => 'serve';
  cluster.nodes[confirming]!.storeOutcome = () => 'serve';
  cluster.restart(leader);
  cluster.nodes[leader]!.storeOutcome = () => 'serve';
  await finish(scenario);
});

test('a zone delegate renews no lease without knowing which jobs are cancelled', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR_MACHINES);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ ...serviceTemplate, pieces: 4, gpus: 4 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const { leader } = simulatedCluster;
  simulatedCluster.setPartitioned(true);
  await simulatedCluster.advance(12);
  assert.equal(simulatedCluster.running(job), 4);
  // From now on the delegate can write its key, but its reads of the job records are lost.
  simulatedCluster.nodes[1 - leader]!.storeOutcome = (_method, path, body) =>
    path === '/txn' && (body as { then: unknown[] }).then.length === 0 ? 'lose request' : 'serve';
  await simulatedCluster.ask(simulatedCluster.user(leader).abort(job));
  await simulatedCluster.advance(CANCEL_MS / 1000);
  assert.equal(simulatedCluster.tasksOf(job).length, 0);
  simulatedCluster.setPartitioned(false);
  await simulatedCluster.close();
});

test('a watch requests its hold time in whole milliseconds, since fractions count as no hold time', () => {
  assert.match(STORE_PATHS.watch('jobs/', 7, 1143.75), /&holdMs=1144$/);
});

test('a cancellation log answers only for a period for which it is complete', async () => {
  const clock = new FakeClock();
  await clock.advance(1000);
  const log = new CancellationLog(clock, clock.now(), 60_000, 3);
  assert.equal(log.since(999), null, 'a previous process may have confirmed others');
  assert.deepEqual(log.since(1000), []);
  await clock.advance(1000);
  assert.equal(log.add('req-1'), true);
  await clock.advance(1000);
  assert.equal(log.add('req-1'), false);
  log.add('req-2');
  assert.deepEqual(log.since(1500), ['req-1', 'req-2']);
  assert.deepEqual(log.since(2500), ['req-2']);
  await clock.advance(1000);
  log.add('req-3');
  log.add('req-4');
  assert.equal(log.since(1500), null, 'the oldest entry was evicted');
  assert.deepEqual(log.since(2500), ['req-2', 'req-3', 'req-4']);
  await clock.advance(60_001);
  assert.equal(log.since(2500), null, 'older than the retention time');
  assert.deepEqual(log.since(5000), []);
});

test('messages that the previous version knows are encoded as it did, later ones with a later frame version', () => {
  const previousMessages: PeerMessage[] = [
    { kind: 'hello', member: 'berth-1', ageMs: 1 },
    { kind: 'leaderHeartbeat', fencingToken: 1, first: true, progress: [] },
    { kind: 'jobCancelled', id: 'req-1' },
    { kind: 'leaseExtensionRequest', requestId: 1, fencingToken: 1, durationMs: 1 },
    { kind: 'leaseExtensionVote', requestId: 1, granted: true },
    { kind: 'promiseCheckRequest', requestId: 1 },
    { kind: 'promiseCheckResponse', requestId: 1, free: true },
    { kind: 'storeStatus', available: true },
  ];
  previousMessages.forEach((message, kind) => {
    const frame = encode(message);
    assert.deepEqual([frame.readUInt8(2), frame.readUInt8(3)], [3, kind], message.kind);
  });
  const currentMessages: PeerMessage[] = [
    { kind: 'cancellationsRequest', requestId: 7, sinceMs: 1200 },
    { kind: 'cancellationsResponse', requestId: 7, cancelled: ['req-1', 'req-2'] },
    { kind: 'cancellationsResponse', requestId: 7, cancelled: [] },
    { kind: 'cancellationsResponse', requestId: 7, cancelled: null },
  ];
  for (const message of currentMessages) assert.equal(encode(message).readUInt8(2), 4);
  const all = [...previousMessages, ...currentMessages];
  assert.deepEqual(new Decoder().push(Buffer.concat(all.map(encode))), all);
});
