/**
 * Maps users' submissions and answers (PROTOCOL, users) to the names of the source. The field names in
 * the schema and the answers are the interface's and stay as they are.
 */
import { z } from 'zod/mini';
import { Priority, type JobKind, type JobSpec } from '../jobs/job.js';

const amount = z.number().check(z.nonnegative(), z.maximum(1e9));
const name = z.string().check(z.minLength(1), z.maxLength(200));

/** The most tasks that one job may have. */
const MAX_TASKS = 100_000;

const JOB_ID = /^req-\d{1,20}$/;
const jobId = z.string().check(z.regex(JOB_ID));

const schema = z.object({
  ref: jobId,
  lane: name,
  crew: name,
  shape: z.enum(['array', 'gang', 'service']),
  urgency: z.enum(['production', 'urgent', 'standard', 'best_effort']),
  pieces: z.int().check(z.minimum(1), z.maximum(MAX_TASKS)),
  vcpus: amount,
  gpus: amount,
  memoryGb: amount,
  crate: name,
  sizeGb: amount,
  hulls: z.nullish(z.array(name)),
  yard: z.nullish(name),
  samePlace: z.boolean(),
  apart: z.boolean(),
  driftwood: z.boolean(),
  guessS: amount,
  snapshotEveryS: amount,
  stowS: amount,
  dueS: z.nullish(amount),
  waitsOn: z.nullish(z.array(jobId)),
});

const PRIORITIES = {
  production: Priority.Production,
  urgent: Priority.High,
  standard: Priority.Normal,
  best_effort: Priority.Low,
} as const;

/** A job as a user submits it. */
export interface Submission {
  id: string;
  spec: JobSpec;
  /** Jobs that must be done before any task of this one starts, each named once. */
  dependencies: readonly string[];
}

/** What was parsed, or why it could not be. */
export type ParseResult<T> = { ok: true; value: T } | { ok: false; reason: string };

/** Parses a submission; `reason` goes to the user. */
export function parseSubmission(body: unknown): ParseResult<Submission> {
  const result = schema.safeParse(body);
  if (!result.success) {
    const issue = result.error.issues[0];
    const path = issue?.path.join('.');
    return { ok: false, reason: path ? `${path}: ${issue?.message}` : 'must be an object' };
  }
  return { ok: true, value: toSubmission(result.data) };
}

function toSubmission(data: z.infer<typeof schema>): Submission {
  return {
    id: data.ref,
    spec: {
      jobClass: data.lane,
      team: data.crew,
      kind: data.shape satisfies JobKind,
      priority: PRIORITIES[data.urgency],
      tasks: data.pieces,
      need: { cpus: data.vcpus, gpus: data.gpus, memoryGb: data.memoryGb },
      types: data.hulls ?? null,
      zone: data.yard ?? null,
      oneZone: data.samePlace,
      spread: data.apart,
      spot: data.driftwood,
      image: data.crate,
      imageGb: data.sizeGb,
      estimateMs: data.guessS * 1000,
      checkpointMs: data.snapshotEveryS * 1000,
      saveMs: data.stowS * 1000,
      deadlineMs: data.dueS == null ? null : data.dueS * 1000,
    },
    dependencies: [...new Set(data.waitsOn ?? [])],
  };
}

/** The job id in a body, even if the rest is malformed: known jobs are answered before it is checked. */
export function submissionId(body: unknown): string | null {
  if (typeof body !== 'object' || body === null) return null;
  const id: unknown = (body as { ref?: unknown }).ref;
  return typeof id === 'string' && isJobId(id) ? id : null;
}

/** Whether `id` has the form of a job id. */
export const isJobId = (id: string): boolean => JOB_ID.test(id);

/** The phase of a job as users see it. */
export type PublicPhase = 'pending' | 'running' | 'done' | 'withdrawn';

/** The answer to a submission or a cancellation. */
export function jobAnswer(id: string, phase: PublicPhase): object {
  return { ref: id, phase };
}

/** The answer to a query; `done` and `running` count tasks. */
export function jobStatus(id: string, phase: PublicPhase, done: number, running: number): object {
  return { ref: id, phase, done, running };
}
