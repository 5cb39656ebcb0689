import type { Job } from '../../jobs/tracked-job.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';

/**
 * Takes back starts of a job that are planned and not sent, one after the other, while `over` says so.
 *
 * @returns how many were taken back; those of a gang go together
 */
export function withdrawUnsentStarts(
  job: Job,
  stops: Pick<TaskStopper, 'stop'>,
  over: (withdrawn: number) => boolean,
): number {
  const before = job.placements.size;
  const withdrawn = (): number => before - job.placements.size;
  for (const placement of [...job.placements.values()]) {
    if (!over(withdrawn())) break;
    // Those of a gang go together, with the first.
    if (job.placements.get(placement.task) !== placement) continue;
    if (placement.stage === 'recording') stops.stop(placement, 0);
  }
  return withdrawn();
}
