/** Which jobs are opportunistic, and what they need to be in time. */
import { Priority } from '../../jobs/job.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { Settings, Team } from '../../settings/deploy.js';

/** Owners' estimates are often wrong by half. */
const ESTIMATE_MARGIN = 1.5;

/**
 * Within how many boot times opportunistic work without deadline or objective should be done. Long
 * against its run time, so that few machines are provisioned for it and these are used for long.
 */
const HORIZON_BOOTS = 30;

/** After how many boot times of waiting at least one task gets capacity. */
const MAX_WAIT_BOOTS = 1;

/**
 * How many tasks of an opportunistic job have to run at once for it to be in time: scale-out covers
 * no more than these; null if the job is not opportunistic: it has a priority or a claim
 * to a guarantee, or runs until it is cancelled.
 *
 * @param waitedMs for how long it could have started
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
  const minTasks = waitedMs > bootMs * MAX_WAIT_BOOTS ? 1 : 0;
  return Math.min(tasks, Math.max(inTime, minTasks));
}

/** Within how many milliseconds from when it could start a job should be done. */
function dueInMs(settings: Settings, { spec }: Job, bootMs: number): number {
  let dueMs = spec.deadlineMs ?? Infinity;
  for (const { kind, jobClass, withinMs } of settings.objectives) {
    if (jobClass !== spec.jobClass || withinMs === null) continue;
    if (kind === 'finished') dueMs = Math.min(dueMs, withinMs);
    // What has to begin by some time should be done its run time after that.
    if (kind === 'wait') dueMs = Math.min(dueMs, withinMs + spec.estimateMs * ESTIMATE_MARGIN);
  }
  return dueMs === Infinity ? bootMs * HORIZON_BOOTS : dueMs;
}
