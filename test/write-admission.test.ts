import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority, type JobSpec } from '../src/jobs/job.js';
import { Job } from '../src/jobs/tracked-job.js';
import { WriteAdmission } from '../src/jobs/write-admission.js';
import { SPEC } from './fakes/samples.js';

const MEMORY_MB = 1;
const BYTES = 8 * 1024;

const job = (id: string, spec: Partial<JobSpec> = {}): Job =>
  new Job(id, { ...SPEC, ...spec }, 0, 1, 100);

// Guards against transactions of hundreds of jobs in memory while the store's rate allows a few a second.
test('transactions wait unbuilt beyond the bound, the most urgent first, and services do not wait for arrays', () => {
  const admission = new WriteAdmission(MEMORY_MB);
  const first = job('req-1');
  assert.ok(admission.admit(first));
  admission.begin(first, BYTES);
  const [early, late] = [job('req-2'), job('req-3')];
  const urgent = job('req-4', { priority: Priority.High });
  for (const waiting of [early, late, urgent]) assert.equal(admission.admit(waiting), false);
  const service = job('req-5', { kind: 'service' });
  assert.ok(admission.admit(service));
  const ended = job('req-6');
  ended.phase = 'cancelled';
  assert.ok(admission.admit(ended), 'its transaction holds no run records');
  assert.equal(admission.next(first), null, 'the bound is still reached');
  admission.end(first);
  assert.deepEqual(
    [admission.next(first), admission.next(first), admission.next(first), admission.next(first)],
    [urgent, early, late, null],
  );
});
