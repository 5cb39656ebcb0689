/**
 * The state machine of a rollout as a pure function: the next status, from the spec, the status and what is
 * observed. Where ceilings change, the leader writes the manifest in the same transaction, so any later
 * leader carries on from the records.
 */
import { stepTarget, type SpecRecord } from './spec.js';
import { WRITE_ID } from './keys.js';
import { boundedCeilings, type Evidence, type RolloutPhase, type StatusRecord } from './status.js';
import { unfitReason, type ObservedJobs } from './eligibility.js';

/** Replicas of one of the two jobs. */
export interface ObservedVersion {
  /** Those that are or may be on machines. */
  placed: number;
  proven: number;
  /** Those that cannot have served anybody. */
  unserved: number;
}

/** What a transition is decided from. */
export interface Observation {
  /** Time of day in milliseconds. */
  wall: number;
  jobs: ObservedJobs;
  /** The new job is over, and nothing is left of it. */
  isNewJobOver: boolean;
  from: ObservedVersion;
  to: ObservedVersion;
  /** Why the new version will not become ready; null: it still may. */
  neverReady: string | null;
  /** What judging has shown; null: it has not come to an end. */
  evidence: Evidence | null;
  /** Another rollout that names one of the jobs; null: there is none. */
  conflict: { job: string; rollout: string } | null;
}

type Ceilings = StatusRecord['ceilings'];
type BoundedCeilings = ReturnType<typeof boundedCeilings>;

/** What a transition changes; write id and time are added to it. */
type Change = Partial<Omit<StatusRecord, typeof WRITE_ID | 'id' | 'from' | 'to' | 'changedAt'>>;

const NO_CEILINGS: Ceilings = { from: null, to: null };

/** The next status; null: no transition is due. */
export function nextStatus(
  spec: SpecRecord,
  status: StatusRecord | null,
  observed: Observation,
  writeId: string,
): StatusRecord | null {
  const change = status === null ? begin(spec, observed) : advance(spec, status, observed);
  if (change === null) return null;
  const { id, from, to } = spec;
  const before = status ?? NOT_BEGUN;
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

const NOT_BEGUN: Omit<StatusRecord, typeof WRITE_ID | 'id' | 'from' | 'to' | 'changedAt'> = {
  phase: 'preparing',
  resumes: null,
  replicas: 0,
  step: 0,
  ceilings: NO_CEILINGS,
  reason: null,
  evidence: null,
};

const refused = (reason: string): Change => ({ phase: 'refused', reason, ceilings: NO_CEILINGS });

// ---- before the first step

function begin(spec: SpecRecord, observed: Observation): Change | null {
  if (spec.rollback) return rolledBack('taken back before it began');
  const { conflict } = observed;
  if (conflict) return refused(`job ${conflict.job} is named by rollout ${conflict.rollout}`);
  const { from } = observed.jobs;
  if (from?.state !== 'open') return refused(`from: job ${spec.from} is not open`);
  const mismatch = unfitReason(spec, observed.jobs);
  if (mismatch !== null) return refused(mismatch);
  const { replicas } = from;
  return { phase: 'preparing', replicas, ceilings: { from: replicas, to: 0 } };
}

function advance(spec: SpecRecord, status: StatusRecord, observed: Observation): Change | null {
  const { phase } = status;
  const ended = endedByUsers(spec, status, observed);
  if (ended) return ended;
  if (phase === 'rolling-back') return rollingBack(spec, status, observed);
  if (spec.rollback) return startRollback(spec, status, observed, 'ordered by an operator');
  if (phase === 'paused') {
    return spec.paused ? null : { phase: status.resumes ?? 'surging', resumes: null, reason: null };
  }
  if (spec.paused) return { phase: 'paused', resumes: phase, reason: 'ordered by an operator' };
  return STEPS[phase]?.(spec, status, observed) ?? null;
}

/** Cancellations by users go before all else. */
function endedByUsers(
  spec: SpecRecord,
  status: StatusRecord,
  { jobs, isNewJobOver }: Observation,
): Change | null {
  if (jobs.from?.state !== 'open') {
    const reason = `job ${spec.from} was cancelled by its user`;
    return { phase: 'failed', resumes: null, reason, ceilings: NO_CEILINGS };
  }
  // One that has not been submitted yet is waited for; later, nothing is left of it.
  const isAwaited = jobs.to === null && status.phase === 'preparing' && !isNewJobOver;
  if (isAwaited || jobs.to?.state === 'open') return null;
  const ceilings = { from: status.replicas, to: 0 };
  if (status.phase === 'rolling-back' && sameCeilings(status.ceilings, ceilings)) return null;
  const reason = `job ${spec.to} was cancelled by its user`;
  return { phase: 'rolling-back', resumes: null, reason, ceilings };
}

const sameCeilings = (a: Ceilings, b: Ceilings): boolean => a.from === b.from && a.to === b.to;

// ---- forward

type Step = (spec: SpecRecord, status: StatusRecord, observed: Observation) => Change | null;

const STEPS: Partial<Record<RolloutPhase, Step>> = {
  preparing: (spec, status, observed) => {
    const mismatch = unfitReason(spec, observed.jobs);
    if (mismatch !== null) return refused(mismatch);
    if (observed.jobs.to === null || observed.from.proven < status.replicas) return null;
    return surge(spec, status, 0, 0);
  },
  surging: (spec, status, observed) => {
    const failed = neverReady(spec, status, observed);
    if (failed) return failed;
    return observed.to.proven >= boundedCeilings(status).to
      ? { phase: 'judging', evidence: null }
      : null;
  },
  judging: (spec, status, observed) => {
    const failed = neverReady(spec, status, observed);
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
    const failed = neverReady(spec, status, observed);
    if (failed) return failed;
    const { replicas, step } = status;
    const ceilings = boundedCeilings(status);
    if (observed.from.placed > ceilings.from) return null;
    if (observed.from.proven + observed.to.proven < replicas) return null;
    const reached = ceilings.to;
    if (reached >= replicas) return { phase: 'done', ceilings: { from: 0, to: null } };
    const isStepReached = reached >= stepTarget(spec, step, replicas);
    return surge(spec, status, isStepReached ? step + 1 : step, reached);
  },
};

const ROLLBACK_REASONS = {
  worse: 'the new version is worse under load',
  undecided: 'too few requests to compare the versions',
} as const;

/** The next batch: as much of the step as the surge allows. */
function surge(
  spec: SpecRecord,
  { replicas }: StatusRecord,
  step: number,
  reached: number,
): Change {
  // Of few replicas two steps may be the same.
  let next = step;
  while (stepTarget(spec, next, replicas) <= reached) next++;
  const target = Math.min(stepTarget(spec, next, replicas), reached + spec.maxSurge);
  return { phase: 'surging', step: next, ceilings: { from: replicas - reached, to: target } };
}

function neverReady(spec: SpecRecord, status: StatusRecord, observed: Observation): Change | null {
  return observed.neverReady === null
    ? null
    : startRollback(spec, status, observed, observed.neverReady);
}

// ---- back

const rolledBack = (reason: string | null): Change => ({
  phase: 'rolled-back',
  resumes: null,
  reason,
  ceilings: { from: null, to: 0 },
});

/** Old replicas may come at once, as many as the surge allows; no more new ones do. */
function startRollback(
  spec: SpecRecord,
  status: StatusRecord,
  observed: Observation,
  reason: string,
): Change {
  const ceilings = rollbackCeilings(spec, status, observed);
  return { phase: 'rolling-back', resumes: null, reason, ceilings };
}

/** Ceilings on the way back: `to` keeps at most what may serve, `from` gets the rest of the surge. */
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

function rollingBack(spec: SpecRecord, status: StatusRecord, observed: Observation): Change | null {
  const { replicas, ceilings, reason } = status;
  const isBack = observed.to.placed === 0 && observed.from.proven >= replicas;
  if (isBack) return rolledBack(reason);
  const allowed = rollbackCeilings(spec, status, observed);
  if (!sameCeilings(allowed, ceilings)) return { ceilings: allowed };
  const isSurging = allowed.from + allowed.to > replicas;
  // The old replicas of this batch are proven, so as many new ones may go.
  if (isSurging && observed.from.proven >= allowed.from) {
    return { ceilings: { from: allowed.from, to: replicas - allowed.from } };
  }
  return null;
}
