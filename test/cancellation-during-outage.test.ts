import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancellationLog } from '../src/jobs/cancellation-log.js';
import { Decoder, encode, type PeerMessage } from '../src/peer/frames.js';
import { STORE_PATHS } from '../src/wire/store.js';
import { FakeClock } from './fakes/clock.js';
import type { Fate } from './fakes/store.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];
const CANCEL_MS = 35_000;
const service = { shape: 'service', pieces: 2, runMs: 0, urgency: 'production' } as const;

interface Gap {
  w: SimulatedCluster;
  leader: number;
  /** The controller that confirms the cancellation, and the third one. */
  confirming: number;
  other: number;
  /** Jobs with two running tasks each. */
  cancelled: string;
  kept: string;
}

/** A controller of the version before writes no record of itself. */
const announcesNothing = (_method: string, path: string, body: unknown): Fate =>
  path === '/txn' && JSON.stringify(body).includes('"write":"members/') ? 'refuse' : 'serve';

/** Three controllers, two services that run, and a leader that the store refuses alone. */
async function refusedLeader(announced = true): Promise<Gap> {
  const simulatedCluster = new SimulatedCluster(FOUR, 3);
  if (!announced) for (const node of simulatedCluster.nodes) node.fate = announcesNothing;
  await simulatedCluster.start();
  const cancelled = await simulatedCluster.submit(service);
  const kept = await simulatedCluster.submit(service);
  await simulatedCluster.until(
    () => simulatedCluster.running(cancelled) + simulatedCluster.running(kept) === 4,
    10,
    'replicas run',
  );
  // Nothing may rest on the message that tells the leader of a cancellation.
  simulatedCluster.wire.loses = (_from, _to, message) => message.kind === 'jobCancelled';
  const { leader } = simulatedCluster;
  simulatedCluster.nodes[leader]!.fate = () => 'refuse';
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

async function abort({ w: cluster, confirming, cancelled }: Gap): Promise<void> {
  const answer = await cluster.ask(cluster.user(confirming).abort(cancelled));
  assert.deepEqual(answer.body, { ref: cancelled, phase: 'withdrawn' });
}

/** The store is down for all for `seconds`; what was cancelled has to be gone in time. */
async function outage({ w: cluster, leader, cancelled }: Gap, seconds: number): Promise<void> {
  const toldAt = cluster.clock.now();
  cluster.store.down = true;
  for (let passed = 0; passed < seconds; passed += 0.25) {
    await cluster.pass(0.25);
    const late = cluster.clock.now() - toldAt >= CANCEL_MS;
    if (late) assert.equal(cluster.on(cancelled).length, 0, `still there after ${passed} s`);
  }
  cluster.nodes[leader]!.fate = () => 'serve';
  cluster.store.restore();
}

async function end({ w: cluster, cancelled, kept }: Gap): Promise<void> {
  await cluster.until(() => cluster.running(kept) === 2, 40, 'what was not cancelled runs');
  assert.equal(cluster.on(cancelled).length, 0);
  for (const node of cluster.nodes.keys())
    assert.equal(await cluster.phase(cancelled, node), 'withdrawn');
  await cluster.close();
}

test('in a long outage work goes on, and what another controller called cancelled ends', async () => {
  const gap = await refusedLeader();
  const starts = gap.w.starts.length;
  await abort(gap);
  await outage(gap, 60);
  assert.equal(gap.w.running(gap.kept), 2);
  assert.equal(gap.w.starts.length, starts);
  await end(gap);
});

const links: {
  name: string;
  confirm?(gap: Gap): Promise<void>;
  trouble?(gap: Gap): Promise<void>;
  /** False: nobody is known to read the current frames. */
  announced?: false;
  /** Everyone can answer for the cancellations all the same, so that other work goes on. */
  covered?: true;
}[] = [
  {
    name: 'connections between controllers are refused',
    trouble: ({ w: cluster }) => {
      for (const { name } of cluster.nodes) cluster.wire.cut.add(name);
      return Promise.resolve();
    },
  },
  {
    name: 'the confirming controller is ended and forgets',
    trouble: async ({ w: cluster, confirming }) => {
      cluster.crash(confirming);
      await cluster.clock.advance(300);
      cluster.restart(confirming);
    },
  },
  {
    name: 'the confirming controller is ended and stays away',
    trouble: ({ w: cluster, confirming }) => Promise.resolve(cluster.crash(confirming)),
  },
  {
    name: 'the confirming controller stands still',
    trouble: ({ w: cluster, confirming }) => Promise.resolve(cluster.freeze(confirming, 45_000)),
  },
  {
    name: 'the others run the version before',
    announced: false,
    trouble: ({ w: cluster, confirming, other }) => {
      for (const i of [confirming, other]) cluster.wire.previousVersion.add(cluster.nodes[i]!.name);
      return Promise.resolve();
    },
  },
  {
    name: 'lists of cancellations are lost, promises not to contest are not',
    trouble: ({ w: cluster }) => {
      cluster.wire.loses = (_from, _to, message) =>
        message.kind === 'jobCancelled' || message.kind === 'cancellationsResponse';
      return Promise.resolve();
    },
  },
  {
    name: 'lists of cancellations come too late',
    trouble: ({ w: cluster, leader }) => {
      cluster.wire.delayMs = (_from, to) => (to === cluster.nodes[leader]!.name ? 600 : 2);
      return Promise.resolve();
    },
  },
  {
    name: 'the leader stands still for a while',
    trouble: ({ w: cluster, leader }) => Promise.resolve(cluster.freeze(leader, 1200)),
    covered: true,
  },
  {
    name: 'the answer to the cancellation is lost, and another controller tells of it',
    confirm: async ({ w: cluster, confirming, other, cancelled }) => {
      const node = cluster.nodes[confirming]!;
      node.fate = (_method, path, body) =>
        path === '/txn' && JSON.stringify(body).includes('"write":"jobs/')
          ? 'lose answer'
          : 'serve';
      void cluster.user(confirming).abort(cancelled);
      await cluster.clock.advance(50);
      node.fate = () => 'refuse';
      assert.equal(await cluster.phase(cancelled, other), 'withdrawn');
    },
    covered: true,
  },
  {
    name: 'the cancellation is carried out late, and a repeated submission tells of it',
    confirm: async ({ w: cluster, confirming, other, cancelled }) => {
      const node = cluster.nodes[confirming]!;
      node.fate = (_method, path, body) =>
        path === '/txn' && JSON.stringify(body).includes('"write":"jobs/') ? 'apply late' : 'serve';
      void cluster.user(confirming).abort(cancelled);
      await cluster.clock.advance(50);
      node.fate = () => 'refuse';
      assert.equal(cluster.store.late[0]!().status, 200);
      const answer = await cluster.ask(
        cluster.user(other).submit({ ...cluster.wish({}).body, ref: cancelled }),
      );
      assert.deepEqual(answer.body, { ref: cancelled, phase: 'withdrawn' });
    },
    covered: true,
  },
];

for (const { name, announced, confirm, trouble, covered } of links) {
  test(`cancelled tasks are gone in time in an outage when ${name}`, async () => {
    const gap = await refusedLeader(announced);
    await (confirm ?? abort)(gap);
    await trouble?.(gap);
    await outage(gap, 50);
    assert.equal(gap.w.running(gap.kept), covered ? 2 : 0);
    assert.deepEqual(gap.w.wire.unreadable, []);
    gap.w.nodes[gap.confirming]!.fate = () => 'serve';
    for (const { name: node } of gap.w.nodes) gap.w.wire.cut.delete(node);
    if (!gap.w.nodes[gap.confirming]!.controller) gap.w.restart(gap.confirming);
    await end(gap);
  });
}

test('a leader whose watch alone stalls reads the records another way, and keeps its workers', async () => {
  const gap = await refusedLeader();
  const { w: cluster, leader, cancelled, kept } = gap;
  const starts = cluster.starts.length;
  cluster.nodes[leader]!.fate = (_method, path) =>
    path.startsWith('/follow?starts=jobs') ? 'refuse' : 'serve';
  await abort(gap);
  await cluster.until(() => cluster.on(cancelled).length === 0, 12, 'gone');
  await cluster.pass(60);
  assert.equal(cluster.leader, leader);
  assert.equal(cluster.running(kept), 2);
  assert.equal(cluster.starts.length, starts);
  await cluster.close();
});

test('a leader that cannot read the records renews no lease', async () => {
  const gap = await refusedLeader();
  const { w: cluster, leader, confirming, other, cancelled } = gap;
  // Its successor becomes leader, and can do nothing but hold it.
  cluster.nodes[other]!.fate = (_method, path) => (path.startsWith('/store?') ? 'refuse' : 'serve');
  cluster.crash(leader);
  cluster.nodes[confirming]!.fate = (_method, path) => (path === '/grants' ? 'refuse' : 'serve');
  await cluster.until(() => cluster.leader === other, 10, 'it leads');
  await abort(gap);
  await cluster.pass(CANCEL_MS / 1000);
  assert.equal(cluster.on(cancelled).length, 0);
  cluster.nodes[other]!.fate = () => 'serve';
  cluster.nodes[confirming]!.fate = () => 'serve';
  cluster.restart(leader);
  cluster.nodes[leader]!.fate = () => 'serve';
  await end(gap);
});

test('a zone delegate renews no lease without knowing which jobs are cancelled', async () => {
  const simulatedCluster = new SimulatedCluster(FOUR);
  await simulatedCluster.start();
  const job = await simulatedCluster.submit({ ...service, pieces: 4, gpus: 4 });
  await simulatedCluster.until(() => simulatedCluster.running(job) === 4, 10, 'replicas run');
  const { leader } = simulatedCluster;
  simulatedCluster.split(true);
  await simulatedCluster.pass(12);
  assert.equal(simulatedCluster.running(job), 4);
  // From now on it may write its key, and learns nothing of jobs.
  simulatedCluster.nodes[1 - leader]!.fate = (_method, path, body) =>
    path === '/txn' && (body as { then: unknown[] }).then.length === 0 ? 'lose request' : 'serve';
  await simulatedCluster.ask(simulatedCluster.user(leader).abort(job));
  await simulatedCluster.pass(CANCEL_MS / 1000);
  assert.equal(simulatedCluster.on(job).length, 0);
  simulatedCluster.split(false);
  await simulatedCluster.close();
});

test('a watch asks for whole milliseconds, since others would count as none', () => {
  assert.match(STORE_PATHS.watch('jobs/', 7, 1143.75), /&holdMs=1144$/);
});

test('a log of cancellations answers only for times of which nothing is missing', async () => {
  const clock = new FakeClock();
  await clock.advance(1000);
  const log = new CancellationLog(clock, clock.now(), 60_000, 3);
  assert.equal(log.since(999), null, 'an earlier process may have told of more');
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
  assert.equal(log.since(1500), null, 'the oldest had to make room');
  assert.deepEqual(log.since(2500), ['req-2', 'req-3', 'req-4']);
  await clock.advance(60_001);
  assert.equal(log.since(2500), null, 'too old to be kept');
  assert.deepEqual(log.since(5000), []);
});

test('frames of kinds that the version before knows are as it wrote them, later ones are marked', () => {
  const old: PeerMessage[] = [
    { kind: 'hello', member: 'berth-1', ageMs: 1 },
    { kind: 'leaderHeartbeat', fencingToken: 1, first: true, progress: [] },
    { kind: 'jobCancelled', id: 'req-1' },
    { kind: 'leaseExtensionRequest', requestId: 1, fencingToken: 1, durationMs: 1 },
    { kind: 'leaseExtensionVote', requestId: 1, granted: true },
    { kind: 'promiseCheckRequest', requestId: 1 },
    { kind: 'promiseCheckResponse', requestId: 1, free: true },
    { kind: 'storeStatus', available: true },
  ];
  old.forEach((message, kind) => {
    const frame = encode(message);
    assert.deepEqual([frame.readUInt8(2), frame.readUInt8(3)], [3, kind], message.kind);
  });
  const current: PeerMessage[] = [
    { kind: 'cancellationsRequest', requestId: 7, sinceMs: 1200 },
    { kind: 'cancellationsResponse', requestId: 7, cancelled: ['req-1', 'req-2'] },
    { kind: 'cancellationsResponse', requestId: 7, cancelled: [] },
    { kind: 'cancellationsResponse', requestId: 7, cancelled: null },
  ];
  for (const message of current) assert.equal(encode(message).readUInt8(2), 4);
  const all = [...old, ...current];
  assert.deepEqual(new Decoder().push(Buffer.concat(all.map(encode))), all);
});
