/**
 * Keeps a policy from oscillating: a proposal becomes a request only when it was made several times in a row,
 * within a budget of transfers an hour, and not shortly after another transfer between the same teams. Budget
 * and rest follow from the records, so that a new leader forgets only the last few proposals.
 */
import type { TransferRecord } from '../transfer-record.js';

/** What the ids of the policy's transfers begin with, unlike those of operators. */
export const POLICY_ID_PREFIX = 'policy-';

/** Bounds on a policy's transfers. */
export interface PolicyBounds {
  /** In how many consecutive evaluations the same proposal has to be made. */
  confirmations: number;
  /** The budget of transfers in any hour. */
  movesPerHour: number;
  /** How long a pair of teams rests after a transfer between them, in milliseconds. */
  holdMs: number;
}

/** A transfer that a policy proposes; amounts that are left out are zero. */
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
  /** In how many consecutive evaluations each proposal was made, by its JSON. */
  private consecutiveCounts = new Map<string, number>();

  constructor(private readonly bounds: PolicyBounds) {}

  /** The proposals of one evaluation that may be requested now; `wall` is the time of day in milliseconds. */
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

/** Of two proposals between the same teams the second would rest on a view that the first makes outdated. */
const haveSameTeams = (a: Proposal, b: Proposal): boolean =>
  [a.from, a.to].every((team) => team === b.from || team === b.to);
