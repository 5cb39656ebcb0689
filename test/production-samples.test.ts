import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Job } from '../src/jobs/tracked-job.js';
import { parseJob, parseProvisioning, parseRun, tasksPerRecord } from '../src/jobs/records.js';
import { RunRecordReader } from '../src/jobs/run-reader.js';
import { Decoder, encode } from '../src/peer/frames.js';
import { jobIdFromKey, parseRunKey } from '../src/state/keys.js';
import { inCurrentNames } from './fakes/released-samples.js';
import { productionFrames, productionStore } from './fakes/production.js';
import { settings, SimulatedCluster } from './fakes/simulated-cluster.js';

const PER_RECORD = tasksPerRecord(settings().state.valueBytes);

/** The jobs that the version in production left open, restored as by a new leader. */
function restored(): { jobs: Map<string, Job>; wall: number } {
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
  const reader = new RunRecordReader((id) => jobs.get(id) ?? null);
  reader.read(entries);
  assert.deepEqual(reader.unreadable, []);
  for (const restoration of reader.restorations.values()) restoration.finish(128, 5000, wall);
  return { jobs, wall };
}

test('every record of the version in production is parsed', () => {
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

test('run records written before the upgrade is complete are identical to those of production', () => {
  const { jobs, wall } = restored();
  const written = new Set<Job>();
  for (const [key, { value }] of Object.entries(productionStore().keys)) {
    const parsedKey = parseRunKey(key);
    if (parsedKey?.kind !== 'indexed') continue;
    const job = jobs.get(parsedKey.job)!;
    const section = job.layout.indexedSection(parsedKey.number);
    assert.equal(section.key, key);
    const { w: writeId } = parseRun(value)!;
    const record = job.toRecord(section, writeId, (monotonicMs) => wall + monotonicMs - 5000);
    assert.equal(JSON.stringify(record), JSON.stringify(value));
    written.add(job);
  }
  assert.ok(written.size >= 4);
});

test('the job record, the leader key, provisioning records and machine types have the shape of production', async () => {
  const sample = productionStore();
  const shapeOf = (value: unknown): unknown => {
    if (Array.isArray(value)) return value.slice(0, 1).map(shapeOf);
    if (typeof value !== 'object' || value === null) return value === null ? 'null' : typeof value;
    return Object.fromEntries(Object.entries(value).map(([key, field]) => [key, shapeOf(field)]));
  };
  const simulatedCluster = new SimulatedCluster([{ yard: 'a' }]);
  await simulatedCluster.start();
  const gang = await simulatedCluster.submit({ shape: 'gang', pieces: 8, gpus: 8, crew: 'speech' });
  const provisioningKey = (): string | undefined =>
    [...simulatedCluster.store.keys.keys()].find((key) => key.startsWith('rent/'));
  await simulatedCluster.until(() => provisioningKey() !== undefined, 20, 'provisioning record');
  const productionRecord = (prefix: string): unknown =>
    Object.entries(sample.keys).find(([key]) => key.startsWith(prefix))?.[1].value;
  for (const [written, expected] of [
    [simulatedCluster.store.get('leader'), productionRecord('leader')],
    [simulatedCluster.store.get('types'), productionRecord('types')],
    [simulatedCluster.store.get(provisioningKey()!), productionRecord('rent/')],
    [simulatedCluster.store.get(`jobs/${gang}`), productionRecord(`jobs/${sample.jobs.waiting}`)],
    [
      simulatedCluster.store.get(`runs/${gang}/0`),
      productionRecord(`runs/${sample.jobs.waiting}/`),
    ],
  ]) {
    assert.ok(written && expected);
    assert.equal(JSON.stringify(shapeOf(written)), JSON.stringify(shapeOf(expected)));
  }
  await simulatedCluster.close();
});

test('frames of production are decoded, and encoded to the same bytes', () => {
  for (const { message, hex } of productionFrames()) {
    const expected = inCurrentNames(message);
    assert.deepEqual(new Decoder().push(Buffer.from(hex, 'hex')), [expected]);
    assert.equal(encode(expected).toString('hex'), hex);
  }
});

test('production ignores ranged records, whose keys it cannot parse', () => {
  // It parses what follows the last slash as a number, finds no such record, and ignores the job.
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
