/** Withdrawal of starts that no worker has been told of yet. */
import type { Job } from '../../jobs/tracked-job.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';

/**
 * Withdraws planned, unsent starts of a job one by one, as long as `mayContinue` allows it.
 *
 * @param mayContinue takes the number withdrawn so far
 * @returns how many were withdrawn; those of a gang go together
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
    // Stopping one start of a gang has withdrawn the others of this copy too.
    if (job.placements.get(placement.task) !== placement) continue;
    if (placement.stage === 'recording') taskStopper.stop(placement, 0);
  }
  return withdrawn();
}
