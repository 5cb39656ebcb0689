/** Stored records of provisioning requests, by which a new leader does not provision twice. */
import { RequestPriority } from '@leverhatch/core/store';
import type { Term } from '../election/term.js';
import { parseProvisioning, type ProvisioningRecord } from '../jobs/records.js';
import { KEYS } from '../state/keys.js';
import type { Entry, Store } from '../state/store.js';

/** Stored field that names the request of a record. */
const REQUEST_FIELD = 'w';

/**
 * Value of the guard key. Earlier versions read it as a request for no machines: they count nothing
 * for it, and delete it when they lead. That is sound, since all writes that it fences off belong to
 * an earlier term.
 */
const EMPTY_REQUEST: ProvisioningRecord = {
  [REQUEST_FIELD]: 'guard',
  type: '',
  zone: '',
  spot: false,
  count: 0,
  at: 0,
};

/**
 * The stored records of requests whose machines the cloud's listing may not show yet, so that a new
 * leader does not provision the same again.
 *
 * A write with an ambiguous result may be applied long after its record was deleted. It must then fail
 * one of its conditions, or the record of a finished request comes back, and the next leader counts
 * on machines that nobody requested. The leader key protects later terms. Within a term the guard
 * does: a key whose version is a condition of every such write, and which is written together with
 * the deletion of a record that still has an ambiguous write.
 */
export class ProvisioningRecords {
  /** Version of the guard as far as known; 0: there is none. */
  private guardVersion = 0;
  /** Requests with a write that may still be applied. */
  private readonly ambiguousWrites = new Set<string>();

  constructor(
    private readonly store: Store,
    private readonly term: Term,
  ) {}

  /** The request that an earlier leader left in an entry; null: the entry holds none. */
  restore(entry: Entry): { request: string; record: ProvisioningRecord } | null {
    if (entry.key === KEYS.provisioningGuard) {
      this.guardVersion = entry.version;
      return null;
    }
    const record = parseProvisioning(entry.value);
    return record && { request: entry.key.slice(KEYS.provisioningRequests.length), record };
  }

  /** Records a request before it is sent to the cloud; false if the term is over. */
  async add(request: string, record: Omit<ProvisioningRecord, 'w'>): Promise<boolean> {
    const { signal, fencingToken } = this.term;
    const key = KEYS.provisioningRequest(request);
    const value: ProvisioningRecord = { [REQUEST_FIELD]: request, ...record };
    for (;;) {
      const outcome = await this.store.commit(
        [
          { key: KEYS.leader, version: fencingToken },
          { key, version: 0 },
          { key: KEYS.provisioningGuard, version: this.guardVersion },
        ],
        [{ put: key, value }],
        // Machines take longer to come up than anything else: their records never wait behind starts.
        RequestPriority.Critical,
        signal,
      );
      if (outcome.ambiguous) this.ambiguousWrites.add(request);
      if (outcome.ok) return true;
      if (outcome.failed.includes(KEYS.leader)) {
        this.term.end();
        return false;
      }
      // Either an ambiguous write was applied, or the guard has moved and none of them ever will be.
      if (await this.store.readWithRetry(key, signal)) return true;
      this.ambiguousWrites.delete(request);
      this.guardVersion =
        (await this.store.readWithRetry(KEYS.provisioningGuard, signal))?.version ?? 0;
    }
  }

  /** Deletes the record of a finished request for good. */
  async remove(request: string): Promise<void> {
    const needsGuard = this.ambiguousWrites.delete(request);
    const outcome = await this.store.commit(
      [{ key: KEYS.leader, version: this.term.fencingToken }],
      [
        { delete: KEYS.provisioningRequest(request) },
        ...(needsGuard ? [{ put: KEYS.provisioningGuard, value: EMPTY_REQUEST }] : []),
      ],
      RequestPriority.Normal,
      this.term.signal,
    );
    if (needsGuard && outcome.ok) this.guardVersion = Math.max(this.guardVersion, outcome.revision);
  }
}
