/**
 * The quota table: the current quota of each team, as a pure function of the settings and the transfer records.
 * The settings define the base quotas, and transfers are differences from them.
 */
import {
  add,
  resourcesExceeding,
  maximum,
  ZERO_AMOUNTS,
  RESOURCES,
  minimum,
  subtract,
  TOLERANCE,
  type Amounts,
} from './amounts.js';
import type { TransferRecord, ArchivedTotalRecord } from './transfer-record.js';

/** A team's guarantee and limit; a limit of `Infinity` means unlimited. */
export interface TeamQuota {
  guarantee: Amounts;
  limit: Amounts;
}

/** A team's current quota, and the amounts derived from transfers in progress. */
export interface TeamQuotaPosition extends TeamQuota {
  /** The quota once the transfers in progress have drained; a guarantee counts as soon as it is passed on. */
  promised: TeamQuota;
  /**
   * Upper bound of the team's recorded occupancy: its limit, plus the quota that is leaving the team but has
   * not been passed on yet. The sum of all ceilings never exceeds the sum of the configured limits.
   */
  ceiling: Amounts;
  /** What the team may transfer: without quota that it has borrowed or may still have to return. */
  transferable: TeamQuota;
}

/** A transfer, or the archived total of a pair of teams, that no longer fits the configured quotas. */
export interface SuspendedTransfer {
  /** Id of the transfer, or the pair of teams of an archived total. */
  what: string;
  reason: string;
}

/** The quotas of all teams. */
export interface QuotaTable {
  teams: ReadonlyMap<string, TeamQuotaPosition>;
  /** These are applied to neither team. */
  suspended: readonly SuspendedTransfer[];
}

/** How one transfer changes the positions of both teams. */
interface Effect {
  what: string;
  from: string;
  to: string;
  donor: Difference;
  receiver: Difference;
}

/** What is added to one team's position. */
interface Difference {
  guarantee: Amounts;
  limit: Amounts;
  ceiling: Amounts;
  promised: TeamQuota;
  transferable: TeamQuota;
}

const NO_QUOTA: TeamQuota = { guarantee: ZERO_AMOUNTS, limit: ZERO_AMOUNTS };
const NO_DIFFERENCE: Difference = {
  guarantee: ZERO_AMOUNTS,
  limit: ZERO_AMOUNTS,
  ceiling: ZERO_AMOUNTS,
  promised: NO_QUOTA,
  transferable: NO_QUOTA,
};

const negate = (a: Amounts): Amounts => subtract(ZERO_AMOUNTS, a);

/** The effect of quota that was moved permanently. */
function finishedEffect(what: string, transfer: ArchivedTotalRecord): Effect {
  const { from, to, guarantee, limit } = transfer;
  const gained = { guarantee, limit };
  const lost = { guarantee: negate(guarantee), limit: negate(limit) };
  return {
    what,
    from,
    to,
    donor: {
      guarantee: negate(guarantee),
      limit: negate(limit),
      ceiling: negate(limit),
      promised: lost,
      transferable: lost,
    },
    receiver: { guarantee, limit, ceiling: limit, promised: gained, transferable: gained },
  };
}

/**
 * The effect of a transfer in progress. The side that gives quota away, which is the donor or on return the
 * receiver, has already lost all of it; the other side has gained `passed` or, on return, all but `passed`.
 */
function openEffect(transfer: TransferRecord): Effect {
  const { id, from, to, passed, guaranteePassed } = transfer;
  const isReturning = transfer.phase === 'returning';
  const passedGuarantee = guaranteePassed ? transfer.guarantee : ZERO_AMOUNTS;
  return {
    what: id,
    from,
    to,
    donor: {
      guarantee: negate(isReturning ? passedGuarantee : transfer.guarantee),
      limit: negate(isReturning ? passed : transfer.limit),
      ceiling: negate(passed),
      promised: isReturning
        ? { guarantee: negate(passedGuarantee), limit: ZERO_AMOUNTS }
        : { guarantee: negate(transfer.guarantee), limit: negate(transfer.limit) },
      transferable: { guarantee: negate(transfer.guarantee), limit: negate(transfer.limit) },
    },
    receiver: {
      ...NO_DIFFERENCE,
      guarantee: isReturning ? ZERO_AMOUNTS : passedGuarantee,
      limit: isReturning ? ZERO_AMOUNTS : passed,
      ceiling: passed,
      promised: isReturning ? NO_QUOTA : { guarantee: passedGuarantee, limit: transfer.limit },
    },
  };
}

function effectOf(transfer: TransferRecord): Effect | null {
  if (transfer.phase === 'done') return finishedEffect(transfer.id, transfer);
  const open =
    transfer.phase === 'draining' || transfer.phase === 'lent' || transfer.phase === 'returning';
  return open ? openEffect(transfer) : null;
}

const addQuotas = (a: TeamQuota, b: TeamQuota): TeamQuota => ({
  guarantee: add(a.guarantee, b.guarantee),
  limit: add(a.limit, b.limit),
});

const applyTo = (team: TeamQuotaPosition, difference: Difference): TeamQuotaPosition => ({
  guarantee: add(team.guarantee, difference.guarantee),
  limit: add(team.limit, difference.limit),
  ceiling: add(team.ceiling, difference.ceiling),
  promised: addQuotas(team.promised, difference.promised),
  transferable: addQuotas(team.transferable, difference.transferable),
});

/** Why a team cannot have this quota; null if it can. */
function negativeReason(name: string, { guarantee, limit }: TeamQuota): string | null {
  for (const resource of RESOURCES) {
    if (guarantee[resource] < -TOLERANCE)
      return `guarantee.${resource}: team ${name} has not so much`;
    if (limit[resource] < -TOLERANCE) return `limit.${resource}: team ${name} has not so much`;
  }
  return null;
}

/** Why operators cannot give a team this quota; null if they can. */
function impossibleReason(name: string, quota: TeamQuota): string | null {
  const negative = negativeReason(name, quota);
  if (negative !== null) return negative;
  const [resource] = resourcesExceeding(quota.guarantee, quota.limit);
  if (resource === undefined) return null;
  return `limit.${resource}: team ${name} would have a limit below its guarantee`;
}

/** Why the effect does not fit; null if it does. Depends only on what the teams own permanently. */
function unfitReason(teams: ReadonlyMap<string, TeamQuotaPosition>, effect: Effect): string | null {
  const donor = teams.get(effect.from);
  const receiver = teams.get(effect.to);
  if (!donor) return `from: unknown team ${effect.from}`;
  if (!receiver) return `to: unknown team ${effect.to}`;
  return (
    negativeReason(effect.from, applyTo(donor, effect.donor).transferable) ??
    negativeReason(effect.to, applyTo(receiver, effect.receiver).transferable)
  );
}

/** The records from which a quota table is derived. */
export interface QuotaRecords {
  archivedTotals: readonly ArchivedTotalRecord[];
  transfers: readonly TransferRecord[];
}

/**
 * A transfer is applied to a team that is not in the quota table. This is a bug: transfers of unknown teams are
 * refused or suspended.
 */
export class UnknownTeamError extends Error {
  constructor(readonly team: string) {
    super(`team ${team} is not in the quota table`);
    this.name = 'UnknownTeamError';
  }
}

/** The position of a team that must be in the table. */
export function positionOf(
  teams: ReadonlyMap<string, TeamQuotaPosition>,
  name: string,
): TeamQuotaPosition {
  const position = teams.get(name);
  if (!position) throw new UnknownTeamError(name);
  return position;
}

/**
 * Derives the table from the settings and the records. Archived totals are applied first, then transfers in the
 * order in which they began; those that do not fit the settings are applied to neither team.
 */
export function quotaTable(
  base: ReadonlyMap<string, TeamQuota>,
  { archivedTotals, transfers }: QuotaRecords,
): QuotaTable {
  const teams = new Map<string, TeamQuotaPosition>();
  for (const [name, { guarantee, limit }] of base) {
    const quota = { guarantee, limit };
    teams.set(name, { ...quota, ceiling: limit, promised: quota, transferable: quota });
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
    teams.set(effect.from, applyTo(positionOf(teams, effect.from), effect.donor));
    teams.set(effect.to, applyTo(positionOf(teams, effect.to), effect.receiver));
  }
  // A guarantee may exceed the limit: it is passed on at once, but a limit only as the donor's tasks end. Also,
  // of two transfers that were both valid when requested, one may finish after the other has taken the limit.
  for (const team of teams.values()) team.guarantee = minimum(team.guarantee, team.limit);
  return { teams, suspended };
}

/** The minimum quota of each team, which applies while it is unknown which of two tables the store has. */
export function minimumQuotas(a: QuotaTable, b: QuotaTable): Map<string, TeamQuota> {
  const teams = new Map<string, TeamQuota>();
  for (const [name, first] of a.teams) {
    const second = b.teams.get(name) ?? first;
    teams.set(name, {
      guarantee: minimum(first.guarantee, second.guarantee),
      limit: minimum(first.limit, second.limit),
    });
  }
  return teams;
}

/** By how much a team's recorded occupancy exceeds its limit. */
export const excess = (used: Amounts, { limit }: TeamQuota): Amounts =>
  maximum(ZERO_AMOUNTS, subtract(used, limit));

/**
 * Why a transfer cannot begin now; null if it can. A team may only transfer quota that it owns: quota that it
 * has borrowed, or was promised by a transfer in progress, may have to be returned.
 */
export function refusalReason(table: QuotaTable, transfer: TransferRecord): string | null {
  const donor = table.teams.get(transfer.from);
  const receiver = table.teams.get(transfer.to);
  if (!donor) return `from: unknown team ${transfer.from}`;
  if (!receiver) return `to: unknown team ${transfer.to}`;
  for (const resource of RESOURCES) {
    if (transfer.limit[resource] === 0) continue;
    const unlimited = [transfer.from, transfer.to].find(
      (name) => positionOf(table.teams, name).limit[resource] === Infinity,
    );
    if (unlimited !== undefined) return `limit.${resource}: team ${unlimited} has no limit`;
  }
  const { guarantee, limit } = transfer;
  const remaining = addQuotas(donor.transferable, {
    guarantee: negate(guarantee),
    limit: negate(limit),
  });
  const resulting = addQuotas(receiver.transferable, { guarantee, limit });
  return impossibleReason(transfer.from, remaining) ?? impossibleReason(transfer.to, resulting);
}
