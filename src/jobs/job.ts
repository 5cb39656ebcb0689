/** What a job is: its kind, priority, description and phase. */

import type { Resources } from '../fleet/resources.js';

/** How the tasks of a job relate: independent, all at once, or replicas that are replaced. */
export type JobKind = 'array' | 'gang' | 'service';

/** Smaller is more important. */
export enum Priority {
  Production,
  High,
  Normal,
  Low,
}

/**
 * What a user asked for, in the terms of the glossary; durations in milliseconds, memory and images
 * in GB.
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

/** What the store says of a job; only `open` ever changes. */
export type JobPhase = 'open' | 'done' | 'cancelled';

/** At most this many tasks of a job that asks to be spread may be in one zone. */
export const spreadLimit = (tasks: number): number => Math.ceil(tasks / 2);
