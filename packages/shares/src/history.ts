/** Moves that are over stay readable for a while; what they moved stays for good. */
import type { Change, Condition } from '@leverhatch/core/store';
import { add, NOTHING } from './amounts.js';
import { SHARE_KEYS } from './keys.js';
import type { SettledRecord } from './move.js';
import type { ShareBook } from './records.js';
import type { ShareTable } from './table.js';

/** So many moves that are over are kept. */
export const MOST_HISTORY = 200;

/** A transaction that drops one move that is over. */
export interface Retirement {
  when: Condition[];
  then: Change[];
}

/**
 * How the oldest move beyond the history's bound is dropped; null if there is none. What a move has
 * passed on for good is added to the sum of its pair of teams in the same transaction, so that the table
 * stays as it is.
 */
export function retire(book: ShareBook, table: ShareTable, w: string): Retirement | null {
  const { history } = book;
  if (history.length <= MOST_HISTORY) return null;
  const suspended = new Set(table.suspended.map(({ what }) => what));
  const oldest = history.find((move) => !suspended.has(move.id));
  if (!oldest) return null;
  const key = SHARE_KEYS.move(oldest.id);
  const when: Condition[] = [{ key, version: book.moves.get(oldest.id)!.version }];
  const then: Change[] = [{ delete: key }];
  if (oldest.phase !== 'done') return { when, then };
  const { from, to } = oldest;
  const sumKey = SHARE_KEYS.settled(from, to);
  const sum = book.settled.get(sumKey);
  const record: SettledRecord = {
    w,
    from,
    to,
    guarantee: add(sum?.record.guarantee ?? NOTHING, oldest.guarantee),
    limit: add(sum?.record.limit ?? NOTHING, oldest.limit),
  };
  when.push({ key: sumKey, version: sum?.version ?? 0 });
  then.push({ put: sumKey, value: record });
  return { when, then };
}
