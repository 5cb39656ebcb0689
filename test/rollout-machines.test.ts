import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machines } from './fakes/fault-scenario.js';
import { withQuotaTransfers, quotaTransferApi } from './fakes/quota-checker.js';
import {
  ask,
  startScenario,
  finishScenario,
  untilPhase,
  phaseOf,
  REPLICAS,
  startRollout,
  writesPhase,
  type RolloutScenario,
} from './fakes/rollout-scenario.js';
import type { ProbeOutcome } from './fakes/model-servers.js';
import type { FakeWorker } from './fakes/worker.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

// Failures of machines, network and store in each phase: 8 replicas on 8 machines, three controllers.

const EIGHT_MACHINES = machines('aaaabbbb');
const PHASES = ['surging', 'judging', 'withdrawing'];

/** Duration for which a write is lost; longer than a proof is valid. */
const WRITE_LOSS_MS = 4000;

const newReplicaHolders = ({ w: cluster, to }: RolloutScenario): FakeWorker[] =>
  cluster.machinesWith(to);

function loseMachines({ w: cluster }: RolloutScenario, workers: FakeWorker[]): void {
  for (const { id } of workers) {
    cluster.cloud.hosts.delete(id);
    cluster.kill(id);
  }
}

interface Fault {
  name: string;
  /** Injects the fault; returns a function that ends it. */
  inject(scenario: RolloutScenario): () => void;
  durationS: number;
}

const FAULTS: Fault[] = [
  {
    name: 'two machines fail, one of them with a new replica',
    inject: (scenario) => {
      const victims = [
        ...newReplicaHolders(scenario).slice(0, 1),
        ...scenario.w.machinesWith(scenario.from).slice(0, 1),
      ];
      loseMachines(scenario, victims);
      scenario.w.cloud.capacity = EIGHT_MACHINES.length;
      return () => undefined;
    },
    durationS: 1,
  },
  {
    name: 'machines of new replicas hang and resume within their lease',
    inject: (scenario) => {
      const victims = newReplicaHolders(scenario);
      for (const worker of victims) worker.hung = true;
      return () => {
        for (const worker of victims) worker.hung = false;
      };
    },
    durationS: 7,
  },
  {
    name: 'machines of both versions hang for longer than their lease',
    inject: (scenario) => {
      const victims = [
        ...newReplicaHolders(scenario).slice(0, 1),
        ...scenario.w.machinesWith(scenario.from).slice(0, 2),
      ];
      for (const worker of victims) worker.hung = true;
      return () => {
        for (const worker of victims) worker.hung = false;
      };
    },
    durationS: 20,
  },
  {
    name: 'a zone is partitioned while its delegate serves',
    inject: ({ w: cluster }) => {
      cluster.setPartitioned(true);
      return () => cluster.setPartitioned(false);
    },
    durationS: 20,
  },
  {
    name: 'the store is unavailable for longer than a cancellation may take',
    inject: ({ w: cluster }) => {
      cluster.faults.startStoreOutage();
      return () => cluster.faults.endStoreOutage();
    },
    durationS: 45,
  },
  {
    name: 'two controllers crash at once and the third leads',
    inject: ({ w: cluster }) => {
      const victims = [cluster.leader, (cluster.leader + 1) % 3];
      for (const i of victims) cluster.crash(i);
      return () => {
        for (const i of victims) cluster.restart(i);
      };
    },
    durationS: 30,
  },
];

for (const { name, inject, durationS } of FAULTS) {
  for (const [seed, phase] of PHASES.entries()) {
    test(`in ${phase} ${name}`, async () => {
      const scenario = await startScenario({ seed, machines: EIGHT_MACHINES });
      const { w: cluster, models, to } = scenario;
      await startRollout(scenario, { readySeconds: 40 });
      await untilPhase(cluster, phase);
      const end = inject(scenario);
      await cluster.advance(durationS);
      end();
      await untilPhase(cluster, 'done', 300);
      await cluster.until(() => models.serving(to) === REPLICAS, 90, 'all new replicas serve');
      await finishScenario(scenario, 'to');
    });
  }
}

/** Number of replicas withdrawn so far. */
const withdrawalCount = (cluster: SimulatedCluster): number =>
  cluster.logged.filter(({ message }) => message === 'replica withdrawn').length;

test('new replicas fail while the phase withdrawing is being written: none is withdrawn before they are replaced', async () => {
  const scenario = await startScenario({ machines: EIGHT_MACHINES });
  const { w: cluster } = scenario;
  let diedAt = 0;
  cluster.faults.storeFaults.add(({ body }) => {
    if (!writesPhase(body, 'withdrawing')) return 'serve';
    if (diedAt > 0) return cluster.clock.now() < diedAt + WRITE_LOSS_MS ? 'lose request' : 'serve';
    diedAt = cluster.clock.now();
    loseMachines(scenario, newReplicaHolders(scenario));
    cluster.cloud.capacity = EIGHT_MACHINES.length;
    return 'lose request';
  });
  await startRollout(scenario);
  await cluster.until(() => diedAt > 0 && phaseOf(cluster) === 'withdrawing', 60, 'it is written');
  await cluster.advance(3);
  assert.equal(withdrawalCount(cluster), 0, 'no old replica is withdrawn for new ones that failed');
  await untilPhase(cluster, 'done', 300);
  await finishScenario(scenario, 'to');
});

test('old replicas fail while a rollback is being written: no new one is withdrawn before they are replaced', async () => {
  const scenario = await startScenario({ machines: EIGHT_MACHINES });
  const { w: cluster, models, from } = scenario;
  await startRollout(scenario);
  await cluster.until(
    () => models.serving(from) <= REPLICAS / 2,
    150,
    'half of the old replicas are withdrawn',
  );
  let diedAt = 0;
  cluster.faults.storeFaults.add(({ body }) => {
    if (!writesPhase(body, 'rolling-back')) return 'serve';
    if (diedAt > 0) return cluster.clock.now() < diedAt + WRITE_LOSS_MS ? 'lose request' : 'serve';
    diedAt = cluster.clock.now();
    loseMachines(scenario, cluster.machinesWith(from).slice(0, 2));
    cluster.cloud.capacity = EIGHT_MACHINES.length;
    return 'lose request';
  });
  const before = withdrawalCount(cluster);
  await ask(cluster, 0, (api) => api.order('r1', 'rollback'));
  await cluster.until(() => diedAt > 0 && phaseOf(cluster) === 'rolling-back', 60, 'it is written');
  await cluster.advance(2);
  assert.equal(withdrawalCount(cluster), before, 'no new replica is withdrawn');
  await untilPhase(cluster, 'rolled-back', 300);
  await finishScenario(scenario, 'from');
});

test('a machine with an old replica is reclaimed during a rollout: the replica counts as lost', async () => {
  const scenario = await startScenario({ machines: EIGHT_MACHINES });
  const { w: cluster, from } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'withdrawing');
  const [victim] = cluster.machinesWith(from);
  victim!.warningS = 30;
  await cluster.advance(20);
  loseMachines(scenario, [victim!]);
  cluster.cloud.capacity = EIGHT_MACHINES.length;
  await untilPhase(cluster, 'done', 300);
  await finishScenario(scenario, 'to');
});

test('quota is transferred from the team of the service during its rollout', async () => {
  const scenario = await startScenario({
    machines: EIGHT_MACHINES,
    before: (cluster) => void withQuotaTransfers(cluster),
  });
  const { w, models, to } = scenario;
  await startRollout(scenario);
  await untilPhase(w, 'surging');
  const move = { id: 'm1', from: 'speech', to: 'vision', limit: { gpus: 40 } };
  void quotaTransferApi(w, 0)!.submit(move);
  await untilPhase(w, 'done', 300);
  assert.equal(models.serving(to), REPLICAS);
  await finishScenario(scenario, 'to');
});

test('all machines are full: the surge waits for additional machines', async () => {
  const scenario = await startScenario({ machines: machines('ab') });
  const { w: cluster, models, checker, to } = scenario;
  cluster.cloud.capacity = 3;
  await startRollout(scenario);
  await untilPhase(cluster, 'surging');
  await cluster.advance(10);
  assert.equal(models.serving(to), 0);
  await untilPhase(cluster, 'done', 400);
  assert.equal(checker.lowestServing, REPLICAS);
  await finishScenario(scenario, 'to');
});

test('the team is at its limit: the rollout waits until the limit allows a surge', async () => {
  const scenario = await startScenario({ machines: EIGHT_MACHINES });
  const { w: cluster, models, from } = scenario;
  const work = await cluster.accept({ pieces: 48, crew: 'speech', runMs: 600_000 });
  await cluster.until(() => cluster.running(work) === 48, 30, 'the team is at its limit');
  await startRollout(scenario);
  await untilPhase(cluster, 'surging');
  await cluster.advance(30);
  assert.equal(phaseOf(cluster), 'surging');
  assert.equal(models.serving(from), REPLICAS, 'no replica is withdrawn while the surge waits');
  await cluster.cancel(work);
  await untilPhase(cluster, 'done', 200);
  await finishScenario(scenario, 'to');
});

const PROBE_FATES: ProbeOutcome[] = ['late', 'malformed', 'former attempt', 'silence'];

for (const fate of PROBE_FATES) {
  test(`a new replica with probe result "${fate}" is never proven, and the rollout is rolled back`, async () => {
    const scenario = await startScenario();
    const { w: cluster, models, checker, from, to } = scenario;
    models.faults.add(({ job, task }) => (job === to && task === 0 ? fate : 'answer'));
    await startRollout(scenario);
    await untilPhase(cluster, 'rolled-back');
    assert.equal(checker.lowestServing, REPLICAS);
    assert.equal(models.serving(from), REPLICAS);
    await finishScenario(scenario, 'from');
  });
}

test('a replica that answers probes does not count while its worker sends no heartbeats', async () => {
  const scenario = await startScenario({ machines: EIGHT_MACHINES });
  const { w: cluster, models, from } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'judging');
  // Its heartbeats get lost; commands and probes still reach it.
  const silent = cluster.machinesWith(from)[0]!;
  silent.mute = true;
  await cluster.advance(9);
  assert.equal(models.serving(from), REPLICAS);
  assert.notEqual(phaseOf(cluster), 'done');
  silent.mute = false;
  await untilPhase(cluster, 'done', 300);
  await finishScenario(scenario, 'to');
});

test('old replicas are lost for good during the comparison: the rollout still completes', async () => {
  const scenario = await startScenario({ machines: EIGHT_MACHINES });
  const { w: cluster, from } = scenario;
  await startRollout(scenario);
  await untilPhase(cluster, 'judging');
  loseMachines(scenario, cluster.machinesWith(from).slice(0, 3));
  cluster.cloud.capacity = EIGHT_MACHINES.length;
  await untilPhase(cluster, 'done', 300);
  await finishScenario(scenario, 'to');
});
