import { z } from 'zod/mini';
import { Priority, type JobKind, type JobSpec } from '../jobs/job.js';

const amount = z.number().check(z.nonnegative(), z.maximum(1e9));
const name = z.string().check(z.minLength(1), z.maxLength(200));

export const MAX_TASKS = 100_000;

const jobId = z.string().check(z.regex(/^req-\d{1,20}$/));

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

export interface Submission {
  id: string;
  spec: JobSpec;
  /** Jobs that must be done before any task of this one starts, each named once. */
  dependencies: readonly string[];
}

export type ParseResult<T> = { ok: true; value: T } | { ok: false; reason: string };

export function parseSubmission(body: unknown): ParseResult<Submission> {
  const result = schema.safeParse(body);
  if (!result.success) {
    const issue = result.error.issues[0];
    const path = issue?.path.join('.');
    return { ok: false, reason: path ? `${path}: ${issue?.message}` : 'must be an object' };
  }
  const d = result.data;
  return {
    ok: true,
    value: {
      id: d.ref,
      spec: {
        jobClass: d.lane,
        team: d.crew,
        kind: d.shape satisfies JobKind,
        priority: PRIORITIES[d.urgency],
        tasks: d.pieces,
        need: { cpus: d.vcpus, gpus: d.gpus, memoryGb: d.memoryGb },
        types: d.hulls ?? null,
        zone: d.yard ?? null,
        oneZone: d.samePlace,
        spread: d.apart,
        spot: d.driftwood,
        image: d.crate,
        imageGb: d.sizeGb,
        estimateMs: d.guessS * 1000,
        checkpointMs: d.snapshotEveryS * 1000,
        saveMs: d.stowS * 1000,
        deadlineMs: d.dueS == null ? null : d.dueS * 1000,
      },
      dependencies: [...new Set(d.waitsOn ?? [])],
    },
  };
}

/** The id that a body names, even where the rest of it is unsound: known jobs are answered first. */
export function submissionId(body: unknown): string | null {
  if (typeof body !== 'object' || body === null) return null;
  const id: unknown = (body as { ref?: unknown }).ref;
  return typeof id === 'string' && isJobId(id) ? id : null;
}

export const isJobId = (id: string): boolean => /^req-\d{1,20}$/.test(id);

export type PublicPhase = 'pending' | 'running' | 'done' | 'withdrawn';

export function jobAnswer(id: string, phase: PublicPhase): object {
  return { ref: id, phase };
}

export function jobStatus(id: string, phase: PublicPhase, done: number, running: number): object {
  return { ref: id, phase, done, running };
}
