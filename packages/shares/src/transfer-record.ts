/** A move of a share from one team to another: its record in the state service and its life. */
import { z } from 'zod/mini';

/**
 * `requested`: accepted, nothing has changed yet. `draining`: the donor's share has fallen, the
 * receiver's rises as the donor's occupancy leaves. `done`: all of it is the receiver's for good.
 * `lent`: all of it is the receiver's until a time. `returning`: the receiver's share has fallen, the
 * donor's rises as the receiver's occupancy leaves. The others are final and change nothing.
 */
export const TRANSFER_PHASES = [
  'requested',
  'draining',
  'done',
  'lent',
  'returning',
  'returned',
  'refused',
  'cancelled',
  'expired',
] as const;
export type TransferPhase = (typeof TRANSFER_PHASES)[number];

/** How a return ends. */
export type ReturnOutcome = 'returned' | 'cancelled' | 'expired';

const FINAL: ReadonlySet<TransferPhase> = new Set([
  'done',
  'returned',
  'refused',
  'cancelled',
  'expired',
]);

/** True once nothing about the move will change any more. */
export const isFinal = (phase: TransferPhase): boolean => FINAL.has(phase);

const amount = z.number().check(z.nonnegative());
const amounts = z.object({ cpus: amount, gpus: amount });
const wallTime = z.number().check(z.nonnegative());

const moveRecord = z.object({
  /** Marks who wrote it, so that a leader finds its own write after a lost answer. */
  w: z.string(),
  id: z.string(),
  from: z.string(),
  to: z.string(),
  /** What of the guarantee and of the limit is moved. */
  guarantee: amounts,
  limit: amounts,
  /** Time of day at which a loan goes back; null: the move is for good. */
  until: z.nullable(wallTime),
  /** Time of day by which it has to be drained, or else goes back; null: it may take any time. */
  drainBy: z.nullable(wallTime),
  requestedAt: wallTime,
  phase: z.enum(TRANSFER_PHASES),
  /** Its place among the moves that have changed the table; 0 before. */
  order: z.int().check(z.nonnegative()),
  /** How much of the limit is the receiver's now. */
  passed: amounts,
  /** Whether the moved guarantee is the receiver's now. */
  guaranteePassed: z.boolean(),
  /** Somebody asked to cancel it. */
  cancelRequested: z.boolean(),
  /** How a return under way will end. */
  outcome: z.nullable(z.enum(['returned', 'cancelled', 'expired'])),
  /** Why it was refused, or what else operators should know. */
  reason: z.nullable(z.string()),
  /** Time of day of its last change of phase. */
  changedAt: wallTime,
});

export type TransferRecord = z.infer<typeof moveRecord>;

/** Null if the record cannot be read. */
export function parseTransfer(value: unknown): TransferRecord | null {
  const result = z.safeParse(moveRecord, value);
  return result.success ? result.data : null;
}

const settledRecord = z.object({
  w: z.string(),
  from: z.string(),
  to: z.string(),
  guarantee: amounts,
  limit: amounts,
});

/** What all finished moves of one pair of teams have moved, summed up so that their records can go. */
export type ArchivedTotalRecord = z.infer<typeof settledRecord>;

/** Null if the record cannot be read. */
export function parseArchivedTotal(value: unknown): ArchivedTotalRecord | null {
  const result = z.safeParse(settledRecord, value);
  return result.success ? result.data : null;
}

const headRecord = z.object({ w: z.string(), revision: z.int().check(z.nonnegative()) });

/** Changes with every change of the share table; transactions that start work are conditioned on it. */
export type ManifestRecord = z.infer<typeof headRecord>;

/** Null if the record cannot be read. */
export function parseManifest(value: unknown): ManifestRecord | null {
  const result = z.safeParse(headRecord, value);
  return result.success ? result.data : null;
}
