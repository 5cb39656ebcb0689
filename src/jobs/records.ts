import { z } from 'zod/mini';
import type { JobPhase, JobSpec } from './job.js';

/**
 * Schemas of the stored records of jobs and of provisioned machines. Field names are short because
 * values have a size limit and a controller reads all records when it becomes leader.
 */

/**
 * Field of the write id, which distinguishes a controller's own write whose response was lost from
 * a write of another controller.
 */
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
 * The dependencies of a job: inline in the job record if the list is short, else in `pieces` chunks
 * whose keys contain the hash `mark`, see `dependencies.ts`.
 */
export type DependenciesRecord = z.infer<typeof needs>;

/** The job record: the phase of a job and, until nothing of it can run, its spec. */
export interface JobRecord {
  [WRITE_ID]: string;
  phase: JobPhase;
  tasks: number;
  /** Wall-clock time of the acceptance, and the job's spec; omitted once nothing of it can run. */
  at?: number;
  spec?: JobSpec;
  /**
   * Omitted for a job without dependencies and once the job has ended. Versions from before this
   * field was added drop it when they rewrite a record. That is safe: they rewrite a record only to
   * end the job, and an ended job needs no dependencies. Such versions do not wait for dependencies
   * either, so no job with dependencies may be submitted before all controllers are upgraded.
   */
  needs?: DependenciesRecord;
  /** Wall-clock time when the job was stored as done; its dependents are ready from then on. */
  doneAt?: number;
}

/** Parses a job record; null if it is unreadable. */
export function parseJob(value: unknown): JobRecord | null {
  const result = z.safeParse(job, value);
  return result.success ? result.data : null;
}

const dependencyChunk = z.object({ ids: z.array(z.string()) });

/** Parses one chunk of a long dependency list; null if it is unreadable. */
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
  /** Wall-clock time until which a suspended gang is not admitted. */
  until: number;
}

/** An indexed run record, see `run-layout.ts`. */
export interface RunRecord {
  [WRITE_ID]: string;
  /** The highest attempt number assigned so far. */
  attempt: number;
  gang?: GangRecord;
  /** Completed tasks as inclusive ranges. */
  done: [number, number][];
  /**
   * Task, attempt, machine, agent epoch and zone of each start that is not proven gone. The zone is
   * stored because a new leader may place other tasks of the job before it gets a heartbeat from
   * that machine.
   */
  placed: [number, number, string, number, string][];
}

/** Parses an indexed run record; null if it is unreadable. */
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
 * A run record that contains the range of its tasks. Starts of one attempt on one machine share an
 * entry, since arrays are mostly placed that way.
 */
export interface RangedRunRecord {
  [WRITE_ID]: string;
  /** The tasks from `from` (inclusive) to `to` (exclusive). */
  from: number;
  to: number;
  /** The highest attempt number assigned so far. */
  attempt: number;
  /** Only in the record that begins with task 0. */
  gang?: GangRecord;
  done: [number, number][];
  /** Machine, agent epoch, zone, attempt and tasks of the starts that are not proven gone. */
  placed: [string, number, string, number, number[]][];
}

/** Parses a ranged run record; null if it is unreadable. */
export function parseRangedRun(value: unknown): RangedRunRecord | null {
  const result = z.safeParse(rangedRun, value);
  return result.success ? result.data : null;
}

/**
 * Bytes that nearly every task takes at least in a ranged record. A record that turns out too large
 * is split when it is written.
 */
const MIN_BYTES_PER_TASK = 16;

/** Initial number of tasks in a new ranged record. */
export function tasksPerRange(valueBytes: number): number {
  return Math.max(1, Math.floor(valueBytes / MIN_BYTES_PER_TASK));
}

/** Bytes that one task may take in an indexed record, for its placement or its completed range. */
const BYTES_PER_TASK = 80;

/** Number of tasks per indexed run record that keeps the record below the value limit. */
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

/** Machines that are being provisioned; `at` is wall-clock time (ms). */
export type ProvisioningRecord = z.infer<typeof provisioning>;

/** Parses a provisioning record; null if it is unreadable. */
export function parseProvisioning(value: unknown): ProvisioningRecord | null {
  const result = z.safeParse(provisioning, value);
  return result.success ? result.data : null;
}
