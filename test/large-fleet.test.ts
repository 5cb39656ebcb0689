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

/** Something that ends in the time it takes. */
async function after<T>(clock: FakeClock, promise: Promise<T>): Promise<T> {
  let done = false;
  void promise.finally(() => (done = true));
  while (!done) await clock.advance(20);
  return promise;
}

function cloudOf(machines: number) {
  const clock = new FakeClock();
  const cloud = new FakeCloud(clock, () => undefined);
  cloud.capacity = 2000;
  for (let i = 0; i < machines; i++) cloud.add('a', 0);
  const fakeStore = new FakeStore(clock);
  const runtime = { clock, random: fakeRandom('r'), log, startedAt: 0 };
  const store = new Store(
    fakeStore.link(() => 'serve'),
    runtime,
    settings(),
    1000,
  );
  const term = new Term('t', 1, 0, Infinity);
  const lists: ListedMachine[][] = [];
  const returned: string[] = [];
  const rentals = new MachineProvisioner(cloud.link(), store, runtime, settings(), term, 4000, {
    provisioned: () => undefined,
    listed: (machines) => lists.push(machines),
    released: (ids) => returned.push(...ids),
  });
  return { clock, cloud, fakeStore, store, runtime, term, rentals, lists, returned };
}

test('a list of 900 machines is taken whole or not at all', async () => {
  const { clock, cloud, rentals, lists } = cloudOf(900);
  assert.equal(await after(clock, rentals.listMachines()), true);
  assert.equal(new Set(lists[0]!.map((listed) => listed.id)).size, 900);
  cloud.failLaterPages = true;
  assert.equal(await after(clock, rentals.listMachines()), false);
  assert.equal(lists.length, 1, 'half of a list would make machines look missing');
  cloud.failLaterPages = false;
  cloud.hosts.delete([...cloud.hosts.keys()][700]!);
  assert.equal(await after(clock, rentals.listMachines()), true);
  assert.equal(lists[1]!.length, 899);
});

test('the log says once when the cloud does not serve, and once when it does again', async () => {
  const { clock, cloud, runtime, rentals } = cloudOf(1);
  const lines: unknown[][] = [];
  const quiet = runtime.log.info;
  runtime.log.info = (...line: unknown[]) => lines.push(line);
  for (const down of [true, true, false, false]) {
    cloud.down = down;
    await after(clock, rentals.listMachines());
  }
  runtime.log.info = quiet;
  assert.deepEqual(
    lines.map(([, message]) => message),
    ['cloud unavailable', 'cloud available again'],
  );
});

test('rentals and returns of hundreds keep within what one call may carry, each machine once', async () => {
  const { clock, cloud, fakeStore, rentals, returned, term } = cloudOf(250);
  fakeStore.keys.set('leader', { value: {}, stamp: 1, hold: null });
  const ids = [...cloud.hosts.keys()];
  for (const id of ids) rentals.release(id);
  await clock.advance(10_000);
  assert.deepEqual([...returned].sort(), ids);
  rentals.provision({ type: 'g8', zone: 'a', spot: false, count: 120 });
  await clock.advance(10_000);
  assert.equal(cloud.hosts.size, 120);
  assert.ok(cloud.calls.every((call) => call.count <= (call.path === '/hosts/return' ? 100 : 50)));
  term.end();
});

test('nothing is returned by a leader whose right has lapsed', async () => {
  const { clock, cloud, rentals, term, returned } = cloudOf(1);
  const lapsed = new MachineProvisioner(
    cloud.link(),
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
  lapsed.release(id!);
  await clock.advance(10_000);
  assert.deepEqual([cloud.hosts.size, returned], [1, []]);
  rentals.release(id!);
  await clock.advance(1000);
  assert.deepEqual([cloud.hosts.size, returned], [0, [id]]);
  term.end();
});

test('a machine that went back is not counted on while a lagging list still shows it', async () => {
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const [old] = [...simulatedCluster.cloud.hosts.values()];
  const { leader } = simulatedCluster.nodes[simulatedCluster.leader]!.controller as unknown as {
    leader: { parts: Pick<LeaderParts, 'provisioner' | 'fleet'> };
  };
  leader.parts.provisioner.release(old!.ref);
  await simulatedCluster.pass(1);
  assert.equal(simulatedCluster.cloud.hosts.size, 0);
  // The list is as old as before the return.
  simulatedCluster.cloud.hosts.set(old!.ref, old!);
  await simulatedCluster.pass(7);
  assert.equal(leader.parts.fleet.machines.has(old!.ref), false);
  simulatedCluster.cloud.hosts.delete(old!.ref);
  await simulatedCluster.close();
});

test('thousands of jobs are read in pages, whatever the order of their names', async () => {
  const { clock, fakeStore, store } = cloudOf(0);
  const names = Array.from({ length: 2500 }, (_, i) => `jobs/req-${(i * 7919) % 100_003}`);
  names.forEach((name, i) => fakeStore.keys.set(name, { value: { i }, stamp: i + 1, hold: null }));
  const { items } = await after(clock, store.range('jobs/'));
  assert.deepEqual(
    items.map((entry) => entry.key),
    [...names].sort(),
  );
});

test('an accepted job that leaves memory while it is asked for is not called unknown', async () => {
  const { clock, fakeStore, store, runtime } = cloudOf(0);
  const small = { ...settings(), machine: { ...settings().machine, memoryMb: 0.04 } };
  const jobApi = new JobApi(
    store,
    { types: { value: null } } as unknown as MachineTypeCatalog,
    small,
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
    const asked = Array.from({ length: 200 }, (_, i) => jobApi.query(`req-${i}`));
    const codes = await after(clock, Promise.all(asked.map(async (a) => (await a).status)));
    assert.ok(!codes.includes(404), `round ${round}`);
  }
});
