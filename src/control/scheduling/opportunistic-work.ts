/** Detection of opportunistic jobs, and the parallelism that they need to finish in time. */
import { Priority } from '../../jobs/job.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { Settings, Team } from '../../settings/deploy.js';

/** Factor on run time estimates by job owners, which are often wrong by half. */
const ESTIMATE_MARGIN = 1.5;

/**
 * Boot times within which opportunistic work without a deadline or objective should be done. Long
 * compared to its run time, so that few machines are provisioned for it and each is used for long.
 */
const HORIZON_BOOTS = 30;

/** Boot times of waiting after which at least one task gets capacity. */
const MAX_WAIT_BOOTS = 1;

/**
 * How many tasks of an opportunistic job have to run in parallel for it to finish in time; scale-out
 * provisions for no more than these. Null if the job is not opportunistic: its priority is not low,
 * its team has a guarantee, or it is a service.
 *
 * @param waitedMs how long the job has been ready
 * @param bootMs the longest boot time of any machine type
 * @param teams the current guarantees of the teams
 */
export function requiredConcurrency(
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
  const remainingMs = Math.max(runMs, dueInMs(settings, job, bootMs) - waitedMs - bootMs);
  const tasksToFinishInTime = Math.floor((tasks * runMs) / Math.max(1, remainingMs));
  const minTasks = waitedMs > bootMs * MAX_WAIT_BOOTS ? 1 : 0;
  return Math.min(tasks, Math.max(tasksToFinishInTime, minTasks));
}

/** Milliseconds from when a job is ready within which it should be done. */
function dueInMs(settings: Settings, { spec }: Job, bootMs: number): number {
  let dueMs = spec.deadlineMs ?? Infinity;
  for (const { kind, jobClass, withinMs } of settings.objectives) {
    if (jobClass !== spec.jobClass || withinMs === null) continue;
    if (kind === 'finished') dueMs = Math.min(dueMs, withinMs);
    // A job that has to start by some time should be done its run time after that.
    if (kind === 'wait') dueMs = Math.min(dueMs, withinMs + spec.estimateMs * ESTIMATE_MARGIN);
  }
  return dueMs === Infinity ? bootMs * HORIZON_BOOTS : dueMs;
}
