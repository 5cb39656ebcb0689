import { readFileSync } from 'node:fs';
import type { PeerMessage } from '../../src/peer/frames.js';
import type { FakeStore } from './store.js';

/**
 * Samples of the records that 104c759 writes, recorded against its own fakes with smaller limits
 * announced: `before`, where the second controller has written no member record and run records are
 * indexed, and `after`, where both have and run records are ranged. Each has an array of 150 tasks
 * of which 20 are done, three replicas, a running gang, a done job and a cancelled one, a gang that
 * depends on some of these, a job whose dependencies are stored in records of their own, a job that
 * was cancelled with its dependency, a gang whose machines are being rented, and the key of a zone
 * delegate.
 */
export interface ReleasedSample {
  /** The wall-clock time of the sample. */
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
  /** Jobs done before the sample, dependencies of `fanIn`, whose records the sample leaves out. */
  beforehand: { first: string; count: number };
}

export interface FrameSample {
  message: Record<string, unknown>;
  /** The bytes on the wire. */
  hex: string;
}

/** Message kinds by their names in earlier versions; the wire carries only their numbers. */
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

/** 104c759 has no reinstatement votes, and uses their names for cancellation queries. */
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

/** Renames the kind and fields of an earlier version's message to the current names. */
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

/** Fills a store with a sample, except for the leader key, whose holder no longer runs. */
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
