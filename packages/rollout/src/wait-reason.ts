/** What an open rollout waits for, in words for operators. */
import type { SpecRecord } from './spec.js';
import type { StatusRecord } from './status.js';
import type { Observation } from './transitions.js';

/** Null: it goes on with its next step. */
export function waitReason(
  spec: SpecRecord,
  status: StatusRecord | null,
  seen: Observation,
): string | null {
  if (status === null) return 'the leader';
  const { replicas, ceilings } = status;
  const { from, to } = spec;
  switch (status.phase) {
    case 'preparing':
      if (seen.jobs.to === null) return `job ${to} to be submitted`;
      return replicasOf(from, replicas, seen.from);
    case 'surging':
      return replicasOf(to, ceilings.to!, seen.to);
    case 'judging':
      return 'the verdict under load';
    case 'withdrawing': {
      const missing = replicas - seen.from.proven - seen.to.proven;
      if (missing > 0) return `${missing} more proven replicas, before anything is withdrawn`;
      const left = seen.from.placed - ceilings.from!;
      return left > 0 ? `${left} replicas of ${from} to be gone` : null;
    }
    case 'rolling-back':
      return (
        replicasOf(from, ceilings.from!, seen.from) ??
        `${seen.to.placed} replicas of ${to} to be gone`
      );
    case 'paused':
      return 'an operator to resume it or to roll it back';
    default:
      return null;
  }
}

/** Null: all of them are proven. */
function replicasOf(job: string, wanted: number, seen: Observation['from']): string | null {
  const unplaced = wanted - seen.placed;
  if (unplaced > 0) return `room for ${unplaced} more replicas of ${job}`;
  const unproven = wanted - seen.proven;
  return unproven > 0 ? `${unproven} replicas of ${job} to be proven` : null;
}
