/** A submission as the protocol defines it, parsed independently of the code under test. */
export interface JobRequest {
  crew: string;
  shape: 'array' | 'gang' | 'service';
  pieces: number;
  vcpus: number;
  gpus: number;
  memoryGb: number;
  hulls: string[] | null;
  yard: string | null;
  samePlace: boolean;
  apart: boolean;
  driftwood: boolean;
  waitsOn: string[];
}

export interface Amounts {
  cpus: number;
  gpus: number;
}

/** The machine types that can be rented, and the limits of the teams. */
export interface FleetLimits {
  types: Map<string, { room: Amounts & { memoryGb: number }; zones: string[] }>;
  teams: Map<string, Amounts>;
}

const isText = (v: unknown): boolean => typeof v === 'string' && v.length > 0;
const isAmount = (v: unknown): boolean => typeof v === 'number' && v >= 0;
const isFlag = (v: unknown): boolean => typeof v === 'boolean';
const isTextList = (v: unknown): boolean => Array.isArray(v) && v.every(isText);
const orNull =
  (is: (v: unknown) => boolean) =>
  (v: unknown): boolean =>
    v === null || v === undefined || is(v);
const oneOf =
  (...names: string[]) =>
  (v: unknown): boolean =>
    names.includes(v as string);

/** The validity check of each field of a submission. */
const FIELDS: Record<string, (v: unknown) => boolean> = {
  ref: (v) => typeof v === 'string' && /^req-\d+$/.test(v),
  lane: isText,
  crew: isText,
  shape: oneOf('array', 'gang', 'service'),
  urgency: oneOf('production', 'urgent', 'standard', 'best_effort'),
  pieces: (v) => Number.isInteger(v) && (v as number) >= 1 && (v as number) <= 100_000,
  vcpus: isAmount,
  gpus: isAmount,
  memoryGb: isAmount,
  crate: isText,
  sizeGb: isAmount,
  hulls: orNull(isTextList),
  yard: orNull(isText),
  samePlace: isFlag,
  apart: isFlag,
  driftwood: isFlag,
  guessS: isAmount,
  snapshotEveryS: isAmount,
  stowS: isAmount,
  dueS: orNull(isAmount),
  waitsOn: orNull(isTextList),
};

/** Why a body is malformed; null if it is well formed. */
function malformedReason(body: unknown): string | null {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) return 'not an object';
  for (const [name, isValid] of Object.entries(FIELDS)) {
    if (!isValid((body as Record<string, unknown>)[name])) return `${name} is missing or invalid`;
  }
  return null;
}

/** Parses the body of a submission; null if it is malformed. */
export function jobRequestOf(body: unknown): JobRequest | null {
  if (malformedReason(body) !== null) return null;
  const request = body as Partial<JobRequest>;
  return {
    ...(request as JobRequest),
    hulls: request.hulls ?? null,
    yard: request.yard ?? null,
    waitsOn: request.waitsOn ?? [],
  };
}

/** Why a submission must be rejected; null if it must be accepted. */
export function rejectionReason(body: unknown, fleet: FleetLimits): string | null {
  const malformed = malformedReason(body);
  const request = jobRequestOf(body);
  if (malformed !== null || !request) return malformed;
  const limit = fleet.teams.get(request.crew);
  if (!limit) return `unknown team ${request.crew}`;
  const fitting = [...fleet.types].some(
    ([name, type]) =>
      (request.hulls === null || request.hulls.includes(name)) &&
      (request.yard === null || type.zones.includes(request.yard)) &&
      request.vcpus <= type.room.cpus &&
      request.gpus <= type.room.gpus &&
      request.memoryGb <= type.room.memoryGb,
  );
  if (!fitting) return 'a task fits no allowed machine type';
  const atOnce = request.shape === 'array' ? 1 : request.pieces;
  if (request.vcpus * atOnce > limit.cpus || request.gpus * atOnce > limit.gpus) {
    return `more than the limit of team ${request.crew}`;
  }
  return null;
}
