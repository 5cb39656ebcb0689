import type { ApiAnswer } from '@leverhatch/operators/api-answer';
import * as shares from '@leverhatch/shares';
import { QuotaTransferExtension } from '../../src/control/extensions/quota-transfer-extension.js';
import { machines } from './fault-scenario.js';
import { askUntilServed, extensionOf, traced } from './operators.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The machines of most tests of quota transfers: 64 GPUs in two zones. */
export const EIGHT = [...machines('aaaa'), ...machines('bbbb')];

interface Amounts {
  cpus: number;
  gpus: number;
}

/** What the checker reads of a transfer's record. */
interface TransferRecord {
  from: string;
  to: string;
  limit: Amounts;
  passed: Amounts;
  phase: string;
}

/** Phases in which what was passed on counts for the receiver. */
const PHASES_HELD_BY_RECEIVER = ['draining', 'lent', 'done', 'returning'];

/**
 * Checks quotas by what the workers run: no team may use more than the limit of the settings, less what the
 * store says it has passed on, plus what was passed to it. It has no code in common with the package, and sets
 * the limits by which the rule `quota` is checked at every step.
 */
export class QuotaChecker {
  /** How often the manifest was written. */
  changes = 0;

  constructor(private readonly cluster: SimulatedCluster) {
    const before = cluster.store.onWrite;
    cluster.store.onWrite = (key) => {
      before(key);
      if (!key.startsWith('shares/')) return;
      if (key === 'shares/head') this.changes++;
      this.updateTeamLimits();
    };
  }

  private updateTeamLimits(): void {
    const limits = new Map<string, Amounts>();
    for (const [name, { limit }] of this.cluster.teams) limits.set(name, { ...limit });
    for (const [key, { value }] of this.cluster.store.keys) {
      if (!key.startsWith('shares/moves/')) continue;
      const transfer = value as TransferRecord;
      if (!PHASES_HELD_BY_RECEIVER.includes(transfer.phase)) continue;
      for (const resource of ['cpus', 'gpus'] as const) {
        limits.get(transfer.from)![resource] -= transfer.passed[resource];
        limits.get(transfer.to)![resource] += transfer.passed[resource];
      }
    }
    for (const [name, limit] of limits) this.cluster.teamLimits.set(name, limit);
  }
}

/** Enables quota transfers at all controllers that start from now on. */
export function withQuotaTransfers(
  cluster: SimulatedCluster,
  policy: shares.Policy | null = null,
): QuotaChecker {
  for (const node of cluster.nodes) {
    node.extensions.set(
      'shares',
      (host) => new QuotaTransferExtension({ package: shares, policy }, host),
    );
  }
  return new QuotaChecker(cluster);
}

/** The operators' interface of one controller; undefined: it is down, or has quota transfers disabled. */
export function quotaTransferApi(
  cluster: SimulatedCluster,
  node: number,
): shares.QuotaTransferApi | undefined {
  const api = extensionOf(cluster, node, QuotaTransferExtension)?.api;
  return api && traced(cluster, node, api);
}

/** Asks one controller, and again while it does not serve. */
export function askQuotaTransfers(
  cluster: SimulatedCluster,
  node: number,
  request: (api: shares.QuotaTransferApi) => Promise<ApiAnswer>,
): Promise<ApiAnswer> {
  return askUntilServed(cluster, () => {
    const api = quotaTransferApi(cluster, node);
    return api && request(api);
  });
}

/** The phase in a transfer's record. */
export const transferPhase = (cluster: SimulatedCluster, id: string): string | undefined =>
  (cluster.store.get(`shares/moves/${id}`) as TransferRecord | undefined)?.phase;
