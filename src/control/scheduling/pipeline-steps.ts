/**
 * Open jobs as pipeline steps: their dependencies, their remaining time, and the deadlines of their
 * class.
 */
import type { MachineType } from '../../fleet/resources.js';
import type { JobSpec } from '../../jobs/job.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { PipelineStep } from '../../scheduler/pipelines.js';
import type { Settings } from '../../settings/deploy.js';

/** The state from which pipeline steps are computed. */
export interface PipelineSources {
  readonly jobs: ReadonlyMap<string, Job>;
  readonly settings: Pick<Settings, 'objectives' | 'workers'>;
  machineTypes(): ReadonlyMap<string, MachineType>;
}

/**
 * Approximate start latency of a step, in heartbeat intervals: until the end of its dependency is
 * seen, and its start is recorded and sent.
 */
const START_HEARTBEATS = 2;

/** The jobs that are neither done nor cancelled. */
export function* openJobs(jobs: ReadonlyMap<string, Job>): Iterable<Job> {
  for (const job of jobs.values()) if (job.phase === 'open') yield job;
}

/** All open jobs with their dependencies and remaining time. */
export function pipelineSteps(sources: PipelineSources, now: number): PipelineStep[] {
  const deadlines = deadlineSteps(sources.settings);
  const steps: PipelineStep[] = [];
  for (const job of openJobs(sources.jobs)) {
    steps.push({
      id: job.id,
      spec: job.spec,
      submittedAt: job.submittedAt,
      readyAt: job.readyAt,
      dependencies: job.dependencies,
      remainingMs: remainingMs(sources, job, now),
      deadlineSteps: deadlines.get(job.spec.jobClass) ?? [],
    });
  }
  return steps;
}

/**
 * Expected time until a ready job is done: its remaining estimate and, if any of its tasks has not
 * started yet, the image fetch and the start latency.
 */
function remainingMs(sources: PipelineSources, job: Job, now: number): number {
  const { spec } = job;
  // A service is never done, and no job may depend on it.
  if (spec.kind === 'service') return 0;
  if (job.waitingTaskCount > 0) return startMs(sources, spec) + spec.estimateMs;
  let longestMs = 0;
  for (const placement of job.placements.values()) {
    const leftMs =
      placement.runningSince === null
        ? startMs(sources, spec) + spec.estimateMs
        : spec.estimateMs - (now - placement.runningSince);
    longestMs = Math.max(longestMs, leftMs);
  }
  return longestMs;
}

/** Time from when a job is ready until its tasks run, if there is free capacity. */
function startMs(sources: PipelineSources, spec: JobSpec): number {
  let fetchMs = 0;
  for (const type of sources.machineTypes().values()) {
    if (spec.types !== null && !spec.types.includes(type.name)) continue;
    fetchMs = Math.max(fetchMs, (spec.imageGb / type.fetchGbPerS) * 1000);
  }
  return fetchMs + sources.settings.workers.heartbeatIntervalMs * START_HEARTBEATS;
}

/** The multiples of the deadline by which jobs of each class should be done, in ascending order. */
function deadlineSteps(settings: PipelineSources['settings']): Map<string, number[]> {
  const steps = new Map<string, number[]>();
  for (const objective of settings.objectives) {
    if (objective.kind !== 'deadline' || objective.jobClass === null) continue;
    steps.set(
      objective.jobClass,
      [...(steps.get(objective.jobClass) ?? []), objective.deadlineMultiple].sort((a, b) => a - b),
    );
  }
  return steps;
}
