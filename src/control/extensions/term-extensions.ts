import type { StartFence } from '../../jobs/start-fence.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { QuotaLimitedTasks } from '../../scheduler/scheduling-model.js';
import type { Extension, ExtensionHost, TeamQuotaMap, TermExtension } from './extension.js';

/** All optional parts in one term of the leader, as if they were one. */
export class TermExtensions {
  private readonly all: TermExtension[];

  constructor(extensions: readonly Extension[], host: ExtensionHost) {
    this.all = extensions.map((extension) => extension.beginTerm(host));
  }

  /** What transactions that start work are conditioned on, beside the leader key. */
  get startFences(): readonly StartFence[] {
    return this.all;
  }

  async load(signal: AbortSignal): Promise<void> {
    for (const extension of this.all) await extension.load(signal);
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(this.all.map((extension) => extension.run(signal)));
  }

  /** What each team may have now; null: as the settings say. */
  quotas(): TeamQuotaMap | null {
    for (const extension of this.all) if (extension.quotas) return extension.quotas();
    return null;
  }

  /** How many tasks of a job may be started now, whatever room there is. */
  startableTasks(job: Job): number {
    const roomUnderLimit = Math.max(0, this.placementLimit(job.id) - job.placements.size);
    return Math.min(job.startableCount, roomUnderLimit);
  }

  /** How many tasks of a job may be placed at once. */
  placementLimit(job: string): number {
    return Math.min(
      Infinity,
      ...this.all.map((extension) => extension.placementLimit?.(job) ?? Infinity),
    );
  }

  mayMove(job: string): boolean {
    return this.all.every((extension) => extension.mayMove?.(job) ?? true);
  }

  afterSchedulingCycle(quotaLimited: QuotaLimitedTasks): void {
    for (const extension of this.all) extension.afterSchedulingCycle?.(quotaLimited);
  }
}
