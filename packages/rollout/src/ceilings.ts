/** How many replicas of each job may be placed, as it follows from the records of all rollouts. */
import { isOpen, jobsOf, type Rollout } from './rollout-repository.js';

/** How many replicas may be placed, by job; one that is absent has no limit. */
export type Ceilings = ReadonlyMap<string, number>;

/** A limit, with null for none, as a number. */
const asNumber = (ceiling: number | null): number => ceiling ?? Infinity;

/** Replicas placed of a job when the status of its rollout was found to be unreadable. */
export type PlacedBefore = (job: string) => number;

/**
 * The ceilings of all jobs that rollouts name. From the accepted request on, no replica of the new version
 * may start before the leader has written a status. The losing job of a finished rollout stays without
 * replicas until a later rollout names it. Where a status cannot be read, both jobs keep what is placed.
 */
export function ceilingsOf(rollouts: readonly Rollout[], placedBefore: PlacedBefore): Ceilings {
  const ceilings = new Map<string, number>();
  for (const rollout of rollouts) {
    for (const [job, ceiling] of limitsOf(rollout, placedBefore)) {
      if (!isOpen(rollout) && isNamedLater(job, rollout, rollouts)) continue;
      ceilings.set(job, Math.min(ceiling, ceilings.get(job) ?? Infinity));
    }
  }
  return ceilings;
}

/** Whether a later rollout names the job, so that the later one decides its ceiling. */
function isNamedLater(job: string, finished: Rollout, rollouts: readonly Rollout[]): boolean {
  return rollouts.some((rollout) => {
    const phase = rollout.status?.record?.phase;
    if (phase === undefined || phase === 'refused') return false;
    return rollout.spec.version > finished.spec.version && jobsOf(rollout).includes(job);
  });
}

function limitsOf(rollout: Rollout, placedBefore: PlacedBefore): [string, number][] {
  const { spec, status } = rollout;
  if (status?.record) {
    const { from, to, ceilings } = status.record;
    const limits: [string, number][] = [
      [from, asNumber(ceilings.from)],
      [to, asNumber(ceilings.to)],
    ];
    return limits.filter(([, limit]) => limit !== Infinity);
  }
  if (!spec.record) return [];
  if (status === null) return [[spec.record.to, 0]];
  return jobsOf(rollout).map((job) => [job, placedBefore(job)]);
}

/** The lower of both ceilings for each job. */
export function lowerCeilings(a: Ceilings, b: Ceilings): Ceilings {
  const lower = new Map(a);
  for (const [job, ceiling] of b) {
    lower.set(job, Math.min(ceiling, lower.get(job) ?? Infinity));
  }
  return lower;
}
