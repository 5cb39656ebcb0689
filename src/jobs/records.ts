import { z } from 'zod/mini';
import type { JobPhase, JobSpec } from './job.js';

/**
 * What the store keeps. Field names are short since values have a limit and every controller reads
 * all of them when it takes office. `w` marks the write, so that one whose answer was lost can be
 * told from another's.
 */
const count = z.int().check(z.nonnegative());
const amount = z.number().check(z.nonnegative());

const spec = z.object({
  jobClass: z.string(),
  team: z.string(),
  kind: z.enum(['array', 'gang', 'service']),
  priority: z.int().check(z.minimum(0), z.maximum(3)),
  tasks: count,
  need: z.object({ cpus: amount, gpus: amount, memoryGb: amount }),
  types: z.nullable(z.array(z.string())),
  zone: z.nullable(z.string()),
  oneZone: z.boolean(),
  spread: z.boolean(),
  spot: z.boolean(),
  image: z.string(),
  imageGb: amount,
  estimateMs: amount,
  checkpointMs: amount,
  saveMs: amount,
  deadlineMs: z.nullable(amount),
});

const needs = z.union([
  z.object({ ids: z.array(z.string()) }),
  z.object({ mark: z.string(), pieces: count }),
]);

const job = z.object({
  w: z.string(),
  phase: z.enum(['open', 'done', 'cancelled']),
  tasks: count,
  at: z.optional(z.number()),
  spec: z.optional(spec),
  needs: z.optional(needs),
  doneAt: z.optional(z.number()),
});

/**
 * The jobs that a job waits for: in its own record while they are few, else in `pieces` values of
 * their own below the key that `mark` gives.
 */
export type DependenciesRecord = z.infer<typeof needs>;

export interface JobRecord {
  w: string;
  phase: JobPhase;
  tasks: number;
  /** Time of day of the acceptance, and the job: left out once nothing can run any more. */
  at?: number;
  spec?: JobSpec;
  /**
   * Left out for a job that waits for none, and once the job is over. The version before this field
   * drops it when it rewrites a record. That is sound: it rewrites a record only to end the job,
   * never as open, and a job that is over waits for nothing. Such a version does not know how to
   * wait either, so no job with dependencies may be submitted before all controllers are new.
   */
  needs?: DependenciesRecord;
  /** Time of day at which the job was stored as done: from then on those that need it are ready. */
  doneAt?: number;
}

export function parseJob(value: unknown): JobRecord | null {
  const result = z.safeParse(job, value);
  return result.success ? (result.data as JobRecord) : null;
}

const needsPiece = z.object({ ids: z.array(z.string()) });

/** One piece of a long list of dependencies; null if it cannot be read. */
export function parseDependencyChunk(value: unknown): string[] | null {
  const result = z.safeParse(needsPiece, value);
  return result.success ? result.data.ids : null;
}

const run = z.object({
  w: z.string(),
  attempt: count,
  gang: z.optional(
    z.object({
      phase: z.enum(['admitted', 'placed', 'started', 'suspended']),
      suspensions: count,
      until: z.number(),
    }),
  ),
  done: z.array(z.tuple([count, count])),
  placed: z.array(z.tuple([count, count, z.string(), count, z.string()])),
});

export interface GangRecord {
  phase: 'admitted' | 'placed' | 'started' | 'suspended';
  suspensions: number;
  /** Time of day until which a suspended gang stays inadmissible. */
  until: number;
}

export interface RunRecord {
  w: string;
  /** The highest attempt given out. */
  attempt: number;
  gang?: GangRecord;
  /** Completed tasks as ranges, both ends included. */
  done: [number, number][];
  /**
   * Task, attempt, machine, session and zone of each start that is not proven gone. The zone is kept
   * since a new leader may place other tasks of the job before that machine reports to it.
   */
  placed: [number, number, string, number, string][];
}

export function parseRun(value: unknown): RunRecord | null {
  const result = z.safeParse(run, value);
  return result.success ? (result.data as RunRecord) : null;
}

const rangedRun = z.object({
  w: z.string(),
  from: count,
  to: count,
  attempt: count,
  gang: run.shape.gang,
  done: z.array(z.tuple([count, count])),
  placed: z.array(z.tuple([z.string(), count, z.string(), count, z.array(count)])),
});

/**
 * A run record that says itself which tasks it holds. Starts of one attempt on one machine share an
 * entry, since that is how arrays are mostly placed.
 */
export interface RangedRunRecord {
  w: string;
  /** The tasks from `from` up to but without `to`. */
  from: number;
  to: number;
  /** The highest attempt given out. */
  attempt: number;
  /** Only in the record that begins with task 0. */
  gang?: GangRecord;
  done: [number, number][];
  /** Machine, session, zone, attempt and tasks of the starts that are not proven gone. */
  placed: [string, number, string, number, number[]][];
}

export function parseRangedRun(value: unknown): RangedRunRecord | null {
  const result = z.safeParse(rangedRun, value);
  return result.success ? (result.data as RangedRunRecord) : null;
}

/** Bytes below which hardly any task goes in a ranged record; what needs more is split when written. */
const MIN_BYTES_PER_TASK = 16;

/** How many tasks a new ranged record begins with. */
export function tasksPerRange(valueBytes: number): number {
  return Math.max(1, Math.floor(valueBytes / MIN_BYTES_PER_TASK));
}

/** Bytes that one task may take in a record: its place, or its share of the ranges. */
const BYTES_PER_TASK = 80;

/** How many tasks share one run record, so that it stays below the limit for a value. */
export function tasksPerRecord(valueBytes: number): number {
  return Math.max(1, Math.floor((valueBytes * 0.8) / BYTES_PER_TASK));
}

const rental = z.object({
  w: z.string(),
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  count,
  at: z.number(),
});

export type ProvisioningRecord = z.infer<typeof rental>;

export function parseProvisioning(value: unknown): ProvisioningRecord | null {
  const result = z.safeParse(rental, value);
  return result.success ? result.data : null;
}
