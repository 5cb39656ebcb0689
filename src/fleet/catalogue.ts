import { BehaviorSubject } from 'rxjs';
import type { Transport } from '../http/client.js';
import type { Runtime } from '@leverhatch/core/duty';
import { KEYS } from '../state/keys.js';
import type { Store } from '../state/store.js';
import { parseTypes, PATHS } from '../wire/cloud.js';
import { z } from 'zod/mini';
import type { MachineType } from './types.js';

const stored = z.object({ types: z.unknown() });

/**
 * The machine types. They are kept in the store as the cloud told them, so that a controller that
 * starts while the cloud is down knows them all the same.
 */
export class Catalogue {
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
      const entry = await this.store.get(KEYS.types, 1, signal).catch(() => null);
      if (entry) this.take(z.parse(stored, entry.value).types);
      else if (await this.ask(signal).catch(() => false)) await this.keep(signal);
      else await this.runtime.clock.sleep(this.timeoutMs / 4, signal);
      signal.throwIfAborted();
    }
  }

  /** Asks the cloud for the types at their current prices. */
  async ask(signal: AbortSignal): Promise<boolean> {
    const reply = await this.cloud.request('GET', PATHS.types, null, this.timeoutMs, signal);
    if (reply.status !== 200) return false;
    this.take(reply.body);
    return true;
  }

  private async keep(signal: AbortSignal): Promise<void> {
    // Whoever is first keeps them; another's copy is as good as ours.
    await this.store
      .txn(
        [{ key: KEYS.types, version: 0 }],
        [{ put: KEYS.types, value: { types: this.raw } }],
        1,
        signal,
      )
      .catch(() => undefined);
  }

  private take(body: unknown): void {
    const types = parseTypes(body);
    this.raw = body;
    this.types.next(new Map(types.map((t) => [t.name, t])));
  }
}
