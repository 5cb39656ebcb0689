/** The answer of a replica to a probe: its identity, and its load since the previous answer. */
import { z } from 'zod/mini';
import type { Replica } from './ports.js';

/** Maximum length of an encoded histogram in characters. */
const MAX_HISTOGRAM_LENGTH = 16 * 1024;

const count = z.int().check(z.nonnegative());

const probeAnswer = z.object({
  job: z.string(),
  task: count,
  attempt: count,
  session: count,
  /** The image that it serves. */
  version: z.string(),
  /** Requests since its previous answer, and how many of them failed. */
  requests: count,
  errors: count,
  /** Latencies in microseconds since its previous answer: a compressed HDR histogram in base64. */
  latencies: z.nullable(z.string().check(z.maxLength(MAX_HISTOGRAM_LENGTH))),
});

/** A probe answer of valid format. */
export type ProbeAnswer = z.infer<typeof probeAnswer>;

/** Validates a probe answer; null if it is malformed or does not come from exactly this replica. */
export function parseProbeAnswer(replica: Replica, value: unknown): ProbeAnswer | null {
  const result = z.safeParse(probeAnswer, value);
  if (!result.success) return null;
  const answer = result.data;
  const isFromReplica =
    answer.job === replica.job &&
    answer.task === replica.task &&
    answer.attempt === replica.attempt &&
    answer.session === replica.agentEpoch &&
    answer.version === replica.image;
  return isFromReplica && answer.errors <= answer.requests ? answer : null;
}
