/** Job model: kind, priority, specification and phase. */

import type { Resources } from '../fleet/resources.js';

/**
 * Kind of a job: `array` (independent tasks), `gang` (all tasks run at the same time) or `service`
 * (replicas that are replaced).
 */
export type JobKind = 'array' | 'gang' | 'service';

/** Priority of a job; a smaller value is more important. */
export enum Priority {
  Production,
  High,
  Normal,
  Low,
}

/**
 * Specification of a job as submitted by its user, in the terms of the glossary. Durations are in
 * milliseconds, memory and image sizes in GB.
 */
export interface JobSpec {
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  need: Resources;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  image: string;
  imageGb: number;
  estimateMs: number;
  checkpointMs: number;
  saveMs: number;
  deadlineMs: number | null;
}

/** Stored phase of a job; `done` and `cancelled` are final. */
export type JobPhase = 'open' | 'done' | 'cancelled';

/** Maximum number of tasks per zone for a job with `spread`. */
export const spreadLimit = (tasks: number): number => Math.ceil(tasks / 2);
