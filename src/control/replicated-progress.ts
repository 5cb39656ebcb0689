/** Job progress as replicated to followers. */
import type { TaskCounts } from '../jobs/job-api.js';
import type { JobProgress } from '../peer/frames.js';

/** Progress of open jobs as of the leader's last heartbeats; for display only. */
export class ReplicatedProgress {
  private readonly progress = new Map<string, TaskCounts>();

  /** @param maxJobs maximum number of jobs to keep; progress of further jobs is ignored */
  constructor(private readonly maxJobs: number) {}

  /** Applies one frame of a leader heartbeat; the first frame replaces all previous progress. */
  apply(first: boolean, progress: readonly JobProgress[]): void {
    if (first) this.progress.clear();
    for (const job of progress) {
      if (this.progress.size >= this.maxJobs) return;
      this.progress.set(job.id, job);
    }
  }

  of(id: string): TaskCounts | null {
    return this.progress.get(id) ?? null;
  }

  get size(): number {
    return this.progress.size;
  }
}
