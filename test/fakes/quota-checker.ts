import type { OperatorResponse } from '@leverhatch/operators/operator-response';
import * as shares from '@leverhatch/shares';
import { QuotaTransferExtension } from '../../src/control/extensions/quota-transfer-extension.js';
import { machines } from './fault-scenario.js';
import { askUntilServed, extensionOf, traced } from './operators.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The eight machines of most quota transfer tests: 64 GPUs in two zones. */
export const EIGHT_MACHINES = [...machines('aaaa'), ...machines('bbbb')];

interface Amounts {
  cpus: number;
  gpus: number;
}

/** The fields of a transfer record that the checker reads. */
interface TransferRecord {
  from: string;
  to: string;
  limit: Amounts;
  passed: Amounts;
  phase: string;
}

/** Phases in which the passed quota counts for the receiver. */
const PHASES_HELD_BY_RECEIVER = ['draining', 'lent', 'done', 'returning'];

/**
 * Sets the team limits by which the rule `quota` is checked against the workers' tasks at every
 * step: the limit of the settings, less the quota that the stored transfers have passed on, plus
 * the quota passed to the team. It shares no code with the package under test.
 */
export class QuotaChecker {
  /** The number of writes of the manifest. */
  manifestWrites = 0;

  constructor(private readonly cluster: SimulatedCluster) {
    const previousOnWrite = cluster.store.onWrite;
    cluster.store.onWrite = (key) => {
      previousOnWrite(key);
      if (!key.startsWith('shares/')) return;
      if (key === 'shares/head') this.manifestWrites++;
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

/** Enables quota transfers in all controllers that start from now on. */
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

/** The quota transfer API of a controller; undefined if it is down or has transfers disabled. */
export function quotaTransferApi(
  cluster: SimulatedCluster,
  node: number,
): shares.QuotaTransferApi | undefined {
  const api = extensionOf(cluster, node, QuotaTransferExtension)?.api;
  return api && traced(cluster, node, api);
}

/** Sends a request to one controller, and retries while it does not serve. */
export function askQuotaTransfers(
  cluster: SimulatedCluster,
  node: number,
  request: (api: shares.QuotaTransferApi) => Promise<OperatorResponse>,
): Promise<OperatorResponse> {
  return askUntilServed(cluster, () => {
    const api = quotaTransferApi(cluster, node);
    return api && request(api);
  });
}

/** The phase in a transfer's record. */
export const transferPhase = (cluster: SimulatedCluster, id: string): string | undefined =>
  (cluster.store.get(`shares/moves/${id}`) as TransferRecord | undefined)?.phase;
