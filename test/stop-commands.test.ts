import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from '../src/fleet/fleet.js';
import type { Placement } from '../src/jobs/tracked-job.js';
import { Job } from '../src/jobs/tracked-job.js';
import type { Report } from '../src/wire/report.js';
import { SPEC, TYPE } from './fakes/samples.js';
import { World } from './fakes/world.js';

test('a cancelled batch leaves its machine at once, or with the next report where commands get lost', async () => {
  for (const [open, withinMs] of [
    [true, 100],
    [false, 2500],
  ] as const) {
    const w = new World([{ yard: 'a' }, { yard: 'a' }]);
    await w.start();
    const job = await w.submit({ pieces: 4, runMs: 60_000 });
    await w.until(() => w.running(job) === 4, 10, 'runs');
    w.directOpen = open;
    await w.clock.advance(100);
    const from = w.clock.now();
    assert.equal((await w.ask(w.user(w.leader).abort(job))).status, 200);
    while (w.on(job).length > 0 && w.clock.now() - from < 5000) await w.clock.advance(10);
    // The cancellation itself takes up to a step of the story's clock.
    const took = w.clock.now() - from;
    assert.ok(took <= 250 + withinMs, `direct ${open}: ${took} ms`);
    await w.close();
  }
});

const report = (seq: number, tasks: Report['tasks'], session = 1): Report => ({
  machine: 'host-1',
  address: 'host-1:9000',
  type: 'g8',
  zone: 'a',
  spot: false,
  session,
  seq,
  token: 7,
  noticeMs: null,
  tasks,
});

test('the answer to a direct command proves no start gone, and renews no lease', () => {
  const gone: Placement[] = [];
  const exited: Placement[] = [];
  const fleet = new Fleet(
    { running: () => {}, exited: (p) => exited.push(p), lost: (p) => gone.push(p) },
    7,
    0,
    10_000,
    { boundOf: () => -Infinity, confirmedFrom: Infinity },
  );
  fleet.report(report(1, []), TYPE, 100, true);
  const m = fleet.machines.get('host-1')!;
  const job = new Job('req-1', SPEC, 0, 1, 100);
  const place = (task: number): Placement => ({
    job,
    task,
    attempt: 1,
    machine: 'host-1',
    session: 1,
    zone: 'a',
    stage: 'recorded',
    state: null,
    placedAt: 0,
    runningSince: null,
    stop: null,
  });
  const [one, two] = [place(0), place(1)];
  for (const p of [one, two]) fleet.add(p, 100);
  // Both starts are on their way in the answer to a report, when a stop of the first overtakes them.
  assert.equal(fleet.report(report(2, []), TYPE, 200, true).length, 2);
  one.stop = { graceMs: 0 };
  const silentFrom = fleet.silentFrom(m);
  fleet.direct(report(3, []));
  assert.deepEqual(gone, []);
  // An ordinary report does prove it: the answer before it was carried out or dropped by then.
  fleet.report(report(4, []), TYPE, 300, true);
  assert.deepEqual(gone, [one]);
  assert.ok(fleet.silentFrom(m) > silentFrom);
  const before = fleet.silentFrom(m);
  const shown = { job: 'req-1', task: 1, attempt: 1, why: null, saved: false } as const;
  fleet.direct(report(9, [{ ...shown, state: 'exited', why: 'stopped' }], 2));
  assert.deepEqual(exited, [], 'of another session nothing is taken');
  fleet.direct(report(5, [{ ...shown, state: 'exited', why: 'stopped' }]));
  assert.deepEqual(exited, [two]);
  assert.equal(fleet.silentFrom(m), before);
});
