/** What operators send to move a share, checked field by field. */
import { InvalidRequestError, parseBody, requestId } from '@leverhatch/operators/request';
import { z } from 'zod/mini';
import { isNothing, NOTHING, type Amounts } from './amounts.js';
import { MAX_KEY_BYTES, QUOTA_TRANSFER_KEYS } from './keys.js';
import type { TransferRecord } from './transfer-record.js';
import type { TeamQuota } from './quota-table.js';

/** Amounts have three decimals at most. */
const UNITS_PER_ONE = 1000;

const amount = z.number().check(
  z.nonnegative('must not be negative'),
  z.refine((count) => Number.isInteger(Number((count * UNITS_PER_ONE).toFixed(6))), {
    error: 'must have three decimals at most',
  }),
);
const amounts = z.strictObject({ cpus: z._default(amount, 0), gpus: z._default(amount, 0) });
const seconds = z.number().check(z.positive('must be positive'));

const body = z.strictObject({
  id: requestId,
  from: z.string().check(z.minLength(1)),
  to: z.string().check(z.minLength(1)),
  guarantee: z._default(amounts, { ...NOTHING }),
  limit: z._default(amounts, { ...NOTHING }),
  /** Time of day in milliseconds at which the share goes back. */
  until: z._default(z.nullable(z.number().check(z.positive())), null),
  /** The same as a duration from now. */
  forSeconds: z._default(z.nullable(seconds), null),
  /** How long draining may take before the move goes back. */
  drainSeconds: z._default(z.nullable(seconds), null),
});

/** A sound request. */
export interface TransferRequest {
  id: string;
  from: string;
  to: string;
  guarantee: Amounts;
  limit: Amounts;
  until: number | null;
  drainBy: number | null;
}

/** Throws `BadRequest` for what can't be a move between these teams. */
export function parseRequest(
  value: unknown,
  base: ReadonlyMap<string, TeamQuota>,
  wall: number,
): TransferRequest {
  const { id, from, to, guarantee, limit, forSeconds, ...times } = parseBody(body, value);
  if (from === to) throw new InvalidRequestError(400, 'to', 'must be another team than from');
  for (const [field, team] of [['from', from] as const, ['to', to] as const]) {
    if (!base.has(team)) throw new InvalidRequestError(422, field, `unknown team ${team}`);
  }
  if (isNothing(guarantee) && isNothing(limit)) {
    throw new InvalidRequestError(400, 'guarantee', 'nothing is moved');
  }
  if (times.until !== null && forSeconds !== null) {
    throw new InvalidRequestError(400, 'forSeconds', 'must not be given together with until');
  }
  const until = forSeconds === null ? times.until : wall + forSeconds * 1000;
  if (until !== null && until <= wall)
    throw new InvalidRequestError(400, 'until', 'must not be in the past');
  if (Buffer.byteLength(QUOTA_TRANSFER_KEYS.archivedTotal(from, to)) > MAX_KEY_BYTES) {
    throw new InvalidRequestError(422, 'from', 'the names of the teams are too long together');
  }
  const drainBy = times.drainSeconds === null ? null : wall + times.drainSeconds * 1000;
  return { id, from, to, guarantee, limit, until, drainBy };
}

/** The record that a request begins with. */
export function newTransfer(
  request: TransferRequest,
  writeId: string,
  wall: number,
): TransferRecord {
  return {
    ...request,
    w: writeId,
    until: request.until === null ? null : Math.round(request.until),
    drainBy: request.drainBy === null ? null : Math.round(request.drainBy),
    requestedAt: Math.round(wall),
    changedAt: Math.round(wall),
    phase: 'requested',
    order: 0,
    passed: { ...NOTHING },
    guaranteePassed: false,
    cancelRequested: false,
    outcome: null,
    reason: null,
  };
}

/** Whether two amounts are the same. */
const same = (a: Amounts, b: Amounts): boolean => a.cpus === b.cpus && a.gpus === b.gpus;

/**
 * Whether a request is the repeat of one that was accepted. Durations count from the first one, so of
 * times it only counts whether they are given.
 */
export function isSameRequest(request: TransferRequest, move: TransferRecord): boolean {
  return (
    request.from === move.from &&
    request.to === move.to &&
    same(request.guarantee, move.guarantee) &&
    same(request.limit, move.limit) &&
    (request.until === null) === (move.until === null) &&
    (request.drainBy === null) === (move.drainBy === null)
  );
}
