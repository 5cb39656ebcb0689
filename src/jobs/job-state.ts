/** The state of a job as a controller knows it from the store. */

import type { JobPhase } from './job.js';

/** What a controller knows of a job. */
export interface JobState {
  /** Version of the record that says so. */
  version: number;
  /** As stored; or `cancelled` because a job that it depends on is. */
  phase: JobPhase;
  tasks: number;
  /** Jobs that an open job needs and that may still be open; they never change. */
  dependencies: readonly string[];
}
