/** Stored records of provisioning requests, which keep a new leader from provisioning twice. */
import { RequestPriority } from '@leverhatch/core/store';
import type { Term } from '../election/term.js';
import { parseProvisioning, type ProvisioningRecord } from '../jobs/records.js';
import { KEYS } from '../state/keys.js';
import type { Entry, Store } from '../state/store.js';

/** Name of the stored field that holds the id of the request. */
const REQUEST_FIELD = 'w';

/**
 * Value of the guard key. Earlier versions read it as a request for zero machines: they count no
 * machines for it, and delete it when they lead. This is safe, since all writes that the guard
 * fences off then belong to an earlier term.
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
 * leader does not provision the same machines again.
 *
 * A write with an ambiguous result may be applied long after its record was deleted. It must then
 * fail one of its conditions; otherwise the record of a finished request reappears, and the next
 * leader counts on machines that nobody requested. In later terms the condition on the leader key
 * ensures this. Within a term the guard key does: its version is a condition of every such write,
 * and it is written together with the deletion of any record that still has an ambiguous write.
 */
export class ProvisioningRecords {
  /** Last known version of the guard key; 0 if it does not exist. */
  private guardVersion = 0;
  /** Ids of requests with a write that may still be applied. */
  private readonly ambiguousWrites = new Set<string>();

  constructor(
    private readonly store: Store,
    private readonly term: Term,
  ) {}

  /** Returns the request of an earlier leader that the entry holds, or null if it holds none. */
  restore(entry: Entry): { request: string; record: ProvisioningRecord } | null {
    if (entry.key === KEYS.provisioningGuard) {
      this.guardVersion = entry.version;
      return null;
    }
    const record = parseProvisioning(entry.value);
    return record && { request: entry.key.slice(KEYS.provisioningRequests.length), record };
  }

  /** Records a request before it is sent to the cloud; returns false if the term has ended. */
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
        // Booting takes longer than anything else, so these records must not wait behind starts.
        RequestPriority.Critical,
        signal,
      );
      if (outcome.ambiguous) this.ambiguousWrites.add(request);
      if (outcome.ok) return true;
      if (outcome.failed.includes(KEYS.leader)) {
        this.term.end();
        return false;
      }
      // Either an ambiguous write was applied, or the guard has a new version and no such write can
      // be applied any more.
      if (await this.store.readWithRetry(key, signal)) return true;
      this.ambiguousWrites.delete(request);
      this.guardVersion =
        (await this.store.readWithRetry(KEYS.provisioningGuard, signal))?.version ?? 0;
    }
  }

  /** Deletes the record of a finished request permanently. */
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
