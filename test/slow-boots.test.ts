import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/** The nominal boot time of the fake cloud's type, in seconds. */
const BOOT_S = 40;

/** The part of a stored run record that these tests read. */
interface RunRecord {
  gang?: { phase: string };
}

const gangPhase = (cluster: SimulatedCluster, job: string): string =>
  (cluster.store.get(`runs/${job}/0`) as RunRecord | undefined)?.gang?.phase ?? 'queued';

test('a cloud that takes four boot times does not suspend a feasible gang', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  simulatedCluster.cloud.bootMs = BOOT_S * 4 * 1000;
  const job = await simulatedCluster.submit({ shape: 'gang', pieces: 3, gpus: 8, runMs: 60_000 });
  await simulatedCluster.until(
    () => gangPhase(simulatedCluster, job) === 'admitted',
    10,
    'admitted',
  );
  const admittedAt = simulatedCluster.clock.now();
  while (simulatedCluster.running(job) < 3) {
    assert.notEqual(gangPhase(simulatedCluster, job), 'suspended');
    await simulatedCluster.advance(1);
    const waitedS = (simulatedCluster.clock.now() - admittedAt) / 1000;
    assert.ok(waitedS < BOOT_S * 4 + 15, 'it runs once its first machines are up');
  }
  assert.equal(
    simulatedCluster.cloud.calls.filter((call) => call.path === '/hosts/return').length,
    0,
  );
  await simulatedCluster.close();
});

test('a gang whose machine boots late still has the time to fetch its image', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  simulatedCluster.cloud.bootMs = BOOT_S * 1.7 * 1000;
  const job = await simulatedCluster.submit({
    ...{ shape: 'gang', pieces: 2, gpus: 8, runMs: 60_000 },
    ...{ sizeGb: 16, fetchMs: 16_000 },
  });
  await simulatedCluster.until(() => gangPhase(simulatedCluster, job) === 'placed', 90, 'placed');
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 2,
    25,
    'runs without a suspension',
  );
  await simulatedCluster.close();
});

test('a machine that never boots is replaced, and released once its replacement is up', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  simulatedCluster.cloud.bootMs = Infinity;
  const job = await simulatedCluster.submit({
    shape: 'service',
    pieces: 2,
    gpus: 8,
    runMs: 600_000,
  });
  await simulatedCluster.until(
    () => simulatedCluster.cloud.hosts.size === 2,
    10,
    'one is provisioned',
  );
  const neverBooted = [...simulatedCluster.cloud.hosts.keys()][1]!;
  simulatedCluster.cloud.bootMs = BOOT_S * 1000;
  await simulatedCluster.until(
    () => simulatedCluster.cloud.hosts.size === 3,
    BOOT_S * 2,
    'another is provisioned in its place',
  );
  await simulatedCluster.until(
    () => simulatedCluster.running(job) === 2,
    BOOT_S + 10,
    'both replicas run',
  );
  await simulatedCluster.until(
    () => !simulatedCluster.cloud.hosts.has(neverBooted),
    2,
    'the machine that never booted is released',
  );
  await simulatedCluster.close();
});

test('a machine that is listed as running and stays unresponsive is released, but not in a partition of its zone', async () => {
  const simulatedCluster = new SimulatedCluster([
    { yard: 'a' },
    { yard: 'a' },
    { yard: 'a' },
    { yard: 'b' },
    { yard: 'b' },
  ]);
  await simulatedCluster.start();
  // One replica on each machine, so that none of them is idle.
  await simulatedCluster.submit({
    shape: 'service',
    pieces: 5,
    gpus: 8,
    runMs: 1_000_000,
    crew: 'speech',
  });
  await simulatedCluster.advance(10);
  const inZone = (yard: string): string[] =>
    [...simulatedCluster.workers.values()]
      .filter((worker) => worker.yard === yard)
      .map((worker) => worker.id);
  const [unresponsive] = inZone('a');
  simulatedCluster.workers.get(unresponsive!)!.dead = true;
  const partitioned = inZone('b').slice(0, 2);
  for (const id of partitioned) simulatedCluster.workers.get(id)!.dead = true;
  await simulatedCluster.advance(BOOT_S * 3 - 10);
  assert.ok(simulatedCluster.cloud.hosts.has(unresponsive!), 'it may recover');
  await simulatedCluster.until(
    () => !simulatedCluster.cloud.hosts.has(unresponsive!),
    40,
    'it is released',
  );
  assert.ok(partitioned.every((id) => simulatedCluster.cloud.hosts.has(id)));
  await simulatedCluster.close();
});

test('idle machines are kept where their whole zone is unresponsive: a partition is likelier', async () => {
  const simulatedCluster = new SimulatedCluster([
    { yard: 'a' },
    { yard: 'a' },
    { yard: 'b' },
    { yard: 'b' },
  ]);
  await simulatedCluster.start();
  await simulatedCluster.submit({
    shape: 'service',
    pieces: 2,
    gpus: 8,
    runMs: 1_000_000,
    yard: 'a',
  });
  await simulatedCluster.advance(6);
  const unresponsive = [...simulatedCluster.workers.values()].filter(
    (worker) => worker.yard === 'b',
  );
  for (const worker of unresponsive) {
    assert.equal(worker.pieces.length, 0);
    worker.dead = true;
  }
  await simulatedCluster.advance(BOOT_S * 3 + 30);
  assert.ok(unresponsive.every(({ id }) => simulatedCluster.cloud.hosts.has(id)));
  await simulatedCluster.close();
});
