/**
 * Keeps as many open jobs of the largest size as a controller accepts. Runs as a worker thread, whose
 * heap can be limited to that of a deployed controller.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { OPEN_JOBS_PER_MB } from '../../src/jobs/job-api.js';
import { tasksPerRecord } from '../../src/jobs/records.js';
import { Job } from '../../src/jobs/tracked-job.js';
import { MAX_TASKS, SPEC } from './samples.js';

/** A deployment whose leader keeps the jobs. */
export interface OpenJobsCase {
  /** Memory of a controller, in MB. */
  memoryMb: number;
  /** Limit of a value in the store, in bytes. */
  valueBytes: number;
}

/** What the leader holds. */
export interface OpenJobsResult {
  jobs: number;
  waitingTasks: number;
  /** Memory outside of the heap, in bytes. */
  bufferBytes: number;
}

function keepOpenJobs({ memoryMb, valueBytes }: OpenJobsCase): OpenJobsResult {
  const buffersBefore = process.memoryUsage().arrayBuffers;
  const jobs = Array.from({ length: memoryMb * OPEN_JOBS_PER_MB }, (_, i) => {
    const job = new Job(
      `req-${i}`,
      { ...SPEC, tasks: MAX_TASKS },
      0,
      1,
      tasksPerRecord(valueBytes),
    );
    // One task of each job is done, and its record stored.
    job.markDone(MAX_TASKS - 1);
    return job;
  });
  return {
    jobs: jobs.length,
    waitingTasks: jobs.reduce((sum, job) => sum + job.waitingTaskCount, 0),
    bufferBytes: process.memoryUsage().arrayBuffers - buffersBefore,
  };
}

parentPort?.postMessage(keepOpenJobs(workerData as OpenJobsCase));
