import { Priority } from '../../jobs/job.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { Settings, Team } from '../../settings/deploy.js';

/** Owners' estimates are often wrong by half. */
const ESTIMATE_MARGIN = 1.5;

/**
 * Within how many boots opportunistic work of which nothing says when it is due should be done. Long
 * against its run time, so that what is rented for it is few and used for long.
 */
const HORIZON_BOOTS = 30;

/** After how many boots without any task of it begun room is made certain for one. */
const UNBEGUN_BOOTS = 1;

/**
 * How many tasks of an opportunistic job have to run at once for it to be in time, so that it may
 * rent for no more than these; null if the job is not opportunistic: it has a priority or a claim
 * to a guarantee, or runs until it is cancelled.
 *
 * @param waitedMs since it could start
 * @param bootMs the longest boot of any machine type
 * @param teams what the teams are guaranteed now
 */
export function tasksAtOnce(
  settings: Settings,
  job: Job,
  waitedMs: number,
  bootMs: number,
  teams: ReadonlyMap<string, Pick<Team, 'guarantee'>> = settings.teams,
): number | null {
  const { spec } = job;
  const guarantee = teams.get(spec.team)?.guarantee;
  if (!guarantee || guarantee.cpus > 0 || guarantee.gpus > 0) return null;
  if (spec.kind === 'service' || spec.priority !== Priority.Low) return null;
  const tasks = spec.tasks - job.doneCount;
  const runMs = spec.estimateMs * ESTIMATE_MARGIN;
  const leftMs = Math.max(runMs, dueInMs(settings, job, bootMs) - waitedMs - bootMs);
  const inTime = Math.floor((tasks * runMs) / Math.max(1, leftMs));
  const begun = waitedMs > bootMs * UNBEGUN_BOOTS ? 1 : 0;
  return Math.min(tasks, Math.max(inTime, begun));
}

/** Within what time from when it could start a job is to be done. */
function dueInMs(settings: Settings, { spec }: Job, bootMs: number): number {
  let dueMs = spec.deadlineMs ?? Infinity;
  for (const { kind, jobClass, withinMs } of settings.objectives) {
    if (jobClass !== spec.jobClass || withinMs === null) continue;
    if (kind === 'finished') dueMs = Math.min(dueMs, withinMs);
    // What has to begin by some time is done its run time after that.
    if (kind === 'wait') dueMs = Math.min(dueMs, withinMs + spec.estimateMs * ESTIMATE_MARGIN);
  }
  return dueMs === Infinity ? bootMs * HORIZON_BOOTS : dueMs;
}
