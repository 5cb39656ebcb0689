/** Background rewrite of indexed run records as ranged ones. */

import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Store } from '../state/store.js';
import type { JobRecordWriter } from './job-record-writer.js';
import type { Job } from './tracked-job.js';
import type { LayoutPolicy } from './run-layout.js';

/**
 * Rewrites indexed run records as ranged ones in the background, one job at a time and only while
 * no other writes are queued. Its speed does not matter: changes of a job are written as ranged
 * records whether or not its indexed ones still exist, and those can be deleted under any limits.
 */
export class RunRewriter {
  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly writer: JobRecordWriter,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly policy: LayoutPolicy,
  ) {}

  async run(intervalMs: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.policy.rangesReadable() && this.policy.rangesWanted())
        await this.rewriteDueJobs(intervalMs, signal);
      await this.runtime.clock.sleep(intervalMs, signal);
    }
  }

  private async rewriteDueJobs(intervalMs: number, signal: AbortSignal): Promise<void> {
    const dueJobs = [...this.jobs.values()].filter((job) => isDue(job)).sort(mostUrgentFirst);
    for (const job of dueJobs) {
      while (this.store.queuedWrites > 0 && !signal.aborted) {
        await this.runtime.clock.sleep(intervalMs / 10, signal);
      }
      if (!isDue(job)) continue;
      this.writer.rewriteSuperseded(job);
      while (job.isRewriting && isDue(job) && !signal.aborted) {
        await this.runtime.clock.sleep(intervalMs / 10, signal);
      }
      if (signal.aborted) return;
    }
    if (dueJobs.length > 0)
      this.runtime.log.info({ jobs: dueJobs.length }, 'run records rewritten');
  }
}

/** Whether the job is open and readable and still has indexed records in the store. */
function isDue(job: Job): boolean {
  if (job.phase !== 'open' || job.isUnreadable || job.isArchived) return false;
  return job.layout.kind === 'indexed' ? job.layout.stored().length > 0 : job.layout.hasSuperseded;
}

/** Orders running jobs first, then by priority: those are likely to change soonest. */
function mostUrgentFirst(a: Job, b: Job): number {
  const running = Number(b.placements.size > 0) - Number(a.placements.size > 0);
  return running || a.spec.priority - b.spec.priority;
}
