/** The catalog of machine types, loaded from the store or the cloud. */
import { RequestPriority } from '@leverhatch/core/store';
import { BehaviorSubject } from 'rxjs';
import type { Transport } from '../http/client.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';
import { parseMachineTypes, CLOUD_PATHS } from '../wire/cloud.js';
import { z } from 'zod/mini';
import type { MachineType } from './resources.js';

/** The delay between attempts to load the types is the cloud's call time-out divided by this. */
const RETRY_TIMEOUT_DIVISOR = 4;

const storedTypes = z.object({ types: z.unknown() });

/**
 * The machine types. The store keeps a copy of the cloud's response, so that a controller that
 * starts while the cloud is unavailable can load them too.
 */
export class MachineTypeCatalog {
  /** Machine types by name; null until loaded. */
  readonly types = new BehaviorSubject<ReadonlyMap<string, MachineType> | null>(null);
  private rawTypes: unknown = null;

  constructor(
    private readonly store: Store,
    private readonly cloud: Transport,
    private readonly runtime: Runtime,
    /** Time-out of calls to the cloud, in milliseconds. */
    private readonly timeoutMs: number,
  ) {}

  /** Loads the types from the store or else from the cloud, and retries until one succeeds. */
  async load(signal: AbortSignal): Promise<void> {
    while (!this.types.value) {
      // If the store is unavailable, the types are read from the cloud.
      const entry = await this.store
        .get(KEYS.types, RequestPriority.High, signal)
        .catch(() => null);
      if (entry) this.update(z.parse(storedTypes, entry.value).types);
      else if (await this.refresh(signal).catch(() => false)) await this.persist(signal);
      else await this.runtime.clock.sleep(this.timeoutMs / RETRY_TIMEOUT_DIVISOR, signal);
      signal.throwIfAborted();
    }
  }

  /** Reads the types with current prices from the cloud; returns false on an error response. */
  async refresh(signal: AbortSignal): Promise<boolean> {
    const reply = await this.cloud.request('GET', CLOUD_PATHS.types, null, this.timeoutMs, signal);
    if (reply.status !== 200) return false;
    this.update(reply.body);
    return true;
  }

  private async persist(signal: AbortSignal): Promise<void> {
    // The first write wins. A conflict is ignored because any controller's copy will do. So is an
    // unavailable store, because the next start tries again.
    await this.store
      .tryCommit(
        [{ key: KEYS.types, version: 0 }],
        [{ put: KEYS.types, value: { types: this.rawTypes } }],
        RequestPriority.High,
        signal,
      )
      .catch(() => undefined);
  }

  private update(body: unknown): void {
    const types = parseMachineTypes(body);
    this.rawTypes = body;
    this.types.next(new Map(types.map((type) => [type.name, type])));
  }
}
