/** The status of a rollout: one record per rollout, written only by the leader. */
import { z } from 'zod/mini';
import { WRITE_ID } from './keys.js';

/**
 * The phases of a rollout. Non-final:
 * - `preparing`: waits until the new job is submitted and all old replicas are proven.
 * - `surging`: new replicas are started.
 * - `judging`: both versions are compared under load.
 * - `withdrawing`: old replicas are stopped.
 * - `paused`: stopped by an operator until it is resumed or rolled back.
 * - `rolling-back`: old replicas are started, then new ones are stopped.
 *
 * Final:
 * - `done`: all replicas run the new version.
 * - `rolled-back`: all replicas run the old version.
 * - `failed`: ended in neither of these states.
 * - `refused`: was never started.
 */
export const ROLLOUT_PHASES = [
  'preparing',
  'surging',
  'judging',
  'withdrawing',
  'paused',
  'rolling-back',
  'done',
  'rolled-back',
  'failed',
  'refused',
] as const;

/** A phase of a rollout. */
export type RolloutPhase = (typeof ROLLOUT_PHASES)[number];

const FINAL_PHASES: ReadonlySet<RolloutPhase> = new Set([
  'done',
  'rolled-back',
  'failed',
  'refused',
]);

/** Whether a phase has no outgoing transitions. */
export const isFinal = (phase: RolloutPhase): boolean => FINAL_PHASES.has(phase);

const count = z.int().check(z.nonnegative());
/** Null means no limit. */
const ceiling = z.nullable(count);

const evidence = z.object({
  verdict: z.enum(['better-or-same', 'worse', 'undecided']),
  oldRequests: count,
  newRequests: count,
  /** Null if one version has no samples. */
  latencyRatio: z.nullable(z.number()),
  errorIncrease: z.nullable(z.number()),
});

/** A verdict with the measurements that it is based on. */
export type Evidence = z.infer<typeof evidence>;

const statusRecord = z.object({
  /** Id of the write; identifies the leader's own write after an ambiguous result. */
  [WRITE_ID]: z.string(),
  id: z.string(),
  from: z.string(),
  to: z.string(),
  phase: z.enum(ROLLOUT_PHASES),
  /** The phase to return to when a paused rollout is resumed. */
  resumes: z.nullable(z.enum(ROLLOUT_PHASES)),
  /** Replica count of each of the two jobs; this many proven replicas are maintained. */
  replicas: count,
  /** Index of the current step, from 0. */
  step: count,
  /** Maximum number of placed replicas of each job. */
  ceilings: z.object({ from: ceiling, to: ceiling }),
  /** Why it is in this phase, if that deviates from the plan. */
  reason: z.nullable(z.string()),
  /** The last verdict and its measurements. */
  evidence: z.nullable(evidence),
  /** Wall-clock time of the last transition, in milliseconds. */
  changedAt: z.number().check(z.nonnegative()),
});

/** The status of a rollout. */
export type StatusRecord = z.infer<typeof statusRecord>;

/**
 * The ceilings of a non-final phase. Such a phase limits both jobs; null, meaning no limit, occurs only in
 * final phases.
 */
export const boundedCeilings = ({
  ceilings: { from, to },
}: Pick<StatusRecord, 'ceilings'>): { from: number; to: number } => ({
  from: from ?? 0,
  to: to ?? 0,
});

/** Parses a status record; null if it is invalid. */
export function parseStatus(value: unknown): StatusRecord | null {
  const result = z.safeParse(statusRecord, value);
  return result.success ? result.data : null;
}

const manifestRecord = z.object({ [WRITE_ID]: z.string(), revision: count });

/** Rewritten with every change of a ceiling; transactions that start tasks are conditioned on its version. */
export type ManifestRecord = z.infer<typeof manifestRecord>;

/** Parses the manifest record; null if it is invalid. */
export function parseManifest(value: unknown): ManifestRecord | null {
  const result = z.safeParse(manifestRecord, value);
  return result.success ? result.data : null;
}
