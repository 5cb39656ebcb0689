/** Combines the extensions of one term into one view for the leader. */
import type { StartFence } from '../../jobs/start-fence.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { QuotaLimitedTasks } from '../../scheduler/scheduling-model.js';
import type { Extension, ExtensionHost, TeamQuotaMap, TermExtension } from './extension.js';

/** All extensions in one term of the leader, as if they were one. */
export class TermExtensions {
  private readonly all: TermExtension[];

  constructor(extensions: readonly Extension[], host: ExtensionHost) {
    this.all = extensions.map((extension) => extension.beginTerm(host));
  }

  /** Fences of transactions that start work, besides the leader key. */
  get startFences(): readonly StartFence[] {
    return this.all;
  }

  /** Reads the records of all extensions, one after the other. */
  async load(signal: AbortSignal): Promise<void> {
    for (const extension of this.all) await extension.load(signal);
  }

  /** Runs the supervised tasks of all extensions until the term ends. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(this.all.map((extension) => extension.run(signal)));
  }

  /** Quotas in force now; null: those of the settings. */
  quotas(): TeamQuotaMap | null {
    for (const extension of this.all) if (extension.quotas) return extension.quotas();
    return null;
  }

  /** How many tasks of a job may start now, regardless of free capacity. */
  startableTasks(job: Job): number {
    const remaining = Math.max(0, this.placementLimit(job.id) - job.placements.size);
    return Math.min(job.startableTaskCount, remaining);
  }

  /** How many tasks of a job may be placed at once; `Infinity` without a limit. */
  placementLimit(job: string): number {
    return Math.min(
      Infinity,
      ...this.all.map((extension) => extension.placementLimit?.(job) ?? Infinity),
    );
  }

  /** Whether consolidation may move replicas of a job. */
  mayMove(job: string): boolean {
    return this.all.every((extension) => extension.mayMove?.(job) ?? true);
  }

  /** Passes on that a scheduling cycle has ended. */
  afterSchedulingCycle(quotaLimited: QuotaLimitedTasks): void {
    for (const extension of this.all) extension.afterSchedulingCycle?.(quotaLimited);
  }
}
