import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Membership, RECORD_FORMATS, type SupportedFormats } from '../src/membership/membership.js';
import { FRAME_VERSIONS, CANCELLATIONS_VERSION } from '../src/peer/frames.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { RequestRejectedError, Store } from '../src/state/store.js';
import { FakeClock } from './fakes/clock.js';
import { releasedStores } from './fakes/released-samples.js';
import { FakeStore, type RequestOutcome } from './fakes/store.js';
import { fakeRandom, settings } from './fakes/simulated-cluster.js';

/** A frame version that no program supports yet. */
const NEXT_FRAMES = Math.max(...FRAME_VERSIONS) + 1;

const NAMES = ['berth-0', 'berth-1', 'berth-2'];
const NEXT_LIMITS = { valueBytes: 2048, txnOps: 4, writeRps: 15 };

/** Sets up one store for three controllers; the test starts each of them with `start`. */
function threeControllers() {
  const clock = new FakeClock();
  const fakeStore = new FakeStore(clock);
  const stop = new AbortController();
  const log = { error() {}, warn() {}, info() {}, debug() {} };
  const start = (
    self: string,
    fate: () => RequestOutcome = () => 'serve',
    supportedFormats?: SupportedFormats,
  ) => {
    const runtime = { clock, random: fakeRandom(self), log, startedAt: clock.now() };
    const base = settings();
    const store = new Store(
      fakeStore.transport(fate),
      runtime as unknown as Runtime,
      { ...base, state: { ...base.state, next: NEXT_LIMITS } },
      1000,
    );
    const peers = NAMES.filter((name) => name !== self);
    const membership = new Membership(
      store,
      runtime as unknown as Runtime,
      { self, peers, size: NAMES.length },
      2000,
      supportedFormats,
    );
    void membership.run(stop.signal);
    return { store, membership };
  };
  return { clock, fakeStore, stop, start };
}

test('an upgrade is complete once every controller has a member record, and stays complete', async () => {
  const { clock, fakeStore, stop, start } = threeControllers();
  const first = start('berth-0');
  const second = start('berth-1');
  await clock.advance(60_000);
  assert.equal(
    first.membership.allRead(RECORD_FORMATS.rangedRuns),
    false,
    'a missing record proves nothing',
  );
  assert.equal(first.membership.readsFrameVersion('berth-1', CANCELLATIONS_VERSION), true);
  assert.equal(first.membership.readsFrameVersion('berth-2', CANCELLATIONS_VERSION), false);
  assert.equal(first.store.limits.effective().txnOps, 20);
  start('berth-2');
  await clock.advance(3000);
  for (const { membership, store } of [first, second]) {
    assert.equal(membership.allRead(RECORD_FORMATS.rangedRuns), true);
    assert.equal(membership.readsFrameVersion('berth-2', CANCELLATIONS_VERSION), true);
    assert.deepEqual(
      [store.limits.effective().txnOps, store.limits.effective().valueBytes],
      [4, 2048],
    );
  }
  // The records outlive their processes; a controller that starts later reads them at once.
  assert.deepEqual(fakeStore.get('members/berth-2'), {
    name: 'berth-2',
    version: '0.1.0',
    startedAt: 1_800_000_060_000,
    recordFormat: 3,
    frameVersions: [...FRAME_VERSIONS],
  });
  const restarted = start('berth-1');
  const refreshed = restarted.membership.refresh();
  await clock.advance(100);
  await refreshed;
  assert.equal(restarted.membership.allRead(RECORD_FORMATS.rangedRuns), true);
  stop.abort();
});

test('member records of an older format, of an unknown controller or without valid content do not count', async () => {
  const { clock, fakeStore, stop, start } = threeControllers();
  const record = {
    name: 'berth-2',
    version: '0',
    startedAt: 1,
    recordFormat: 1,
    frameVersions: [],
  };
  fakeStore.write('members/berth-2', record);
  fakeStore.write('members/berth-9', { ...record, name: 'berth-9', recordFormat: 2 });
  fakeStore.write('members/berth-8', { what: 'ever' });
  const first = start('berth-0');
  start('berth-1');
  await clock.advance(20_000);
  assert.equal(first.membership.allRead(RECORD_FORMATS.rangedRuns), false);
  fakeStore.write('members/berth-2', { ...record, recordFormat: 3 });
  await clock.advance(3000);
  assert.equal(
    first.membership.allRead(RECORD_FORMATS.rangedRuns),
    true,
    'a later format includes the current one',
  );
  stop.abort();
});

test('a member record is written as soon as the store serves, even if responses are lost', async () => {
  const { clock, fakeStore, stop, start } = threeControllers();
  fakeStore.down = true;
  let lost = 0;
  start('berth-0', () => (lost++ < 2 ? 'lose answer' : 'serve'));
  await clock.advance(30_000);
  assert.equal(fakeStore.get('members/berth-0'), undefined);
  fakeStore.down = false;
  await clock.advance(15_000);
  assert.ok(fakeStore.get('members/berth-0'));
  stop.abort();
});

test('a controller keeps all its writes to a lower rate once refusals continue', async () => {
  const { clock, fakeStore, stop, start } = threeControllers();
  const { store } = start('berth-0');
  fakeStore.limits = { writeRps: 15 };
  let applied = 0;
  for (let i = 0; i < 400; i++) {
    void store
      .commit([], [{ put: `k/${i}`, value: { i } }], 1, stop.signal)
      .then(() => applied++)
      .catch((error: unknown) => assert.ok(stop.signal.aborted, String(error)));
  }
  await clock.advance(10_000);
  assert.equal(store.limits.effective().writeRps, 15);
  const refused = fakeStore.rateRefused;
  await clock.advance(10_000);
  assert.ok(fakeStore.rateRefused - refused < 20, `${fakeStore.rateRefused - refused} refusals`);
  assert.ok(applied > 200, `${applied} applied in 20 s`);
  stop.abort();
});

test('a rejected transaction size lowers the limits at once, and the caller gets the error', async () => {
  const { clock, fakeStore, stop, start } = threeControllers();
  const { store } = start('berth-0');
  await clock.advance(1000);
  fakeStore.limits = { txnOps: 4 };
  const five = Array.from({ length: 5 }, (_, i) => ({ put: `k/${i}`, value: {} }));
  const refused = assert.rejects(
    store.tryCommit([], five, 1),
    (e) => e instanceof RequestRejectedError && e.status === 400,
  );
  await clock.advance(1000);
  await refused;
  assert.equal(store.limits.effective().txnOps, 4);
  assert.equal(store.limits.effective().valueBytes, 2048);
  stop.abort();
});

test('support for a later record format or frame version is determined separately from earlier ones', async () => {
  const { clock, fakeStore, stop, start } = threeControllers();
  const { keys } = releasedStores().after;
  const { rangedRuns } = RECORD_FORMATS;
  const later = { recordFormat: rangedRuns + 1, frameVersions: [...FRAME_VERSIONS, NEXT_FRAMES] };
  // The others run release 104c759 and wrote their records long before this upgrade.
  const released = keys['members/berth-1']!.value;
  for (const name of ['berth-1', 'berth-2'])
    fakeStore.write(`members/${name}`, { ...released, name });
  const { membership, store } = start('berth-0', undefined, later);
  await clock.advance(20_000);
  assert.equal(membership.allRead(rangedRuns), true, 'ranged records are read by all');
  assert.equal(store.limits.effective().txnOps, 4);
  assert.equal(
    membership.allRead(later.recordFormat),
    false,
    'no other controller counts as upgraded',
  );
  assert.equal(membership.readsFrameVersion('berth-1', CANCELLATIONS_VERSION), true);
  assert.equal(membership.readsFrameVersion('berth-1', NEXT_FRAMES), false);
  for (const name of ['berth-1', 'berth-2']) start(name, undefined, later);
  await clock.advance(5000);
  assert.equal(membership.allRead(later.recordFormat), true);
  assert.equal(membership.readsFrameVersion('berth-2', NEXT_FRAMES), true);
  stop.abort();
});

test('a new frame version is detected even if the record format stays the same', async () => {
  const { clock, stop, start } = threeControllers();
  const later = {
    recordFormat: RECORD_FORMATS.rangedRuns,
    frameVersions: [...FRAME_VERSIONS, NEXT_FRAMES],
  };
  const { membership } = start('berth-0', undefined, later);
  for (const name of ['berth-1', 'berth-2']) start(name);
  await clock.advance(10_000);
  assert.equal(membership.readsFrameVersion('berth-2', NEXT_FRAMES), false);
  for (const name of ['berth-1', 'berth-2']) start(name, undefined, later);
  await clock.advance(5000);
  assert.equal(membership.readsFrameVersion('berth-2', NEXT_FRAMES), true);
  stop.abort();
});

test('a delayed write of a member record does not replace that of a later program', async () => {
  const { clock, fakeStore, stop, start } = threeControllers();
  let first = true;
  const { rangedRuns } = RECORD_FORMATS;
  const fate = (): RequestOutcome => {
    const isFirst = first;
    first = false;
    return isFirst ? 'apply late' : 'serve';
  };
  start('berth-0', fate, { recordFormat: rangedRuns, frameVersions: FRAME_VERSIONS });
  await clock.advance(5000);
  start('berth-0');
  await clock.advance(5000);
  for (const apply of fakeStore.late.splice(0)) apply();
  const { recordFormat } = fakeStore.get('members/berth-0') as { recordFormat: number };
  assert.equal(recordFormat, Math.max(...Object.values(RECORD_FORMATS)));
  stop.abort();
});
