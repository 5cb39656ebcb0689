/**
 * Keeps a policy from oscillating: a proposal becomes a request only if it was made several times in a row,
 * within an hourly budget of transfers, and not shortly after another of the policy's transfers between the same
 * teams. Budget and cooldown are derived from the records, so a new leader loses only the counts of the last few
 * proposals.
 */
import type { TransferRecord } from '../transfer-record.js';

/** Prefix of the ids of the policy's transfers, which distinguishes them from operators' transfers. */
export const POLICY_ID_PREFIX = 'policy-';

/** Limits on the transfers of a policy. */
export interface PolicyBounds {
  /** Number of consecutive evaluations in which the same proposal has to be made. */
  confirmations: number;
  /** Maximum number of transfers in any hour. */
  movesPerHour: number;
  /** Cooldown of a pair of teams after a transfer between them, in milliseconds. */
  holdMs: number;
}

/** A transfer proposed by a policy; omitted amounts are zero. */
export interface Proposal {
  from: string;
  to: string;
  guarantee?: { cpus?: number; gpus?: number };
  limit?: { cpus?: number; gpus?: number };
  forSeconds?: number;
}

const HOUR_MS = 3_600_000;

const keyOf = (proposal: Proposal): string => JSON.stringify(proposal);

const isSamePair = (transfer: TransferRecord, proposal: Proposal): boolean =>
  (transfer.from === proposal.from && transfer.to === proposal.to) ||
  (transfer.from === proposal.to && transfer.to === proposal.from);

/** Decides which proposals become requests. */
export class ProposalLimiter {
  /** Number of consecutive evaluations in which each proposal was made, by its JSON. */
  private consecutiveCounts = new Map<string, number>();

  constructor(private readonly bounds: PolicyBounds) {}

  /** Returns the proposals of one evaluation to request now; `wall` is the time of day in milliseconds. */
  admit(
    proposals: readonly Proposal[],
    transfers: readonly TransferRecord[],
    wall: number,
  ): Proposal[] {
    const counts = new Map<string, number>();
    for (const proposal of proposals) {
      const key = keyOf(proposal);
      counts.set(key, (this.consecutiveCounts.get(key) ?? 0) + 1);
    }
    this.consecutiveCounts = counts;
    const policyTransfers = transfers.filter(({ id }) => id.startsWith(POLICY_ID_PREFIX));
    let budget =
      this.bounds.movesPerHour -
      policyTransfers.filter((transfer) => wall - transfer.requestedAt < HOUR_MS).length;
    const admitted: Proposal[] = [];
    for (const proposal of proposals) {
      if (budget <= 0) break;
      if ((counts.get(keyOf(proposal)) ?? 0) < this.bounds.confirmations) continue;
      const isInCooldown = policyTransfers.some(
        (transfer) =>
          isSamePair(transfer, proposal) && wall - transfer.changedAt < this.bounds.holdMs,
      );
      if (isInCooldown || admitted.some((other) => haveSameTeams(other, proposal))) continue;
      admitted.push(proposal);
      budget--;
    }
    return admitted;
  }
}

/**
 * Whether two proposals are between the same teams, in either direction: the first would make the input outdated
 * on which the second is based.
 */
const haveSameTeams = (a: Proposal, b: Proposal): boolean =>
  [a.from, a.to].every((team) => team === b.from || team === b.to);
