import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { OperatorResponse } from '@leverhatch/operators/operator-response';
import {
  askQuotaTransfers,
  EIGHT_MACHINES,
  transferPhase,
  quotaTransferApi,
  withQuotaTransfers,
  type QuotaChecker,
} from './fakes/quota-checker.js';
import type { RequestOutcome } from './fakes/store.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/** The transfer in most scenarios: a third of what the team speech may use. */
const TRANSFER = {
  id: 'm1',
  from: 'speech',
  to: 'vision',
  guarantee: { gpus: 8 },
  limit: { gpus: 24 },
};

interface Scenario {
  cluster: SimulatedCluster;
  checker: QuotaChecker;
}

/** Machines with as many GPUs as the limits of both teams add up to, so that no limit has slack to pass on. */
const TWELVE = [...EIGHT_MACHINES, ...EIGHT_MACHINES.slice(2, 6)];

/** Starts a cluster of machines with eight GPUs each and three controllers; no machine can be provisioned. */
async function startScenario(seed = 0, machines = EIGHT_MACHINES): Promise<Scenario> {
  const simulatedCluster = new SimulatedCluster(machines, 3, seed);
  simulatedCluster.cloud.capacity = machines.length;
  const checker = withQuotaTransfers(simulatedCluster);
  await simulatedCluster.start();
  return { cluster: simulatedCluster, checker };
}

const submit = (cluster: SimulatedCluster, body: object, node = 0): Promise<OperatorResponse> =>
  askQuotaTransfers(cluster, node, (api) => api.submit(body));

const phaseIs = (
  cluster: SimulatedCluster,
  id: string,
  phase: string,
  seconds = 60,
): Promise<void> =>
  cluster.until(() => transferPhase(cluster, id) === phase, seconds, `${id} is ${phase}`);

test('quota is transferred while jobs run: the donor drains on its own and no task that fits is stopped', async () => {
  const { cluster } = await startScenario();
  const tuning = await cluster.submit({ pieces: 56, crew: 'speech', runMs: 30_000 });
  await cluster.until(
    () => cluster.running(tuning) === 56,
    20,
    'all tasks of the tuning job are running',
  );
  assert.equal((await submit(cluster, TRANSFER, 1)).status, 201);
  await phaseIs(cluster, 'm1', 'draining');
  assert.equal(cluster.running(tuning), 56, 'no team waits for the quota, so no task is stopped');
  await phaseIs(cluster, 'm1', 'done', 90);
  await cluster.waitUntilSettled();
  assert.equal(
    cluster.starts.filter((start) => start.startsWith(tuning)).length,
    56,
    'each task started once',
  );
  await cluster.close();
});

test('replicas of the receiver start within a minute on machines occupied by a tuning job', async () => {
  const { cluster } = await startScenario();
  const tuning = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  await cluster.until(
    () => cluster.running(tuning) === 64,
    20,
    'the tuning job occupies every machine',
  );
  await submit(cluster, { ...TRANSFER, guarantee: { gpus: 16 }, limit: { gpus: 16 } });
  // Within the guarantee after the transfer, but beyond the one before.
  const replicas = await cluster.submit({ shape: 'service', pieces: 28, runMs: 0 });
  await cluster.until(() => cluster.running(replicas) === 28, 60, 'the replicas are running');
  assert.ok(cluster.running(tuning) >= 64 - 28 - 1, 'no more tasks are stopped than needed');
  await cluster.close();
});

test('only what the receiver needs at its limit is drained, and the youngest tasks are stopped', async () => {
  const { cluster } = await startScenario(0, TWELVE);
  await submit(cluster, {
    ...TRANSFER,
    id: 'm0',
    from: 'vision',
    to: 'speech',
    guarantee: {},
    limit: { gpus: 16 },
  });
  await phaseIs(cluster, 'm0', 'done');
  const replicas = await cluster.submit({ shape: 'service', pieces: 16, runMs: 0 });
  const old = await cluster.submit({ pieces: 70, crew: 'speech', runMs: 600_000 });
  await cluster.until(
    () => cluster.running(replicas) === 16 && cluster.running(old) === 70,
    20,
    'all tasks are running',
  );
  await cluster.advance(5);
  const young = await cluster.submit({ pieces: 10, crew: 'speech', runMs: 600_000 });
  await cluster.until(() => cluster.running(young) === 10, 20, 'all machines are fully occupied');
  const more = await cluster.submit({ shape: 'service', pieces: 4, runMs: 0 });
  await cluster.advance(5);
  assert.equal(cluster.running(more), 0, 'the team is at its limit');
  await submit(cluster, { ...TRANSFER, limit: { gpus: 8 } });
  await cluster.until(() => cluster.running(more) === 4, 60, 'the replicas are running');
  await cluster.advance(10);
  assert.deepEqual([cluster.running(old), cluster.running(young)], [70, 6]);
  assert.equal(
    transferPhase(cluster, 'm1'),
    'draining',
    'no team waits for the rest, so its tasks end on their own',
  );
  await cluster.close();
});

test('a repeated request gets the same transfer at any controller, another transfer with its id is refused', async () => {
  const { cluster } = await startScenario();
  assert.equal((await submit(cluster, TRANSFER, 0)).status, 201);
  assert.equal((await submit(cluster, TRANSFER, 2)).status, 200);
  assert.equal((await submit(cluster, { ...TRANSFER, limit: { gpus: 9 } }, 1)).status, 409);
  await phaseIs(cluster, 'm1', 'done');
  assert.equal((await submit(cluster, TRANSFER, 1)).status, 200);
  assert.equal(
    (await askQuotaTransfers(cluster, 1, (d) => d.cancel('m1'))).status,
    409,
    'the transfer has ended',
  );
  assert.equal((await askQuotaTransfers(cluster, 1, (d) => d.cancel('m9'))).status, 404);
  await cluster.close();
});

test('a transfer, its cancellation and its opposite within one second at three controllers', async () => {
  const { cluster } = await startScenario();
  const work = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 20_000 });
  await cluster.until(() => cluster.running(work) === 64, 20, 'all tasks are running');
  const opposite = { ...TRANSFER, id: 'm2', from: 'vision', to: 'speech', limit: { gpus: 8 } };
  const accepted = [submit(cluster, TRANSFER, 0), submit(cluster, opposite, 1)];
  await cluster.advance(0.5);
  assert.equal((await askQuotaTransfers(cluster, 2, (d) => d.cancel('m1'))).status, 200);
  for (const answer of await Promise.all(accepted)) assert.equal(answer.status, 201);
  await phaseIs(cluster, 'm1', 'cancelled', 90);
  await phaseIs(cluster, 'm2', 'done', 90);
  await cluster.waitUntilSettled();
  await cluster.close();
});

test('a loan is returned although the leader crashes when it is due', async () => {
  const { cluster } = await startScenario();
  await submit(cluster, { ...TRANSFER, forSeconds: 40 });
  await phaseIs(cluster, 'm1', 'lent');
  const until = (cluster.store.get('shares/moves/m1') as { until: number }).until;
  await cluster.until(() => cluster.clock.wall() >= until, 60, 'the loan is due');
  cluster.crash(cluster.leader);
  await phaseIs(cluster, 'm1', 'returned');
  await cluster.close();
});

test('tasks on unreachable machines still count, the receiver waits and operators see for what', async () => {
  const { cluster } = await startScenario();
  const work = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 15_000 });
  await cluster.until(() => cluster.running(work) === 64, 20, 'all tasks are running');
  for (const worker of [...cluster.workers.values()].slice(0, 4)) worker.hung = true;
  await submit(cluster, TRANSFER);
  await phaseIs(cluster, 'm1', 'draining');
  await cluster.advance(2);
  const shown = await askQuotaTransfers(cluster, cluster.leader, (d) => d.show());
  const { moves } = shown.body as { moves: { waitsFor: string }[] };
  assert.match(moves[0]!.waitsFor, /GPUs .* team speech still holds/);
  await phaseIs(cluster, 'm1', 'done', 90);
  await cluster.close();
});

test('a user cancels a job that is being drained', async () => {
  const { cluster } = await startScenario();
  const work = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  await cluster.until(() => cluster.running(work) === 64, 20, 'all tasks are running');
  await submit(cluster, TRANSFER);
  await phaseIs(cluster, 'm1', 'draining');
  await cluster.cancel(work, 1);
  await phaseIs(cluster, 'm1', 'done');
  await cluster.waitUntilSettled();
  await cluster.close();
});

test('every team is at its limit and has tasks waiting: none is stopped, quota is passed on as tasks end', async () => {
  const { cluster } = await startScenario(0, TWELVE);
  const donorJob = await cluster.submit({ pieces: 80, crew: 'speech', runMs: 20_000 });
  const receiverJob = await cluster.submit({ pieces: 60, runMs: 20_000 });
  await cluster.until(
    () => cluster.running(donorJob) === 64 && cluster.running(receiverJob) === 32,
    20,
    'both teams are at their limits',
  );
  // The new guarantee of the receiver is below its usage, so no task of another team may be preempted for it.
  await submit(cluster, { ...TRANSFER, limit: { gpus: 8 } });
  await phaseIs(cluster, 'm1', 'done', 90);
  await cluster.waitUntilSettled();
  const starts = cluster.starts.filter((name) => name.startsWith(donorJob));
  assert.equal(starts.length, 80, 'each task started once');
  await cluster.close();
});

test('a zone is partitioned while its delegate serves: its tasks count until the leader hears of them', async () => {
  const { cluster } = await startScenario();
  const work = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 15_000 });
  await cluster.until(() => cluster.running(work) === 64, 20, 'all tasks are running');
  cluster.setPartitioned(true);
  await submit(cluster, { ...TRANSFER, limit: { gpus: 40 } }, cluster.leader);
  await phaseIs(cluster, 'm1', 'draining');
  await cluster.advance(20);
  assert.equal(
    transferPhase(cluster, 'm1'),
    'draining',
    'half of the tasks may still run in the partitioned zone',
  );
  cluster.setPartitioned(false);
  await phaseIs(cluster, 'm1', 'done');
  await cluster.waitUntilSettled();
  await cluster.close();
});

test('no transfer begins until every controller has the extension enabled', async () => {
  const simulatedCluster = new SimulatedCluster(EIGHT_MACHINES, 3);
  withQuotaTransfers(simulatedCluster);
  const disabledNode = simulatedCluster.nodes[2]!;
  const shares = disabledNode.extensions.get('shares')!;
  disabledNode.extensions.clear();
  await simulatedCluster.start();
  await submit(simulatedCluster, TRANSFER, 0);
  await simulatedCluster.advance(20);
  assert.equal(transferPhase(simulatedCluster, 'm1'), 'requested');
  simulatedCluster.crash(2);
  disabledNode.extensions.set('shares', shares);
  simulatedCluster.restart(2);
  await phaseIs(simulatedCluster, 'm1', 'done');
  await simulatedCluster.close();
});

test('an unreadable record stops transfers but not scheduling, and is reported with its key', async () => {
  const { cluster } = await startScenario();
  cluster.store.write('shares/moves/broken', { nonsense: true });
  await submit(cluster, TRANSFER);
  const job = await cluster.submit({ pieces: 4, runMs: 3000 });
  await cluster.waitUntilSettled();
  assert.equal(await cluster.phase(job), 'done');
  assert.equal(transferPhase(cluster, 'm1'), 'requested');
  const { unreadable } = (await askQuotaTransfers(cluster, 0, (d) => d.show())).body as {
    unreadable: string[];
  };
  assert.deepEqual(unreadable, ['shares/moves/broken']);
  await cluster.close();
});

test('the store is unavailable for longer than cancel_s during a drain', async () => {
  const { cluster } = await startScenario();
  const work = await cluster.submit({ pieces: 64, crew: 'speech', runMs: 20_000 });
  await cluster.until(() => cluster.running(work) === 64, 20, 'all tasks are running');
  await submit(cluster, TRANSFER);
  await phaseIs(cluster, 'm1', 'draining');
  cluster.store.down = true;
  await cluster.advance(45);
  cluster.store.restore();
  await phaseIs(cluster, 'm1', 'done', 90);
  await cluster.waitUntilSettled();
  await cluster.close();
});

test('five hundred queued transfers are all carried out, in the order of their requests', async () => {
  const { cluster, checker } = await startScenario();
  for (let i = 0; i < 500; i++) {
    const [from, to] = i % 2 ? ['speech', 'vision'] : ['vision', 'speech'];
    const record = { id: `m${i}`, from, to, limit: { gpus: 1 } };
    const answers = quotaTransferApi(cluster, i % 3)!.submit(record);
    void answers.catch(() => undefined);
    if (i % 10 === 9) await cluster.advance(1);
  }
  const phases = (): string[] =>
    [...cluster.store.keys]
      .filter(([key]) => key.startsWith('shares/moves/'))
      .map(([, { value }]) => (value as { phase: string }).phase);
  await cluster.until(
    () => phases().every((phase) => phase === 'done'),
    300,
    'all transfers are done',
  );
  await cluster.until(() => phases().length <= 200, 300, 'the history is bounded');
  assert.ok(checker.manifestWrites < 1000, `${checker.manifestWrites} changes of the quota table`);
  await cluster.close();
});

// ---- each step of a transfer, combined with each failure during its write

type Failure = (cluster: SimulatedCluster, leader: number) => RequestOutcome;

const FAILURES: Record<string, Failure> = {
  'the leader crashes before the write reaches the store': (cluster, leader) => {
    cluster.crash(leader);
    void cluster.clock.sleep(8000).then(() => cluster.restart(leader));
    return 'lose request';
  },
  'the leader crashes after the store applied the write': (cluster, leader) => {
    void cluster.clock.sleep(1).then(() => cluster.crash(leader));
    void cluster.clock.sleep(8000).then(() => cluster.restart(leader));
    return 'lose answer';
  },
  'the leader is frozen beyond its lease': (cluster, leader) => {
    cluster.freeze(leader, 8000);
    return 'serve';
  },
  'the store refuses only the leader': (cluster, leader) => {
    const until = cluster.clock.now() + 8000;
    cluster.nodes[leader]!.storeOutcome = () => (cluster.clock.now() < until ? 'refuse' : 'serve');
    return 'refuse';
  },
  'only the response is lost': () => 'lose answer',
  'the write is applied seconds later': () => ({ applyAfterMs: 6000 }),
};

const STEPS = ['accepted', 'begun', 'passed on', 'passed on again', 'returning', 'returned'];

for (const [name, fail] of Object.entries(FAILURES)) {
  for (const [step, stepName] of STEPS.entries()) {
    test(`a loan completes although at the step "${stepName}" ${name}`, async () => {
      const { cluster } = await startScenario(step);
      const work = await cluster.submit({ pieces: 56, crew: 'speech', runMs: 12_000 });
      const rest = await cluster.submit({ pieces: 40, crew: 'vision', runMs: 6000 });
      await cluster.until(() => cluster.running(work) > 40, 20, 'most tasks are running');
      let writeCount = 0;
      cluster.faults.storeFaults.add(({ node, path, body }) => {
        if (path !== '/txn' || !JSON.stringify(body).includes('"write":"shares/')) return 'serve';
        return writeCount++ === step ? fail(cluster, node) : 'serve';
      });
      void quotaTransferApi(cluster, 1)!.submit({ ...TRANSFER, forSeconds: 40 });
      await cluster.advance(1);
      await submit(cluster, { ...TRANSFER, forSeconds: 40 }, 2);
      await phaseIs(cluster, 'm1', 'returned', 150);
      assert.ok(writeCount > step, 'the failure was injected');
      // Wait until the last fault is over, so that every controller responds.
      await cluster.advance(10);
      await cluster.waitUntilSettled();
      assert.equal(await cluster.phase(rest, 1), 'done');
      await cluster.close();
    });
  }
}
