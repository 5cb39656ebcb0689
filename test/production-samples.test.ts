import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Job, type StoredRuns } from '../src/jobs/tracked-job.js';
import { parseJob, parseProvisioning, parseRun, tasksPerRecord } from '../src/jobs/records.js';
import { groupRunRecords } from '../src/jobs/run-reader.js';
import { Decoder, encode } from '../src/peer/frames.js';
import { jobIdFromKey, parseRunKey } from '../src/state/keys.js';
import { inCurrentNames } from './fakes/released-samples.js';
import { productionFrames, productionStore } from './fakes/production.js';
import { settings, SimulatedCluster } from './fakes/simulated-cluster.js';

const PER_RECORD = tasksPerRecord(settings().state.valueBytes);

/** The jobs that the version in production left open, as a new leader restores them. */
function restored(): { jobs: Map<string, Job>; runs: Map<Job, StoredRuns>; wall: number } {
  const { keys, wall } = productionStore();
  const jobs = new Map<string, Job>();
  for (const [key, { value, stamp }] of Object.entries(keys)) {
    const record = key.startsWith('jobs/') ? parseJob(value) : null;
    if (!record?.spec) continue;
    const id = jobIdFromKey(key);
    jobs.set(id, new Job(id, record.spec, record.at!, stamp, PER_RECORD));
  }
  const entries = Object.entries(keys)
    .filter(([key]) => key.startsWith('runs/'))
    .map(([key, { value, stamp }]) => ({ key, value, version: stamp }));
  const { runs, unreadable } = groupRunRecords(entries, (id) => jobs.get(id) ?? null);
  assert.deepEqual(unreadable, []);
  for (const [job, stored] of runs) job.restore(stored, 128, 5000, wall);
  return { jobs, runs, wall };
}

test('every record of the version in production is read', () => {
  const { keys, jobs } = productionStore();
  for (const [key, { value }] of Object.entries(keys)) {
    if (key.startsWith('jobs/')) assert.ok(parseJob(value), key);
    if (key.startsWith('runs/')) assert.ok(parseRun(value), key);
    if (key.startsWith('rent/')) assert.ok(parseProvisioning(value), key);
  }
  const restoredJobs = restored().jobs;
  const array = restoredJobs.get(jobs.array)!;
  assert.equal(array.doneCount + array.placements.size, 150);
  assert.ok(array.doneCount > 10);
  assert.equal(restoredJobs.get(jobs.service)!.placements.size, 3);
  assert.equal(restoredJobs.get(jobs.gang)!.gang!.phase, 'started');
  assert.equal(restoredJobs.get(jobs.waiting)!.gang!.holdsGate, true);
});

test('what is written before the upgrade is complete has the very shape of production', () => {
  const { runs, wall } = restored();
  assert.ok(runs.size >= 4);
  for (const [job, { indexed }] of runs) {
    for (const { index, record } of indexed) {
      const section = job.layout.sections[index]!;
      const written = job.toRecord(section, record.w, (steady) => wall + steady - 5000);
      assert.equal(section.key, `runs/${job.id}/${index}`);
      const { value } = productionStore().keys[section.key]!;
      assert.equal(JSON.stringify(written), JSON.stringify(value));
    }
  }
});

test('an accepted job, the leader, rentals and the types have the shape of production', async () => {
  const sample = productionStore();
  const shapeOf = (value: unknown): unknown => {
    if (Array.isArray(value)) return value.slice(0, 1).map(shapeOf);
    if (typeof value !== 'object' || value === null) return value === null ? 'null' : typeof value;
    return Object.fromEntries(Object.entries(value).map(([k, v]) => [k, shapeOf(v)]));
  };
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const gang = await simulatedCluster.submit({ shape: 'gang', pieces: 8, gpus: 8, crew: 'speech' });
  const rental = (): string | undefined =>
    [...simulatedCluster.store.keys.keys()].find((key) => key.startsWith('rent/'));
  await simulatedCluster.until(() => rental() !== undefined, 20, 'rental');
  const old = (prefix: string): unknown =>
    Object.entries(sample.keys).find(([key]) => key.startsWith(prefix))?.[1].value;
  for (const [mine, theirs] of [
    [simulatedCluster.store.get('leader'), old('leader')],
    [simulatedCluster.store.get('types'), old('types')],
    [simulatedCluster.store.get(rental()!), old('rent/')],
    [simulatedCluster.store.get(`jobs/${gang}`), old(`jobs/${sample.jobs.waiting}`)],
    [simulatedCluster.store.get(`runs/${gang}/0`), old(`runs/${sample.jobs.waiting}/`)],
  ]) {
    assert.ok(mine && theirs);
    assert.equal(JSON.stringify(shapeOf(mine)), JSON.stringify(shapeOf(theirs)));
  }
  await simulatedCluster.close();
});

test('frames of production are understood, and ours have the very same bytes', () => {
  for (const { message, hex } of productionFrames()) {
    const expected = inCurrentNames(message);
    assert.deepEqual(new Decoder().push(Buffer.from(hex, 'hex')), [expected]);
    assert.equal(encode(expected).toString('hex'), hex);
  }
});

test('production takes the keys of ranged records for numbers out of any range', () => {
  // It reads what follows the last slash as a number, finds no such record, and leaves the job alone.
  const key = 'runs/req-000001/p0';
  assert.ok(Number.isNaN(Number(key.slice(key.lastIndexOf('/') + 1))));
  assert.deepEqual(parseRunKey(key), { job: 'req-000001', kind: 'ranged', number: 0 });
  assert.deepEqual(parseRunKey('runs/req-000001/12'), {
    job: 'req-000001',
    kind: 'indexed',
    number: 12,
  });
  assert.equal(parseRunKey('runs/req-000001/x1'), null);
});
