/**
 * The state machine of a transfer, as a pure function that returns the next steps. Each step that changes the
 * quota table is written together with the manifest, and any later leader continues from the records.
 */
import {
  add,
  isNonPositive,
  maximum,
  ZERO_AMOUNTS,
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

/** Maximum number of steps in which a limit is passed on, to bound the number of writes of a transfer. */
const MAX_PASSES = 8;

/** Inputs to the decision on a step. */
export interface StepContext {
  /** Configured quotas by team. */
  base: ReadonlyMap<string, TeamQuota>;
  /** Recorded occupancy by team: a task that may be on a machine counts until it is proven gone. */
  used: ReadonlyMap<string, Amounts>;
  /** Time of day and its maximum error, in milliseconds. */
  wall: number;
  clockErrorMs: number;
  /** Whether transfers may begin, that is, whether every controller has the extension enabled. */
  mayBegin: boolean;
}

/** A step of one transfer. */
export interface Transition {
  before: TransferRecord;
  after: TransferRecord;
  /** Whether the step changes the quota table. */
  changesTable: boolean;
}

/** Whether a time of day has certainly passed, given the clock error: a loan is never returned early. */
const isPast = (time: number | null, { wall, clockErrorMs }: StepContext): boolean =>
  time !== null && wall >= time + clockErrorMs;

/**
 * How much of `remaining` may be passed on: at most the difference between the ceiling of the team that gives
 * the quota and its recorded occupancy. An amount below a fraction of the total is not passed on yet.
 */
function passableAmount(
  remaining: Amounts,
  total: Amounts,
  ceiling: Amounts,
  used: Amounts,
): Amounts {
  const headroom = maximum(ZERO_AMOUNTS, subtract(ceiling, used));
  const amount = minimum(remaining, headroom);
  const isLargeEnough = RESOURCES.some((resource) => {
    const minimumAmount = Math.min(remaining[resource], total[resource] / MAX_PASSES);
    return amount[resource] > TOLERANCE && amount[resource] >= minimumAmount - TOLERANCE;
  });
  return isLargeEnough ? amount : ZERO_AMOUNTS;
}

/** The outcome of a transfer that has to be returned now; null if it need not be. */
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
  const used = context.used.get(transfer.from) ?? ZERO_AMOUNTS;
  const remaining = subtract(transfer.limit, transfer.passed);
  const passed = add(
    transfer.passed,
    passableAmount(remaining, transfer.limit, donor.ceiling, used),
  );
  if (isNonPositive(subtract(transfer.limit, passed))) {
    const phase = transfer.until === null ? 'done' : 'lent';
    return { ...transfer, phase, passed: transfer.limit, guaranteePassed: true };
  }
  if (transfer.guaranteePassed && isNonPositive(subtract(passed, transfer.passed))) return null;
  return { ...transfer, passed, guaranteePassed: true };
}

function returnQuota(
  transfer: TransferRecord,
  table: QuotaTable,
  context: StepContext,
): TransferRecord | null {
  const receiver = positionOf(table.teams, transfer.to);
  const used = context.used.get(transfer.to) ?? ZERO_AMOUNTS;
  const returned = passableAmount(transfer.passed, transfer.limit, receiver.ceiling, used);
  const passed = subtract(transfer.passed, returned);
  if (isNonPositive(passed)) {
    return {
      ...transfer,
      phase: transfer.outcome ?? 'returned',
      passed: ZERO_AMOUNTS,
      guaranteePassed: false,
    };
  }
  if (!transfer.guaranteePassed && isNonPositive(returned)) return null;
  return { ...transfer, passed, guaranteePassed: false };
}

/** The record of the transfer after its next step; null if it has to wait. */
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

/** Whether a step leaves all teams' quotas unchanged because the transfer ends before it began. */
const changesNothing = (before: TransferRecord, after: TransferRecord): boolean =>
  before.phase === 'requested' && isFinal(after.phase);

/**
 * Returns the next steps, at most one per transfer and `maxTransitions` in total. Each is based on the table that
 * results from the steps before it, and all may be written in one transaction.
 *
 * @param requests transfers that have not begun, in the order of their requests
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
    // A suspended transfer is applied to neither team and continues once it fits the settings again.
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
