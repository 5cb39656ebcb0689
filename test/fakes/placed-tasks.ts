/**
 * Places all tasks of several jobs of the largest size on a fleet. Runs as a worker thread, whose heap
 * can be limited to that of a deployed controller.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { Machine } from '../../src/fleet/machine.js';
import { tasksPerRecord } from '../../src/jobs/records.js';
import { TaskPlacement, type StartGroup } from '../../src/jobs/task-placement.js';
import { Job } from '../../src/jobs/tracked-job.js';
import { MAX_TASKS, SPEC, startGroup } from './samples.js';

/** The jobs and machines of one worker thread. */
export interface PlacedTasksCase {
  /** Number of jobs of `MAX_TASKS` tasks each. */
  jobs: number;
  machines: number;
  /** Limit of a value in the store, in bytes. */
  valueBytes: number;
}

function place(job: Job, task: number, group: StartGroup<Job>, machine: Machine): void {
  const placement = new TaskPlacement(group, task, 'recording');
  job.placements.set(task, placement);
  machine.placements.add(placement);
}

/** Returns the number of tasks on all machines. */
function placeAll({ jobs, machines, valueBytes }: PlacedTasksCase): number {
  const fleet = Array.from({ length: machines }, (_, i) => new Machine(`host-${i}`, 0));
  for (let i = 0; i < jobs; i++) {
    const spec = { ...SPEC, tasks: MAX_TASKS };
    const job = new Job(`req-${i}`, spec, 0, 1, tasksPerRecord(valueBytes));
    const groups = fleet.map(({ id }) => startGroup(job, { machine: id }));
    for (let task = 0; task < MAX_TASKS; task++)
      place(job, task, groups[task % machines]!, fleet[task % machines]!);
  }
  return fleet.reduce((sum, { placements }) => sum + placements.size, 0);
}

parentPort?.postMessage(placeAll(workerData as PlacedTasksCase));
