import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machines } from './fakes/fault-scenario.js';
import { withQuotaTransfers, quotaTransferApi } from './fakes/quota-checker.js';
import {
  ask,
  begin,
  finish,
  phaseIs,
  phaseOf,
  REPLICAS,
  start,
  writesPhase,
  type RolloutScenario,
} from './fakes/rollout-scenario.js';
import type { ProbeFate } from './fakes/model-servers.js';
import type { FakeWorker } from './fakes/worker.js';
import type { SimulatedCluster } from './fakes/simulated-cluster.js';

// Machines, networks and the store fail in each phase: 8 replicas on 8 machines, three controllers.

const EIGHT = machines('aaaabbbb');
const PHASES = ['surging', 'judging', 'withdrawing'];

/** For so long a write gets lost: longer than a proof is good for. */
const LOST_MS = 4000;

const holders = ({ w: cluster, to }: RolloutScenario): FakeWorker[] => cluster.holding(to);

function die({ w: cluster }: RolloutScenario, workers: FakeWorker[]): void {
  for (const { id } of workers) {
    cluster.cloud.hosts.delete(id);
    cluster.kill(id);
  }
}

interface Trouble {
  name: string;
  /** Brings it; what it returns ends it. */
  bring(story: RolloutScenario): () => void;
  lastsS: number;
}

const TROUBLES: Trouble[] = [
  {
    name: 'two machines die, one of them with a new replica',
    bring: (story) => {
      const victims = [...holders(story).slice(0, 1), ...story.w.holding(story.from).slice(0, 1)];
      die(story, victims);
      story.w.cloud.capacity = EIGHT.length;
      return () => undefined;
    },
    lastsS: 1,
  },
  {
    name: 'machines of new replicas hang and wake within their lease',
    bring: (story) => {
      const victims = holders(story);
      for (const worker of victims) worker.hung = true;
      return () => {
        for (const worker of victims) worker.hung = false;
      };
    },
    lastsS: 7,
  },
  {
    name: 'machines of both versions hang for longer than their lease',
    bring: (story) => {
      const victims = [...holders(story).slice(0, 1), ...story.w.holding(story.from).slice(0, 2)];
      for (const worker of victims) worker.hung = true;
      return () => {
        for (const worker of victims) worker.hung = false;
      };
    },
    lastsS: 20,
  },
  {
    name: 'a zone is cut off while its delegate serves',
    bring: ({ w: cluster }) => {
      cluster.split(true);
      return () => cluster.split(false);
    },
    lastsS: 20,
  },
  {
    name: 'the store is out for longer than a cancellation may take',
    bring: ({ w: cluster }) => {
      cluster.faults.outage();
      return () => cluster.faults.outageOver();
    },
    lastsS: 45,
  },
  {
    name: 'two controllers end at once and the third leads',
    bring: ({ w: cluster }) => {
      const victims = [cluster.leader, (cluster.leader + 1) % 3];
      for (const i of victims) cluster.crash(i);
      return () => {
        for (const i of victims) cluster.restart(i);
      };
    },
    lastsS: 30,
  },
];

for (const { name, bring, lastsS } of TROUBLES) {
  for (const [seed, phase] of PHASES.entries()) {
    test(`in ${phase} ${name}`, async () => {
      const story = await begin({ seed, machines: EIGHT });
      const { w: cluster, models, to } = story;
      await start(story, { readySeconds: 40 });
      await phaseIs(cluster, phase);
      const end = bring(story);
      await cluster.pass(lastsS);
      end();
      await phaseIs(cluster, 'done', 300);
      await cluster.until(() => models.serving(to) === REPLICAS, 90, 'the new version is whole');
      await finish(story, 'to');
    });
  }
}

/** How many replicas have been withdrawn. */
const withdrawn = (cluster: SimulatedCluster): number =>
  cluster.logged.filter(({ message }) => message === 'replica withdrawn').length;

test('new replicas die while the withdrawal of old ones is being written: none is withdrawn before they are made good', async () => {
  const story = await begin({ machines: EIGHT });
  const { w: cluster } = story;
  let diedAt = 0;
  cluster.faults.storeFaults.add(({ body }) => {
    if (!writesPhase(body, 'withdrawing')) return 'serve';
    if (diedAt > 0) return cluster.clock.now() < diedAt + LOST_MS ? 'lose request' : 'serve';
    diedAt = cluster.clock.now();
    die(story, holders(story));
    cluster.cloud.capacity = EIGHT.length;
    return 'lose request';
  });
  await start(story);
  await cluster.until(() => diedAt > 0 && phaseOf(cluster) === 'withdrawing', 60, 'it is written');
  await cluster.pass(3);
  assert.equal(withdrawn(cluster), 0, 'nothing is withdrawn for replicas that are gone');
  await phaseIs(cluster, 'done', 300);
  await finish(story, 'to');
});

test('old replicas die while the way back is being written: no new one is withdrawn before they are made good', async () => {
  const story = await begin({ machines: EIGHT });
  const { w: cluster, models, from } = story;
  await start(story);
  await cluster.until(
    () => models.serving(from) <= REPLICAS / 2,
    150,
    'half of the old version is gone',
  );
  let diedAt = 0;
  cluster.faults.storeFaults.add(({ body }) => {
    if (!writesPhase(body, 'rolling-back')) return 'serve';
    if (diedAt > 0) return cluster.clock.now() < diedAt + LOST_MS ? 'lose request' : 'serve';
    diedAt = cluster.clock.now();
    die(story, cluster.holding(from).slice(0, 2));
    cluster.cloud.capacity = EIGHT.length;
    return 'lose request';
  });
  const before = withdrawn(cluster);
  await ask(cluster, 0, (api) => api.order('r1', 'rollback'));
  await cluster.until(() => diedAt > 0 && phaseOf(cluster) === 'rolling-back', 60, 'it is written');
  await cluster.pass(2);
  assert.equal(withdrawn(cluster), before, 'the new ones stay');
  await phaseIs(cluster, 'rolled-back', 300);
  await finish(story, 'from');
});

test('a machine with an old replica is taken back in the middle: it counts as a loss', async () => {
  const story = await begin({ machines: EIGHT });
  const { w: cluster, from } = story;
  await start(story);
  await phaseIs(cluster, 'withdrawing');
  const [victim] = cluster.holding(from);
  victim!.warningS = 30;
  await cluster.pass(20);
  die(story, [victim!]);
  cluster.cloud.capacity = EIGHT.length;
  await phaseIs(cluster, 'done', 300);
  await finish(story, 'to');
});

test('shares are moved from the team of the service while it is being rolled out', async () => {
  const story = await begin({
    machines: EIGHT,
    before: (cluster) => void withQuotaTransfers(cluster),
  });
  const { w, models, to } = story;
  await start(story);
  await phaseIs(w, 'surging');
  const move = { id: 'm1', from: 'speech', to: 'vision', limit: { gpus: 40 } };
  void quotaTransferApi(w, 0)!.submit(move);
  await phaseIs(w, 'done', 300);
  assert.equal(models.serving(to), REPLICAS);
  await finish(story, 'to');
});

test('every machine is full: the surge waits for machines that are rented for it', async () => {
  const story = await begin({ machines: machines('ab') });
  const { w: cluster, models, checker, to } = story;
  cluster.cloud.capacity = 3;
  await start(story);
  await phaseIs(cluster, 'surging');
  await cluster.pass(10);
  assert.equal(models.serving(to), 0);
  await phaseIs(cluster, 'done', 400);
  assert.equal(checker.lowest, REPLICAS);
  await finish(story, 'to');
});

test('the team has no room left for a surge: the rollout waits, and goes on when there is some', async () => {
  const story = await begin({ machines: EIGHT });
  const { w: cluster, models, from } = story;
  const work = await cluster.accept({ pieces: 48, crew: 'speech', runMs: 600_000 });
  await cluster.until(() => cluster.running(work) === 48, 30, 'the team is at its limit');
  await start(story);
  await phaseIs(cluster, 'surging');
  await cluster.pass(30);
  assert.equal(phaseOf(cluster), 'surging');
  assert.equal(models.serving(from), REPLICAS, 'nothing is withdrawn for want of room');
  await cluster.cancel(work);
  await phaseIs(cluster, 'done', 200);
  await finish(story, 'to');
});

const FATES: ProbeFate[] = ['late', 'malformed', 'former attempt', 'silence'];

for (const fate of FATES) {
  test(`a new replica whose probes meet "${fate}" is never proven; the old version comes back`, async () => {
    const story = await begin();
    const { w: cluster, models, checker, from, to } = story;
    models.faults.add(({ job, task }) => (job === to && task === 0 ? fate : 'answer'));
    await start(story);
    await phaseIs(cluster, 'rolled-back');
    assert.equal(checker.lowest, REPLICAS);
    assert.equal(models.serving(from), REPLICAS);
    await finish(story, 'from');
  });
}

test('a replica answers probes while its worker is silent: it does not count', async () => {
  const story = await begin({ machines: EIGHT });
  const { w: cluster, models, from } = story;
  await start(story);
  await phaseIs(cluster, 'judging');
  // Its reports get lost, commands and probes reach it.
  const silent = cluster.holding(from)[0]!;
  silent.mute = true;
  await cluster.pass(9);
  assert.equal(models.serving(from), REPLICAS);
  assert.notEqual(phaseOf(cluster), 'done');
  silent.mute = false;
  await phaseIs(cluster, 'done', 300);
  await finish(story, 'to');
});

test('an old replica is lost for good while the store refuses changes: nothing is withdrawn meanwhile', async () => {
  const story = await begin({ machines: EIGHT });
  const { w: cluster, from } = story;
  await start(story);
  await phaseIs(cluster, 'judging');
  die(story, cluster.holding(from).slice(0, 3));
  cluster.cloud.capacity = EIGHT.length;
  await phaseIs(cluster, 'done', 300);
  await finish(story, 'to');
});
