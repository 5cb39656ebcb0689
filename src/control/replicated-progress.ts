/** What followers show of how far jobs are. */
import type { TaskCounts } from '../jobs/job-api.js';
import type { JobProgress } from '../peer/frames.js';

/** How far open jobs are, as the leader last told it in its heartbeats; for display. */
export class ReplicatedProgress {
  private readonly progress = new Map<string, TaskCounts>();

  /** @param maxJobs how many jobs are remembered; what is told of more of them is left out */
  constructor(private readonly maxJobs: number) {}

  /** One frame of a heartbeat; the first one begins anew, without the jobs that are over. */
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
