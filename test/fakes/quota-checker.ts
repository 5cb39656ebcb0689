import type { ApiAnswer } from '@leverhatch/operators/api-answer';
import * as shares from '@leverhatch/shares';
import { QuotaTransferExtension } from '../../src/control/extensions/quota-transfer-extension.js';
import { machines } from './fault-scenario.js';
import { askUntilServed, extensionOf, observed } from './operators.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The machines of most tests of quota transfers: 64 GPUs in two zones. */
export const EIGHT = [...machines('aaaa'), ...machines('bbbb')];

interface Amounts {
  cpus: number;
  gpus: number;
}

/** What the checker reads of a transfer's record. */
interface SeenTransfer {
  from: string;
  to: string;
  limit: Amounts;
  passed: Amounts;
  phase: string;
}

/** Phases in which what was passed on counts for the receiver. */
const HELD = ['draining', 'lent', 'done', 'returning'];

/**
 * Checks quotas by what the workers run: no team may use more than the limit of the settings, less what the
 * store says it has passed on, plus what was passed to it. It has no code in common with the package, and sets
 * the limits by which the rule `quota` is checked at every step.
 */
export class QuotaChecker {
  /** How often the manifest was written. */
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
      const transfer = value as SeenTransfer;
      if (!HELD.includes(transfer.phase)) continue;
      for (const resource of ['cpus', 'gpus'] as const) {
        limits.get(transfer.from)![resource] -= transfer.passed[resource];
        limits.get(transfer.to)![resource] += transfer.passed[resource];
      }
    }
    for (const [name, limit] of limits) this.world.teamLimits.set(name, limit);
  }
}

/** Enables quota transfers at all controllers that start from now on. */
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

/** The operators' interface of one controller; undefined: it is down, or has quota transfers disabled. */
export function quotaTransferApi(
  world: SimulatedCluster,
  node: number,
): shares.QuotaTransferApi | undefined {
  const api = extensionOf(world, node, QuotaTransferExtension)?.api;
  return api && observed(world, node, api);
}

/** Asks one controller, and again while it does not serve. */
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

/** The phase in a transfer's record. */
export const transferPhase = (world: SimulatedCluster, id: string): string | undefined =>
  (world.store.get(`shares/moves/${id}`) as SeenTransfer | undefined)?.phase;
