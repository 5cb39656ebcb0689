/** Withdraws planned starts that are not recorded in the store yet. */
import type { Job } from '../../jobs/tracked-job.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';

/**
 * Withdraws planned starts of a job one by one while `mayContinue` returns true. Recorded starts are
 * kept, even if they were not sent to their workers yet.
 *
 * @param mayContinue receives the number withdrawn so far
 * @returns the number withdrawn; starts of a gang are withdrawn together
 */
export function withdrawUnrecordedStarts(
  job: Job,
  taskStopper: Pick<TaskStopper, 'stop'>,
  mayContinue: (withdrawn: number) => boolean,
): number {
  const before = job.placements.size;
  const withdrawn = (): number => before - job.placements.size;
  // Withdrawing one start of a gang also withdraws the others, which are then not visited.
  for (const placement of job.placements.values()) {
    if (!mayContinue(withdrawn())) break;
    if (placement.stage === 'recording') taskStopper.stop(placement, 0);
  }
  return withdrawn();
}
