import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Resources } from '../src/fleet/resources.js';
import { readDependencies } from '../src/jobs/dependencies.js';
import { Job } from '../src/jobs/tracked-job.js';
import {
  parseJob,
  parseDependencyChunk,
  parseProvisioning,
  tasksPerRecord,
} from '../src/jobs/records.js';
import { RunRecordReader } from '../src/jobs/run-reader.js';
import { Decoder, encode } from '../src/peer/frames.js';
import { jobIdFromKey } from '../src/state/keys.js';
import type { Store } from '../src/state/store.js';
import { machines } from './fakes/fault-scenario.js';
import { BUNDLES } from './fakes/released.js';
import {
  fillFromReleased,
  inCurrentNames,
  KINDS_OF_104C759,
  releasedFrames,
  releasedStores,
  type ReleasedSample,
} from './fakes/released-samples.js';
import { ANNOUNCED_LIMITS, isRangedRunKey, runKeys } from './fakes/upgrade.js';
import { setVersions, LONG_MS, startLongWork } from './fakes/versions.js';
import { settings, SimulatedCluster } from './fakes/simulated-cluster.js';

const PER_RECORD = tasksPerRecord(settings().state.valueBytes);
const PER_RANGE = 115;

/** The entries with a key prefix, in the form in which the store returns them. */
const itemsWithPrefix = (keys: ReleasedSample['keys'], prefix: string) =>
  Object.entries(keys)
    .filter(([key]) => key.startsWith(prefix))
    .map(([key, { value, stamp }]) => ({ key, value, version: stamp }));

/** The open jobs of a sample that have run records, restored as by a new leader. */
function restored(sample: ReleasedSample): Job[] {
  const jobs = new Map<string, Job>();
  for (const { key, value, version } of itemsWithPrefix(sample.keys, 'jobs/')) {
    const record = parseJob(value);
    assert.ok(record, key);
    if (!record.spec) continue;
    const id = jobIdFromKey(key);
    jobs.set(id, new Job(id, record.spec, record.at!, version, PER_RECORD));
  }
  const reader = new RunRecordReader((id) => jobs.get(id) ?? null);
  reader.read(itemsWithPrefix(sample.keys, 'runs/'));
  assert.deepEqual(reader.unreadable, []);
  for (const restoration of reader.restorations.values())
    restoration.finish(PER_RANGE, 5000, sample.wall);
  return [...reader.restorations.keys()];
}

for (const [when, sample] of Object.entries(releasedStores())) {
  test(`every record that 104c759 leaves is parsed (${when} all controllers had member records)`, async () => {
    const { keys, jobs, beforehand } = sample;
    const byId = new Map(restored(sample).map((job) => [job.id, job]));
    const array = byId.get(jobs.array)!;
    assert.deepEqual([array.doneCount, array.placements.size], [20, 130]);
    assert.equal(byId.get(jobs.service)!.placements.size, 3);
    assert.equal(byId.get(jobs.gang)!.gang!.phase, 'started');
    assert.equal(byId.get(jobs.waiting)!.gang!.holdsGate, true);
    assert.ok(itemsWithPrefix(keys, 'rent/').every(({ value }) => parseProvisioning(value)));
    assert.ok(itemsWithPrefix(keys, 'needs/').every(({ value }) => parseDependencyChunk(value)));
    const store = {
      range: async (prefix: string) => ({ items: itemsWithPrefix(keys, prefix), revision: 0 }),
    };
    const needsOf = (job: string): Promise<string[] | null> => {
      const { needs } = parseJob(keys[`jobs/${job}`]!.value)!;
      return readDependencies(store as unknown as Store, job, needs);
    };
    assert.deepEqual(await needsOf(jobs.after), [jobs.done, jobs.array, jobs.gang]);
    const fanInDependencies = (await needsOf(jobs.fanIn))!;
    assert.equal(fanInDependencies.length, beforehand.count + 1);
    assert.equal(fanInDependencies.at(-1), jobs.first);
  });

  test(`run records are written byte for byte as by 104c759 (${when})`, () => {
    for (const job of restored(sample)) {
      const { sections } = job.layout;
      const covered = sections.reduce((sum, { from, to }) => sum + to - from, 0);
      assert.equal(covered, job.spec.tasks, 'there is a section for every task');
      for (const section of sections) {
        const stored = sample.keys[section.key];
        assert.ok(stored, section.key);
        const { w: writeId } = stored.value as { w: string };
        const written = job.toRecord(
          section,
          writeId,
          (monotonicMs) => sample.wall + monotonicMs - 5000,
        );
        assert.equal(JSON.stringify(written), JSON.stringify(stored.value));
      }
    }
  });

  test(`tasks that 104c759 left running are taken over and not started again (${when})`, async () => {
    const simulatedCluster = new SimulatedCluster(machines('abababab'), 2, 0, {
      next: ANNOUNCED_LIMITS,
    });
    fillFromReleased(simulatedCluster.store, sample);
    const { keys, jobs } = sample;
    for (const [job, placements] of placementsOf(sample)) {
      const { spec } = keys[`jobs/${job}`]!.value as { spec: StoredSpec };
      simulatedCluster.facts.set(job, factsOf(spec));
      for (const [task, attempt, machine] of placements) {
        const piece = { job, task, attempt, phase: 'running', cause: null, since: 0 } as const;
        simulatedCluster.initialTasks.set(machine, [
          ...(simulatedCluster.initialTasks.get(machine) ?? []),
          piece,
        ]);
      }
    }
    // Queried without the rule checker, which has not seen the submissions of these jobs.
    const phaseAt = async (job: string, node: number): Promise<unknown> => {
      const answer = await simulatedCluster.ask(
        simulatedCluster.nodes[node]!.controller!.jobApi.query(job),
      );
      return (answer.body as { phase?: unknown }).phase;
    };
    await simulatedCluster.start();
    assert.equal(await phaseAt(jobs.done, 0), 'done');
    for (const job of [jobs.cancelled, jobs.cancelledAfter]) {
      assert.equal(await phaseAt(job, 1), 'withdrawn');
    }
    for (const job of [jobs.after, jobs.fanIn]) assert.equal(await phaseAt(job, 1), 'pending');
    await simulatedCluster.until(
      () => runKeys(simulatedCluster).every(isRangedRunKey),
      60,
      'all records have the new layout',
    );
    simulatedCluster.store.limits = ANNOUNCED_LIMITS;
    await simulatedCluster.advance(20);
    const starts = simulatedCluster.starts.filter((name) => !name.startsWith(jobs.waiting));
    assert.deepEqual(starts, []);
    assert.equal(simulatedCluster.running(jobs.array), 130);
    assert.equal(simulatedCluster.running(jobs.service), 3);
    assert.equal(simulatedCluster.running(jobs.gang), 4);
    await simulatedCluster.close();
  });
}

type StoredSpec = { kind: string; tasks: number; need: Resources };

const factsOf = ({ kind, tasks, need }: StoredSpec) => ({
  shape: kind,
  pieces: tasks,
  runMs: kind === 'service' ? 0 : LONG_MS,
  fetchMs: 1000,
  saveMs: 1000,
  vcpus: need.cpus,
  gpus: need.gpus,
  memoryGb: need.memoryGb,
});

/** Task, attempt and machine of each start that a sample records, by job. */
function placementsOf(sample: ReleasedSample): Map<string, [number, number, string][]> {
  const byJob = new Map<string, [number, number, string][]>();
  for (const job of restored(sample)) {
    byJob.set(
      job.id,
      [...job.placements.values()].map((placement) => [
        placement.task,
        placement.attempt,
        placement.machine,
      ]),
    );
  }
  return byJob;
}

test('frames of 104c759 are decoded, and encoded to the same bytes', () => {
  for (const { message, hex } of releasedFrames()) {
    const expected = inCurrentNames(message, KINDS_OF_104C759);
    assert.deepEqual(new Decoder().push(Buffer.from(hex, 'hex')), [expected]);
    assert.equal(encode(expected).toString('hex'), hex);
  }
});

test('104c759 decodes every frame of this version, 78ff1b1 all but those of frame version 4', () => {
  for (const { message, hex } of releasedFrames()) {
    const bytes = encode(inCurrentNames(message, KINDS_OF_104C759));
    assert.equal(bytes.toString('hex'), hex);
    assert.deepEqual(new BUNDLES['104c759'].Decoder().push(bytes), [message]);
    const old = new BUNDLES['78ff1b1'].Decoder();
    if (bytes.readUInt8(2) === 4) assert.throws(() => old.push(bytes), /unknown version/);
    else assert.equal(old.push(bytes).length, 1);
  }
});

for (const complete of [false, true]) {
  const layout = complete ? 'ranged' : 'indexed';

  test(`104c759 reads all records that this version writes, with ${layout} run records`, async () => {
    const simulatedCluster = new SimulatedCluster(machines('abababab'), 2, 0, {
      next: ANNOUNCED_LIMITS,
    });
    setVersions(simulatedCluster, complete ? ['current', '104c759'] : ['current', '78ff1b1']);
    await simulatedCluster.start();
    const work = await startLongWork(simulatedCluster);
    const first = await simulatedCluster.accept({ pieces: 1, runMs: LONG_MS });
    const cancelled = await simulatedCluster.accept({ pieces: 1, runMs: LONG_MS });
    await simulatedCluster.cancel(cancelled);
    const doneJobs = Array.from({ length: 220 }, (_, i) => `req-${900_000 + i}`);
    for (const ref of doneJobs) simulatedCluster.addDoneJob(ref);
    if (complete) await simulatedCluster.accept({ waitsOn: [...doneJobs, first] });
    await simulatedCluster.accept({
      shape: 'gang',
      pieces: 8,
      gpus: 8,
      crew: 'speech',
      runMs: LONG_MS,
    });
    const hasKey = (prefix: string): boolean =>
      [...simulatedCluster.store.keys.keys()].some((key) => key.startsWith(prefix));
    await simulatedCluster.until(() => hasKey('rent/'), 30, 'a provisioning record');
    if (complete)
      await simulatedCluster.until(
        () => runKeys(simulatedCluster).every(isRangedRunKey),
        60,
        'all records are ranged',
      );

    const { parseJob, parseRental, readRuns, Job: OldJob } = BUNDLES['104c759'];
    const entries = [...simulatedCluster.store.keys].map(([key, { value, stamp }]) => ({
      key,
      value,
      version: stamp,
    }));
    const entriesWithPrefix = (prefix: string) =>
      entries.filter(({ key }) => key.startsWith(prefix));
    const jobs = new Map<string, object>();
    for (const { key, value, version } of entriesWithPrefix('jobs/')) {
      const record = parseJob(value);
      // 104c759 drops unknown fields, so this version must not write any.
      assert.deepEqual(record, value);
      if (!record?.spec) continue;
      const job = new OldJob(jobIdFromKey(key), record.spec, record.at, version, PER_RECORD);
      jobs.set(jobIdFromKey(key), job);
    }
    for (const { value } of entriesWithPrefix('rent/')) assert.deepEqual(parseRental(value), value);
    const { runs, unreadable } = readRuns(entriesWithPrefix('runs/'), (id) => jobs.get(id) ?? null);
    assert.deepEqual(unreadable, []);
    for (const [job, stored] of runs) job.restore(stored, PER_RANGE, 0, 0);
    const placedCount = (id: string): number =>
      (jobs.get(id) as { live: Map<number, unknown> }).live.size;
    assert.deepEqual(
      [placedCount(work.array), placedCount(work.service), placedCount(work.gang)],
      [90, 3, 4],
    );
    await simulatedCluster.close();
  });
}
