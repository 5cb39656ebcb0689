import { readFileSync } from 'node:fs';
import type { FakeStore } from './store.js';

/**
 * Samples of what 104c759 writes, made by running it against its own fakes with smaller limits
 * announced: once with a second controller that has written no member record (`before`: run records
 * are indexed), once with both (`after`: they are ranged). In each: an array of 150 tasks of which 20
 * are done, three replicas, a running gang, a job that is done and one that is cancelled, a gang that
 * waits for some of these, a job whose list of dependencies has pieces of its own, a job cancelled
 * with the one it named, a gang that waits for machines on order, and the key of a zone delegate.
 */
export interface ReleasedSample {
  /** Time of day of the sample. */
  wall: number;
  keys: Record<string, { value: object; stamp: number }>;
  jobs: Record<
    | 'array'
    | 'service'
    | 'gang'
    | 'done'
    | 'cancelled'
    | 'after'
    | 'first'
    | 'fanIn'
    | 'cancelledAfter'
    | 'waiting',
    string
  >;
  /** Jobs that were done beforehand, all needed by `fanIn`, whose records the sample leaves out. */
  beforehand: { first: string; count: number };
}

export interface FrameSample {
  message: Record<string, unknown>;
  /** The bytes on the wire. */
  hex: string;
}

const read = (name: string): unknown =>
  JSON.parse(
    readFileSync(new URL(`../../../../test/fixtures/${name}`, import.meta.url), 'utf8'),
  ) as unknown;

export const releasedStores = (): Record<'before' | 'after', ReleasedSample> =>
  read('104c759-store.json') as Record<'before' | 'after', ReleasedSample>;

export const releasedFrames = (): FrameSample[] => read('104c759-frames.json') as FrameSample[];

/** Fills a store with a sample, without the leader key: its holder has ended. */
export function fillFromReleased(store: FakeStore, sample: ReleasedSample): void {
  const { first, count } = sample.beforehand;
  const number = Number(first.slice('req-'.length));
  for (let i = 0; i < count; i++) {
    store.write(`jobs/req-${number + i}`, { w: 'w', phase: 'done', tasks: 1 });
  }
  for (const [key, { value }] of Object.entries(sample.keys)) {
    if (key !== 'leader') store.write(key, value);
  }
}
