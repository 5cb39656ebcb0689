/** Validates the bodies of operators' transfer requests. */
import { InvalidRequestError, parseBody, requestId } from '@leverhatch/operators/request';
import { z } from 'zod/mini';
import { isNonPositive, ZERO_AMOUNTS, type Amounts } from './amounts.js';
import { MAX_KEY_BYTES, QUOTA_TRANSFER_KEYS } from './keys.js';
import { storedWriteId, type TransferRecord } from './transfer-record.js';
import type { TeamQuota } from './quota-table.js';

/** Amounts have at most three decimals, so they are integers when multiplied by this. */
const AMOUNT_SCALE = 1000;

const amountSchema = z.number().check(
  z.nonnegative('must not be negative'),
  z.refine((count) => Number.isInteger(Number((count * AMOUNT_SCALE).toFixed(6))), {
    error: 'must have three decimals at most',
  }),
);
const amountsSchema = z.strictObject({
  cpus: z._default(amountSchema, 0),
  gpus: z._default(amountSchema, 0),
});
const secondsSchema = z.number().check(z.positive('must be positive'));

const bodySchema = z.strictObject({
  id: requestId,
  from: z.string().check(z.minLength(1)),
  to: z.string().check(z.minLength(1)),
  guarantee: z._default(amountsSchema, { ...ZERO_AMOUNTS }),
  limit: z._default(amountsSchema, { ...ZERO_AMOUNTS }),
  /** Time of day in milliseconds at which the quota is returned. */
  until: z._default(z.nullable(z.number().check(z.positive())), null),
  /** Duration after which the quota is returned, as an alternative to `until`. */
  forSeconds: z._default(z.nullable(secondsSchema), null),
  /** Maximum duration of draining before the transfer is reversed. */
  drainSeconds: z._default(z.nullable(secondsSchema), null),
});

/** A validated request; times of day in milliseconds. */
export interface TransferRequest {
  id: string;
  from: string;
  to: string;
  guarantee: Amounts;
  limit: Amounts;
  until: number | null;
  drainBy: number | null;
}

function checkTeams(from: string, to: string, base: ReadonlyMap<string, TeamQuota>): void {
  if (from === to) throw new InvalidRequestError(400, 'to', 'must be another team than from');
  for (const [field, team] of [['from', from] as const, ['to', to] as const]) {
    if (!base.has(team)) throw new InvalidRequestError(422, field, `unknown team ${team}`);
  }
}

/** The time of day at which a loan is returned; null: the transfer is permanent. */
function returnTime(
  requestedUntil: number | null,
  forSeconds: number | null,
  wallNow: number,
): number | null {
  if (requestedUntil !== null && forSeconds !== null) {
    throw new InvalidRequestError(400, 'forSeconds', 'must not be given together with until');
  }
  const until = forSeconds === null ? requestedUntil : wallNow + forSeconds * 1000;
  if (until !== null && until <= wallNow)
    throw new InvalidRequestError(400, 'until', 'must not be in the past');
  return until;
}

/**
 * Parses the body of a request. Throws `InvalidRequestError` if it is not a valid transfer between these teams.
 *
 * @param base configured quotas by team
 * @param wallNow the time of day in milliseconds
 */
export function parseRequest(
  value: unknown,
  base: ReadonlyMap<string, TeamQuota>,
  wallNow: number,
): TransferRequest {
  const { id, from, to, guarantee, limit, forSeconds, ...times } = parseBody(bodySchema, value);
  checkTeams(from, to, base);
  if (isNonPositive(guarantee) && isNonPositive(limit)) {
    throw new InvalidRequestError(400, 'guarantee', 'nothing is moved');
  }
  const until = returnTime(times.until, forSeconds, wallNow);
  if (Buffer.byteLength(QUOTA_TRANSFER_KEYS.archivedTotal(from, to)) > MAX_KEY_BYTES) {
    throw new InvalidRequestError(422, 'from', 'the names of the teams are too long together');
  }
  const drainBy = times.drainSeconds === null ? null : wallNow + times.drainSeconds * 1000;
  return { id, from, to, guarantee, limit, until, drainBy };
}

/** Creates the initial record of a transfer; `wallNow` is the time of day in milliseconds. */
export function newTransfer(
  request: TransferRequest,
  writeId: string,
  wallNow: number,
): TransferRecord {
  return {
    ...request,
    ...storedWriteId(writeId),
    until: request.until === null ? null : Math.round(request.until),
    drainBy: request.drainBy === null ? null : Math.round(request.drainBy),
    requestedAt: Math.round(wallNow),
    changedAt: Math.round(wallNow),
    phase: 'requested',
    order: 0,
    passed: { ...ZERO_AMOUNTS },
    guaranteePassed: false,
    cancelRequested: false,
    outcome: null,
    reason: null,
  };
}

const areEqual = (a: Amounts, b: Amounts): boolean => a.cpus === b.cpus && a.gpus === b.gpus;

/**
 * Whether a request is a repetition of an accepted one. Durations count from the first request, so times are
 * not compared; it only matters whether they are given.
 */
export function isSameRequest(request: TransferRequest, transfer: TransferRecord): boolean {
  return (
    request.from === transfer.from &&
    request.to === transfer.to &&
    areEqual(request.guarantee, transfer.guarantee) &&
    areEqual(request.limit, transfer.limit) &&
    (request.until === null) === (transfer.until === null) &&
    (request.drainBy === null) === (transfer.drainBy === null)
  );
}
