/** How many replicas of each job may be placed, as it follows from the records of all rollouts. */
import { isOpen, jobsOf, type Rollout } from './rollout-repository.js';

/** By job; one that is not named has no limit. */
export type Ceilings = ReadonlyMap<string, number>;

/** A limit, with null for none, as a number. */
const asNumber = (ceiling: number | null): number => ceiling ?? Infinity;

/** What is placed of a job, as it stood when the status of its rollout was found to be unreadable. */
export type PlacedBefore = (job: string) => number;

/**
 * The ceilings of all jobs that rollouts name. From the moment it is asked for, no replica of the new
 * version may come before the leader has looked at a rollout. The job that lost one that is over stays
 * without replicas, until a later rollout names it. Of a rollout whose status cannot be read both jobs
 * keep what is placed.
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

/** Whether a rollout that began after `over` had ended names the job: what is so now is its to say. */
function isNamedLater(job: string, over: Rollout, rollouts: readonly Rollout[]): boolean {
  return rollouts.some((rollout) => {
    const phase = rollout.status?.record?.phase;
    if (phase === undefined || phase === 'refused') return false;
    return rollout.spec.version > over.spec.version && jobsOf(rollout).includes(job);
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

/** For each job the smaller ceiling of the two. */
export function smallerCeilings(a: Ceilings, b: Ceilings): Ceilings {
  const smaller = new Map(a);
  for (const [job, ceiling] of b) {
    smaller.set(job, Math.min(ceiling, smaller.get(job) ?? Infinity));
  }
  return smaller;
}
