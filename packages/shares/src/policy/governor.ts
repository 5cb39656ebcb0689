/**
 * Keeps a policy calm: what it proposes is asked for only when it has proposed it several times in a row,
 * within a budget of moves an hour, and not against a move that it made shortly before. What counts for
 * that is read from the records, so that a change of leader forgets nothing but the last few proposals.
 */
import type { TransferRecord } from '../transfer-record.js';

/** Moves of the policy are told from those of operators by their ids. */
export const POLICY_PREFIX = 'policy-';

/** Bounds on what a policy does. */
export interface PolicyBounds {
  /** In how many evaluations in a row it has to propose the same. */
  confirmations: number;
  movesPerHour: number;
  /** For how long a pair of teams is left alone after a move between them. */
  holdMs: number;
}

/** What a policy would like to move. */
export interface Proposal {
  from: string;
  to: string;
  guarantee?: { cpus?: number; gpus?: number };
  limit?: { cpus?: number; gpus?: number };
  forSeconds?: number;
}

const HOUR_MS = 3_600_000;

const keyOf = (proposal: Proposal): string => JSON.stringify(proposal);

const samePair = (move: TransferRecord, proposal: Proposal): boolean =>
  (move.from === proposal.from && move.to === proposal.to) ||
  (move.from === proposal.to && move.to === proposal.from);

/** Decides which proposals become requests. */
export class Governor {
  /** How often in a row each has been proposed. */
  private proposed = new Map<string, number>();

  constructor(private readonly bounds: PolicyBounds) {}

  /** The proposals of one evaluation that may be asked for now. */
  admit(
    proposals: readonly Proposal[],
    moves: readonly TransferRecord[],
    wall: number,
  ): Proposal[] {
    const counts = new Map<string, number>();
    for (const proposal of proposals) {
      const key = keyOf(proposal);
      counts.set(key, (this.proposed.get(key) ?? 0) + 1);
    }
    this.proposed = counts;
    const own = moves.filter(({ id }) => id.startsWith(POLICY_PREFIX));
    let budget =
      this.bounds.movesPerHour - own.filter((m) => wall - m.requestedAt < HOUR_MS).length;
    const admitted: Proposal[] = [];
    for (const proposal of proposals) {
      if (budget <= 0) break;
      if ((counts.get(keyOf(proposal)) ?? 0) < this.bounds.confirmations) continue;
      const held = own.some(
        (move) => samePair(move, proposal) && wall - move.changedAt < this.bounds.holdMs,
      );
      if (held || admitted.some((other) => touches(other, proposal))) continue;
      admitted.push(proposal);
      budget--;
    }
    return admitted;
  }
}

/** Two proposals of one evaluation between the same teams would be decided on the same view. */
const touches = (a: Proposal, b: Proposal): boolean =>
  [a.from, a.to].every((team) => team === b.from || team === b.to);
