/** How far a rollout is: one record for each, written by the leader alone. */
import { z } from 'zod/mini';
import { WRITE_ID } from './keys.js';

/**
 * `preparing`: until all old replicas are proven. `surging`: new replicas come. `judging`: both versions
 * are compared under load. `withdrawing`: old replicas go. `rolling-back`: old replicas come, then new ones
 * go. The others are final, but for `paused`: `done`, `rolled-back`; `failed` ended at neither end;
 * `refused` never began.
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

/** One phase of a rollout. */
export type RolloutPhase = (typeof ROLLOUT_PHASES)[number];

const FINAL: ReadonlySet<RolloutPhase> = new Set(['done', 'rolled-back', 'failed', 'refused']);

/** Whether no transition leads out of a phase. */
export const isFinal = (phase: RolloutPhase): boolean => FINAL.has(phase);

const count = z.int().check(z.nonnegative());
/** Null: no limit. */
const ceiling = z.nullable(count);

const evidence = z.object({
  verdict: z.enum(['better-or-same', 'worse', 'undecided']),
  oldRequests: count,
  newRequests: count,
  /** Null: one side has no samples. */
  latencyRatio: z.nullable(z.number()),
  errorIncrease: z.nullable(z.number()),
});

/** What a verdict rests on. */
export type Evidence = z.infer<typeof evidence>;

const statusRecord = z.object({
  /** Id of the write, by which a leader recognizes its own after an ambiguous result. */
  [WRITE_ID]: z.string(),
  id: z.string(),
  from: z.string(),
  to: z.string(),
  phase: z.enum(ROLLOUT_PHASES),
  /** Of a paused one: the phase it goes on with. */
  resumes: z.nullable(z.enum(ROLLOUT_PHASES)),
  /** How many replicas each of the two jobs has; the level that is held. */
  replicas: count,
  /** The step under way, from 0. */
  step: count,
  /** How many replicas of each job may be placed. */
  ceilings: z.object({ from: ceiling, to: ceiling }),
  /** Why it is in this phase, where that is not what was planned. */
  reason: z.nullable(z.string()),
  /** What the last verdict rested on. */
  evidence: z.nullable(evidence),
  /** Time of day of the last transition, in milliseconds. */
  changedAt: z.number().check(z.nonnegative()),
});

/** How far a rollout is. */
export type StatusRecord = z.infer<typeof statusRecord>;

/**
 * Ceilings of a phase that limits both jobs, as every phase does that is not final; only there null means
 * no limit.
 */
export const boundedCeilings = ({
  ceilings: { from, to },
}: Pick<StatusRecord, 'ceilings'>): { from: number; to: number } => ({
  from: from ?? 0,
  to: to ?? 0,
});

/** Null if the record cannot be read. */
export function parseStatus(value: unknown): StatusRecord | null {
  const result = z.safeParse(statusRecord, value);
  return result.success ? result.data : null;
}

const manifestRecord = z.object({ [WRITE_ID]: z.string(), revision: count });

/** Changes with every change of a ceiling; transactions that start work are conditioned on it. */
export type ManifestRecord = z.infer<typeof manifestRecord>;

/** Null if the record cannot be read. */
export function parseManifest(value: unknown): ManifestRecord | null {
  const result = z.safeParse(manifestRecord, value);
  return result.success ? result.data : null;
}
