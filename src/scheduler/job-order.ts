/** Scheduling order of jobs, and which jobs are within their team's guarantee. */
import type { Priority } from '../jobs/job.js';
import type { JobView, TeamCapacity, TeamView } from './scheduling-model.js';
import { addTasks, CAPACITY_TOLERANCE } from './team-capacity.js';

/**
 * Returns the ids of the jobs within their team's guarantee: a job is within it if it fits together
 * with the team's earlier unfinished jobs. Jobs are ordered by the time at which they became ready;
 * jobs with open dependencies are not considered.
 */
export function withinGuarantee(
  jobs: JobView[],
  teams: ReadonlyMap<string, TeamView>,
): Set<string> {
  const guaranteed = new Set<string>();
  const usageByTeam = new Map<string, TeamCapacity>();
  for (const job of [...jobs].sort((a, b) => a.readyAt - b.readyAt)) {
    const team = teams.get(job.spec.team);
    if (!team) continue;
    const usage = usageByTeam.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    addTasks(usage, job.spec, job.unfinishedTasks);
    usageByTeam.set(job.spec.team, usage);
    // A guarantee of 0 means that the resource is not guaranteed, so it is not checked.
    const isWithin = (guarantee: number, used: number): boolean =>
      guarantee === 0 || used <= guarantee + CAPACITY_TOLERANCE;
    const { need } = job.spec;
    // A job that uses none of the guaranteed resources is never within the guarantee.
    const usesGuaranteed =
      (team.guarantee.cpus > 0 && need.cpus > 0) || (team.guarantee.gpus > 0 && need.gpus > 0);
    if (
      usesGuaranteed &&
      isWithin(team.guarantee.cpus, usage.cpus) &&
      isWithin(team.guarantee.gpus, usage.gpus)
    ) {
      guaranteed.add(job.id);
    }
  }
  return guaranteed;
}

/**
 * Returns the position in the scheduling order; lower values go first. Being within the guarantee
 * is worth one and a half priority levels, so that production jobs beyond their guarantee still go
 * before jobs of normal priority within theirs.
 */
export function rank(priority: Priority, guaranteed: boolean): number {
  return priority * 2 - (guaranteed ? 3 : 0);
}

/**
 * Returns the time by which a job should be done: the first multiple of its deadline that it can
 * still meet, or twice the last multiple if it can meet none. Under overload, jobs that are already
 * late would otherwise go before all jobs that could still be in time, and make those late too. The
 * later due time only postpones them.
 *
 * @param deadlineMs relative to the submission, including the time spent waiting for dependencies
 * @param submittedAt wall-clock time in milliseconds, like `now`
 * @param steps multiples of the deadline in ascending order; if empty, 1 is used
 * @param remainingMs expected time until the job is done, including its open dependencies
 */
export function dueAt(
  deadlineMs: number,
  submittedAt: number,
  steps: readonly number[],
  now: number,
  remainingMs: number,
): number {
  // Estimates are often wrong by half: gives up a multiple only if even half the estimate misses
  // it.
  const earliestDoneAt = now + remainingMs / 2;
  const lastStep = steps.at(-1) ?? 1;
  const next = [...steps, lastStep].find(
    (step) => submittedAt + deadlineMs * step >= earliestDoneAt,
  );
  return submittedAt + deadlineMs * (next ?? lastStep * 2);
}

/** Returns the jobs in scheduling order: by `rank`, with last-resort retries at the end. */
export function inSchedulingOrder(jobs: JobView[], guaranteed: ReadonlySet<string>): JobView[] {
  const sameClass = (a: JobView, b: JobView): boolean =>
    a.priority === b.priority && a.spec.kind === b.spec.kind;
  return [...jobs].sort((a, b) => {
    if (a.isLastResortRetry !== b.isLastResortRetry)
      return Number(a.isLastResortRetry) - Number(b.isLastResortRetry);
    // The gang that holds the gate goes before others of its rank: all other gangs wait for it.
    const byRank = rank(a.priority, guaranteed.has(a.id)) - rank(b.priority, guaranteed.has(b.id));
    if (byRank !== 0) return byRank;
    const byGate = Number(b.gang?.holdsGate ?? false) - Number(a.gang?.holdsGate ?? false);
    if (byGate !== 0) return byGate;
    return sameClass(a, b) ? a.dueAt - b.dueAt : a.readyAt - b.readyAt;
  });
}

/** True if `a` is the higher priority; higher priorities have lower numbers. */
export const outranks = (a: Priority, b: Priority): boolean => a < b;
