import { z } from 'zod/mini';
import type { JobPhase, JobSpec } from './job.js';

/**
 * The stored records of jobs and of provisioned machines. Field names are short since values have a
 * limit and every controller reads all of them when it becomes leader.
 */

/** Field of the write id, which tells a write whose answer was lost from another controller's. */
export const WRITE_ID = 'w';

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
  [WRITE_ID]: z.string(),
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

/** A job: its own record. */
export interface JobRecord {
  [WRITE_ID]: string;
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

/** A job's own record; null if it cannot be read. */
export function parseJob(value: unknown): JobRecord | null {
  const result = z.safeParse(job, value);
  return result.success ? result.data : null;
}

const dependencyChunk = z.object({ ids: z.array(z.string()) });

/** One chunk of a long list of dependencies; null if it cannot be read. */
export function parseDependencyChunk(value: unknown): string[] | null {
  const result = z.safeParse(dependencyChunk, value);
  return result.success ? result.data.ids : null;
}

const run = z.object({
  [WRITE_ID]: z.string(),
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

/** Gang admission as stored. */
export interface GangRecord {
  phase: 'admitted' | 'placed' | 'started' | 'suspended';
  suspensions: number;
  /** Time of day until which a suspended gang stays inadmissible. */
  until: number;
}

/** An indexed run record, see `run-layout.ts`. */
export interface RunRecord {
  [WRITE_ID]: string;
  /** The highest attempt given out. */
  attempt: number;
  gang?: GangRecord;
  /** Completed tasks as ranges, both ends included. */
  done: [number, number][];
  /**
   * Task, attempt, machine, agent epoch and zone of each start that is not proven gone. The zone is
   * kept since a new leader may place other tasks of the job before that machine sends it a
   * heartbeat.
   */
  placed: [number, number, string, number, string][];
}

/** An indexed run record; null if it cannot be read. */
export function parseRun(value: unknown): RunRecord | null {
  const result = z.safeParse(run, value);
  return result.success ? result.data : null;
}

const rangedRun = z.object({
  [WRITE_ID]: z.string(),
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
  [WRITE_ID]: string;
  /** The tasks from `from` up to but without `to`. */
  from: number;
  to: number;
  /** The highest attempt given out. */
  attempt: number;
  /** Only in the record that begins with task 0. */
  gang?: GangRecord;
  done: [number, number][];
  /** Machine, agent epoch, zone, attempt and tasks of the starts that are not proven gone. */
  placed: [string, number, string, number, number[]][];
}

/** A ranged run record; null if it cannot be read. */
export function parseRangedRun(value: unknown): RangedRunRecord | null {
  const result = z.safeParse(rangedRun, value);
  return result.success ? result.data : null;
}

/**
 * Bytes below which hardly any task goes in a ranged record; what needs more is split when written.
 */
const MIN_BYTES_PER_TASK = 16;

/** How many tasks a new ranged record begins with. */
export function tasksPerRange(valueBytes: number): number {
  return Math.max(1, Math.floor(valueBytes / MIN_BYTES_PER_TASK));
}

/** Bytes that one task may take in a record: its placement, or its part of the ranges. */
const BYTES_PER_TASK = 80;

/** How many tasks share one run record, so that it stays below the limit for a value. */
export function tasksPerRecord(valueBytes: number): number {
  return Math.max(1, Math.floor((valueBytes * 0.8) / BYTES_PER_TASK));
}

const provisioning = z.object({
  [WRITE_ID]: z.string(),
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  count,
  at: z.number(),
});

/** Machines that are being provisioned; `at` is the time of day (ms). */
export type ProvisioningRecord = z.infer<typeof provisioning>;

/** A provisioning record; null if it cannot be read. */
export function parseProvisioning(value: unknown): ProvisioningRecord | null {
  const result = z.safeParse(provisioning, value);
  return result.success ? result.data : null;
}
