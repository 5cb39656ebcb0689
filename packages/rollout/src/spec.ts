/** What operators request: one record for each rollout, written by whichever controller they ask. */
import { z } from 'zod/mini';
import { WRITE_ID } from './keys.js';

/** Most steps of a rollout. */
export const MAX_STEPS = 20;

const count = z.int().check(z.nonnegative());
const wallTime = z.number().check(z.nonnegative());

const specRecord = z.object({
  /** Id of the write. */
  [WRITE_ID]: z.string(),
  id: z.string(),
  /** The job whose replicas go, and the one whose replicas come. */
  from: z.string(),
  to: z.string(),
  /** Shares of the replicas that are of the new version after each step; the last is 1. */
  steps: z.array(z.number()).check(z.minLength(1), z.maxLength(MAX_STEPS)),
  /** How many replicas may be placed beyond the number of each job. */
  maxSurge: count,
  /** For how long a new replica may be probed in vain, in seconds. */
  readySeconds: z.number(),
  /** Length of the window in which both versions are compared, in seconds. */
  judgeSeconds: z.number(),
  /** Requests of each version that a verdict rests on at least. */
  minSamples: count,
  /** Which percentile of latency is compared, 50 to 100. */
  percentile: z.number(),
  /** Worse: the new version's percentile is above so many times the old one's. */
  maxLatencyRatio: z.number(),
  /** Worse: the new version's error rate is above the old one's by more than this. */
  maxErrorIncrease: z.number(),
  paused: z.boolean(),
  /** A rollback was commanded; it is never revoked. */
  rollback: z.boolean(),
  /** Time of day in milliseconds. */
  requestedAt: wallTime,
});

/** A rollout as operators requested it. */
export type SpecRecord = z.infer<typeof specRecord>;

/** Null if the record cannot be read. */
export function parseSpec(value: unknown): SpecRecord | null {
  const result = z.safeParse(specRecord, value);
  return result.success ? result.data : null;
}

/** How many replicas are of the new version after a step; `step` counts from 0. */
export function stepTarget({ steps }: SpecRecord, step: number, replicas: number): number {
  // Whatever lies beyond the last step is a share of 1.
  const share = steps[Math.min(step, steps.length - 1)] ?? 1;
  return Math.min(replicas, Math.max(1, Math.ceil(share * replicas - 1e-9)));
}
