import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  LeaderQuotas,
  type Amounts,
  type SchedulerPort,
  type QuotaTransferPorts,
} from '@leverhatch/shares';
import { Store } from '../src/state/store.js';
import { FakeClock } from './fakes/clock.js';
import {
  EIGHT_MACHINES,
  transferPhase,
  quotaTransferApi,
  withQuotaTransfers,
} from './fakes/quota-checker.js';
import { maxTasksOn, writes } from './fakes/observe.js';
import { FakeStore } from './fakes/store.js';
import { fakeRandom, settings, SimulatedCluster } from './fakes/simulated-cluster.js';

/** Leaves the team speech with a limit of 40 of the 64 GPUs. */
const TRANSFER = { id: 'm1', from: 'speech', to: 'vision', limit: { gpus: 24 } };
const REMAINING_LIMIT = 40;

async function startCluster(): Promise<SimulatedCluster> {
  const simulatedCluster = new SimulatedCluster(EIGHT_MACHINES, 3);
  simulatedCluster.cloud.capacity = EIGHT_MACHINES.length;
  withQuotaTransfers(simulatedCluster);
  await simulatedCluster.start();
  return simulatedCluster;
}

const submit = (cluster: SimulatedCluster): void => {
  const answer = quotaTransferApi(cluster, 0)!.submit(TRANSFER);
  void answer.then(({ status }) => assert.equal(status, 201));
};

test('starts decided on the old quota table are not recorded, however late they reach the store', async () => {
  const cluster = await startCluster();
  const faultEnd = cluster.clock.now() + 5000;
  cluster.faults.storeFaults.add(({ body }) =>
    writes(body, 'runs/') && cluster.clock.now() < faultEnd ? { applyAfterMs: 4000 } : 'serve',
  );
  const work = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  submit(cluster);
  await cluster.until(() => transferPhase(cluster, 'm1') === 'done', 10, 'the transfer is done');
  assert.ok(cluster.clock.now() < faultEnd, 'the writes of the starts are still delayed');
  await cluster.clock.advance(faultEnd - cluster.clock.now() - 200);
  cluster.crash(cluster.leader);
  assert.equal(await maxTasksOn(cluster, work, 30), REMAINING_LIMIT);
  await cluster.close();
});

test('starts that wait to be written are withdrawn when the quota is reduced, and planned again', async () => {
  const cluster = await startCluster();
  const faultEnd = cluster.clock.now() + 3000;
  cluster.faults.storeFaults.add(({ body }) =>
    writes(body, 'runs/') && cluster.clock.now() < faultEnd ? 'refuse' : 'serve',
  );
  const work = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  submit(cluster);
  await cluster.until(() => transferPhase(cluster, 'm1') === 'done', 10, 'the transfer is done');
  assert.equal(await maxTasksOn(cluster, work, 20), REMAINING_LIMIT);
  await cluster.close();
});

test('while a quota reduction has an ambiguous result, no task starts that would exceed the reduced quota', async () => {
  const cluster = await startCluster();
  let faultEnd = Infinity;
  cluster.faults.storeFaults.add(({ body, path }) => {
    // The watch fails as well, so the leader does not learn the result from it.
    const unknown = faultEnd < Infinity && cluster.clock.now() < faultEnd;
    if (path.startsWith('/follow?starts=shares') && unknown) return 'refuse';
    if (!writes(body, 'shares/head') || cluster.clock.now() > faultEnd) return 'serve';
    if (faultEnd === Infinity) faultEnd = cluster.clock.now() + 3000;
    return 'lose answer';
  });
  submit(cluster);
  await cluster.until(() => faultEnd < Infinity, 10, 'the quota table is being changed');
  const work = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  assert.equal(await maxTasksOn(cluster, work, 20), REMAINING_LIMIT);
  await cluster.close();
});

test('a new leader starts no task before it has read the quota table', async () => {
  const cluster = await startCluster();
  submit(cluster);
  await cluster.until(() => transferPhase(cluster, 'm1') === 'done', 10, 'the transfer is done');
  const work = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  await cluster.until(
    () => cluster.running(work) === REMAINING_LIMIT,
    20,
    'the tasks that fit are running',
  );
  cluster.crash(cluster.leader);
  // The first read of the quota transfer records by the new leader is delayed while tasks wait to start.
  const faultEnd = cluster.clock.now() + 6000;
  cluster.faults.storeFaults.add(({ path }) =>
    path.includes('starts=shares') && cluster.clock.now() < faultEnd ? 'refuse' : 'serve',
  );
  assert.equal(await maxTasksOn(cluster, work, 30), REMAINING_LIMIT);
  await cluster.close();
});

test('a cancellation between the read and the write of a transfer by the leader is not lost', async () => {
  const cluster = await startCluster();
  let cancelled = false;
  cluster.faults.storeFaults.add(({ body }) => {
    if (writes(body, 'shares/head') && !cancelled) {
      cancelled = true;
      const record = cluster.store.get('shares/moves/m1') as object;
      cluster.store.write('shares/moves/m1', { ...record, cancelRequested: true });
    }
    return 'serve';
  });
  submit(cluster);
  await cluster.until(
    () => transferPhase(cluster, 'm1') === 'cancelled',
    20,
    'the transfer is cancelled',
  );
  await cluster.close();
});

/** Creates the quota transfers of one leader without a cluster, with a transfer request in the store. */
async function startIsolatedLeader(
  leaderVersion: number,
  overrides: Partial<QuotaTransferPorts & SchedulerPort> = {},
) {
  const clock = new FakeClock();
  const fakeStore = new FakeStore(clock);
  const log = { error() {}, warn() {}, info() {}, debug() {} };
  const runtime = { clock, random: fakeRandom('r'), log, startedAt: 0 };
  const store = new Store(
    fakeStore.transport(() => 'serve'),
    runtime,
    settings(),
    1000,
  );
  const termEnd = new AbortController();
  const leaderQuotas = new LeaderQuotas(
    {
      ...{ store, clock, log, random: runtime.random, base: settings().teams, clockErrorMs: 100 },
      stepIntervalMs: 500,
      maxTransactionChanges: () => 20,
      isEnabledOnAllControllers: async () => true,
      ...overrides,
    },
    {
      id: 'term',
      signal: termEnd.signal,
      leaderCondition: () => ({ key: 'leader', version: leaderVersion }),
      holdsLease: () => true,
      end: () => termEnd.abort(),
    },
    {
      used: () => new Map<string, Amounts>(),
      waiting: () => new Map<string, Amounts>(),
      withdrawStarts: () => undefined,
      onQuotasChanged: () => undefined,
      drainCandidates: () => [],
      ...overrides,
    },
  );
  fakeStore.write('leader', { member: 'another' });
  fakeStore.write('leader', { member: 'another' });
  const record = {
    ...{ w: 'w', id: 'm1', from: 'speech', to: 'vision', until: null, drainBy: null },
    ...{ requestedAt: 1, changedAt: 1, phase: 'requested', order: 0, outcome: null, reason: null },
    ...{ guaranteePassed: false, cancelRequested: false, passed: { cpus: 0, gpus: 0 } },
    ...{ guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 8 } },
  };
  fakeStore.write('shares/moves/m1', record);
  const loading = leaderQuotas.load(termEnd.signal);
  await clock.advance(100);
  await loading;
  return { clock, fakeStore, leaderQuotas, end: termEnd, record };
}

test('a former leader changes no record, and its term ends', async () => {
  const { clock, fakeStore, leaderQuotas, end: termEnd, record } = await startIsolatedLeader(1);
  void leaderQuotas.run(termEnd.signal);
  await clock.advance(3000);
  assert.ok(termEnd.signal.aborted, 'the term has ended');
  assert.deepEqual(fakeStore.get('shares/moves/m1'), record);
});

test('a cancellation received while the leader checks all controllers for the extension is not lost', async () => {
  let onLookup = async (): Promise<void> => undefined;
  const {
    clock,
    fakeStore,
    leaderQuotas,
    end: termEnd,
    record,
  } = await startIsolatedLeader(2, {
    isEnabledOnAllControllers: () => onLookup().then(() => true),
  });
  onLookup = async () => {
    fakeStore.write('shares/moves/m1', { ...record, cancelRequested: true });
    await clock.sleep(1000);
  };
  void leaderQuotas.run(termEnd.signal);
  await clock.advance(5000);
  assert.equal((fakeStore.get('shares/moves/m1') as { phase: string }).phase, 'cancelled');
  termEnd.abort();
});

test('starts rejected because the quota table changed are checked against the new one before a retry', async () => {
  const evaluatedLimits: number[] = [];
  const {
    clock,
    fakeStore,
    leaderQuotas,
    end: termEnd,
    record,
  } = await startIsolatedLeader(2, {
    withdrawStarts: (teams) => evaluatedLimits.push(teams.get('speech')!.limit.gpus),
  });
  const failed = leaderQuotas.condition();
  const drainingRecord = { ...record, phase: 'draining', order: 1 };
  fakeStore.write('shares/moves/m1', drainingRecord);
  fakeStore.write('shares/head', { w: 'w', revision: 1 });
  const handled = leaderQuotas.conditionFailed(failed);
  await clock.advance(100);
  await handled;
  assert.deepEqual(evaluatedLimits, [56]);
  termEnd.abort();
});
