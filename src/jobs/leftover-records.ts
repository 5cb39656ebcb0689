/** Deferred deletion of run records that ended jobs left behind. */

import { RequestPriority } from '@leverhatch/core/store';
import type { Term } from '../election/term.js';
import type { Runtime } from '@leverhatch/core/duty';
import { KEYS } from '../state/keys.js';
import { RequestRejectedError, type Store } from '../state/store.js';

/** A run record of a job of which the store holds only the final state. */
export interface LeftoverRecord {
  key: string;
  version: number;
}

/**
 * Fraction of the transaction limit that one batch of deletes takes, so that no other write waits
 * long.
 */
const BATCH_RATIO = 0.25;

/**
 * Records beyond what the store's write rate deletes in this many seconds are deleted also while
 * other writes wait.
 */
const MAX_LEFTOVER_SECONDS = 60;

/**
 * Deletes the run records that jobs left behind whose end was written while other writes waited.
 *
 * Where many small jobs come and go the store's rate of changes is the limit. The end of a job has
 * to be announced to its users within seconds; that its run records are deleted is of use to
 * nobody. So the final state is written alone, and the deletes of several jobs share a transaction
 * later on.
 *
 * Such a record means nothing: the final state was written on condition of the leader key, of the
 * job's record and of this version of the run record, when all starts of the job were proven gone,
 * and no leader writes run records of a job that is over. A leader whose term ends leaves the rest
 * to the next one, which finds them when it reads the records.
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

  /** True once no more records should be left behind. */
  get isFull(): boolean {
    return this.records.length >= this.store.limits.effective().writeRps * MAX_LEFTOVER_SECONDS;
  }

  add(records: readonly LeftoverRecord[]): void {
    this.records.push(...records);
  }

  async run(everyMs: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.mayDelete()) await this.deleteSome(signal);
      else await this.runtime.clock.sleep(everyMs, signal);
    }
  }

  private mayDelete(): boolean {
    if (this.records.length === 0) return false;
    return this.store.queuedWrites === 0 || this.isFull;
  }

  private async deleteSome(signal: AbortSignal): Promise<void> {
    const maxBatch = Math.max(1, Math.floor(this.store.limits.effective().txnOps * BATCH_RATIO));
    const batch = this.records.slice(0, maxBatch);
    const conditions = [{ key: KEYS.leader, version: this.term.fencingToken }, ...batch];
    const changes = batch.map(({ key }) => ({ delete: key }));
    try {
      const outcome = await this.store.commit(conditions, changes, RequestPriority.Normal, signal);
      if (outcome.ok) this.drop(new Set(batch.map(({ key }) => key)));
      else if (outcome.failed.includes(KEYS.leader)) this.term.end();
      // An earlier copy without an answer was applied: they are gone.
      else this.drop(new Set(outcome.failed));
    } catch (error) {
      if (!(error instanceof RequestRejectedError)) throw error;
      // Nothing rests on them; a later leader finds them again.
      this.drop(new Set(batch.map(({ key }) => key)));
    }
  }

  private drop(keys: ReadonlySet<string>): void {
    this.records = this.records.filter(({ key }) => !keys.has(key));
  }
}
