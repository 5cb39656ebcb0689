/** The observations that the rules check: user requests and answers, and the machines' tasks. */
import type { FleetLimits, JobRequest } from '../job-request.js';

export type TaskState = 'fetching' | 'gathering' | 'running' | 'flushing';

export interface ObservedTask {
  job: string;
  task: number;
  state: TaskState;
}

/** The actual state of a machine, which may differ from what the controllers assume. */
export interface ObservedMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Its worker runs, can communicate in both directions and is not about to be taken away. */
  usable: boolean;
  /** All tasks that have not ended, also on a machine that hangs or cannot be reached. */
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

/** One request of a user. */
export interface UserRequest {
  action: Action;
  ref: string;
  node: string;
  sentAt: number;
  answered: boolean;
}

/** The answer that a user got; `status` 0 means no answer in time or a broken connection. */
export interface UserAnswer {
  status: number;
  phase: string | null;
}

export interface CheckerOptions {
  fleet: FleetLimits;
  cancelMs: number;
  now(): number;
  /** All machines, or only those with tasks: a fleet is large, and rules about starts need no others. */
  machines(onlyOccupied: boolean): ObservedMachine[];
}

/** All observations of one job. */
export interface JobHistory {
  ref: string;
  /** The last well-formed submission until it was accepted; null if there was none. */
  request: JobRequest | null;
  /** Whether one of its submissions had to be accepted. */
  hasValidSubmission: boolean;
  firstSubmittedAt: number;
  cancelRequestedAt: number;
  acceptedAt: number | null;
  final: { phase: 'done' | 'withdrawn'; at: number } | null;
  readonly completed: Set<number>;
  doneBeforeStart: boolean;
  /** Since when all requests for it have failed; null if the last one succeeded. */
  unansweredSince: number | null;
  /** Since when it has waited although a task of it could be placed. */
  placeableSince: number | null;
}

/** A start after a confirmed cancellation; it violates the rule only after `cancel_s`. */
export interface LateStart {
  task: string;
  /** The time since the confirmation. */
  afterMs: number;
}

/** Whether all tasks are done; a service is never complete. */
export const isComplete = ({
  doneBeforeStart: doneBefore,
  request,
  completed,
}: JobHistory): boolean =>
  doneBefore || (!!request && request.shape !== 'service' && completed.size === request.pieces);

/** A task counts as on its machine from the moment it has its image. */
export const hasImage = (task: ObservedTask): boolean => task.state !== 'fetching';

export const spreadLimit = (request: JobRequest): number => Math.ceil(request.pieces / 2);

/** Whether a job allows its tasks on a machine. */
export function allowsMachine(request: JobRequest, machine: ObservedMachine): boolean {
  if (request.hulls !== null && !request.hulls.includes(machine.type)) return false;
  if (request.yard !== null && request.yard !== machine.zone) return false;
  return request.driftwood || !machine.spot;
}
