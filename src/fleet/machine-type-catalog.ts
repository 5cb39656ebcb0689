/** The catalog of machine types, from the store or the cloud. */
import { RequestPriority } from '@leverhatch/core/store';
import { BehaviorSubject } from 'rxjs';
import type { Transport } from '../http/client.js';
import type { Runtime } from '@leverhatch/core/duty';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';
import { parseMachineTypes, CLOUD_PATHS } from '../wire/cloud.js';
import { z } from 'zod/mini';
import type { MachineType } from './resources.js';

/** Divides the cloud's time-out into the pause between attempts to load the types. */
const RETRY_TIMEOUT_DIVISOR = 4;

const storedTypes = z.object({ types: z.unknown() });

/**
 * The machine types. They are stored as the cloud gave them, so that a controller that starts while
 * the cloud is unavailable knows them too.
 */
export class MachineTypeCatalog {
  /** By name; null until loaded. */
  readonly types = new BehaviorSubject<ReadonlyMap<string, MachineType> | null>(null);
  private raw: unknown = null;

  constructor(
    private readonly store: Store,
    private readonly cloud: Transport,
    private readonly runtime: Runtime,
    /** Time-out of calls to the cloud, in milliseconds. */
    private readonly timeoutMs: number,
  ) {}

  /** Loads the types from the store, else from the cloud, until one of them has answered. */
  async load(signal: AbortSignal): Promise<void> {
    while (!this.types.value) {
      // A store that is unavailable is no obstacle: the cloud is asked instead, and both again later.
      const entry = await this.store
        .get(KEYS.types, RequestPriority.High, signal)
        .catch(() => null);
      if (entry) this.update(z.parse(storedTypes, entry.value).types);
      else if (await this.refresh(signal).catch(() => false)) await this.persist(signal);
      else await this.runtime.clock.sleep(this.timeoutMs / RETRY_TIMEOUT_DIVISOR, signal);
      signal.throwIfAborted();
    }
  }

  /** Reads the types at their current prices from the cloud; false if it does not serve them. */
  async refresh(signal: AbortSignal): Promise<boolean> {
    const reply = await this.cloud.request('GET', CLOUD_PATHS.types, null, this.timeoutMs, signal);
    if (reply.status !== 200) return false;
    this.update(reply.body);
    return true;
  }

  private async persist(signal: AbortSignal): Promise<void> {
    // The first write wins. A conflict or an unavailable store is ignored: another controller's copy is
    // as good as ours, and the next start tries again.
    await this.store
      .tryCommit(
        [{ key: KEYS.types, version: 0 }],
        [{ put: KEYS.types, value: { types: this.raw } }],
        RequestPriority.High,
        signal,
      )
      .catch(() => undefined);
  }

  private update(body: unknown): void {
    const types = parseMachineTypes(body);
    this.raw = body;
    this.types.next(new Map(types.map((type) => [type.name, type])));
  }
}
