/** The spec of a rollout as requested by operators; written by the controller that receives the request. */
import { z } from 'zod/mini';
import { WRITE_ID } from './keys.js';

/** Maximum number of steps of a rollout. */
export const MAX_STEPS = 20;

const count = z.int().check(z.nonnegative());
const wallTime = z.number().check(z.nonnegative());

const specRecord = z.object({
  /** Id of the write. */
  [WRITE_ID]: z.string(),
  id: z.string(),
  /** The job whose replicas are replaced, and the job that replaces them. */
  from: z.string(),
  to: z.string(),
  /** Share of replicas that run the new version after each step, ascending; the last is 1. */
  steps: z.array(z.number()).check(z.minLength(1), z.maxLength(MAX_STEPS)),
  /** Maximum number of replicas placed in addition to the replica count of one job. */
  maxSurge: count,
  /** Seconds for which a new replica may be probed without becoming proven. */
  readySeconds: z.number(),
  /** Length of the window in which both versions are compared under load, in seconds. */
  judgeSeconds: z.number(),
  /** Minimum number of requests per version for a verdict. */
  minSamples: count,
  /** The latency percentile that is compared, at least 50 and below 100. */
  percentile: z.number(),
  /** The new version is worse if its percentile exceeds that of the old one by more than this factor. */
  maxLatencyRatio: z.number(),
  /** The new version is worse if its error rate exceeds that of the old one by more than this. */
  maxErrorIncrease: z.number(),
  paused: z.boolean(),
  /** Whether a rollback was requested; it cannot be revoked. */
  rollback: z.boolean(),
  /** Wall-clock time in milliseconds. */
  requestedAt: wallTime,
});

/** The spec of a rollout. */
export type SpecRecord = z.infer<typeof specRecord>;

/** Parses a spec record; null if it is invalid. */
export function parseSpec(value: unknown): SpecRecord | null {
  const result = z.safeParse(specRecord, value);
  return result.success ? result.data : null;
}

/** Number of replicas that run the new version after a step; `step` counts from 0. */
export function stepTarget({ steps }: SpecRecord, step: number, replicas: number): number {
  // Steps beyond the last one have a share of 1.
  const share = steps[Math.min(step, steps.length - 1)] ?? 1;
  return Math.min(replicas, Math.max(1, Math.ceil(share * replicas - 1e-9)));
}
