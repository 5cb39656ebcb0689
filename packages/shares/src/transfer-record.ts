/** The stored records of quota transfers. Their field names are a contract between versions. */
import { z } from 'zod/mini';

/**
 * The phases of a transfer. `requested`: accepted, nothing has changed yet. `draining`: the donor's quota has
 * fallen, the receiver's rises as the donor's occupancy leaves. `done`: all of it is the receiver's for good.
 * `lent`: all of it is the receiver's until a time. `returning`: the receiver's quota has fallen, the donor's
 * rises as the receiver's occupancy leaves. The others are final and change nothing.
 */
const TRANSFER_PHASES = [
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
/** One of the phases above. */
export type TransferPhase = (typeof TRANSFER_PHASES)[number];

/** How a return ends. */
export type ReturnOutcome = 'returned' | 'cancelled' | 'expired';

const FINAL_PHASES: ReadonlySet<TransferPhase> = new Set([
  'done',
  'returned',
  'refused',
  'cancelled',
  'expired',
]);

/** Whether a transfer in this phase has ended: its record does not change any more. */
export const isFinal = (phase: TransferPhase): boolean => FINAL_PHASES.has(phase);

const amountSchema = z.number().check(z.nonnegative());
const amountsSchema = z.object({ cpus: amountSchema, gpus: amountSchema });
/** A time of day in milliseconds since the Unix epoch. */
const wallTimeSchema = z.number().check(z.nonnegative());

/* eslint-disable id-length -- `w` is the stored name of the write id, which no other line uses */
const writeIdSchema = { w: z.string() };

/** The field that identifies the write of a record, so that a leader recognizes its own after an ambiguous result. */
export const storedWriteId = (writeId: string): { w: string } => ({ w: writeId });
/* eslint-enable id-length */

const transferSchema = z.object({
  ...writeIdSchema,
  id: z.string(),
  from: z.string(),
  to: z.string(),
  /** How much of the guarantee and of the limit is moved. */
  guarantee: amountsSchema,
  limit: amountsSchema,
  /** Time of day at which a loan goes back; null: the transfer is for good. */
  until: z.nullable(wallTimeSchema),
  /** Time of day by which it has to be drained, or else goes back; null: no bound. */
  drainBy: z.nullable(wallTimeSchema),
  requestedAt: wallTimeSchema,
  phase: z.enum(TRANSFER_PHASES),
  /** Its place among the transfers that have changed the quota table; 0 before. */
  order: z.int().check(z.nonnegative()),
  /** How much of the limit is the receiver's now. */
  passed: amountsSchema,
  /** Whether the moved guarantee is the receiver's now. */
  guaranteePassed: z.boolean(),
  /** Whether operators asked to cancel it. */
  cancelRequested: z.boolean(),
  /** How a return under way will end. */
  outcome: z.nullable(z.enum(['returned', 'cancelled', 'expired'])),
  /** Why it was refused, or what else operators should know. */
  reason: z.nullable(z.string()),
  /** Time of day of its last change of phase. */
  changedAt: wallTimeSchema,
});

/** A transfer as it is stored and shown to operators. */
export type TransferRecord = z.infer<typeof transferSchema>;

/** The record of a stored value; null if it cannot be read. */
export function parseTransfer(value: unknown): TransferRecord | null {
  const result = z.safeParse(transferSchema, value);
  return result.success ? result.data : null;
}

const archivedTotalSchema = z.object({
  ...writeIdSchema,
  from: z.string(),
  to: z.string(),
  guarantee: amountsSchema,
  limit: amountsSchema,
});

/** The archived total of a pair of teams: what their archived transfers moved for good. */
export type ArchivedTotalRecord = z.infer<typeof archivedTotalSchema>;

/** The record of a stored value; null if it cannot be read. */
export function parseArchivedTotal(value: unknown): ArchivedTotalRecord | null {
  const result = z.safeParse(archivedTotalSchema, value);
  return result.success ? result.data : null;
}

const manifestSchema = z.object({ ...writeIdSchema, revision: z.int().check(z.nonnegative()) });

/** The manifest: it changes with every change of the quota table, and fences transactions that start work. */
export type ManifestRecord = z.infer<typeof manifestSchema>;

/** The record of a stored value; null if it cannot be read. */
export function parseManifest(value: unknown): ManifestRecord | null {
  const result = z.safeParse(manifestSchema, value);
  return result.success ? result.data : null;
}
