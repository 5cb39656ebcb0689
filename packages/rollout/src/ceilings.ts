/** Derives the maximum number of placed replicas per job from the records of all rollouts. */
import { isOpen, jobsOf, type Rollout } from './rollout-repository.js';

/** Maximum number of placed replicas by job; a job without an entry is not limited. */
export type Ceilings = ReadonlyMap<string, number>;

/** Converts a recorded ceiling to a number; null means no limit. */
const toLimit = (ceiling: number | null): number => ceiling ?? Infinity;

/** Replicas of a job that were placed when the status of its rollout was first found unreadable. */
export type PlacedWhenUnreadable = (job: string) => number;

/**
 * The ceilings of all jobs that rollouts name. Between the accepted request and the leader's first status,
 * no replica of the new version may start. The retired job of a finished rollout gets no replicas until a
 * later rollout names it. If a status cannot be read, both jobs keep the replicas that they have.
 */
export function ceilingsOf(
  rollouts: readonly Rollout[],
  placedWhenUnreadable: PlacedWhenUnreadable,
): Ceilings {
  const ceilings = new Map<string, number>();
  for (const rollout of rollouts) {
    for (const [job, ceiling] of limitsOf(rollout, placedWhenUnreadable)) {
      if (!isOpen(rollout) && isNamedLater(job, rollout, rollouts)) continue;
      ceilings.set(job, Math.min(ceiling, ceilings.get(job) ?? Infinity));
    }
  }
  return ceilings;
}

/** Whether a later rollout that has begun names the job and therefore determines its ceiling. */
function isNamedLater(job: string, finished: Rollout, rollouts: readonly Rollout[]): boolean {
  return rollouts.some((rollout) => {
    const phase = rollout.status?.record?.phase;
    if (phase === undefined || phase === 'refused') return false;
    return rollout.spec.version > finished.spec.version && jobsOf(rollout).includes(job);
  });
}

function limitsOf(
  rollout: Rollout,
  placedWhenUnreadable: PlacedWhenUnreadable,
): [string, number][] {
  const { spec, status } = rollout;
  if (status?.record) {
    const { from, to, ceilings } = status.record;
    const limits: [string, number][] = [
      [from, toLimit(ceilings.from)],
      [to, toLimit(ceilings.to)],
    ];
    return limits.filter(([, limit]) => limit !== Infinity);
  }
  if (!spec.record) return [];
  if (status === null) return [[spec.record.to, 0]];
  return jobsOf(rollout).map((job) => [job, placedWhenUnreadable(job)]);
}

/** The lower of the two ceilings of each job. */
export function lowerCeilings(a: Ceilings, b: Ceilings): Ceilings {
  const lower = new Map(a);
  for (const [job, ceiling] of b) {
    lower.set(job, Math.min(ceiling, lower.get(job) ?? Infinity));
  }
  return lower;
}
