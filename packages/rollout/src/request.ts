/** Parses and validates the request that starts a rollout. */
import { InvalidRequestError, parseBody, requestId } from '@leverhatch/operators/request';
import { z } from 'zod/mini';
import { WRITE_ID } from './keys.js';
import { MAX_STEPS, type SpecRecord } from './spec.js';

/** Minimum number of samples above the compared percentile. */
const MIN_SAMPLES_ABOVE = 5;

const JOB_ID_PATTERN = /^\S{1,100}$/;
const jobId = z.string().check(z.regex(JOB_ID_PATTERN, 'must be the id of a job'));
const positive = z.number().check(z.positive('must be positive'));

const startRequest = z.strictObject({
  id: requestId,
  from: jobId,
  to: jobId,
  steps: z._default(
    z
      .array(z.number())
      .check(z.minLength(1, 'must not be empty'), z.maxLength(MAX_STEPS, 'are too many')),
    [0.1, 0.5, 1],
  ),
  maxSurge: z._default(z.int().check(z.positive('must be positive'), z.maximum(100_000)), 1),
  readySeconds: z._default(positive, 120),
  judgeSeconds: z._default(positive, 60),
  minSamples: z._default(z.int().check(z.positive('must be positive')), 200),
  percentile: z._default(z.number().check(z.gte(50), z.lt(100)), 95),
  maxLatencyRatio: z._default(z.number().check(z.gte(1, 'must be at least 1')), 1.3),
  maxErrorIncrease: z._default(z.number().check(z.nonnegative(), z.lt(1)), 0.01),
});

/** A valid request with defaults applied. */
export type RolloutRequest = z.infer<typeof startRequest>;

/**
 * Validates a request without looking up its jobs.
 *
 * @throws InvalidRequestError
 */
export function parseRequest(value: unknown): RolloutRequest {
  const request = parseBody(startRequest, value);
  const { from, to, steps, percentile, minSamples } = request;
  if (from === to) throw new InvalidRequestError(400, 'to', 'must be another job than from');
  const isAscending = steps.every((share, i) => share > (steps[i - 1] ?? 0));
  if (!isAscending || steps.at(-1) !== 1)
    throw new InvalidRequestError(400, 'steps', 'must rise to 1');
  const samplesAbove = minSamples * (1 - percentile / 100);
  if (samplesAbove < MIN_SAMPLES_ABOVE - 1e-9) {
    const minimum = Math.ceil(MIN_SAMPLES_ABOVE / (1 - percentile / 100) - 1e-9);
    throw new InvalidRequestError(
      400,
      'minSamples',
      `must be ${minimum} at least for that percentile`,
    );
  }
  return request;
}

/** The spec record of a new request; `wall` is the wall-clock time in milliseconds. */
export const newSpec = (request: RolloutRequest, writeId: string, wall: number): SpecRecord => ({
  ...request,
  [WRITE_ID]: writeId,
  paused: false,
  rollback: false,
  requestedAt: Math.round(wall),
});

/** Whether a request is identical to an accepted one. */
export function isSameRequest(request: RolloutRequest, spec: SpecRecord): boolean {
  const { from, to, steps, ...numbers } = request;
  if (from !== spec.from || to !== spec.to || steps.join() !== spec.steps.join()) return false;
  return (Object.keys(numbers) as (keyof typeof numbers)[]).every(
    (field) => numbers[field] === spec[field],
  );
}
