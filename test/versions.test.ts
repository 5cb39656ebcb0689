import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Transport } from '../src/http/client.js';
import { machines } from './fakes/fault-scenario.js';
import { CURRENT, type Program } from './fakes/program.js';
import { ANNOUNCED_LIMITS, isRangedRunKey, runKeys } from './fakes/upgrade.js';
import {
  allRun,
  assertPhase,
  setVersions,
  leaderVersion,
  LONG_MS,
  transferLeadership,
  startLongWork,
  startsOf,
  type Version,
} from './fakes/versions.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

// Controllers of earlier versions run the released bundles in test/fixtures/controllers.

/** The orders in which versions lead; each controller leads twice. */
const ORDERS: Version[][] = [
  ['78ff1b1', 'current'],
  ['current', '78ff1b1'],
  ['104c759', 'current'],
  ['current', '104c759'],
  ['78ff1b1', '104c759'],
  ['104c759', '78ff1b1'],
  ['78ff1b1', '104c759', 'current'],
  ['78ff1b1', 'current', '104c759'],
  ['104c759', '78ff1b1', 'current'],
  ['104c759', 'current', '78ff1b1'],
  ['current', '78ff1b1', '104c759'],
  ['current', '104c759', '78ff1b1'],
];

for (const order of ORDERS) {
  const knowRanges = !order.includes('78ff1b1');

  test(`leadership passes ${order.join(' -> ')} -> ..., with jobs of each shape`, async () => {
    const size = order.length as 2 | 3;
    const simulatedCluster = new SimulatedCluster(machines('abababab'), size, 0, {
      next: ANNOUNCED_LIMITS,
    });
    setVersions(simulatedCluster, order);
    await simulatedCluster.start();
    void simulatedCluster.startQueries();
    await transferLeadership(simulatedCluster, 0);
    const work = await startLongWork(simulatedCluster);
    const starts = startsOf(simulatedCluster, work);
    const done = await simulatedCluster.accept({ pieces: 3, runMs: 2000 });
    await simulatedCluster.until(
      () => simulatedCluster.storedPhase(done) === 'done',
      40,
      'a job is done',
    );
    const cancelled = [await simulatedCluster.accept({ pieces: 3, runMs: LONG_MS })];
    await simulatedCluster.cancel(cancelled[0]!);
    const shortJobs: string[] = [done];
    for (const node of [...order.keys(), ...order.keys()]) {
      await transferLeadership(simulatedCluster, node);
      assert.equal(leaderVersion(simulatedCluster), order[node]);
      shortJobs.push(await simulatedCluster.accept({ pieces: 4, runMs: 3000, crew: 'speech' }));
      const cancelledJob = await simulatedCluster.accept({
        shape: 'gang',
        pieces: 2,
        gpus: 2,
        runMs: LONG_MS,
      });
      await simulatedCluster.advance(4);
      assert.equal(await simulatedCluster.cancel(cancelledJob), 'withdrawn');
      cancelled.push(cancelledJob);
      assert.ok(allRun(simulatedCluster, work));
      assert.equal(
        startsOf(simulatedCluster, work),
        starts,
        `no task is started again under ${order[node]}`,
      );
      if (!knowRanges)
        assert.ok(
          !runKeys(simulatedCluster).some(isRangedRunKey),
          'one of the versions cannot read ranged records',
        );
    }
    await simulatedCluster.until(
      () => shortJobs.every((job) => simulatedCluster.storedPhase(job) === 'done'),
      60,
      'short jobs are done',
    );
    for (const job of shortJobs) await assertPhase(simulatedCluster, job, 'done');
    for (const job of cancelled) await assertPhase(simulatedCluster, job, 'withdrawn');
    if (knowRanges) {
      await simulatedCluster.until(
        () => runKeys(simulatedCluster).every(isRangedRunKey),
        60,
        'all run records use the ranged layout',
      );
    }
    await simulatedCluster.close();
  });
}

/** A controller of a later version: its member record names formats that no other version knows. */
const LATER_PROGRAM: Program = {
  ...CURRENT,
  version: 'later',
  create: (settings, runtime, links) => {
    const request: Transport['request'] = (method, path, body, ...rest) => {
      const text = JSON.stringify(body)?.replace('"recordFormat":2', '"recordFormat":3');
      const later = text?.replace('"frameVersions":[3,4]', '"frameVersions":[3,4,5]');
      return links.store.request(method, path, later ? JSON.parse(later) : body, ...rest);
    };
    return CURRENT.create(settings, runtime, { ...links, store: { request } });
  },
};

test('104c759 works alongside a version with later formats as it does alongside its own', async () => {
  const simulatedCluster = new SimulatedCluster(machines('abababab'), 3, 0, {
    next: ANNOUNCED_LIMITS,
  });
  setVersions(simulatedCluster, ['104c759', '104c759', 'current']);
  simulatedCluster.nodes[2]!.program = LATER_PROGRAM;
  await simulatedCluster.start();
  assert.equal(
    (simulatedCluster.store.get('members/berth-2') as { recordFormat: number }).recordFormat,
    3,
  );
  const work = await startLongWork(simulatedCluster);
  const starts = startsOf(simulatedCluster, work);
  for (const node of [0, 2, 1]) {
    await transferLeadership(simulatedCluster, node);
    await simulatedCluster.until(
      () => runKeys(simulatedCluster).every(isRangedRunKey),
      30,
      'all run records use the ranged layout',
    );
  }
  simulatedCluster.store.limits = ANNOUNCED_LIMITS;
  await simulatedCluster.advance(20);
  assert.ok(allRun(simulatedCluster, work));
  assert.equal(startsOf(simulatedCluster, work), starts);
  assert.deepEqual(simulatedCluster.peerNetwork.unreadable, []);
  await simulatedCluster.close();
});

for (const [leader, others] of [
  ['current', '104c759'],
  ['104c759', 'current'],
  ['current', '78ff1b1'],
] as const) {
  const knowsCancellationQueries = others !== '78ff1b1';

  test(`${leader} leads ${others} through a refusal, a cancellation and an outage`, async () => {
    const simulatedCluster = new SimulatedCluster(machines('aabb'), 3);
    setVersions(simulatedCluster, [leader, others, others]);
    await simulatedCluster.start();
    await transferLeadership(simulatedCluster, 0);
    const template = { shape: 'service', pieces: 2, runMs: 0, urgency: 'production' } as const;
    const kept = await simulatedCluster.accept(template);
    const cancelled = await simulatedCluster.accept(template);
    await simulatedCluster.until(
      () => simulatedCluster.running(kept) + simulatedCluster.running(cancelled) === 4,
      20,
      'replicas run',
    );
    const starts = simulatedCluster.starts.length;
    // The outcome must not depend on the message that tells the leader of a cancellation.
    simulatedCluster.peerNetwork.isLost = (_from, _to, message) => message.kind === 'jobCancelled';
    simulatedCluster.faults.refuse(0);
    await simulatedCluster.clock.advance(300);
    assert.equal(await simulatedCluster.cancel(cancelled, 1), 'withdrawn');
    simulatedCluster.faults.startStoreOutage();
    await simulatedCluster.advance(60);
    // With cancellation queries the work that was not cancelled survives; the rules hold in any case.
    if (knowsCancellationQueries) assert.equal(simulatedCluster.running(kept), 2);
    simulatedCluster.faults.endAll();
    await simulatedCluster.until(
      () => simulatedCluster.running(kept) === 2,
      60,
      'the job that was not cancelled runs',
    );
    if (knowsCancellationQueries)
      assert.equal(simulatedCluster.starts.length, starts, 'no task is started again');
    assert.deepEqual(simulatedCluster.peerNetwork.unreadable, []);
    await assertPhase(simulatedCluster, cancelled, 'withdrawn');
    await simulatedCluster.close();
  });
}
