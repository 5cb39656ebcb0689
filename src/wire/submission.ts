/**
 * Maps submissions of users and the responses to them (section "users" of PROTOCOL) to the names of the
 * source. The field names in the schema and the responses are part of that interface and must not
 * change.
 */
import { z } from 'zod/mini';
import { Priority, type JobKind, type JobSpec } from '../jobs/job.js';

const amount = z.number().check(z.nonnegative(), z.maximum(1e9));
const name = z.string().check(z.minLength(1), z.maxLength(200));

/** The maximum number of tasks of one job. */
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

/** A submitted job. */
export interface Submission {
  id: string;
  spec: JobSpec;
  /** The ids of jobs that must be done before any task of this one starts, without duplicates. */
  dependencies: readonly string[];
}

/** The parsed value, or the reason why parsing failed. */
export type ParseResult<T> = { ok: true; value: T } | { ok: false; reason: string };

/** Parses a submission; on failure, `reason` is sent to the user. */
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

/**
 * Returns the job id of a submission, even if the rest of the body is malformed: a submission with a
 * known id is answered before the rest is validated.
 */
export function parseSubmissionId(body: unknown): string | null {
  if (typeof body !== 'object' || body === null) return null;
  const id: unknown = (body as { ref?: unknown }).ref;
  return typeof id === 'string' && isJobId(id) ? id : null;
}

/** Whether `id` is a well-formed job id. */
export const isJobId = (id: string): boolean => JOB_ID.test(id);

/** The phase of a job as shown to users. */
export type PublicPhase = 'pending' | 'running' | 'done' | 'withdrawn';

/** Builds the response to a submission or a cancellation. */
export function jobPhaseResponse(id: string, phase: PublicPhase): object {
  return { ref: id, phase };
}

/** Builds the response to a query; `done` and `running` are numbers of tasks. */
export function jobStatusResponse(
  id: string,
  phase: PublicPhase,
  done: number,
  running: number,
): object {
  return { ref: id, phase, done, running };
}
