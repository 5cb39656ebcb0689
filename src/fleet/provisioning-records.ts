import { RequestPriority } from '@leverhatch/core/store';
import type { Term } from '../election/term.js';
import { parseProvisioning, type ProvisioningRecord } from '../jobs/records.js';
import { KEYS } from '../state/keys.js';
import type { Entry, Store } from '../state/store.js';

/**
 * The stored records of orders whose machines the cloud's list may not show yet, so that a new leader
 * does not order the same again.
 *
 * A copy of a record's write that got no answer may be carried out long after the record was deleted.
 * All that it finds then must fail one of its conditions, or the record comes back for an order that
 * is over, and the next leader counts machines that nobody ordered. The leader key protects later
 * terms. Within a term the guard does: one more key whose version every such write is conditioned on,
 * written anew together with the deletion of a record of which a copy may still be under way. Its
 * value reads as an order of no machines: earlier versions count nothing for it, and delete it when
 * they lead. That is sound as well, since all copies that it holds off belong to a term before theirs.
 */
export class ProvisioningRecords {
  /** Version of the guard as far as it is known; 0: there is none. */
  private guardVersion = 0;
  /** Orders of which a write without an answer may still be carried out. */
  private readonly ambiguousWrites = new Set<string>();

  constructor(
    private readonly store: Store,
    private readonly term: Term,
  ) {}

  /** What an earlier leader left, by the name of the request; null: it is no order. */
  restore(entry: Entry): { request: string; record: ProvisioningRecord } | null {
    if (entry.key === KEYS.provisioningGuard) {
      this.guardVersion = entry.version;
      return null;
    }
    const record = parseProvisioning(entry.value);
    return record && { request: entry.key.slice(KEYS.provisioningRequests.length), record };
  }

  /** Records an order before it is given; false if the term is over. */
  async add(record: ProvisioningRecord): Promise<boolean> {
    const { signal, fencingToken: fencingToken } = this.term;
    const key = KEYS.provisioningRequest(record.w);
    for (;;) {
      const outcome = await this.store.commit(
        [
          { key: KEYS.leader, version: fencingToken },
          { key, version: 0 },
          { key: KEYS.provisioningGuard, version: this.guardVersion },
        ],
        [{ put: key, value: record }],
        // A machine takes longest of all to come: its record never waits behind those of starts.
        RequestPriority.Critical,
        signal,
      );
      if (outcome.ambiguous) this.ambiguousWrites.add(record.w);
      if (outcome.ok) return true;
      if (outcome.failed.includes(KEYS.leader)) {
        this.term.end();
        return false;
      }
      // A copy without an answer was applied, or the guard has moved: then none of them ever will be.
      if (await this.store.readWithRetry(key, signal)) return true;
      this.ambiguousWrites.delete(record.w);
      this.guardVersion =
        (await this.store.readWithRetry(KEYS.provisioningGuard, signal))?.version ?? 0;
    }
  }

  /** Deletes the record of an order that is over, for good. */
  async remove(request: string): Promise<void> {
    const guarded = this.ambiguousWrites.delete(request);
    const outcome = await this.store.commit(
      [{ key: KEYS.leader, version: this.term.fencingToken }],
      [
        { delete: KEYS.provisioningRequest(request) },
        ...(guarded ? [{ put: KEYS.provisioningGuard, value: EMPTY_REQUEST }] : []),
      ],
      RequestPriority.Normal,
      this.term.signal,
    );
    if (guarded && outcome.ok) this.guardVersion = Math.max(this.guardVersion, outcome.revision);
  }
}

const EMPTY_REQUEST: ProvisioningRecord = {
  w: 'guard',
  type: '',
  zone: '',
  spot: false,
  count: 0,
  at: 0,
};
