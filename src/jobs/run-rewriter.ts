/** Background rewrite of indexed run records as ranged ones. */

import type { Runtime } from '@leverhatch/core/duty';
import type { Store } from '../state/store.js';
import type { JobRecordWriter } from './job-record-writer.js';
import type { Job } from './tracked-job.js';
import type { LayoutPolicy } from './run-layout.js';

/**
 * Rewrites indexed run records as ranged ones in the background, one job at a time and only while
 * no other write waits. Nothing rests on its speed: a change of a job is written as ranged records
 * whether or not its indexed ones are still there, and those may be deleted under any limits.
 */
export class RunRewriter {
  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly writer: JobRecordWriter,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly policy: LayoutPolicy,
  ) {}

  async run(everyMs: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.policy.rangesReadable() && this.policy.rangesWanted())
        await this.pass(everyMs, signal);
      await this.runtime.clock.sleep(everyMs, signal);
    }
  }

  private async pass(everyMs: number, signal: AbortSignal): Promise<void> {
    const dueJobs = [...this.jobs.values()].filter((job) => isDue(job)).sort(mostUrgentFirst);
    for (const job of dueJobs) {
      while (this.store.queuedWrites > 0 && !signal.aborted) {
        await this.runtime.clock.sleep(everyMs / 10, signal);
      }
      if (!isDue(job)) continue;
      this.writer.rewrite(job);
      while (job.isRewriting && isDue(job) && !signal.aborted) {
        await this.runtime.clock.sleep(everyMs / 10, signal);
      }
      if (signal.aborted) return;
    }
    if (dueJobs.length > 0)
      this.runtime.log.info({ jobs: dueJobs.length }, 'run records rewritten');
  }
}

/** Some of its records are indexed ones, and something of it is still to be written. */
function isDue(job: Job): boolean {
  if (job.phase !== 'open' || job.isUnreadable || job.isArchived) return false;
  return job.layout.kind === 'indexed' ? job.layout.stored().length > 0 : job.layout.hasSuperseded;
}

/** Running jobs of high priority first: they change soonest. */
function mostUrgentFirst(a: Job, b: Job): number {
  const running = Number(b.placements.size > 0) - Number(a.placements.size > 0);
  return running || a.spec.priority - b.spec.priority;
}
