/**
 * The history of ended transfers. Its size is bounded: the oldest transfers are archived, and the quota that they
 * moved permanently is added to a total per pair of teams.
 */
import type { Change, Condition } from '@leverhatch/core/store';
import { add, ZERO_AMOUNTS } from './amounts.js';
import { QUOTA_TRANSFER_KEYS } from './keys.js';
import { storedWriteId, type ArchivedTotalRecord } from './transfer-record.js';
import type { QuotaTransferRepository } from './quota-transfer-repository.js';
import type { QuotaTable } from './quota-table.js';

/** Maximum number of ended transfers that are kept. */
export const MAX_HISTORY = 200;

/** The transaction that archives one ended transfer. */
export interface ArchiveTransaction {
  conditions: Condition[];
  changes: Change[];
}

/**
 * Builds the transaction that archives the oldest transfer that is not suspended, if the history exceeds its
 * maximum size; null if there is nothing to archive. What the transfer moved permanently is added to the
 * archived total of its pair of teams in the same transaction, so that the quota table does not change.
 */
export function archiveOldestTransfer(
  repository: QuotaTransferRepository,
  table: QuotaTable,
  writeId: string,
): ArchiveTransaction | null {
  const { history } = repository;
  if (history.length <= MAX_HISTORY) return null;
  const suspended = new Set(table.suspended.map(({ what }) => what));
  const oldest = history.find((transfer) => !suspended.has(transfer.id));
  if (!oldest) return null;
  const key = QUOTA_TRANSFER_KEYS.transfer(oldest.id);
  const conditions: Condition[] = [{ key, version: repository.transferVersion(oldest.id) }];
  const changes: Change[] = [{ delete: key }];
  if (oldest.phase !== 'done') return { conditions, changes };
  const { from, to } = oldest;
  const totalKey = QUOTA_TRANSFER_KEYS.archivedTotal(from, to);
  const total = repository.archivedTotals.get(totalKey);
  const record: ArchivedTotalRecord = {
    ...storedWriteId(writeId),
    from,
    to,
    guarantee: add(total?.record.guarantee ?? ZERO_AMOUNTS, oldest.guarantee),
    limit: add(total?.record.limit ?? ZERO_AMOUNTS, oldest.limit),
  };
  conditions.push({ key: totalKey, version: total?.version ?? 0 });
  changes.push({ put: totalKey, value: record });
  return { conditions, changes };
}
