/** Combines the extensions of one term for the leader. */
import type { StartFence } from '../../jobs/start-fence.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { QuotaLimitedTasks } from '../../scheduler/scheduling-model.js';
import type { Extension, ExtensionHost, TeamQuotaMap, TermExtension } from './extension.js';

/** Composite of all extensions in one term of the leader. */
export class TermExtensions {
  private readonly all: TermExtension[];

  constructor(extensions: readonly Extension[], host: ExtensionHost) {
    this.all = extensions.map((extension) => extension.beginTerm(host));
  }

  /** Fences of transactions that start tasks, in addition to the leader key. */
  get startFences(): readonly StartFence[] {
    return this.all;
  }

  /** Reads the records of all extensions sequentially. */
  async load(signal: AbortSignal): Promise<void> {
    for (const extension of this.all) await extension.load(signal);
  }

  /** Runs the supervised tasks of all extensions until the term ends. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(this.all.map((extension) => extension.run(signal)));
  }

  /** Quotas in force now; null if those of the settings apply. */
  quotas(): TeamQuotaMap | null {
    for (const extension of this.all) if (extension.quotas) return extension.quotas();
    return null;
  }

  /** How many tasks of a job may start now, regardless of free capacity. */
  startableTasks(job: Job): number {
    const remaining = Math.max(0, this.placementLimit(job.id) - job.placements.size);
    return Math.min(job.startableTaskCount, remaining);
  }

  /** Maximum number of placed tasks of a job; `Infinity` if there is no limit. */
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

  /** Notifies all extensions of the end of a scheduling cycle. */
  afterSchedulingCycle(quotaLimited: QuotaLimitedTasks): void {
    for (const extension of this.all) extension.afterSchedulingCycle?.(quotaLimited);
  }
}
