import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parseSpec } from '@leverhatch/rollout/spec';
import { parseHead as parseRolloutHead, parseStatus } from '@leverhatch/rollout/status';
import { parseHead, parseMove, parseSettled } from '@leverhatch/shares/move';
import {
  parseJob,
  parseNeedsPiece,
  parseRangedRun,
  parseRental,
  parseRun,
} from '../src/jobs/records.js';
import { Decoder, encode, type Message } from '../src/peer/frames.js';
import { machines } from './fakes/meeting.js';
import { World } from './fakes/world.js';

/**
 * Samples of every kind of stored record and of every frame, taken from 6ff30a8 by playing the seeded
 * search: one of each shape and phase. The bytes that this tree writes are compared by the behavior
 * trace and by `released-samples.test.ts`; here nothing may be lost that 6ff30a8 wrote.
 */
const read = (name: string): unknown =>
  JSON.parse(
    readFileSync(new URL(`../../../test/fixtures/6ff30a8-${name}.json`, import.meta.url), 'utf8'),
  ) as unknown;

type Samples = Record<string, { key: string; value: object }[]>;

const samples = read('records') as Samples;

/** What reads each kind of record, into the form in which it is written again. */
const READERS: Record<string, (value: unknown) => unknown> = {
  jobs: parseJob,
  'runs/': parseRun,
  'runs/p': parseRangedRun,
  rent: parseRental,
  needs: (value) => ({ ids: parseNeedsPiece(value) }),
  'shares/moves': parseMove,
  'shares/settled': parseSettled,
  'shares/head': parseHead,
  'rollouts/specs': parseSpec,
  'rollouts/status': parseStatus,
  'rollouts/head': parseRolloutHead,
};

for (const [kind, readRecord] of Object.entries(READERS)) {
  test(`records ${kind} of 6ff30a8 are read without a loss`, () => {
    assert.ok(samples[kind]!.length > 0);
    for (const { key, value } of samples[kind]!) {
      assert.deepEqual(readRecord(value), value, key);
    }
  });
}

const shapeOf = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.slice(0, 1).map(shapeOf);
  if (typeof value !== 'object' || value === null) return value === null ? 'null' : typeof value;
  return Object.fromEntries(Object.entries(value).map(([name, of]) => [name, shapeOf(of)]));
};

test('the leader key, member records and machine types have the form of 6ff30a8', async () => {
  const w = new World(machines('ab'));
  await w.start();
  const written: Record<string, unknown> = {
    leader: w.store.get('leader'),
    members: w.store.get('members/berth-0'),
    types: w.store.get('types'),
  };
  for (const [kind, value] of Object.entries(written)) {
    const shapes = samples[kind]!.map((sample) => JSON.stringify(shapeOf(sample.value)));
    assert.ok(shapes.includes(JSON.stringify(shapeOf(value))), kind);
  }
  await w.close();
});

test('frames of 6ff30a8 are understood, and ours have the very same bytes', () => {
  for (const { message, hex } of read('frames') as { message: Message; hex: string }[]) {
    assert.deepEqual(new Decoder().push(Buffer.from(hex, 'hex')), [message]);
    assert.equal(encode(message).toString('hex'), hex);
  }
});
