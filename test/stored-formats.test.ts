import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parseSpec } from '@leverhatch/rollout/spec';
import { parseManifest as parseRolloutHead, parseStatus } from '@leverhatch/rollout/status';
import {
  parseManifest,
  parseTransfer,
  parseArchivedTotal,
} from '@leverhatch/shares/transfer-record';
import {
  parseJob,
  parseDependencyChunk,
  parseRangedRun,
  parseProvisioning,
  parseRun,
} from '../src/jobs/records.js';
import { Decoder, encode } from '../src/peer/frames.js';
import { inCurrentNames, type FrameSample } from './fakes/released-samples.js';
import { machines } from './fakes/fault-scenario.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/**
 * Reads samples of every kind of stored record and of every frame that 6ff30a8 wrote during the
 * seeded fault search, one of each shape and phase. These tests check that no field of them is lost
 * in parsing; the bytes that this version writes are compared by the behavior trace and by
 * `released-samples.test.ts`.
 */
const readFixture = (name: string): unknown =>
  JSON.parse(
    readFileSync(new URL(`../../../test/fixtures/6ff30a8-${name}.json`, import.meta.url), 'utf8'),
  ) as unknown;

type Samples = Record<string, { key: string; value: object }[]>;

const samples = readFixture('records') as Samples;

/** The parser of each kind of record; its result has the form in which the record is written. */
const READERS: Record<string, (value: unknown) => unknown> = {
  jobs: parseJob,
  'runs/': parseRun,
  'runs/p': parseRangedRun,
  rent: parseProvisioning,
  needs: (value) => ({ ids: parseDependencyChunk(value) }),
  'shares/moves': parseTransfer,
  'shares/settled': parseArchivedTotal,
  'shares/head': parseManifest,
  'rollouts/specs': parseSpec,
  'rollouts/status': parseStatus,
  'rollouts/head': parseRolloutHead,
};

for (const [kind, readRecord] of Object.entries(READERS)) {
  test(`records ${kind} of 6ff30a8 are parsed without loss`, () => {
    assert.ok(samples[kind]!.length > 0);
    for (const { key, value } of samples[kind]!) {
      assert.deepEqual(readRecord(value), value, key);
    }
  });
}

const shapeOf = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.slice(0, 1).map(shapeOf);
  if (typeof value !== 'object' || value === null) return value === null ? 'null' : typeof value;
  return Object.fromEntries(
    Object.entries(value).map(([name, fieldValue]) => [name, shapeOf(fieldValue)]),
  );
};

test('the leader key, member records and machine types have the form of 6ff30a8', async () => {
  const simulatedCluster = new SimulatedCluster(machines('ab'));
  await simulatedCluster.start();
  const written: Record<string, unknown> = {
    leader: simulatedCluster.store.get('leader'),
    members: simulatedCluster.store.get('members/berth-0'),
    types: simulatedCluster.store.get('types'),
  };
  for (const [kind, value] of Object.entries(written)) {
    const shapes = samples[kind]!.map((sample) => JSON.stringify(shapeOf(sample.value)));
    assert.ok(shapes.includes(JSON.stringify(shapeOf(value))), kind);
  }
  await simulatedCluster.close();
});

test('frames of 6ff30a8 are decoded, and encoded to the same bytes', () => {
  for (const { message, hex } of readFixture('frames') as FrameSample[]) {
    const expected = inCurrentNames(message);
    assert.deepEqual(new Decoder().push(Buffer.from(hex, 'hex')), [expected]);
    assert.equal(encode(expected).toString('hex'), hex);
  }
});
