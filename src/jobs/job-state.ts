/** The state of a job as a controller knows it from the store. */

import type { JobPhase } from './job.js';

/** The state of a job, as read from the store or cached. */
export interface JobState {
  /** Version of the job record that this state was read from. */
  version: number;
  /** The stored phase, or `cancelled` because a dependency is cancelled. */
  phase: JobPhase;
  tasks: number;
  /**
   * Dependencies of an open job that may still be open; empty once the job has ended or all of them
   * are done. The stored list never changes.
   */
  dependencies: readonly string[];
}
