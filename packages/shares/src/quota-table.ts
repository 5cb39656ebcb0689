/**
 * The share table: what each team may have now, as a pure function of the settings and of the records
 * of moves. Settings give the base, moves are differences from it.
 */
import {
  add,
  exceeding,
  maximum,
  NOTHING,
  RESOURCES,
  minimum,
  subtract,
  TOLERANCE,
  type Amounts,
} from './amounts.js';
import type { TransferRecord, ArchivedTotalRecord } from './transfer-record.js';

/** What the settings say of a team. A limit is `Infinity` where there is none. */
export interface TeamQuota {
  guarantee: Amounts;
  limit: Amounts;
}

/** What a team has now. */
export interface TeamQuotaPosition extends TeamQuota {
  /** As it will be when the moves that have begun are drained; the guarantee is promised at once. */
  promised: TeamQuota;
  /**
   * What the team's recorded occupancy may still be: its limit, and while a share leaves the team also
   * what has not been passed on yet. The ceilings of all teams never exceed the limits of the settings.
   */
  ceiling: Amounts;
  /** Without what the team has borrowed or may still have to give back: what it may pass on. */
  own: TeamQuota;
}

/** A move, or the sum of the finished moves of a pair of teams, that the settings have no room for. */
export interface SuspendedTransfer {
  /** The id of the move; for finished moves the pair of teams. */
  what: string;
  reason: string;
}

export interface QuotaTable {
  teams: ReadonlyMap<string, TeamQuotaPosition>;
  suspended: readonly SuspendedTransfer[];
}

/** What one move changes of both teams. */
interface Effect {
  what: string;
  from: string;
  to: string;
  donor: Difference;
  receiver: Difference;
}

interface Difference {
  guarantee: Amounts;
  limit: Amounts;
  ceiling: Amounts;
  promised: TeamQuota;
  own: TeamQuota;
}

const NO_SHARE: TeamQuota = { guarantee: NOTHING, limit: NOTHING };
const UNCHANGED: Difference = {
  guarantee: NOTHING,
  limit: NOTHING,
  ceiling: NOTHING,
  promised: NO_SHARE,
  own: NO_SHARE,
};

const minus = (a: Amounts): Amounts => subtract(NOTHING, a);

/** What is passed on for good. */
function finishedEffect(what: string, move: ArchivedTotalRecord): Effect {
  const { from, to, guarantee, limit } = move;
  const gained = { guarantee, limit };
  const lost = { guarantee: minus(guarantee), limit: minus(limit) };
  return {
    what,
    from,
    to,
    donor: {
      guarantee: minus(guarantee),
      limit: minus(limit),
      ceiling: minus(limit),
      promised: lost,
      own: lost,
    },
    receiver: { guarantee, limit, ceiling: limit, promised: gained, own: gained },
  };
}

/**
 * What a move changes while it is under way. On the way to the receiver the donor has lost all of it,
 * on the way back the receiver has; the other side has as much as `passed` says.
 */
function openEffect(move: TransferRecord): Effect {
  const { id, from, to, passed, guaranteePassed } = move;
  const returning = move.phase === 'returning';
  const guaranteeThere = guaranteePassed ? move.guarantee : NOTHING;
  return {
    what: id,
    from,
    to,
    donor: {
      guarantee: minus(returning ? guaranteeThere : move.guarantee),
      limit: minus(returning ? passed : move.limit),
      ceiling: minus(passed),
      promised: returning
        ? { guarantee: minus(guaranteeThere), limit: NOTHING }
        : { guarantee: minus(move.guarantee), limit: minus(move.limit) },
      own: { guarantee: minus(move.guarantee), limit: minus(move.limit) },
    },
    receiver: {
      ...UNCHANGED,
      guarantee: returning ? NOTHING : guaranteeThere,
      limit: returning ? NOTHING : passed,
      ceiling: passed,
      promised: returning ? NO_SHARE : { guarantee: guaranteeThere, limit: move.limit },
    },
  };
}

function effectOf(move: TransferRecord): Effect | null {
  if (move.phase === 'done') return finishedEffect(move.id, move);
  const open = move.phase === 'draining' || move.phase === 'lent' || move.phase === 'returning';
  return open ? openEffect(move) : null;
}

const addShares = (a: TeamQuota, b: TeamQuota): TeamQuota => ({
  guarantee: add(a.guarantee, b.guarantee),
  limit: add(a.limit, b.limit),
});

const applyTo = (team: TeamQuotaPosition, difference: Difference): TeamQuotaPosition => ({
  guarantee: add(team.guarantee, difference.guarantee),
  limit: add(team.limit, difference.limit),
  ceiling: add(team.ceiling, difference.ceiling),
  promised: addShares(team.promised, difference.promised),
  own: addShares(team.own, difference.own),
});

/** Why a team cannot have this share; null if it can. */
function negativeReason(name: string, { guarantee, limit }: TeamQuota): string | null {
  for (const resource of RESOURCES) {
    if (guarantee[resource] < -TOLERANCE)
      return `guarantee.${resource}: team ${name} has not so much`;
    if (limit[resource] < -TOLERANCE) return `limit.${resource}: team ${name} has not so much`;
  }
  return null;
}

/** Why operators cannot give a team this share; null if they can. */
function impossibleReason(name: string, share: TeamQuota): string | null {
  const negative = negativeReason(name, share);
  if (negative !== null) return negative;
  const [resource] = exceeding(share.guarantee, share.limit);
  if (resource === undefined) return null;
  return `limit.${resource}: team ${name} would have a limit below its guarantee`;
}

/** Why the effect does not fit; null if it does. What is judged is what the teams have for good. */
function unfitReason(teams: ReadonlyMap<string, TeamQuotaPosition>, effect: Effect): string | null {
  const donor = teams.get(effect.from);
  const receiver = teams.get(effect.to);
  if (!donor) return `from: unknown team ${effect.from}`;
  if (!receiver) return `to: unknown team ${effect.to}`;
  return (
    negativeReason(effect.from, applyTo(donor, effect.donor).own) ??
    negativeReason(effect.to, applyTo(receiver, effect.receiver).own)
  );
}

/** The records that a table follows from. */
export interface QuotaRecords {
  archivedTotals: readonly ArchivedTotalRecord[];
  transfers: readonly TransferRecord[];
}

/**
 * The table as it follows from the settings and the records. Finished moves come first, then the others
 * in the order in which they were admitted; what the settings have no room for is left out on both sides.
 */
export function quotaTable(
  base: ReadonlyMap<string, TeamQuota>,
  { archivedTotals: archivedTotals, transfers: transfers }: QuotaRecords,
): QuotaTable {
  const teams = new Map<string, TeamQuotaPosition>();
  for (const [name, { guarantee, limit }] of base) {
    const share = { guarantee, limit };
    teams.set(name, { ...share, ceiling: limit, promised: share, own: share });
  }
  const suspended: SuspendedTransfer[] = [];
  const ordered = [...transfers].sort((a, b) => a.order - b.order);
  const effects = [
    ...archivedTotals.map((archivedTotal) =>
      finishedEffect(`${archivedTotal.from} to ${archivedTotal.to}`, archivedTotal),
    ),
    ...ordered.map(effectOf),
  ];
  for (const effect of effects) {
    if (effect === null) continue;
    const reason = unfitReason(teams, effect);
    if (reason !== null) {
      suspended.push({ what: effect.what, reason });
      continue;
    }
    teams.set(effect.from, applyTo(teams.get(effect.from)!, effect.donor));
    teams.set(effect.to, applyTo(teams.get(effect.to)!, effect.receiver));
  }
  // A guarantee is passed on at once, a limit as the other team's work leaves; and of two moves that
  // were both sound when they were asked for, one may finish when the other has taken its limit.
  for (const team of teams.values()) team.guarantee = minimum(team.guarantee, team.limit);
  return { teams, suspended };
}

/** The smaller share of each team: what holds while it is not known which table the store has. */
export function minimumQuotas(a: QuotaTable, b: QuotaTable): Map<string, TeamQuota> {
  const teams = new Map<string, TeamQuota>();
  for (const [name, one] of a.teams) {
    const other = b.teams.get(name) ?? one;
    teams.set(name, {
      guarantee: minimum(one.guarantee, other.guarantee),
      limit: minimum(one.limit, other.limit),
    });
  }
  return teams;
}

/** What of a team's recorded occupancy is above its limit. */
export const excess = (used: Amounts, { limit }: TeamQuota): Amounts =>
  maximum(NOTHING, subtract(used, limit));

/**
 * Why a move cannot begin now; null if it can. A team passes on only what is its own: what it has
 * borrowed, or was promised by a move under way, may have to go back.
 */
export function refusalReason(table: QuotaTable, move: TransferRecord): string | null {
  const donor = table.teams.get(move.from);
  const receiver = table.teams.get(move.to);
  if (!donor) return `from: unknown team ${move.from}`;
  if (!receiver) return `to: unknown team ${move.to}`;
  for (const resource of RESOURCES) {
    if (move.limit[resource] === 0) continue;
    const unlimited = [move.from, move.to].find(
      (name) => table.teams.get(name)!.limit[resource] === Infinity,
    );
    if (unlimited !== undefined) return `limit.${resource}: team ${unlimited} has no limit`;
  }
  const { guarantee, limit } = move;
  const left = addShares(donor.own, { guarantee: minus(guarantee), limit: minus(limit) });
  const then = addShares(receiver.own, { guarantee, limit });
  return impossibleReason(move.from, left) ?? impossibleReason(move.to, then);
}
