import { readFileSync } from 'node:fs';
import type { FakeStore } from './store.js';

/**
 * A sample of the records that the production version writes (`production` in deploy/service.toml),
 * recorded against its own fakes: an array of 150 tasks of which some are done, three replicas, a
 * running gang, a done job and a cancelled one, a gang that holds the gate while its machines are
 * being rented, and the key of a zone delegate.
 */
interface StoreSample {
  /** The wall-clock time of the sample. */
  wall: number;
  keys: Record<string, { value: object; stamp: number }>;
  jobs: Record<'array' | 'service' | 'gang' | 'done' | 'cancelled' | 'waiting', string>;
}

interface FrameSample {
  message: Record<string, unknown>;
  /** The bytes on the wire. */
  hex: string;
}

const readFixture = (name: string): unknown =>
  JSON.parse(
    readFileSync(new URL(`../../../../test/fixtures/${name}`, import.meta.url), 'utf8'),
  ) as unknown;

export const productionStore = (): StoreSample =>
  readFixture('production-store.json') as StoreSample;
export const productionFrames = (): FrameSample[] =>
  readFixture('production-frames.json') as FrameSample[];

/** Fills a store with the sample, except for the leader key, whose holder no longer runs. */
export function fillFromProduction(store: FakeStore): StoreSample {
  const sample = productionStore();
  for (const [key, { value }] of Object.entries(sample.keys)) {
    if (key !== 'leader') store.write(key, value);
  }
  return sample;
}
