/**
 * The life of a rollout as a pure function: what the leader writes next, from what was asked for, how far
 * it is, and what can be seen. Each transition is written together with the head where ceilings change, so
 * that any later leader goes on from where the records stand.
 */
import { stepTarget, type SpecRecord } from './spec.js';
import type { Evidence, RolloutPhase, StatusRecord } from './status.js';
import { unfitReason, type ObservedJobs } from './eligibility.js';

/** What can be seen of one of the two jobs. */
export interface ObservedVersion {
  /** Replicas that are or may be on machines. */
  placed: number;
  proven: number;
  /** Those that cannot have served anybody. */
  unserved: number;
}

/** What a transition is decided from. */
export interface Observation {
  /** Time of day. */
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

/** What changes; the mark and the time are added when it is written. */
type Change = Partial<Omit<StatusRecord, 'w' | 'id' | 'from' | 'to' | 'changedAt'>>;

const NO_CEILINGS: Ceilings = { from: null, to: null };

/** The next status; null: nothing changes now. */
export function nextStatus(
  spec: SpecRecord,
  status: StatusRecord | null,
  seen: Observation,
  writeId: string,
): StatusRecord | null {
  const change = status === null ? begin(spec, seen) : next(spec, status, seen);
  if (change === null) return null;
  const { id, from, to } = spec;
  const before = status ?? NOT_BEGUN;
  return { ...before, ...change, id, from, to, w: writeId, changedAt: Math.round(seen.wall) };
}

const NOT_BEGUN: Omit<StatusRecord, 'w' | 'id' | 'from' | 'to' | 'changedAt'> = {
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

function begin(spec: SpecRecord, seen: Observation): Change | null {
  if (spec.rollback) return rolledBack('taken back before it began');
  const { conflict } = seen;
  if (conflict) return refused(`job ${conflict.job} is named by rollout ${conflict.rollout}`);
  const { from } = seen.jobs;
  if (from === null || from.state !== 'open') return refused(`from: job ${spec.from} is not open`);
  const unfit = unfitReason(spec, seen.jobs);
  if (unfit !== null) return refused(unfit);
  const { replicas } = from;
  return { phase: 'preparing', replicas, ceilings: { from: replicas, to: 0 } };
}

function next(spec: SpecRecord, status: StatusRecord, seen: Observation): Change | null {
  const { phase } = status;
  const ended = endedByUsers(spec, status, seen);
  if (ended) return ended;
  if (phase === 'rolling-back') return rollingBack(spec, status, seen);
  if (spec.rollback) return startRollback(spec, status, seen, 'ordered by an operator');
  if (phase === 'paused') {
    return spec.paused ? null : { phase: status.resumes ?? 'surging', resumes: null, reason: null };
  }
  if (spec.paused) return { phase: 'paused', resumes: phase, reason: 'ordered by an operator' };
  return STEPS[phase]?.(spec, status, seen) ?? null;
}

/** What users do to their jobs goes before all else. */
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

type Step = (spec: SpecRecord, status: StatusRecord, seen: Observation) => Change | null;

const STEPS: Partial<Record<RolloutPhase, Step>> = {
  preparing: (spec, status, seen) => {
    const unfit = unfitReason(spec, seen.jobs);
    if (unfit !== null) return refused(unfit);
    if (seen.jobs.to === null || seen.from.proven < status.replicas) return null;
    return surge(spec, status, 0, 0);
  },
  surging: (spec, status, seen) => {
    const failed = neverReady(spec, status, seen);
    if (failed) return failed;
    return seen.to.proven >= status.ceilings.to! ? { phase: 'judging', evidence: null } : null;
  },
  judging: (spec, status, seen) => {
    const failed = neverReady(spec, status, seen);
    if (failed) return failed;
    const { evidence } = seen;
    if (evidence === null) return null;
    if (evidence.verdict !== 'better-or-same') {
      const change = startRollback(spec, status, seen, WHY_BACK[evidence.verdict]);
      return { ...change, evidence };
    }
    const { replicas, ceilings } = status;
    const from = replicas - ceilings.to!;
    return { phase: 'withdrawing', evidence, ceilings: { ...ceilings, from } };
  },
  withdrawing: (spec, status, seen) => {
    const failed = neverReady(spec, status, seen);
    if (failed) return failed;
    const { replicas, ceilings, step } = status;
    if (seen.from.placed > ceilings.from!) return null;
    if (seen.from.proven + seen.to.proven < replicas) return null;
    const reached = ceilings.to!;
    if (reached >= replicas) return { phase: 'done', ceilings: { from: 0, to: null } };
    const isStepReached = reached >= stepTarget(spec, step, replicas);
    return surge(spec, status, isStepReached ? step + 1 : step, reached);
  },
};

const WHY_BACK = {
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

function neverReady(spec: SpecRecord, status: StatusRecord, seen: Observation): Change | null {
  return seen.neverReady === null ? null : startRollback(spec, status, seen, seen.neverReady);
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
  seen: Observation,
  reason: string,
): Change {
  const ceilings = returning(spec, status, seen);
  return { phase: 'rolling-back', resumes: null, reason, ceilings };
}

/** Ceilings on the way back: `to` keeps at most what may serve, `from` gets the room that is left. */
function returning(spec: SpecRecord, status: StatusRecord, seen: Observation): Ceilings {
  const { replicas, ceilings } = status;
  const to = Math.min(ceilings.to ?? 0, seen.to.placed - seen.to.unserved);
  const allowed = Math.min(replicas, replicas + spec.maxSurge - seen.to.placed);
  return { to, from: Math.max(ceilings.from ?? replicas, allowed) };
}

function rollingBack(spec: SpecRecord, status: StatusRecord, seen: Observation): Change | null {
  const { replicas, ceilings, reason } = status;
  const isBack = seen.to.placed === 0 && seen.from.proven >= replicas;
  if (isBack) return rolledBack(reason);
  const allowed = returning(spec, status, seen);
  if (!sameCeilings(allowed, ceilings)) return { ceilings: allowed };
  const surged = allowed.from! + allowed.to! > replicas;
  // The old replicas of this batch serve: as many new ones may go.
  if (surged && seen.from.proven >= allowed.from!) {
    return { ceilings: { from: allowed.from, to: replicas - allowed.from! } };
  }
  return null;
}
