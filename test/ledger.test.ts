import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Term } from '../src/election/term.js';
import type { JobSpec } from '../src/jobs/job.js';
import { Ledger } from '../src/jobs/ledger.js';
import { Job } from '../src/jobs/live.js';
import type { Runtime } from '../src/runtime/duty.js';
import type { Store } from '../src/state/store.js';
import { FakeClock } from './fakes/clock.js';
import { SPEC } from './fakes/samples.js';

/** A ledger above a store whose queue of writes never empties. */
function busyLedger(): { clock: FakeClock; ledger: Ledger; urgencies: number[] } {
  const clock = new FakeClock();
  const urgencies: number[] = [];
  const store = {
    writesWaiting: 20,
    commit: (_when: unknown, _then: unknown, urgency: number) => {
      urgencies.push(urgency);
      return Promise.resolve({ ok: true, revision: urgencies.length });
    },
  } as unknown as Store;
  const nothing = (): void => undefined;
  const ledger = new Ledger(
    store,
    { clock } as unknown as Runtime,
    new Term('t', 1, 0, Infinity),
    12,
    2500,
    {
      jobChanged: nothing,
      recorded: nothing,
      forgotten: nothing,
      contradiction: (what) => assert.fail(what),
      ended: nothing,
      settled: nothing,
    },
  );
  return { clock, ledger, urgencies };
}

const job = (spec: Partial<JobSpec> = {}): Job => new Job('req-1', { ...SPEC, ...spec }, 0, 1, 100);

test('ends wait while writes queue, but not for ever', async () => {
  const { clock, ledger, urgencies } = busyLedger();
  const array = job();
  array.markDone(0);
  ledger.flushEnds(array);
  await clock.advance(9900);
  assert.equal(urgencies.length, 0);
  await clock.advance(200);
  assert.equal(urgencies.length, 1);
});

test('a start does not wait for the ends before it, and carries them along', async () => {
  const { clock, ledger, urgencies } = busyLedger();
  const array = job();
  array.markDone(0);
  ledger.flushEnds(array);
  array.touch(1);
  ledger.flush(array);
  await clock.advance(20_000);
  assert.equal(urgencies.length, 1);
});

test('starts of arrays go after those of services and gangs', async () => {
  const { clock, ledger, urgencies } = busyLedger();
  for (const kind of ['array', 'service', 'gang'] as const) {
    const one = job({ kind });
    one.touch(0);
    ledger.flush(one);
  }
  await clock.advance(1);
  assert.deepEqual(urgencies, [2, 1, 1]);
});
