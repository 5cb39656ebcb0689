/** The stored records of quota transfers. Their field names must stay compatible between versions. */
import { z } from 'zod/mini';

/**
 * The phases of a transfer. `requested`: accepted, nothing has changed yet. `draining`: the donor's quota is
 * reduced, and the receiver's grows as the donor's occupancy falls. `done`: all of it belongs to the receiver
 * permanently. `lent`: all of it belongs to the receiver for a limited time. `returning`: the receiver's quota
 * is reduced, and the donor's grows as the receiver's occupancy falls. The others are final, with no effect.
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
/** One of these phases. */
export type TransferPhase = (typeof TRANSFER_PHASES)[number];

/** The final phase of a transfer after its quota is returned. */
export type ReturnOutcome = 'returned' | 'cancelled' | 'expired';

const FINAL_PHASES: ReadonlySet<TransferPhase> = new Set([
  'done',
  'returned',
  'refused',
  'cancelled',
  'expired',
]);

/** Whether a transfer in this phase has ended, so that its record does not change any more. */
export const isFinal = (phase: TransferPhase): boolean => FINAL_PHASES.has(phase);

const amountSchema = z.number().check(z.nonnegative());
const amountsSchema = z.object({ cpus: amountSchema, gpus: amountSchema });
/** A time of day in milliseconds since the Unix epoch. */
const wallTimeSchema = z.number().check(z.nonnegative());

/* eslint-disable id-length -- `w` is the stored name of the write id, which no other line uses */
const writeIdSchema = { w: z.string() };

/** The field with the write id, by which a leader recognizes its own writes after an ambiguous result. */
export const storedWriteId = (writeId: string): { w: string } => ({ w: writeId });
/* eslint-enable id-length */

const transferSchema = z.object({
  ...writeIdSchema,
  id: z.string(),
  from: z.string(),
  to: z.string(),
  /** How much of the guarantee and of the limit is transferred. */
  guarantee: amountsSchema,
  limit: amountsSchema,
  /** Time of day at which a loan is returned; null: the transfer is permanent. */
  until: z.nullable(wallTimeSchema),
  /** Deadline of draining, after which the transfer is reversed; null: no deadline. */
  drainBy: z.nullable(wallTimeSchema),
  requestedAt: wallTimeSchema,
  phase: z.enum(TRANSFER_PHASES),
  /** Position in the sequence of transfers that have changed the quota table; 0 before it has done so. */
  order: z.int().check(z.nonnegative()),
  /** How much of the limit the receiver has now. */
  passed: amountsSchema,
  /** Whether the receiver has the transferred guarantee now. */
  guaranteePassed: z.boolean(),
  /** Whether an operator has requested its cancellation. */
  cancelRequested: z.boolean(),
  /** Final phase of a transfer that is returning. */
  outcome: z.nullable(z.enum(['returned', 'cancelled', 'expired'])),
  /** Why it was refused, or other information for operators. */
  reason: z.nullable(z.string()),
  /** Time of day of the last phase change. */
  changedAt: wallTimeSchema,
});

/** A transfer as stored and as returned to operators. */
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

/** The archived total of a pair of teams: what their archived transfers moved permanently. */
export type ArchivedTotalRecord = z.infer<typeof archivedTotalSchema>;

/** The record of a stored value; null if it cannot be read. */
export function parseArchivedTotal(value: unknown): ArchivedTotalRecord | null {
  const result = z.safeParse(archivedTotalSchema, value);
  return result.success ? result.data : null;
}

const manifestSchema = z.object({ ...writeIdSchema, revision: z.int().check(z.nonnegative()) });

/** The manifest: it is written with every change of the quota table, and fences transactions that start tasks. */
export type ManifestRecord = z.infer<typeof manifestSchema>;

/** The record of a stored value; null if it cannot be read. */
export function parseManifest(value: unknown): ManifestRecord | null {
  const result = z.safeParse(manifestSchema, value);
  return result.success ? result.data : null;
}
