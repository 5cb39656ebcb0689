import { RequestPriority } from '@leverhatch/core/store';
import { BehaviorSubject } from 'rxjs';
import type { Transport } from '../http/client.js';
import type { Runtime } from '@leverhatch/core/duty';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';
import { parseMachineTypes, CLOUD_PATHS } from '../wire/cloud.js';
import { z } from 'zod/mini';
import type { MachineType } from './resources.js';

const stored = z.object({ types: z.unknown() });

/**
 * The machine types. They are kept in the store as the cloud told them, so that a controller that
 * starts while the cloud is down knows them all the same.
 */
export class MachineTypeCatalog {
  readonly types = new BehaviorSubject<ReadonlyMap<string, MachineType> | null>(null);
  private raw: unknown = null;

  constructor(
    private readonly store: Store,
    private readonly cloud: Transport,
    private readonly runtime: Runtime,
    private readonly timeoutMs: number,
  ) {}

  async load(signal: AbortSignal): Promise<void> {
    while (!this.types.value) {
      const entry = await this.store
        .get(KEYS.types, RequestPriority.High, signal)
        .catch(() => null);
      if (entry) this.update(z.parse(stored, entry.value).types);
      else if (await this.refresh(signal).catch(() => false)) await this.persist(signal);
      else await this.runtime.clock.sleep(this.timeoutMs / 4, signal);
      signal.throwIfAborted();
    }
  }

  /** Asks the cloud for the types at their current prices. */
  async refresh(signal: AbortSignal): Promise<boolean> {
    const reply = await this.cloud.request('GET', CLOUD_PATHS.types, null, this.timeoutMs, signal);
    if (reply.status !== 200) return false;
    this.update(reply.body);
    return true;
  }

  private async persist(signal: AbortSignal): Promise<void> {
    // Whoever is first keeps them; another's copy is as good as ours.
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
