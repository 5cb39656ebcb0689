import type { ApiAnswer } from '@leverhatch/operators/api-answer';
import * as shares from '@leverhatch/shares';
import { QuotaTransferExtension } from '../../src/control/extensions/quota-transfer-extension.js';
import { machines } from './fault-scenario.js';
import { askUntilServed, extensionOf, observed } from './operators.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The machines of most scenarios of shares: 64 GPUs in two zones. */
export const EIGHT = [...machines('aaaa'), ...machines('bbbb')];

interface Amounts {
  cpus: number;
  gpus: number;
}

/** Of a record of a move, what the checker reads. */
interface SeenMove {
  from: string;
  to: string;
  limit: Amounts;
  passed: Amounts;
  phase: string;
}

/** Phases in which what is passed on counts for the receiver. */
const HELD = ['draining', 'lent', 'done', 'returning'];

/**
 * Judges shares by what the workers of a scenario run: no team may use more than the limit of the
 * settings, less what the store says it has passed on, plus what was passed to it. It shares no code
 * with the package, and sets the limits by which the rule `quota` is judged at every step.
 */
export class QuotaChecker {
  /** The changes of the table that the store has seen. */
  changes = 0;

  constructor(private readonly world: SimulatedCluster) {
    const before = world.store.onWrite;
    world.store.onWrite = (key) => {
      before(key);
      if (!key.startsWith('shares/')) return;
      if (key === 'shares/head') this.changes++;
      this.observe();
    };
  }

  private observe(): void {
    const limits = new Map<string, Amounts>();
    for (const [name, { limit }] of this.world.teams) limits.set(name, { ...limit });
    for (const [key, { value }] of this.world.store.keys) {
      if (!key.startsWith('shares/moves/')) continue;
      const move = value as SeenMove;
      if (!HELD.includes(move.phase)) continue;
      for (const resource of ['cpus', 'gpus'] as const) {
        limits.get(move.from)![resource] -= move.passed[resource];
        limits.get(move.to)![resource] += move.passed[resource];
      }
    }
    for (const [name, limit] of limits) this.world.teamLimits.set(name, limit);
  }
}

/** Switches moving shares on at all controllers that start from now on. */
export function withQuotaTransfers(
  world: SimulatedCluster,
  policy: shares.Policy | null = null,
): QuotaChecker {
  for (const node of world.nodes) {
    node.extensions.set(
      'shares',
      (host) => new QuotaTransferExtension({ package: shares, policy }, host),
    );
  }
  return new QuotaChecker(world);
}

/** How operators ask one controller about shares; undefined: it is down, or has them switched off. */
export function quotaTransferApi(
  world: SimulatedCluster,
  node: number,
): shares.QuotaTransferApi | undefined {
  const api = extensionOf(world, node, QuotaTransferExtension)?.api;
  return api && observed(world, node, api);
}

/** Asks one controller about shares, and again while it does not serve. */
export function askQuotaTransfers(
  world: SimulatedCluster,
  node: number,
  what: (api: shares.QuotaTransferApi) => Promise<ApiAnswer>,
): Promise<ApiAnswer> {
  return askUntilServed(world, () => {
    const api = quotaTransferApi(world, node);
    return api && what(api);
  });
}

/** The phase that the record of a move says. */
export const transferPhase = (world: SimulatedCluster, id: string): string | undefined =>
  (world.store.get(`shares/moves/${id}`) as SeenMove | undefined)?.phase;
