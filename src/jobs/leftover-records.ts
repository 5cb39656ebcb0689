/** Deferred deletion of run records that ended jobs left behind. */

import { RequestPriority } from '@leverhatch/core/store';
import type { Term } from '../election/term.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { KEYS } from '../state/keys.js';
import { RequestRejectedError, type Store } from '../state/store.js';

/** A run record that remains of a job whose final state is stored. */
export interface LeftoverRecord {
  key: string;
  version: number;
}

/** Fraction of the transaction limit that one batch of deletes uses, to keep other writes fast. */
const BATCH_RATIO = 0.25;

/**
 * If there are more records than the store's write rate can delete in this many seconds, they are
 * deleted even while other writes are queued.
 */
const MAX_LEFTOVER_SECONDS = 60;

/**
 * Deletes the run records of jobs whose end was written while other writes were queued.
 *
 * With many short jobs the store's write rate is the bottleneck. The end of a job has to be
 * reported to its users within seconds, whereas deleting its run records is not urgent. So the
 * final state is written alone, and the deletes of several jobs share a later transaction.
 *
 * Such a record is obsolete: the final state was written on condition of the leader key, the job
 * record and this version of the run record, when all starts of the job were proven gone, and no
 * leader writes run records of an ended job. When a leader's term ends, the remaining records are
 * left to the next leader, which finds them when it reads the store.
 */
export class LeftoverRecords {
  private records: LeftoverRecord[] = [];

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly term: Term,
  ) {}

  get count(): number {
    return this.records.length;
  }

  /** True if no further deletes should be deferred. */
  get isFull(): boolean {
    return this.records.length >= this.store.limits.effective().writeRps * MAX_LEFTOVER_SECONDS;
  }

  add(records: readonly LeftoverRecord[]): void {
    this.records.push(...records);
  }

  async run(intervalMs: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.mayDelete()) await this.deleteBatch(signal);
      else await this.runtime.clock.sleep(intervalMs, signal);
    }
  }

  private mayDelete(): boolean {
    if (this.records.length === 0) return false;
    return this.store.queuedWrites === 0 || this.isFull;
  }

  private async deleteBatch(signal: AbortSignal): Promise<void> {
    const maxBatch = Math.max(1, Math.floor(this.store.limits.effective().txnOps * BATCH_RATIO));
    const batch = this.records.slice(0, maxBatch);
    const conditions = [{ key: KEYS.leader, version: this.term.fencingToken }, ...batch];
    const changes = batch.map(({ key }) => ({ delete: key }));
    try {
      const outcome = await this.store.commit(conditions, changes, RequestPriority.Normal, signal);
      if (outcome.ok) this.remove(new Set(batch.map(({ key }) => key)));
      else if (outcome.failed.includes(KEYS.leader)) this.term.end();
      // An earlier attempt without a response was applied: these records are already deleted.
      else this.remove(new Set(outcome.failed));
    } catch (error) {
      if (!(error instanceof RequestRejectedError)) throw error;
      // Nothing depends on these records; a later leader finds them again.
      this.remove(new Set(batch.map(({ key }) => key)));
    }
  }

  private remove(keys: ReadonlySet<string>): void {
    this.records = this.records.filter(({ key }) => !keys.has(key));
  }
}
