/** Describes to operators what an open rollout waits for. */
import type { SpecRecord } from './spec.js';
import { boundedCeilings, type StatusRecord } from './status.js';
import type { Observation, ObservedVersion } from './transitions.js';

/** One line that continues "waits for ..."; null if the rollout waits for nothing. */
export function waitReason(
  spec: SpecRecord,
  status: StatusRecord | null,
  observed: Observation,
): string | null {
  if (status === null) return 'the leader';
  switch (status.phase) {
    case 'preparing':
      return preparingReason(spec, status, observed);
    case 'surging':
      return missingReplicasReason(spec.to, boundedCeilings(status).to, observed.to);
    case 'judging':
      return 'the verdict under load';
    case 'withdrawing':
      return withdrawingReason(spec, status, observed);
    case 'rolling-back':
      return rollingBackReason(spec, status, observed);
    case 'paused':
      return 'an operator to resume it or to roll it back';
    case 'done':
    case 'rolled-back':
    case 'failed':
    case 'refused':
      return null;
  }
}

function preparingReason(
  { from, to }: SpecRecord,
  { replicas }: StatusRecord,
  observed: Observation,
): string | null {
  if (observed.jobs.to === null) return `job ${to} to be submitted`;
  return missingReplicasReason(from, replicas, observed.from);
}

function rollingBackReason(
  { from, to }: SpecRecord,
  status: StatusRecord,
  observed: Observation,
): string {
  return (
    missingReplicasReason(from, boundedCeilings(status).from, observed.from) ??
    `${observed.to.placed} replicas of ${to} to be gone`
  );
}

function withdrawingReason(
  { from }: SpecRecord,
  status: StatusRecord,
  observed: Observation,
): string | null {
  const missing = status.replicas - observed.from.proven - observed.to.proven;
  if (missing > 0) return `${missing} more proven replicas, before anything is withdrawn`;
  const excess = observed.from.placed - boundedCeilings(status).from;
  return excess > 0 ? `${excess} replicas of ${from} to be gone` : null;
}

/** Which replicas of a job are still missing; null if all required ones are proven. */
function missingReplicasReason(
  job: string,
  required: number,
  observed: ObservedVersion,
): string | null {
  const unplaced = required - observed.placed;
  if (unplaced > 0) return `room for ${unplaced} more replicas of ${job}`;
  const unproven = required - observed.proven;
  return unproven > 0 ? `${unproven} replicas of ${job} to be proven` : null;
}
