import { readFileSync } from 'node:fs';
import type { PeerMessage } from '../../src/peer/frames.js';
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

/** Kinds of messages by the names that earlier versions give them; the wire carries their numbers. */
const KINDS_OF_6FF30A8: Record<string, PeerMessage['kind']> = {
  beat: 'leaderHeartbeat',
  heartbeat: 'leaderHeartbeat',
  cancelled: 'jobCancelled',
  askPledge: 'leaseExtensionRequest',
  pledge: 'leaseExtensionVote',
  askFree: 'promiseCheckRequest',
  free: 'promiseCheckResponse',
  store: 'storeStatus',
  askCancellations: 'cancellationsRequest',
  cancellations: 'cancellationsResponse',
  askVouch: 'reinstatementRequest',
  vouch: 'reinstatementVote',
};

/** 104c759 has no votes on reinstatement, and uses these names for queries of cancellations. */
export const KINDS_OF_104C759: Record<string, PeerMessage['kind']> = {
  ...KINDS_OF_6FF30A8,
  askVouch: 'cancellationsRequest',
  vouch: 'cancellationsResponse',
};

const FIELDS: Record<string, string> = {
  ask: 'requestId',
  token: 'fencingToken',
  forMs: 'durationMs',
  counts: 'progress',
  serves: 'available',
};

/** A message of an earlier version under the names that this tree gives its kind and fields. */
export function inCurrentNames(
  message: Record<string, unknown>,
  kinds = KINDS_OF_6FF30A8,
): PeerMessage {
  const kind = message.kind as string;
  const renamed = Object.entries(message).map(([name, value]) => [FIELDS[name] ?? name, value]);
  return { ...Object.fromEntries(renamed), kind: kinds[kind] ?? kind } as PeerMessage;
}

const readFixture = (name: string): unknown =>
  JSON.parse(
    readFileSync(new URL(`../../../../test/fixtures/${name}`, import.meta.url), 'utf8'),
  ) as unknown;

export const releasedStores = (): Record<'before' | 'after', ReleasedSample> =>
  readFixture('104c759-store.json') as Record<'before' | 'after', ReleasedSample>;

export const releasedFrames = (): FrameSample[] =>
  readFixture('104c759-frames.json') as FrameSample[];

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
