import { readFileSync } from 'node:fs';
import type { FakeStore } from './store.js';

/**
 * Samples of what the version in production writes (`production` in deploy/service.toml), made by
 * running it against its own fakes: an array of 150 tasks of which some are done, three replicas, a
 * running gang, a job that is done and one that is cancelled, a gang that holds the gate while
 * machines are on order, and the key of a zone delegate.
 */
interface StoreSample {
  /** Time of day of the sample. */
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

/** Fills a store with the sample, without the leader key: its holder has ended. */
export function fillFromProduction(store: FakeStore): StoreSample {
  const sample = productionStore();
  for (const [key, { value }] of Object.entries(sample.keys)) {
    if (key !== 'leader') store.write(key, value);
  }
  return sample;
}
