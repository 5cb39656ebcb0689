/**
 * The state machine of a rollout as a pure function: computes the next status from the spec, the current
 * status and an observation. If ceilings change, the leader writes the manifest in the same transaction, so
 * that the store rejects starts planned under the old ceilings. Any later leader can continue from the records.
 */
import { stepTarget, type SpecRecord } from './spec.js';
import { WRITE_ID } from './keys.js';
import { boundedCeilings, type Evidence, type RolloutPhase, type StatusRecord } from './status.js';
import { ineligibilityReason, type ObservedJobs } from './eligibility.js';

/** Replica counts of one of the two jobs. */
export interface ObservedVersion {
  /** Replicas that are or may be on machines. */
  placed: number;
  proven: number;
  /** Replicas that cannot have served any request. */
  unserved: number;
}

/** The observed state that a transition depends on. */
export interface Observation {
  /** Wall-clock time in milliseconds. */
  wall: number;
  jobs: ObservedJobs;
  /** Whether the new job has finished and been dropped by the leader. */
  isNewJobFinished: boolean;
  from: ObservedVersion;
  to: ObservedVersion;
  /** Why the new version will not become ready; null if it still may. */
  neverReady: string | null;
  /** The result of the comparison under load; null if it has not finished. */
  evidence: Evidence | null;
  /** Another rollout that names one of the jobs and has precedence; null if there is none. */
  conflict: { job: string; rollout: string } | null;
}

type Ceilings = StatusRecord['ceilings'];
type BoundedCeilings = ReturnType<typeof boundedCeilings>;

/** The fields that a transition changes, without write id and time. */
type Change = Partial<Omit<StatusRecord, typeof WRITE_ID | 'id' | 'from' | 'to' | 'changedAt'>>;

const NO_CEILINGS: Ceilings = { from: null, to: null };

/** The next status; null if no transition is due. */
export function nextStatus(
  spec: SpecRecord,
  status: StatusRecord | null,
  observed: Observation,
  writeId: string,
): StatusRecord | null {
  const change = status === null ? begin(spec, observed) : advance(spec, status, observed);
  if (change === null) return null;
  const { id, from, to } = spec;
  const before = status ?? INITIAL_STATUS;
  return {
    ...before,
    ...change,
    id,
    from,
    to,
    [WRITE_ID]: writeId,
    changedAt: Math.round(observed.wall),
  };
}

const INITIAL_STATUS: Omit<StatusRecord, typeof WRITE_ID | 'id' | 'from' | 'to' | 'changedAt'> = {
  phase: 'preparing',
  resumes: null,
  replicas: 0,
  step: 0,
  ceilings: NO_CEILINGS,
  reason: null,
  evidence: null,
};

const refusal = (reason: string): Change => ({ phase: 'refused', reason, ceilings: NO_CEILINGS });

// ---- before the first step

function begin(spec: SpecRecord, observed: Observation): Change | null {
  if (spec.rollback) return rollbackCompleted('taken back before it began');
  const { conflict } = observed;
  if (conflict) return refusal(`job ${conflict.job} is named by rollout ${conflict.rollout}`);
  const { from } = observed.jobs;
  if (from?.state !== 'open') return refusal(`from: job ${spec.from} is not open`);
  const mismatch = ineligibilityReason(spec, observed.jobs);
  if (mismatch !== null) return refusal(mismatch);
  const { replicas } = from;
  return { phase: 'preparing', replicas, ceilings: { from: replicas, to: 0 } };
}

function advance(spec: SpecRecord, status: StatusRecord, observed: Observation): Change | null {
  const { phase } = status;
  const ended = transitionAfterCancellation(spec, status, observed);
  if (ended) return ended;
  if (phase === 'rolling-back') return advanceRollback(spec, status, observed);
  if (spec.rollback) return startRollback(spec, status, observed, 'ordered by an operator');
  if (phase === 'paused') {
    return spec.paused ? null : { phase: status.resumes ?? 'surging', resumes: null, reason: null };
  }
  if (spec.paused) return { phase: 'paused', resumes: phase, reason: 'ordered by an operator' };
  return PHASE_TRANSITIONS[phase]?.(spec, status, observed) ?? null;
}

/** The transition after a user cancelled one of the jobs; takes precedence over everything else. */
function transitionAfterCancellation(
  spec: SpecRecord,
  status: StatusRecord,
  { jobs, isNewJobFinished: isNewJobOver }: Observation,
): Change | null {
  if (jobs.from?.state !== 'open') {
    const reason = `job ${spec.from} was cancelled by its user`;
    return { phase: 'failed', resumes: null, reason, ceilings: NO_CEILINGS };
  }
  // While preparing, an unknown new job is not submitted yet; in later phases it is gone.
  const isAwaited = jobs.to === null && status.phase === 'preparing' && !isNewJobOver;
  if (isAwaited || jobs.to?.state === 'open') return null;
  const ceilings = { from: status.replicas, to: 0 };
  if (status.phase === 'rolling-back' && sameCeilings(status.ceilings, ceilings)) return null;
  const reason = `job ${spec.to} was cancelled by its user`;
  return { phase: 'rolling-back', resumes: null, reason, ceilings };
}

const sameCeilings = (a: Ceilings, b: Ceilings): boolean => a.from === b.from && a.to === b.to;

// ---- forward

type PhaseTransition = (
  spec: SpecRecord,
  status: StatusRecord,
  observed: Observation,
) => Change | null;

const PHASE_TRANSITIONS: Partial<Record<RolloutPhase, PhaseTransition>> = {
  preparing: (spec, status, observed) => {
    const mismatch = ineligibilityReason(spec, observed.jobs);
    if (mismatch !== null) return refusal(mismatch);
    if (observed.jobs.to === null || observed.from.proven < status.replicas) return null;
    return nextBatch(spec, status, 0, 0);
  },
  surging: (spec, status, observed) => {
    const failed = rollbackIfNeverReady(spec, status, observed);
    if (failed) return failed;
    return observed.to.proven >= boundedCeilings(status).to
      ? { phase: 'judging', evidence: null }
      : null;
  },
  judging: (spec, status, observed) => {
    const failed = rollbackIfNeverReady(spec, status, observed);
    if (failed) return failed;
    const { evidence } = observed;
    if (evidence === null) return null;
    if (evidence.verdict !== 'better-or-same') {
      const change = startRollback(spec, status, observed, ROLLBACK_REASONS[evidence.verdict]);
      return { ...change, evidence };
    }
    const { replicas, ceilings } = status;
    const from = replicas - boundedCeilings(status).to;
    return { phase: 'withdrawing', evidence, ceilings: { ...ceilings, from } };
  },
  withdrawing: (spec, status, observed) => {
    const failed = rollbackIfNeverReady(spec, status, observed);
    if (failed) return failed;
    const { replicas, step } = status;
    const ceilings = boundedCeilings(status);
    if (observed.from.placed > ceilings.from) return null;
    if (observed.from.proven + observed.to.proven < replicas) return null;
    const reached = ceilings.to;
    if (reached >= replicas) return { phase: 'done', ceilings: { from: 0, to: null } };
    const isStepReached = reached >= stepTarget(spec, step, replicas);
    return nextBatch(spec, status, isStepReached ? step + 1 : step, reached);
  },
};

const ROLLBACK_REASONS = {
  worse: 'the new version is worse under load',
  undecided: 'too few requests to compare the versions',
} as const;

/** Starts the next batch: as many replicas of the step as the surge allows. */
function nextBatch(
  spec: SpecRecord,
  { replicas }: StatusRecord,
  step: number,
  reached: number,
): Change {
  // With few replicas, two steps may have the same target.
  let next = step;
  while (stepTarget(spec, next, replicas) <= reached) next++;
  const target = Math.min(stepTarget(spec, next, replicas), reached + spec.maxSurge);
  return { phase: 'surging', step: next, ceilings: { from: replicas - reached, to: target } };
}

function rollbackIfNeverReady(
  spec: SpecRecord,
  status: StatusRecord,
  observed: Observation,
): Change | null {
  return observed.neverReady === null
    ? null
    : startRollback(spec, status, observed, observed.neverReady);
}

// ---- rollback

const rollbackCompleted = (reason: string | null): Change => ({
  phase: 'rolled-back',
  resumes: null,
  reason,
  ceilings: { from: null, to: 0 },
});

/** Allows as many old replicas at once as the surge permits, and no further new ones. */
function startRollback(
  spec: SpecRecord,
  status: StatusRecord,
  observed: Observation,
  reason: string,
): Change {
  const ceilings = rollbackCeilings(spec, status, observed);
  return { phase: 'rolling-back', resumes: null, reason, ceilings };
}

/**
 * Ceilings of a rollback: `to` keeps at most the replicas that may have served. `from` gets what `maxSurge`
 * allows besides the placed new replicas, up to the replica count, and is never lowered.
 */
function rollbackCeilings(
  spec: SpecRecord,
  status: StatusRecord,
  observed: Observation,
): BoundedCeilings {
  const { replicas, ceilings } = status;
  const to = Math.min(ceilings.to ?? 0, observed.to.placed - observed.to.unserved);
  const allowed = Math.min(replicas, replicas + spec.maxSurge - observed.to.placed);
  return { to, from: Math.max(ceilings.from ?? replicas, allowed) };
}

function advanceRollback(
  spec: SpecRecord,
  status: StatusRecord,
  observed: Observation,
): Change | null {
  const { replicas, ceilings, reason } = status;
  const isBack = observed.to.placed === 0 && observed.from.proven >= replicas;
  if (isBack) return rollbackCompleted(reason);
  const allowed = rollbackCeilings(spec, status, observed);
  if (!sameCeilings(allowed, ceilings)) return { ceilings: allowed };
  const isSurging = allowed.from + allowed.to > replicas;
  // The old replicas of this batch are proven, so as many new ones may be withdrawn.
  if (isSurging && observed.from.proven >= allowed.from) {
    return { ceilings: { from: allowed.from, to: replicas - allowed.from } };
  }
  return null;
}
