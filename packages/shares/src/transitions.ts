/**
 * The state machine of a transfer as a pure function: its next step. Each step that changes the quota table is
 * written together with the manifest, and any later leader continues from the records.
 */
import {
  add,
  isZero,
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
  positionOf,
  quotaTable,
  refusalReason,
  type QuotaRecords,
  type QuotaTable,
  type TeamQuota,
} from './quota-table.js';

/** In how many steps a limit is passed on at most, to bound the writes of a transfer. */
const MAX_PASSES = 8;

/** What a step is decided by. */
export interface StepContext {
  /** The quotas of the settings, by team. */
  base: ReadonlyMap<string, TeamQuota>;
  /** Recorded occupancy by team: what may run on machines counts until it is proven gone. */
  used: ReadonlyMap<string, Amounts>;
  /** Time of day, and by how much it may be wrong, in milliseconds. */
  wall: number;
  clockErrorMs: number;
  /** Whether transfers may begin: only while every controller has the extension enabled. */
  mayBegin: boolean;
}

/** One step of one transfer. */
export interface Transition {
  before: TransferRecord;
  after: TransferRecord;
  /** Whether it changes the quota table. */
  changesTable: boolean;
}

/** Whether a time of day has certainly passed: a loan never goes back early. */
const isPast = (time: number | null, { wall, clockErrorMs }: StepContext): boolean =>
  time !== null && wall >= time + clockErrorMs;

/**
 * How much of `remaining` may be passed on: what the giving team's ceiling has room for beyond its recorded
 * occupancy. Less than a fraction of the total waits for more.
 */
function passableAmount(
  remaining: Amounts,
  total: Amounts,
  ceiling: Amounts,
  used: Amounts,
): Amounts {
  const headroom = maximum(NOTHING, subtract(ceiling, used));
  const amount = minimum(remaining, headroom);
  const isLargeEnough = RESOURCES.some((resource) => {
    const minimumAmount = Math.min(remaining[resource], total[resource] / MAX_PASSES);
    return amount[resource] > TOLERANCE && amount[resource] >= minimumAmount - TOLERANCE;
  });
  return isLargeEnough ? amount : NOTHING;
}

/** Why a transfer has to go back; null if it has not. */
function returnOutcome(transfer: TransferRecord, context: StepContext): ReturnOutcome | null {
  if (transfer.cancelRequested) return 'cancelled';
  if (isPast(transfer.until, context)) return 'returned';
  if (transfer.phase === 'draining' && isPast(transfer.drainBy, context)) return 'expired';
  return null;
}

function beginOrRefuse(
  transfer: TransferRecord,
  table: QuotaTable,
  order: number,
  context: StepContext,
): TransferRecord | null {
  const outcome = returnOutcome(transfer, context);
  if (outcome === 'cancelled') return { ...transfer, phase: 'cancelled' };
  if (outcome !== null || isPast(transfer.drainBy, context)) {
    return { ...transfer, phase: 'expired', reason: 'its time was over before it began' };
  }
  if (!context.mayBegin) return null;
  const reason = refusalReason(table, transfer);
  if (reason !== null) return { ...transfer, phase: 'refused', reason };
  return { ...transfer, phase: 'draining', order };
}

function drain(
  transfer: TransferRecord,
  table: QuotaTable,
  context: StepContext,
): TransferRecord | null {
  const outcome = returnOutcome(transfer, context);
  if (outcome !== null) return { ...transfer, phase: 'returning', outcome };
  const donor = positionOf(table.teams, transfer.from);
  const used = context.used.get(transfer.from) ?? NOTHING;
  const remaining = subtract(transfer.limit, transfer.passed);
  const passed = add(
    transfer.passed,
    passableAmount(remaining, transfer.limit, donor.ceiling, used),
  );
  if (isZero(subtract(transfer.limit, passed))) {
    const phase = transfer.until === null ? 'done' : 'lent';
    return { ...transfer, phase, passed: transfer.limit, guaranteePassed: true };
  }
  if (transfer.guaranteePassed && isZero(subtract(passed, transfer.passed))) return null;
  return { ...transfer, passed, guaranteePassed: true };
}

function returnQuota(
  transfer: TransferRecord,
  table: QuotaTable,
  context: StepContext,
): TransferRecord | null {
  const receiver = positionOf(table.teams, transfer.to);
  const used = context.used.get(transfer.to) ?? NOTHING;
  const returned = passableAmount(transfer.passed, transfer.limit, receiver.ceiling, used);
  const passed = subtract(transfer.passed, returned);
  if (isZero(passed)) {
    return {
      ...transfer,
      phase: transfer.outcome ?? 'returned',
      passed: NOTHING,
      guaranteePassed: false,
    };
  }
  if (!transfer.guaranteePassed && isZero(returned)) return null;
  return { ...transfer, passed, guaranteePassed: false };
}

/** The transfer after its next step; null if it has to wait. */
function nextRecord(
  transfer: TransferRecord,
  table: QuotaTable,
  order: number,
  context: StepContext,
): TransferRecord | null {
  switch (transfer.phase) {
    case 'requested':
      return beginOrRefuse(transfer, table, order, context);
    case 'draining':
      return drain(transfer, table, context);
    case 'lent': {
      const outcome = returnOutcome(transfer, context);
      return outcome === null ? null : { ...transfer, phase: 'returning', outcome };
    }
    case 'returning':
      return returnQuota(transfer, table, context);
    case 'done':
    case 'returned':
    case 'refused':
    case 'cancelled':
    case 'expired':
      return null;
  }
}

/** Whether a step changes nothing of any team: the transfer ends without having begun. */
const changesNothing = (before: TransferRecord, after: TransferRecord): boolean =>
  before.phase === 'requested' && isFinal(after.phase);

/**
 * The next steps, at most one for each transfer and `maxTransitions` in all. Each is decided by the table that
 * the steps before it leave, and all may be written in one transaction.
 *
 * @param requests transfers that have not begun, in the order in which they were accepted
 */
export function nextTransitions(
  records: QuotaRecords,
  requests: readonly TransferRecord[],
  context: StepContext,
  maxTransitions: number,
): Transition[] {
  const transitions: Transition[] = [];
  const transfers = new Map(records.transfers.map((transfer) => [transfer.id, transfer] as const));
  const open = records.transfers.filter(
    (transfer) => !isFinal(transfer.phase) && transfer.phase !== 'requested',
  );
  let table = quotaTable(context.base, records);
  let order = Math.max(0, ...records.transfers.map((transfer) => transfer.order));
  const suspended = new Set(table.suspended.map(({ what }) => what));
  for (const transfer of [...open, ...requests]) {
    if (transitions.length >= maxTransitions) break;
    // It counts for neither team, and continues once the settings have room.
    if (suspended.has(transfer.id)) continue;
    const next = nextRecord(transfer, table, order + 1, context);
    if (next === null) continue;
    const changedAt = next.phase === transfer.phase ? transfer.changedAt : Math.round(context.wall);
    const after = { ...next, changedAt };
    order = Math.max(order, after.order);
    transitions.push({ before: transfer, after, changesTable: !changesNothing(transfer, after) });
    transfers.set(transfer.id, after);
    table = quotaTable(context.base, {
      archivedTotals: records.archivedTotals,
      transfers: [...transfers.values()],
    });
  }
  return transitions;
}
