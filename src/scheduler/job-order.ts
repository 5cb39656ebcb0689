/** The order in which jobs are scheduled, and which of them are within their team's guarantee. */
import type { Priority } from '../jobs/job.js';
import type { JobView, TeamCapacity, TeamView } from './scheduling-model.js';
import { addTasks, CAPACITY_TOLERANCE } from './team-capacity.js';

/**
 * A job is within its team's guarantee if it fits into it together with the team's earlier
 * unfinished jobs. Jobs with open dependencies take no part; age counts from when a job was ready.
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
    // 0 means that nothing of the kind is guaranteed, and nothing is asked of it either.
    const isWithin = (guarantee: number, used: number): boolean =>
      guarantee === 0 || used <= guarantee + CAPACITY_TOLERANCE;
    const { need } = job.spec;
    // What uses nothing of what is guaranteed has no claim to it.
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
 * Position in the scheduling order; smaller goes first. A guarantee is worth one and a half steps of priority, so that production
 * work beyond its guarantee still goes before batches within theirs.
 */
export function rank(priority: Priority, guaranteed: boolean): number {
  return priority * 2 - (guaranteed ? 3 : 0);
}

/**
 * By when a job should be done, in steps of its deadline: the first that it can still meet, or, with
 * none left, twice the last. In a rush, what is late already would else go before all that could
 * still be in time, and make that late too; later on its turn comes all the same.
 *
 * @param deadlineMs counts from the submission, however long the job waits for its dependencies
 * @param submittedAt time of day in milliseconds, as `now` is
 * @param steps multiples of the deadline, smallest first; none: once
 * @param remainingMs expected time until it is done, with all that has to be done before it
 */
export function dueAt(
  deadlineMs: number,
  submittedAt: number,
  steps: readonly number[],
  now: number,
  remainingMs: number,
): number {
  // Estimates are often wrong by half: only what even half of it cannot make is given up.
  const earliestDoneAt = now + remainingMs / 2;
  const lastStep = steps.at(-1) ?? 1;
  const next = [...steps, lastStep].find(
    (step) => submittedAt + deadlineMs * step >= earliestDoneAt,
  );
  return submittedAt + deadlineMs * (next ?? lastStep * 2);
}

/** The jobs in the order in which they are scheduled: last-resort retries last, then by `rank`. */
export function inSchedulingOrder(jobs: JobView[], guaranteed: ReadonlySet<string>): JobView[] {
  const sameClass = (a: JobView, b: JobView): boolean =>
    a.priority === b.priority && a.spec.kind === b.spec.kind;
  return [...jobs].sort((a, b) => {
    if (a.isLastResortRetry !== b.isLastResortRetry)
      return Number(a.isLastResortRetry) - Number(b.isLastResortRetry);
    // The gang that holds the gate goes before other standard work: all other gangs wait for it.
    const byRank = rank(a.priority, guaranteed.has(a.id)) - rank(b.priority, guaranteed.has(b.id));
    if (byRank !== 0) return byRank;
    const byGate = Number(b.gang?.holdsGate ?? false) - Number(a.gang?.holdsGate ?? false);
    if (byGate !== 0) return byGate;
    return sameClass(a, b) ? a.dueAt - b.dueAt : a.readyAt - b.readyAt;
  });
}

/** True if `a` is more important than `b`: smaller numbers are. */
export const outranks = (a: Priority, b: Priority): boolean => a < b;
