/** Chooses the replicas that can be withdrawn without losing required capacity. */
import type { Replica } from './ports.js';

/** A replica and its readiness according to probes. */
export interface ReplicaReadiness {
  replica: Replica;
  proven: boolean;
  /** It cannot have served: it has not run yet, or was not proven within `readySeconds` of probing. */
  neverServed: boolean;
}

/**
 * Chooses replicas to withdraw from `candidates` until at most `ceiling` of them are left. One is chosen only
 * if the proven replicas of both jobs without it are at least `requiredReplicas`. Replicas that are already
 * stopping are neither chosen nor counted as left.
 *
 * @param exemptNeverServed whether to choose replicas that never served regardless of both bounds
 */
export function chooseWithdrawals(
  candidates: readonly ReplicaReadiness[],
  otherReplicas: readonly ReplicaReadiness[],
  requiredReplicas: number,
  ceiling: number,
  exemptNeverServed: boolean,
): Replica[] {
  const notStopping = candidates.filter(({ replica }) => !replica.stopping);
  let proven = [...candidates, ...otherReplicas].filter((replica) => replica.proven).length;
  let excess = notStopping.length - ceiling;
  const chosen: Replica[] = [];
  for (const candidate of [...notStopping].sort((a, b) => withdrawalRank(a) - withdrawalRank(b))) {
    const isExempt = exemptNeverServed && candidate.neverServed;
    if (!isExempt && excess <= 0) continue;
    const provenAfter = candidate.proven ? proven - 1 : proven;
    if (!isExempt && provenAfter < requiredReplicas) continue;
    proven = provenAfter;
    excess--;
    chosen.push(candidate.replica);
  }
  return chosen;
}

/** Withdrawal order: replicas that never served first, proven ones last. */
function withdrawalRank({ proven, neverServed }: ReplicaReadiness): number {
  if (neverServed) return 0;
  return proven ? 2 : 1;
}
