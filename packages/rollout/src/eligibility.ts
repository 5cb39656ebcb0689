/** Whether two jobs can be the old and the new version of one service. */
import type { ScheduledJob, ServiceJob } from './ports.js';
import type { SpecRecord } from './spec.js';

/** The two jobs; null: the leader knows none of that name. */
export interface ObservedJobs {
  from: ScheduledJob | null;
  to: ScheduledJob | null;
}

/** Why two jobs cannot be versions of one service, and which of them is to blame. */
export interface Unfit {
  field: 'from' | 'to';
  message: string;
}

/** Null if they can be. */
export function versionMismatchReason(
  names: Pick<SpecRecord, 'from' | 'to'>,
  from: ServiceJob,
  to: ServiceJob | null,
): Unfit | null {
  if (!from.isService) return { field: 'from', message: `job ${names.from} is not a service` };
  if (to === null) return null;
  const wrong = whyNotTheNext(from, to);
  return wrong === null ? null : { field: 'to', message: `job ${names.to} ${wrong}` };
}

function whyNotTheNext(from: ServiceJob, to: ServiceJob): string | null {
  if (!to.isService) return 'is not a service';
  if (to.state !== 'open') return 'is not open';
  if (to.team !== from.team) return `is of team ${to.team}, not ${from.team}`;
  if (to.replicas !== from.replicas) return `has ${to.replicas} replicas, not ${from.replicas}`;
  if (to.image === from.image) return 'has the same image';
  return null;
}

/** The same of what the leader knows; nothing may be placed of the new version yet. */
export function unfitReason(
  names: Pick<SpecRecord, 'from' | 'to'>,
  { from, to }: ObservedJobs,
): string | null {
  if (from === null) return null;
  const exitReason = versionMismatchReason(names, from, to);
  if (exitReason !== null) return `${exitReason.field}: ${exitReason.message}`;
  if (to !== null && to.placed > 0) return `to: job ${names.to} has ${to.placed} replicas already`;
  return null;
}
