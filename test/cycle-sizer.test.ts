import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CycleSizer } from '../src/control/scheduling/cycle-sizer.js';
import type { JobView, Snapshot } from '../src/scheduler/scheduling-model.js';
import { withinGuarantee } from '../src/scheduler/job-order.js';
import { jobView, snapshotWith, SPEC } from './fakes/samples.js';

const LEASE_MS = 3000;

/** A snapshot with waiting jobs of one team, the last of which is the most urgent. */
function waitingJobs(count: number, view: Partial<JobView> = {}): Snapshot {
  const jobs = Array.from({ length: count }, (_, i): JobView => {
    const timing = { readyAt: i, dueAt: count - i, waitingTasks: 1, unfinishedTasks: 1 };
    return jobView(`req-${i}`, SPEC, { ...timing, ...view });
  });
  const guarantee = { cpus: 0, gpus: count * 10 };
  const limit = { cpus: Infinity, gpus: Infinity };
  const teams = new Map([[SPEC.team, { guarantee, limit, used: { cpus: 0, gpus: 0 } }]]);
  return snapshotWith(teams, { jobs });
}

const includedJobs = (sizer: CycleSizer, snapshot: Snapshot): JobView[] =>
  sizer.limit(snapshot).jobs.filter((job) => job.waitingTasks > 0);

test('a new leader starts with the first jobs in order, and the others still count for the guarantee', () => {
  const snapshot = waitingJobs(400);
  const sizer = new CycleSizer(() => LEASE_MS);
  const first = includedJobs(sizer, snapshot);
  assert.equal(first.length, 50);
  assert.ok(first.every((job) => job.dueAt <= 50));
  const { jobs, teams } = sizer.limit(snapshot);
  assert.equal(jobs.length, 400);
  assert.deepEqual(withinGuarantee(jobs, teams), withinGuarantee(snapshot.jobs, teams));
});

test('a cycle includes more jobs while cycles are short, and fewer after a long one', () => {
  const snapshot = waitingJobs(400);
  const sizer = new CycleSizer(() => LEASE_MS);
  for (const expected of [100, 200, 400]) {
    sizer.recordDuration(20);
    assert.equal(includedJobs(sizer, snapshot).length, expected);
  }
  assert.equal(sizer.limit(snapshot), snapshot);
  sizer.recordDuration(LEASE_MS / 2);
  assert.equal(includedJobs(sizer, snapshot).length, 200);
  for (let i = 0; i < 9; i++) sizer.recordDuration(LEASE_MS / 2);
  assert.equal(includedJobs(sizer, snapshot).length, 25);
  // After a cycle that was neither short nor long, jobs further back still get their turn.
  sizer.recordDuration(LEASE_MS / 10);
  assert.equal(includedJobs(sizer, snapshot).length, 50);
});

test("inadmissible jobs do not use up other jobs' places in the cycle", () => {
  const blocked = waitingJobs(60, { isAdmissible: false, priority: 0 });
  const snapshot = waitingJobs(50);
  const sizer = new CycleSizer(() => LEASE_MS);
  const both = { ...snapshot, jobs: [...blocked.jobs, ...snapshot.jobs] };
  assert.equal(includedJobs(sizer, both).filter((job) => job.isAdmissible).length, 50);
});
