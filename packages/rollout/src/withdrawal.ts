/** Which replicas may be withdrawn now without a gap in capacity. */
import type { Replica } from './ports.js';

/** A replica and what probes have shown of it. */
export interface JudgedReplica {
  replica: Replica;
  proven: boolean;
  /** It cannot have served: it has not run yet, or was probed in vain for `readySeconds`. */
  neverServed: boolean;
}

/**
 * Chooses replicas to withdraw from `leaving` until at most `ceiling` of them stay. One is chosen only while
 * the proven replicas of both jobs, without it, reach `level`. Replicas that are stopping already do not
 * count.
 *
 * @param unservedMayGo whether what has never served may go regardless of level and ceiling
 */
export function chooseWithdrawals(
  leaving: readonly JudgedReplica[],
  others: readonly JudgedReplica[],
  level: number,
  ceiling: number,
  unservedMayGo: boolean,
): Replica[] {
  const staying = leaving.filter(({ replica }) => !replica.stopping);
  let proven = [...leaving, ...others].filter((judged) => judged.proven).length;
  let excess = staying.length - ceiling;
  const chosen: Replica[] = [];
  for (const candidate of [...staying].sort((a, b) => withdrawalRank(a) - withdrawalRank(b))) {
    const mayAlwaysGo = unservedMayGo && candidate.neverServed;
    if (!mayAlwaysGo && excess <= 0) continue;
    const remaining = candidate.proven ? proven - 1 : proven;
    if (!mayAlwaysGo && remaining < level) continue;
    proven = remaining;
    excess--;
    chosen.push(candidate.replica);
  }
  return chosen;
}

/** Order of withdrawal: what has never served first, what is proven last. */
function withdrawalRank({ proven, neverServed }: JudgedReplica): number {
  if (neverServed) return 0;
  return proven ? 2 : 1;
}
