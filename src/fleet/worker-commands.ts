/** Builds the commands that start and stop the tasks of placements. */
import type { Placement } from '../jobs/tracked-job.js';
import type { WorkerCommand } from '../wire/worker-heartbeat.js';

/** The command that starts the task of a placement. */
export function startCommand(placement: Placement): WorkerCommand {
  const { job, task, attempt } = placement;
  return { kind: 'start', job: job.id, task, attempt };
}

/** The command that stops the task of a placement, which has `graceMs` to save its state. */
export function stopCommand(placement: Placement, graceMs: number): WorkerCommand {
  const { job, task, attempt } = placement;
  return { kind: 'stop', job: job.id, task, attempt, graceMs };
}
