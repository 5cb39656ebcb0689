/** Withdraws planned starts that were not sent to a worker yet. */
import type { Job } from '../../jobs/tracked-job.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';

/**
 * Withdraws planned, unsent starts of a job one by one while `mayContinue` returns true.
 *
 * @param mayContinue receives the number withdrawn so far
 * @returns the number withdrawn; starts of a gang are withdrawn together
 */
export function withdrawUnsentStarts(
  job: Job,
  taskStopper: Pick<TaskStopper, 'stop'>,
  mayContinue: (withdrawn: number) => boolean,
): number {
  const before = job.placements.size;
  const withdrawn = (): number => before - job.placements.size;
  for (const placement of [...job.placements.values()]) {
    if (!mayContinue(withdrawn())) break;
    // Stopping one start of a gang also withdrew the others of this copy.
    if (job.placements.get(placement.task) !== placement) continue;
    if (placement.stage === 'recording') taskStopper.stop(placement, 0);
  }
  return withdrawn();
}
