/** What a replica answers to a probe: that it serves, and how since its last answer. */
import { z } from 'zod/mini';
import type { Replica } from './ports.js';

/** Bound of a compressed histogram, as text. */
const MAX_HISTOGRAM_LENGTH = 16 * 1024;

const count = z.int().check(z.nonnegative());

const probeAnswer = z.object({
  job: z.string(),
  task: count,
  attempt: count,
  session: count,
  /** The image that it serves. */
  version: z.string(),
  /** Requests since its last answer, and how many of them failed. */
  requests: count,
  errors: count,
  /** Latencies in microseconds since its last answer: an HDR histogram, compressed, as base64. */
  latencies: z.nullable(z.string().check(z.maxLength(MAX_HISTOGRAM_LENGTH))),
});

/** A valid answer. */
export type ProbeAnswer = z.infer<typeof probeAnswer>;

/** Validates an answer; null for anything but an answer of this very replica. */
export function answerOf(replica: Replica, value: unknown): ProbeAnswer | null {
  const result = z.safeParse(probeAnswer, value);
  if (!result.success) return null;
  const answer = result.data;
  const isSame =
    answer.job === replica.job &&
    answer.task === replica.task &&
    answer.attempt === replica.attempt &&
    answer.session === replica.agentEpoch &&
    answer.version === replica.image;
  return isSame && answer.errors <= answer.requests ? answer : null;
}
