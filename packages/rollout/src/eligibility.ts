/** Checks whether two jobs can be the old and the new version of one service. */
import type { ScheduledJob, ServiceJob } from './ports.js';
import type { SpecRecord } from './spec.js';

/** The two jobs as the leader knows them; null if it knows no job of that id. */
export interface ObservedJobs {
  from: ScheduledJob | null;
  to: ScheduledJob | null;
}

/** Why two jobs cannot be versions of one service, and which request field is invalid. */
export interface VersionMismatch {
  field: 'from' | 'to';
  message: string;
}

/** Why two jobs cannot be versions of one service; null if they can be. */
export function versionMismatchReason(
  spec: Pick<SpecRecord, 'from' | 'to'>,
  from: ServiceJob,
  to: ServiceJob | null,
): VersionMismatch | null {
  if (!from.isService) return { field: 'from', message: `job ${spec.from} is not a service` };
  if (to === null) return null;
  const mismatch = newVersionMismatch(from, to);
  return mismatch === null ? null : { field: 'to', message: `job ${spec.to} ${mismatch}` };
}

function newVersionMismatch(from: ServiceJob, to: ServiceJob): string | null {
  if (!to.isService) return 'is not a service';
  if (to.state !== 'open') return 'is not open';
  if (to.team !== from.team) return `is of team ${to.team}, not ${from.team}`;
  if (to.replicas !== from.replicas) return `has ${to.replicas} replicas, not ${from.replicas}`;
  if (to.image === from.image) return 'has the same image';
  return null;
}

/**
 * The reason for the leader to refuse a rollout as one line; null if there is none. Besides the checks of
 * `versionMismatchReason`, the new version must have no placed replicas.
 */
export function ineligibilityReason(
  spec: Pick<SpecRecord, 'from' | 'to'>,
  { from, to }: ObservedJobs,
): string | null {
  if (from === null) return null;
  const mismatch = versionMismatchReason(spec, from, to);
  if (mismatch !== null) return `${mismatch.field}: ${mismatch.message}`;
  if (to !== null && to.placed > 0) return `to: job ${spec.to} has ${to.placed} replicas already`;
  return null;
}
