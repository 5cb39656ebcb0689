/** Moves that are over stay readable for a while; what they moved stays for good. */
import type { Change, Condition } from '@leverhatch/core/store';
import { add, NOTHING } from './amounts.js';
import { QUOTA_TRANSFER_KEYS } from './keys.js';
import type { ArchivedTotalRecord } from './transfer-record.js';
import type { QuotaTransferRepository } from './quota-transfer-repository.js';
import type { QuotaTable } from './quota-table.js';

/** So many moves that are over are kept. */
export const MAX_HISTORY = 200;

/** A transaction that drops one move that is over. */
export interface Retirement {
  conditions: Condition[];
  changes: Change[];
}

/**
 * How the oldest move beyond the history's bound is dropped; null if there is none. What a move has
 * passed on for good is added to the sum of its pair of teams in the same transaction, so that the table
 * stays as it is.
 */
export function retire(
  repository: QuotaTransferRepository,
  table: QuotaTable,
  writeId: string,
): Retirement | null {
  const { history } = repository;
  if (history.length <= MAX_HISTORY) return null;
  const suspended = new Set(table.suspended.map(({ what }) => what));
  const oldest = history.find((move) => !suspended.has(move.id));
  if (!oldest) return null;
  const key = QUOTA_TRANSFER_KEYS.transfer(oldest.id);
  const conditions: Condition[] = [{ key, version: repository.transfers.get(oldest.id)!.version }];
  const changes: Change[] = [{ delete: key }];
  if (oldest.phase !== 'done') return { conditions, changes };
  const { from, to } = oldest;
  const sumKey = QUOTA_TRANSFER_KEYS.archivedTotal(from, to);
  const sum = repository.archivedTotals.get(sumKey);
  const record: ArchivedTotalRecord = {
    w: writeId,
    from,
    to,
    guarantee: add(sum?.record.guarantee ?? NOTHING, oldest.guarantee),
    limit: add(sum?.record.limit ?? NOTHING, oldest.limit),
  };
  conditions.push({ key: sumKey, version: sum?.version ?? 0 });
  changes.push({ put: sumKey, value: record });
  return { conditions, changes };
}
