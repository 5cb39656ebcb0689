import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LeaderParts } from '../src/control/leader-parts.js';
import { Term } from '../src/election/term.js';
import { MachineProvisioner } from '../src/fleet/machine-provisioner.js';
import { JobApi } from '../src/jobs/job-api.js';
import type { MachineTypeCatalog } from '../src/fleet/machine-type-catalog.js';
import { Store } from '../src/state/store.js';
import type { ListedMachine } from '../src/wire/cloud.js';
import { FakeClock } from './fakes/clock.js';
import { FakeCloud } from './fakes/cloud.js';
import { FakeStore } from './fakes/store.js';
import { fakeRandom, settings, SimulatedCluster } from './fakes/simulated-cluster.js';

const log = { error() {}, warn() {}, info() {}, debug() {} };

/** Advances the clock until a promise settles, and returns its result. */
async function advanceUntilSettled<T>(clock: FakeClock, promise: Promise<T>): Promise<T> {
  let done = false;
  void promise.finally(() => (done = true));
  while (!done) await clock.advance(20);
  return promise;
}

function cloudWith(machines: number) {
  const clock = new FakeClock();
  const cloud = new FakeCloud(clock, () => undefined);
  cloud.capacity = 2000;
  for (let i = 0; i < machines; i++) cloud.add('a', 0);
  const fakeStore = new FakeStore(clock);
  const runtime = { clock, random: fakeRandom('r'), log, startedAt: 0 };
  const store = new Store(
    fakeStore.transport(() => 'serve'),
    runtime,
    settings(),
    1000,
  );
  const term = new Term('t', 1, 0, Infinity);
  const lists: ListedMachine[][] = [];
  const returned: string[] = [];
  const provisioner = new MachineProvisioner(
    cloud.transport(),
    store,
    runtime,
    settings(),
    term,
    4000,
    {
      provisioned: () => undefined,
      listed: (machines) => lists.push(machines),
      released: (ids) => returned.push(...ids),
    },
  );
  return { clock, cloud, fakeStore, store, runtime, term, provisioner, lists, returned };
}

test('a list of 900 machines is applied as a whole or not at all', async () => {
  const { clock, cloud, provisioner, lists } = cloudWith(900);
  assert.equal(await advanceUntilSettled(clock, provisioner.listMachines()), true);
  assert.equal(new Set(lists[0]!.map((listed) => listed.id)).size, 900);
  cloud.failLaterPages = true;
  assert.equal(await advanceUntilSettled(clock, provisioner.listMachines()), false);
  assert.equal(lists.length, 1, 'a partial list would make machines look missing');
  cloud.failLaterPages = false;
  cloud.hosts.delete([...cloud.hosts.keys()][700]!);
  assert.equal(await advanceUntilSettled(clock, provisioner.listMachines()), true);
  assert.equal(lists[1]!.length, 899);
});

test('an outage of the cloud is logged once, and so is its end', async () => {
  const { clock, cloud, runtime, provisioner } = cloudWith(1);
  const lines: unknown[][] = [];
  const originalInfo = runtime.log.info;
  runtime.log.info = (...line: unknown[]) => lines.push(line);
  for (const down of [true, true, false, false]) {
    cloud.down = down;
    await advanceUntilSettled(clock, provisioner.listMachines());
  }
  runtime.log.info = originalInfo;
  assert.deepEqual(
    lines.map(([, message]) => message),
    ['cloud unavailable', 'cloud available again'],
  );
});

test('hundreds of machines are provisioned and released once each, within the size limit of a call', async () => {
  const { clock, cloud, fakeStore, provisioner, returned, term } = cloudWith(250);
  fakeStore.keys.set('leader', { value: {}, stamp: 1, hold: null });
  const ids = [...cloud.hosts.keys()];
  for (const id of ids) provisioner.release(id);
  await clock.advance(10_000);
  assert.deepEqual([...returned].sort(), ids);
  provisioner.provision({ type: 'g8', zone: 'a', spot: false, count: 120 });
  await clock.advance(10_000);
  assert.equal(cloud.hosts.size, 120);
  assert.ok(cloud.calls.every((call) => call.count <= (call.path === '/hosts/return' ? 100 : 50)));
  term.end();
});

test('a leader whose lease has expired releases no machine', async () => {
  const { clock, cloud, provisioner, term, returned } = cloudWith(1);
  const lapsedProvisioner = new MachineProvisioner(
    cloud.transport(),
    null as never,
    { clock, random: fakeRandom('l'), log, startedAt: 0 },
    settings(),
    new Term('t', 1, 0, -1),
    4000,
    {
      provisioned: () => undefined,
      listed: () => undefined,
      released: (ids) => returned.push(...ids),
    },
  );
  const [id] = [...cloud.hosts.keys()];
  lapsedProvisioner.release(id!);
  await clock.advance(10_000);
  assert.deepEqual([cloud.hosts.size, returned], [1, []]);
  provisioner.release(id!);
  await clock.advance(1000);
  assert.deepEqual([cloud.hosts.size, returned], [0, [id]]);
  term.end();
});

test('a released machine is not used while a lagging list still shows it', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const [oldMachine] = [...simulatedCluster.cloud.hosts.values()];
  const { leader } = simulatedCluster.nodes[simulatedCluster.leader]!.controller as unknown as {
    leader: { parts: Pick<LeaderParts, 'provisioner' | 'fleet'> };
  };
  leader.parts.provisioner.release(oldMachine!.ref);
  await simulatedCluster.advance(1);
  assert.equal(simulatedCluster.cloud.hosts.size, 0);
  // The list is still as of before the release.
  simulatedCluster.cloud.hosts.set(oldMachine!.ref, oldMachine!);
  await simulatedCluster.advance(7);
  assert.equal(leader.parts.fleet.machines.has(oldMachine!.ref), false);
  simulatedCluster.cloud.hosts.delete(oldMachine!.ref);
  await simulatedCluster.close();
});

test('thousands of jobs are read in pages, whatever the order of their keys', async () => {
  const { clock, fakeStore, store } = cloudWith(0);
  const keys = Array.from({ length: 2500 }, (_, i) => `jobs/req-${(i * 7919) % 100_003}`);
  keys.forEach((key, i) => fakeStore.keys.set(key, { value: { i }, stamp: i + 1, hold: null }));
  const { items } = await advanceUntilSettled(clock, store.range('jobs/'));
  assert.deepEqual(
    items.map((entry) => entry.key),
    [...keys].sort(),
  );
});

test('a query about an accepted job that is evicted from the cache meanwhile does not get 404', async () => {
  const { clock, fakeStore, store, runtime } = cloudWith(0);
  const smallSettings = { ...settings(), machine: { ...settings().machine, memoryMb: 0.04 } };
  const jobApi = new JobApi(
    store,
    { types: { value: null } } as unknown as MachineTypeCatalog,
    smallSettings,
    runtime,
    {
      progressOf: () => null,
      openJobCount: () => 0,
      lagMs: () => 0,
      onCancellationAnnounced: () => undefined,
    },
    { submitMs: 4000, pollMs: 1600 },
  );
  for (let i = 0; i < 200; i++) {
    const value = { w: 'w', phase: 'open', tasks: 1 };
    fakeStore.keys.set(`jobs/req-${i}`, { value, stamp: i + 1, hold: null });
  }
  for (let round = 0; round < 3; round++) {
    const queries = Array.from({ length: 200 }, (_, i) => jobApi.query(`req-${i}`));
    const codes = await advanceUntilSettled(
      clock,
      Promise.all(queries.map(async (answer) => (await answer).status)),
    );
    assert.ok(!codes.includes(404), `round ${round}`);
  }
});
