/**
 * The life of a move as a pure function: what the leader does next with it. Each step is written
 * together with the head of the table, so that any later leader goes on from where the records stand.
 */
import {
  add,
  isNothing,
  maximum,
  NOTHING,
  RESOURCES,
  minimum,
  subtract,
  TOLERANCE,
  type Amounts,
} from './amounts.js';
import { isFinal, type TransferRecord, type ReturnOutcome } from './transfer-record.js';
import {
  quotaTable,
  refusalReason,
  type QuotaRecords,
  type QuotaTable,
  type TeamQuota,
} from './quota-table.js';

/** A limit is passed on in so many steps at most, to bound what a move writes. */
const MOST_PASSES = 8;

/** What a step is decided from. */
export interface StepContext {
  base: ReadonlyMap<string, TeamQuota>;
  /** What is recorded of each team: it occupies its share until it is proven gone. */
  used: ReadonlyMap<string, Amounts>;
  /** Time of day, and by how much it may be wrong. */
  wall: number;
  clockErrorMs: number;
  /** Whether moves may begin: only while every controller knows the table. */
  mayBegin: boolean;
}

/** One step of one move. */
export interface Transition {
  before: TransferRecord;
  after: TransferRecord;
  /** Whether the table changes by it. */
  changesTable: boolean;
}

/** A time has come for certain: a loan never goes back early. */
const isPast = (time: number | null, { wall, clockErrorMs }: StepContext): boolean =>
  time !== null && wall >= time + clockErrorMs;

/**
 * How much of `remaining` may change hands: what the ceiling of the team that gives has room for beyond
 * its recorded occupancy. Steps smaller than a share of the whole wait for more.
 */
function passable(remaining: Amounts, whole: Amounts, ceiling: Amounts, used: Amounts): Amounts {
  const room = maximum(NOTHING, subtract(ceiling, used));
  const most = minimum(remaining, room);
  const worthIt = RESOURCES.some((resource) => {
    const least = Math.min(remaining[resource], whole[resource] / MOST_PASSES);
    return most[resource] > TOLERANCE && most[resource] >= least - TOLERANCE;
  });
  return worthIt ? most : NOTHING;
}

/** Why a move that is not back yet has to go back; null if it has not. */
function whyBack(move: TransferRecord, context: StepContext): ReturnOutcome | null {
  if (move.cancelRequested) return 'cancelled';
  if (isPast(move.until, context)) return 'returned';
  if (move.phase === 'draining' && isPast(move.drainBy, context)) return 'expired';
  return null;
}

function beginOrRefuse(
  move: TransferRecord,
  table: QuotaTable,
  order: number,
  context: StepContext,
): TransferRecord | null {
  const back = whyBack(move, context);
  if (back === 'cancelled') return { ...move, phase: 'cancelled' };
  if (back !== null || isPast(move.drainBy, context)) {
    return { ...move, phase: 'expired', reason: 'its time was over before it began' };
  }
  if (!context.mayBegin) return null;
  const reason = refusalReason(table, move);
  if (reason !== null) return { ...move, phase: 'refused', reason };
  return { ...move, phase: 'draining', order };
}

function drain(
  move: TransferRecord,
  table: QuotaTable,
  context: StepContext,
): TransferRecord | null {
  const outcome = whyBack(move, context);
  if (outcome !== null) return { ...move, phase: 'returning', outcome };
  const donor = table.teams.get(move.from)!;
  const used = context.used.get(move.from) ?? NOTHING;
  const remaining = subtract(move.limit, move.passed);
  const passed = add(move.passed, passable(remaining, move.limit, donor.ceiling, used));
  const whole = isNothing(subtract(move.limit, passed));
  if (whole) {
    const phase = move.until === null ? 'done' : 'lent';
    return { ...move, phase, passed: move.limit, guaranteePassed: true };
  }
  if (move.guaranteePassed && isNothing(subtract(passed, move.passed))) return null;
  return { ...move, passed, guaranteePassed: true };
}

function giveBack(
  move: TransferRecord,
  table: QuotaTable,
  context: StepContext,
): TransferRecord | null {
  const receiver = table.teams.get(move.to)!;
  const used = context.used.get(move.to) ?? NOTHING;
  const back = passable(move.passed, move.limit, receiver.ceiling, used);
  const passed = subtract(move.passed, back);
  if (isNothing(passed)) {
    return { ...move, phase: move.outcome ?? 'returned', passed: NOTHING, guaranteePassed: false };
  }
  if (!move.guaranteePassed && isNothing(back)) return null;
  return { ...move, passed, guaranteePassed: false };
}

/** The move after its next step; null if it has to wait. */
function nextRecord(
  move: TransferRecord,
  table: QuotaTable,
  order: number,
  context: StepContext,
): TransferRecord | null {
  switch (move.phase) {
    case 'requested':
      return beginOrRefuse(move, table, order, context);
    case 'draining':
      return drain(move, table, context);
    case 'lent': {
      const outcome = whyBack(move, context);
      return outcome === null ? null : { ...move, phase: 'returning', outcome };
    }
    case 'returning':
      return giveBack(move, table, context);
    default:
      return null;
  }
}

/** Which steps change nothing that any team has. */
const changesNothing = (before: TransferRecord, after: TransferRecord): boolean =>
  before.phase === 'requested' && isFinal(after.phase);

/**
 * The next steps, at most one of each move and at most `most` in all. They are decided one after the
 * other, each from the table that the steps before it leave, and may be written in one transaction.
 *
 * @param requests moves that have not begun, in the order in which they were accepted
 */
export function nextTransitions(
  records: QuotaRecords,
  requests: readonly TransferRecord[],
  context: StepContext,
  most: number,
): Transition[] {
  const transitions: Transition[] = [];
  const moves = new Map(records.transfers.map((move) => [move.id, move] as const));
  const open = records.transfers.filter(
    (transfer) => !isFinal(transfer.phase) && transfer.phase !== 'requested',
  );
  let table = quotaTable(context.base, records);
  let order = Math.max(0, ...records.transfers.map((move) => move.order));
  const suspended = new Set(table.suspended.map(({ what }) => what));
  for (const move of [...open, ...requests]) {
    if (transitions.length >= most) break;
    // Both teams have the move's share as if it did not exist; it goes on once the settings have room.
    if (suspended.has(move.id)) continue;
    const next = nextRecord(move, table, order + 1, context);
    if (next === null) continue;
    const changed = next.phase === move.phase ? move.changedAt : Math.round(context.wall);
    const after = { ...next, changedAt: changed };
    order = Math.max(order, after.order);
    transitions.push({ before: move, after, changesTable: !changesNothing(move, after) });
    moves.set(move.id, after);
    table = quotaTable(context.base, {
      archivedTotals: records.archivedTotals,
      transfers: [...moves.values()],
    });
  }
  return transitions;
}
