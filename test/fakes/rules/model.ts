/** What the rules are judged by: what users say and are told, and what really is on the machines. */
import type { FleetLimits, JobRequest } from '../job-request.js';

export type TaskState = 'fetching' | 'gathering' | 'running' | 'flushing';

export interface ObservedTask {
  job: string;
  task: number;
  state: TaskState;
}

/** One machine as it really is, whatever the controllers believe. */
export interface MachineSeen {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Its worker works, hears its answers and is not about to be taken away. */
  usable: boolean;
  /** All that has not ended, also on a machine that hangs or can't be reached. */
  tasks: ObservedTask[];
}

export type Rule =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'accepted_unsound'
  | 'refused_sound'
  | 'left_waiting'
  | 'overfull'
  | 'too_early'
  | 'orphaned';

export interface Violation {
  rule: Rule;
  /** Milliseconds since the start of the scenario. */
  at: number;
  what: string;
}

export type Action = 'submit' | 'query' | 'abort';

/** One request of a user, from when it was sent. */
export interface UserRequest {
  action: Action;
  ref: string;
  node: string;
  sentAt: number;
  answered: boolean;
}

/** What a user got: `status` 0 stands for no answer in time or a connection that broke. */
export interface UserAnswer {
  status: number;
  phase: string | null;
}

export interface CheckerOptions {
  fleet: FleetLimits;
  cancelMs: number;
  now(): number;
  machines(): MachineSeen[];
}

/** All that was seen of one job from outside. */
export interface JobHistory {
  ref: string;
  /** The first sound submission; null while there was none. */
  request: JobRequest | null;
  /** One of its submissions had to be accepted. */
  hasValidSubmission: boolean;
  submitAskedAt: number;
  abortAskedAt: number;
  acceptedAt: number | null;
  final: { phase: 'done' | 'withdrawn'; at: number } | null;
  readonly completed: Set<number>;
  doneBeforeStart: boolean;
  /** Since when every question about it has failed; null while the last one was answered. */
  unansweredSince: number | null;
  /** Since when it has waited beside room that fits. */
  placeableSince: number | null;
}

/** A start after a cancellation was confirmed: not allowed, but within `cancel_s` not yet a breach. */
export interface LateStart {
  task: string;
  /** How long after the confirmation. */
  afterMs: number;
}

/** All its tasks are done; a service never is. */
export const isComplete = ({
  doneBeforeStart: doneBefore,
  request,
  completed,
}: JobHistory): boolean =>
  doneBefore || (!!request && request.shape !== 'service' && completed.size === request.pieces);

/** A task counts from the moment it has its image. */
export const hasImage = (t: ObservedTask): boolean => t.state !== 'fetching';

export const spreadLimit = (request: JobRequest): number => Math.ceil(request.pieces / 2);

/** A task of it may be on such a machine. */
export function allowsMachine(request: JobRequest, m: MachineSeen): boolean {
  if (request.hulls !== null && !request.hulls.includes(m.type)) return false;
  if (request.yard !== null && request.yard !== m.zone) return false;
  return request.driftwood || !m.spot;
}
